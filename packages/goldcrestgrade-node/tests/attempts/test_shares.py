from __future__ import annotations

import hypothesis
from hypothesis import strategies

from goldcrestgrade_node.attempts import shares


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


def test_node_beside_an_endpoint_without_callers_may_use_all_that_is_usable():
    assert shares.decide_beside(240, 0) == shares.Direct(216)
