from __future__ import annotations

import hypothesis
from hypothesis import strategies

from goldcrestgrade import records
from goldcrestgrade_node.attempts import shares
from goldcrestgrade_node.membership import members

ADDRESS = ("127.0.0.1", 2)


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.integers(4, 400), strategies.integers(0, 2000))
def test_shares_never_exceed_what_the_endpoint_accepts(connections, callers):
    share = shares.decide(connections, callers)
    limit = share.limit if isinstance(share, shares.Direct) else 0
    assert limit * callers + shares.decide_beside(connections, callers).limit <= connections


def test_dozen_nodes_connect_directly():
    assert shares.decide(220, 11) == shares.Direct(13)


def test_nodes_of_a_large_fleet_relay():
    assert shares.decide(220, 1699) == shares.Relay()
    assert shares.decide_beside(220, 1699) == shares.Direct(198)


def share_at(own_id: str, callers: set[str]) -> shares.Share:
    record = members.first_record("beside", "khomas", "khomas-a", "127.0.0.1", 1, 1)
    record["endpoint"] = records.EndpointDocument(
        service="archive", host="127.0.0.1", port=2, slots=10, connections=220
    )
    return shares.at_endpoints(own_id, [record], callers)[ADDRESS]


def test_nodes_that_do_not_call_the_service_have_no_share():
    callers = {f"caller-{number}" for number in range(20)}
    assert share_at("caller-0", callers) == shares.decide(220, 20)
    assert share_at("newcomer", callers) == shares.decide(220, 21)
    assert share_at("beside", callers) == shares.decide_beside(220, 20)
    assert share_at("caller-0", {"caller-0", "beside"}) == shares.decide(220, 1)


def test_node_beside_an_endpoint_without_callers_may_use_all_that_is_usable():
    assert shares.decide_beside(240, 0) == shares.Direct(216)
