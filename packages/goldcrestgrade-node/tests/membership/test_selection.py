from __future__ import annotations

import itertools

from goldcrestgrade_node.membership import selection
from goldcrestgrade_testing import sample_records

REGION = [
    sample_records.ready(f"node-{index}", failure_domain=f"khomas-{'ab'[index % 2]}")
    for index in range(20)
]
ELSEWHERE = [sample_records.ready("far", region="oshana", failure_domain="oshana-a")]


def successors_of(own, count: int) -> list[str]:
    seen = selection.view(own, REGION + ELSEWHERE)
    return [record["node_id"] for record in selection.successors(seen, count)]


def test_pushes_along_the_ring_reach_every_node_of_the_region():
    ring = {record["node_id"]: successors_of(record, 1)[0] for record in REGION}
    walk = itertools.accumulate(range(len(REGION)), lambda at, _: ring[at], initial="node-0")
    assert set(walk) == {record["node_id"] for record in REGION}


def test_successors_are_distinct_and_in_the_region():
    successors = successors_of(REGION[0], 3)
    assert len(set(successors)) == 3
    assert not {"far", "node-0"} & set(successors)
