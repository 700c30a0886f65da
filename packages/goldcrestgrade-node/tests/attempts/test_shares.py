from __future__ import annotations

import hypothesis
from hypothesis import strategies

from goldcrestgrade import records
from goldcrestgrade_node.attempts import shares
from goldcrestgrade_node.membership import members

ADDRESS = ("127.0.0.1", 2)


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.integers(4, 400), strategies.integers(0, 2000))
def test_shares_never_exceed_what_the_endpoint_accepts(connections, entry_nodes):
    share = shares.remote_share(connections, entry_nodes)
    limit = share.limit if isinstance(share, shares.Direct) else 0
    assert limit * entry_nodes + shares.local_share(connections, entry_nodes).limit <= connections


def test_dozen_nodes_connect_directly():
    assert shares.remote_share(220, 11) == shares.Direct(13)


def test_nodes_of_a_large_fleet_relay():
    assert shares.remote_share(220, 1699) == shares.Relay()
    assert shares.local_share(220, 1699) == shares.Direct(198)


def share_at(own_id: str, entry_nodes: set[str]) -> shares.Share:
    record = members.first_record("local", "khomas", "khomas-a", "127.0.0.1", 1, 1)
    record["endpoint"] = records.EndpointDocument(
        service="archive", host="127.0.0.1", port=2, slots=10, connections=220
    )
    return shares.by_address(own_id, [record], entry_nodes)[ADDRESS]


def test_nodes_that_do_not_call_the_service_have_no_share():
    entry_nodes = {f"entry-{number}" for number in range(20)}
    assert share_at("entry-0", entry_nodes) == shares.remote_share(220, 20)
    assert share_at("newcomer", entry_nodes) == shares.remote_share(220, 21)
    assert share_at("local", entry_nodes) == shares.local_share(220, 20)
    assert share_at("entry-0", {"entry-0", "local"}) == shares.remote_share(220, 1)


def test_endpoints_node_may_use_all_usable_connections_when_no_other_node_calls():
    assert shares.local_share(240, 0) == shares.Direct(216)
