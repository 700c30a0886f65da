"""Real nodes whose endpoint's address goes to an endpoint of another service."""

import asyncio
import time

import pytest

from goldcrestgrade_testing import processes
from goldcrestgrade_testing.fault_soak import injection
from goldcrestgrade_testing.fleet_platform import fleet

PLACEMENTS = {
    "east-1": fleet.Placement("east", "r1", "archive"),
    "east-2": fleet.Placement("east", "r1", "archive"),
    "west-1": fleet.Placement("west", "r1", "intake"),
}

TRAFFIC_S = 5.0
"""Time for which requests are sent while and after the address is reused."""

USED_S = 4.0
"""Time after which the new endpoint is used, with a wait for its first heartbeat."""

KNOWN_S = 1.0
"""Time after which a restarted node uses its endpoint: its start, and a health check."""


@pytest.fixture
async def running_fleet():
    async with fleet.running(PLACEMENTS) as started:
        yield started


async def send_requests(running_fleet, until):
    while time.monotonic() < until:
        for instance in running_fleet.instances:
            await running_fleet.call(instance, "/archive/a")
            await running_fleet.call(instance, "/archive/file/a", "POST")
            await running_fleet.call(instance, "/intake/a")


def runs_of(endpoint_, running_fleet, service):
    return [
        attempt_id
        for attempt_id, count in endpoint_.run_counts.items()
        if count and running_fleet.sent_paths[attempt_id].startswith(f"/{service}/")
    ]


@pytest.mark.parametrize("node", ["stays", "killed", "frozen"])
@pytest.mark.parametrize("settings", ["before", "after", "never"])
@pytest.mark.parametrize("former", ["dark", "drained", "reports late"])
async def test_new_endpoint_of_another_service_runs_only_its_own_requests(
    running_fleet, former, settings, node
):
    """Guards against a service that is concluded from the address or the settings."""
    east_1 = running_fleet.instances[0]
    how = injection.Reuse(settings, node, former == "drained", former == "reports late", 1.0)
    traffic = asyncio.create_task(send_requests(running_fleet, time.monotonic() + TRAFFIC_S))
    await injection.reuse_address(running_fleet, east_1, how, "intake")
    successor = east_1.endpoint
    await traffic
    assert runs_of(successor, running_fleet, "archive") == []
    deadline = time.monotonic() + USED_S
    while not runs_of(successor, running_fleet, "intake"):
        assert time.monotonic() < deadline, "the new endpoint is not used for its own service"
        await running_fleet.call(east_1, "/intake/a")
    assert runs_of(successor, running_fleet, "archive") == []


@pytest.mark.parametrize("service", ["archive", "intake"])
async def test_restarted_node_uses_its_endpoint_before_the_next_heartbeat(running_fleet, service):
    """Guards against a restart after which an endpoint waits for its heartbeat."""
    east_1 = running_fleet.instances[0]
    if service == "intake":
        how = injection.Reuse("never", "stays", False, False, 0.0)
        await injection.reuse_address(running_fleet, east_1, how, "intake")
        await send_requests(running_fleet, time.monotonic() + 2.0)
    before = len(runs_of(east_1.endpoint, running_fleet, service))
    assert before
    east_1.heartbeat_task.cancel()
    processes.kill_all([east_1.process])
    running_fleet.start_node(east_1)
    await running_fleet.wait_ready([east_1])
    deadline = time.monotonic() + KNOWN_S
    while len(runs_of(east_1.endpoint, running_fleet, service)) == before:
        assert time.monotonic() < deadline, "the endpoint is not used"
        await running_fleet.call(east_1, f"/{service}/a")
