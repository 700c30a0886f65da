from __future__ import annotations

import asyncio

import pytest

from goldcrestgrade import instants, records, statecharts
from goldcrestgrade_node.endpoint import lifecycle
from goldcrestgrade_testing import virtual_time


def announcement(in_flight: int) -> lifecycle.AnnounceDocument:
    return lifecycle.AnnounceDocument(
        service="archive",
        host="127.0.0.1",
        port=1,
        slots=10,
        connections=220,
        in_flight=in_flight,
    )


def make_lifecycle() -> lifecycle.Lifecycle:
    return lifecycle.Lifecycle(instants.loop_clocks(), lambda: None)


def test_drain_waits_for_an_announcement_after_the_drain_has_propagated():
    async def scenario() -> None:
        own = make_lifecycle()
        own.announce(announcement(0))
        own.leave()
        await asyncio.sleep(1.9)
        own.announce(announcement(0))
        await asyncio.sleep(0.2)
        own.advance(claimed=0)
        assert own.state == records.EndpointState.DRAINING
        own.announce(announcement(1))
        own.advance(claimed=0)
        assert own.state == records.EndpointState.DRAINING
        own.announce(announcement(0))
        own.advance(claimed=1)
        assert own.state == records.EndpointState.DRAINING
        own.advance(claimed=0)
        assert own.state == records.EndpointState.LEFT

    virtual_time.run(scenario())


def test_drain_ends_when_the_lease_of_the_endpoint_expires():
    async def scenario() -> None:
        own = make_lifecycle()
        own.announce(announcement(1))
        own.leave()
        assert own.cut_off_work().endpoint_calls == 1
        await asyncio.sleep(lifecycle.HEARTBEAT_LEASE_S)
        assert own.cut_off_work().endpoint_calls == 0
        own.advance(claimed=0)
        assert own.state == records.EndpointState.LEFT

    virtual_time.run(scenario())


def test_endpoint_that_left_cannot_announce_itself_again():
    async def scenario() -> None:
        own = make_lifecycle()
        own.announce(announcement(0))
        own.leave()
        own.finish(timed_out=False)
        assert own.state == records.EndpointState.LEFT
        with pytest.raises(statecharts.UnexpectedEvent):
            own.announce(announcement(0))

    virtual_time.run(scenario())
