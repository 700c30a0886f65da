"""Requests and health checks at cold endpoints in a small fleet of real node processes."""

import asyncio
import bisect
import time

import pytest

from goldcrestgrade_testing.fleet_platform import endpoint, fleet

ALLOWED = 17
"""Requests and health checks that a cold endpoint may get in a second: 6 x 1.5 + 8."""

WARM_UP = endpoint.WarmUp(seconds=2.0, rate=6.0, crash_above=ALLOWED)

PLACEMENTS = {
    "east-1": fleet.Placement("east", "r1", "archive"),
    "east-2": fleet.Placement("east", "r1", "intake"),
    "west-1": fleet.Placement("west", "r1", "intake"),
}
"""The only endpoint of `archive` gets the requests of all nodes."""

SERVICE_TIME_S = 0.05

CLIENTS = 10


@pytest.fixture
async def running_fleet():
    async with fleet.running(PLACEMENTS, SERVICE_TIME_S, warm_up=WARM_UP) as started:
        yield started


async def offer(running_fleet, seconds, record):
    """Send requests of several clients at once to all nodes for a time."""
    until = time.monotonic() + seconds

    async def client(number):
        while time.monotonic() < until:
            instance = running_fleet.instances[number % len(running_fleet.instances)]
            answer = await running_fleet.call(instance, "/archive/letters")
            record.append((time.monotonic(), answer))
            if answer.status != 200:
                await asyncio.sleep(min(0.3, float(answer.fields.get("retry-after", 0.1))))

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))


def most_in_a_second(instants):
    return max(
        (last + 1 - bisect.bisect_right(instants, at - 1.0) for last, at in enumerate(instants)),
        default=0,
    )


def served(record, begin, end):
    return sum(answer.status == 200 and begin <= at < end for at, answer in record)


async def play(running_fleet, disturb, seconds=6.0):
    """Return the answers while `disturb` runs after a second of full load."""
    record = []
    load = asyncio.create_task(offer(running_fleet, seconds, record))
    await asyncio.sleep(1.0)
    await disturb(running_fleet.instances[0])
    await load
    return record


def assert_rule_kept(running_fleet):
    for one in [*running_fleet.former_endpoints, *(i.endpoint for i in running_fleet.instances)]:
        assert not one.crashed_cold
        assert most_in_a_second(one.cold_arrivals) <= ALLOWED


async def test_endpoint_that_returns_cold_gets_its_rate_and_then_all_requests(running_fleet):
    """Guards against full load at a new endpoint, and against a rate that stays low."""

    async def replace(instance):
        await running_fleet.replace_endpoint(instance, "i-new")

    record = await play(running_fleet, replace)
    assert_rule_kept(running_fleet)
    new = running_fleet.instances[0].endpoint
    assert len(new.cold_arrivals) >= 0.5 * WARM_UP.seconds * WARM_UP.rate
    assert served(record, new.cold_until + 1.0, new.cold_until + 2.0) > 20
    refused = [answer for _, answer in record if answer.status == 503]
    assert refused
    assert all(float(answer.fields["retry-after"]) > 0 for answer in refused)
    log = running_fleet.node_log(running_fleet.instances[0])
    assert '"warm-up state changed"' in log
    assert '"reason":"warming_up"' in log.replace(": ", ":")


async def test_endpoint_that_becomes_cold_while_busy_gets_its_rate(running_fleet):
    """Guards against a belief in a warm endpoint that is older than the endpoint's state."""

    async def become_cold(instance):
        for _ in range(2):
            instance.endpoint.become_cold()
            await asyncio.sleep(WARM_UP.seconds + 0.37)

    await play(running_fleet, become_cold)
    assert_rule_kept(running_fleet)
    assert running_fleet.instances[0].endpoint.cold_arrivals


async def test_node_that_restarts_in_the_cold_time_keeps_the_rate(running_fleet):
    """Guards against a full rate of a node that has lost its knowledge of the cold time."""

    async def restart_cold(instance):
        instance.endpoint.become_cold()
        await asyncio.sleep(0.3)
        instance.process.kill()
        instance.process.wait()
        running_fleet.start_node(instance)

    await play(running_fleet, restart_cold)
    assert_rule_kept(running_fleet)


async def test_node_that_restarts_beside_a_warm_endpoint_is_back_at_the_full_rate(running_fleet):
    """Guards against a cold time that a restart invents."""
    instance = running_fleet.instances[0]
    instance.process.kill()
    instance.process.wait()
    running_fleet.start_node(instance)
    await running_fleet.wait_ready([instance])
    await asyncio.sleep(0.05)
    started = time.monotonic()
    answers = await asyncio.gather(
        *(running_fleet.call(instance, "/archive/letters") for _ in range(8))
    )
    assert {answer.status for answer in answers} == {200}
    # At the warm-up rate, without a burst, the eighth request would start after over a second.
    assert time.monotonic() - started < 0.6
