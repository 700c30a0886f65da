from __future__ import annotations

import asyncio

import pytest

from goldcrestgrade import reasons
from goldcrestgrade_node import crash_notices
from goldcrestgrade_node.attempts import results
from goldcrestgrade_node.routing import endpoint_stats, quarantine
from goldcrestgrade_testing import fleet, virtual_time

PROPAGATION_TIMEOUT_S = 5.0


def make_endpoint(node_id: str) -> endpoint_stats.EndpointStats:
    return endpoint_stats.EndpointStats(node_id, "r", "r-a", "127.0.0.1", 1, "", 10, incarnation=7)


def connect_quarantines(running: fleet.Fleet) -> list[quarantine.Quarantine]:
    quarantines = [quarantine.Quarantine() for _ in running.nodes]
    for node, node_quarantine in zip(running.nodes, quarantines, strict=True):
        crash_notices.connect(node_quarantine, node.exchange, running.nodes[0].clocks)
    return quarantines


def record_crash(node_quarantine: quarantine.Quarantine, node_id: str, now: float) -> None:
    died = results.Broken(reasons.Uncertainty.ENDPOINT_DIED)
    quarantine.record_result(node_quarantine, "r", make_endpoint(node_id), died, now - 0.1, now)


def test_crashes_seen_by_two_nodes_quarantine_a_request_at_every_node():
    async def scenario():
        running = fleet.Fleet(fleet.Shape(nodes=8), seed=1)
        await running.start()
        quarantines = connect_quarantines(running)
        now = running.nodes[0].clocks.monotonic()
        record_crash(quarantines[0], "a", now)
        record_crash(quarantines[1], "b", now)
        await running.wait_until(
            lambda: all(
                isinstance(
                    node_quarantine.permission("r", now + PROPAGATION_TIMEOUT_S),
                    quarantine.Quarantined,
                )
                for node_quarantine in quarantines
            ),
            PROPAGATION_TIMEOUT_S,
        )
        running.stop()
        return [node_quarantine.permission("other", now) for node_quarantine in quarantines]

    assert virtual_time.run(scenario()) == [quarantine.ANY] * 8


def test_malformed_crash_notice_is_ignored():
    async def scenario():
        running = fleet.Fleet(fleet.Shape(nodes=8), seed=1)
        await running.start()
        node_quarantine = connect_quarantines(running)[0]
        until = running.nodes[0].clocks.wall() + 60.0
        notice = {"kind": crash_notices.KIND, "key": "k", "order": 0, "text": "[]", "until": until}
        running.nodes[0].exchange.merge_notices([notice])
        running.stop()
        return node_quarantine.histories

    assert virtual_time.run(scenario()) == {}


@pytest.mark.parametrize("is_poison", [False, True])
def test_all_nodes_together_try_a_quarantined_request_and_share_the_answer(is_poison):
    """Guards against a popular page that all nodes refuse, and a poison one that all nodes try."""

    async def scenario():
        running = fleet.Fleet(fleet.Shape(nodes=8), seed=1)
        await running.start()
        quarantines = connect_quarantines(running)
        clock = running.nodes[0].clocks.monotonic
        record_crash(quarantines[0], "a", clock())
        record_crash(quarantines[1], "b", clock())
        until, trials = clock() + 60.0, 0
        while clock() < until:
            await asyncio.sleep(0.1)
            for node_quarantine in quarantines:
                if node_quarantine.claim_trial("r", clock()):
                    trials += 1
                    if is_poison:
                        record_crash(node_quarantine, f"c{trials}", clock())
                    else:
                        node_quarantine.record_answer("r", clock())
        running.stop()
        return trials, [one.permission("r", clock()) == quarantine.ANY for one in quarantines]

    expected = (quarantine.MAX_TRIALS, [False] * 8) if is_poison else (1, [True] * 8)
    assert virtual_time.run(scenario()) == expected
