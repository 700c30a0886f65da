"""Failure domains that are unreachable: the decision, and connection attempts given up for it."""

import asyncio
import socket

import pytest

from goldcrestgrade import counters, reasons
from goldcrestgrade_node.mesh.entry import reachability
from goldcrestgrade_node.mesh.transport import connections

DOMAINS = ("a", "b", "c", "d")


@pytest.fixture
def reached():
    return reachability.Reachability("a-1", "a", lambda: DOMAINS, counters.Counts())


def silence(reached, *node_ids):
    for node_id in node_ids:
        reached.record_silence(node_id.partition("-")[0], node_id)
    return reached.unreachable


def test_domain_is_unreachable_after_several_silent_instances_until_one_response(reached):
    announced = []
    reached.on_unreachable = reached.on_reached = announced.append
    assert silence(reached, "b-1", "b-2") == frozenset()
    assert silence(reached, "b-3") == {"b"}
    reached.record_response("c")
    assert reached.unreachable == {"b"}
    reached.record_response("b")
    assert reached.unreachable == frozenset()
    assert announced == ["b", "b"]
    events = reached.counts.events
    assert events[reasons.Event.DOMAIN_UNREACHABLE] == events[reasons.Event.DOMAIN_REACHED] == 1


@pytest.mark.parametrize(
    "silent",
    [["b-1"] * 9, ["b-1", "b-2"], ["b-1", "c-1", "d-1"], ["b-1", "b-2", "c-1", "d-1"]],
)
def test_single_silent_instances_count_for_no_domain(reached, silent):
    """Guards against a domain given up for one instance that is tried again and again."""
    assert silence(reached, *silent) == frozenset()


def test_response_in_between_starts_the_evidence_anew(reached):
    """Guards against a domain given up for instances that crashed one after the other."""
    silence(reached, "b-1", "b-2")
    reached.record_response("b")
    assert silence(reached, "b-3", "b-4") == frozenset()


def test_silence_of_several_domains_counts_for_all_others_but_not_for_the_own(reached):
    """Guards against a node that is cut off and tries one domain after the other."""
    assert silence(reached, "b-1", "b-2", "c-1", "c-2") == {"b", "c", "d"}
    reached.record_response("d")
    assert reached.unreachable == frozenset()


@pytest.fixture
async def silent_pool():
    """A pool of connections to an address that answers no connection attempt."""
    with socket.socket() as listening, socket.socket() as first, socket.socket() as second:
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        for one in (first, second):
            one.setblocking(False)
            one.connect_ex(listening.getsockname())
        yield connections.ConnectionPool(f"127.0.0.1:{listening.getsockname()[1]}")


async def test_silent_address_is_distinguished_from_a_refused_connection(silent_pool):
    """Guards against crashed instances, which refuse connections, counted as silent."""
    with pytest.raises(connections.ConnectTimeout):
        await silent_pool.open(1.0)
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        refusing = connections.ConnectionPool(f"127.0.0.1:{unused.getsockname()[1]}")
        with pytest.raises(ConnectionRefusedError):
            await refusing.open(1.0)


async def test_abandoned_connection_attempt_ends_at_once_and_is_no_silence(silent_pool):
    """Guards against requests that wait out a time-out in a domain known to be unreachable."""
    opening = asyncio.create_task(silent_pool.open(1.0))
    await asyncio.sleep(0.05)
    assert silent_pool.abandon_connecting() == 1
    async with asyncio.timeout(connections.CONNECT_TIMEOUT_S / 4):
        with pytest.raises(TimeoutError) as raised:
            await opening
    assert not isinstance(raised.value, connections.ConnectTimeout)
    assert silent_pool.connecting == set()
