"""Evacuations by the operator in a fleet of real nodes."""

import asyncio
import contextlib
import itertools
import time

import pytest

from goldcrestgrade_testing.fleet_platform import fleet, store

PLACEMENTS = {
    f"{domain}-{number}": fleet.Placement(domain, "r1", service)
    for domain in ("east", "west")
    for number, service in enumerate(("archive", "archive", "intake"), 1)
}

EVACUATION_S = 5.0
"""Documented time within which the endpoints of an evacuated domain get no more requests."""

USUAL_S = 2.0
"""Time within which rows are in force on nodes in contact with the store, as configurations are."""


@pytest.fixture
async def running_fleet():
    async with fleet.running(PLACEMENTS) as started:
        yield started


@contextlib.asynccontextmanager
async def clients(running_fleet):
    """Send requests for both services to all nodes until the block ends; yield the answers."""
    answers = []

    async def send(instance):
        for number in itertools.count():
            path = f"/{('archive', 'intake')[number % 2]}/{number}"
            answers.append(await running_fleet.call(instance, path))
            await asyncio.sleep(0.05)

    sending = [asyncio.create_task(send(instance)) for instance in running_fleet.instances]
    yield answers
    for task in sending:
        task.cancel()
    await asyncio.gather(*sending, return_exceptions=True)


def arrivals(running_fleet, domain, begin, end=float("inf")):
    return [
        arrival
        for instance in running_fleet.instances
        if instance.placement.failure_domain == domain
        for arrival in instance.endpoint.arrivals
        if begin < arrival[2] < end
    ]


async def restart(running_fleet, instance):
    instance.process.kill()
    await asyncio.to_thread(instance.process.wait)
    running_fleet.start_node(instance)


async def test_no_endpoint_of_an_evacuated_domain_gets_requests_until_the_evacuation_ends(
    running_fleet,
):
    """Guards against requests after the bound, also by nodes that restart or miss the store."""
    west_1, west_2 = (i for i in running_fleet.instances if i.name in ("west-1", "west-2"))
    east_1 = running_fleet.instances[0]
    async with clients(running_fleet) as answers:
        await asyncio.sleep(1.0)
        west_2.store_access.outage = store.Outage.SILENT
        running_fleet.evacuate("west")
        evacuated_at = time.monotonic()
        await asyncio.sleep(USUAL_S)
        for instance in (east_1, west_1):
            await restart(running_fleet, instance)
        await asyncio.sleep(EVACUATION_S - USUAL_S)
        for instance in running_fleet.instances:
            instance.store_access.outage = store.Outage.SILENT
        before = len(answers)
        await asyncio.sleep(3.0)
        assert {answer.status for answer in answers[before:]} <= {200, 503}
        assert sum(answer.status == 200 for answer in answers[before:]) > 20
        for instance in running_fleet.instances:
            instance.store_access.outage = store.Outage.NONE
        await asyncio.sleep(1.0)
        ended_at = time.monotonic()
        assert arrivals(running_fleet, "west", evacuated_at + EVACUATION_S, ended_at) == []
        assert arrivals(running_fleet, "west", 0.0, evacuated_at)
        running_fleet.end_evacuation("west")
        await asyncio.sleep(USUAL_S + 6.0)
    assert arrivals(running_fleet, "west", ended_at + USUAL_S)


async def test_request_is_refused_with_a_retry_time_while_all_domains_are_evacuated(running_fleet):
    for domain in ("east", "west"):
        running_fleet.evacuate(domain)
    await asyncio.sleep(USUAL_S)
    answer = await running_fleet.call(running_fleet.instances[0], "/archive/x")
    assert answer.status == 503
    assert float(answer.fields["retry-after"]) > 0
    assert answer.latency_s < 0.5
    assert '"evacuated"' in running_fleet.node_log(running_fleet.instances[0])


async def test_evacuation_that_the_store_lost_stays_until_the_operator_ends_it(running_fleet):
    """Guards against requests to a domain after the store came back without the row."""
    running_fleet.evacuate("west")
    evacuated_at = time.monotonic()
    await asyncio.sleep(USUAL_S)
    async with clients(running_fleet):
        await running_fleet.store.restore(time.monotonic() - evacuated_at + 0.1, 0.2)
        assert not any(key.startswith("evacuate/") for _, _, key in running_fleet.store.rows)
        await asyncio.sleep(1.0)
        for instance in running_fleet.instances[::2]:
            await restart(running_fleet, instance)
        await running_fleet.wait_ready()
        await asyncio.sleep(2.0)
        assert arrivals(running_fleet, "west", evacuated_at + USUAL_S) == []
        running_fleet.store.write("op", "evacuate/west", {})
        running_fleet.end_evacuation("west")
        ended_at = time.monotonic()
        await asyncio.sleep(USUAL_S + 4.0)
    assert arrivals(running_fleet, "west", ended_at)
