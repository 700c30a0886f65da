"""Real nodes whose endpoints crash under one request: a popular page, or one that crashes them."""

import asyncio
import time

import pytest

from goldcrestgrade_node.mesh.state import quarantine, trials
from goldcrestgrade_testing import processes
from goldcrestgrade_testing.fault_soak import injection
from goldcrestgrade_testing.fleet_platform import fleet

PLACEMENTS = {
    "east-1": fleet.Placement("east", "r1", "archive"),
    "east-2": fleet.Placement("east", "r1", "archive"),
    "west-1": fleet.Placement("west", "r1", "archive"),
    "west-2": fleet.Placement("west", "r1", "intake"),
    "east-3": fleet.Placement("east", "r1", "intake"),
}

RECOVERY_S = 15.0
"""Time after the last fault within which requests are served again."""

CONTACT_S = 3.0
"""Time after the third crash from which a node has to know of it."""

MAX_RETRIES = 3
"""Retries of a request that crashes endpoints which may reach one after that."""

POISON_S = 25.0
"""Time for which clients repeat a request that crashes endpoints."""


@pytest.fixture
async def running_fleet():
    async with fleet.running(PLACEMENTS) as started:
        yield started


async def request_popular_page(running_fleet, instance):
    while True:
        await running_fleet.call(instance, fleet.POPULAR_PATH)
        await asyncio.sleep(0.02)


async def kill_nodes(running_fleet, instances):
    processes.kill_all([instance.process for instance in instances])
    await asyncio.sleep(0.5)
    for instance in instances:
        running_fleet.start_node(instance)
    await running_fleet.wait_ready(instances)


@pytest.mark.parametrize("at_once", [True, False], ids=["at once", "in turn"])
@pytest.mark.parametrize("killed", [0, 2, 5], ids="{} nodes killed".format)
@pytest.mark.parametrize("is_restored", [True, False], ids=["restored store", "same store"])
async def test_popular_page_is_served_again_after_crashes_under_it(
    running_fleet, at_once, killed, is_restored
):
    """Guards against a page that all nodes refuse, so that no answer can show it is harmless."""
    clients = [
        asyncio.create_task(request_popular_page(running_fleet, instance))
        for instance in running_fleet.instances
        for _ in range(2)
    ]
    await injection.crash_busy_endpoints(running_fleet, 3, at_once)
    await asyncio.sleep(0.3)
    if killed:
        await kill_nodes(running_fleet, running_fleet.instances[:killed])
    if is_restored:
        await running_fleet.restore_store(1.0, 0.2)
    deadline = time.monotonic() + RECOVERY_S
    pending = list(running_fleet.instances)
    while pending:
        assert time.monotonic() < deadline, [instance.name for instance in pending]
        answer = await running_fleet.call(pending[0], fleet.POPULAR_PATH)
        if answer.status == 200:
            del pending[0]
        await asyncio.sleep(0.05)
    for client in clients:
        client.cancel()


async def keep_endpoint_running(running_fleet, instance):
    """Replace the endpoint of an instance whenever it has crashed."""
    while True:
        instance.endpoint.behaviour.crash_marker = "poison"
        while instance.endpoint.server.is_serving():
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.4)
        running_fleet.replacement_count += 1
        await running_fleet.replace_endpoint(
            instance, f"i-{instance.name}-p{running_fleet.replacement_count}"
        )


async def request_poison(running_fleet, instance):
    while True:
        await running_fleet.call(instance, "/archive/poison")
        await asyncio.sleep(0.2)


@pytest.mark.parametrize("killed", [0, 5], ids="{} nodes killed".format)
async def test_poison_request_reaches_few_endpoints_after_the_third_crash(running_fleet, killed):
    """Guards against trials, or restarts of all nodes, that let a poison request through again."""
    archive = [i for i in running_fleet.instances if i.placement.service == "archive"]
    # A request is the same one only if it has the same caller, too.
    callers = [i for i in running_fleet.instances if i.placement.service == "intake"]
    tasks = [asyncio.create_task(keep_endpoint_running(running_fleet, i)) for i in archive]
    client = asyncio.create_task(request_poison(running_fleet, callers[0]))
    await asyncio.sleep(CONTACT_S)
    tasks.append(client)
    if killed:
        await kill_nodes(running_fleet, running_fleet.instances)
    tasks.append(asyncio.create_task(request_poison(running_fleet, callers[1])))
    await asyncio.sleep(POISON_S)
    for task in tasks:
        task.cancel()
    all_endpoints = [*running_fleet.former_endpoints, *(i.endpoint for i in archive)]
    paths = running_fleet.sent_paths
    runs_at = sorted(
        at
        for one in all_endpoints
        for attempt_id, _, at in one.started_runs
        if paths[attempt_id] == "/archive/poison"
    )
    assert len(runs_at) >= quarantine.MAX_CRASHES
    third_at = runs_at[quarantine.MAX_CRASHES - 1]
    assert len([at for at in runs_at if at > third_at + CONTACT_S]) <= MAX_RETRIES
    assert len(runs_at) <= quarantine.MAX_CRASHES + trials.MAX_TRIALS + MAX_RETRIES
