"""Real nodes whose endpoint restarts under its id after the clock of its instance was set back."""

import asyncio

import pytest

from goldcrestgrade_testing.fleet_platform import fleet

PLACEMENTS = {
    "east-1": fleet.Placement("east", "r1", "archive"),
    "west-1": fleet.Placement("west", "r1", "archive"),
}

STEP_MS = 2400
"""Step of the clock, as on the platform."""

DRAIN_S = 2.0
"""Time after which an endpoint whose leaving was confirmed gets no more requests."""


@pytest.mark.parametrize("said_by", ["heartbeat", "departure"])
async def test_endpoint_that_leaves_after_the_clock_was_set_back_gets_no_more_requests(said_by):
    """Guards against incarnations under one id that are ordered by their start times alone."""
    async with fleet.running(PLACEMENTS) as running:
        east_1, west_1 = running.instances
        endpoint_id = east_1.endpoint.endpoint_id
        east_1.endpoint.born_ms += STEP_MS + int(1000 * fleet.READY_TIMEOUT_S)
        await asyncio.sleep(2 * fleet.HEARTBEAT_INTERVAL_S)
        await running.replace_endpoint(east_1, endpoint_id, "archive", 1.0)
        await asyncio.sleep(3.0)

        async def runs():
            before = sum(east_1.endpoint.run_counts.values())
            for instance in (east_1, west_1) * 10:
                await running.call(instance, "/archive/x")
            return sum(east_1.endpoint.run_counts.values()) - before

        assert await runs() > 0
        if said_by == "heartbeat":
            east_1.endpoint.behaviour.draining = True
        else:
            east_1.heartbeat_task.cancel()
            url = f"http://{east_1.address('heartbeats')}/-/instances/{endpoint_id}"
            born = {"born": east_1.endpoint.born_ms}
            async with running.session.delete(url, json=born) as response:
                assert response.status == 200
        await asyncio.sleep(DRAIN_S + fleet.HEARTBEAT_INTERVAL_S)
        assert await runs() == 0
