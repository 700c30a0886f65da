"""Admission at the endpoint of a node, with the load patterns that it answers."""

import asyncio

import pytest

from goldcrestgrade import instants
from goldcrestgrade_node.mesh import admission, loads

TYPICAL_S = 0.1


class Clock:
    """A clock that tests move."""

    def __init__(self):
        self.now = 1000.0

    def clocks(self):
        return instants.Clocks(lambda: self.now, lambda: self.now)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def gate(clock):
    gate = admission.Gate(clock.clocks())
    gate.resize(2)
    gate.note_load(loads.Load(0, 0, 2, 1.0))
    return gate


def ticket(clock, target_s=0.4, deadline_s=0.8, priority=1, late_allowed=False):
    return admission.Ticket(
        "route", priority, clock.now + target_s, clock.now + deadline_s, late_allowed
    )


async def test_request_with_room_starts_at_once(gate, clock):
    assert await gate.enter(ticket(clock)) is None
    assert gate.running == 1


async def test_more_requests_than_slots_wait_and_the_higher_rank_starts_first(gate, clock):
    for _ in range(2):
        await gate.enter(ticket(clock))
    low = asyncio.create_task(gate.enter(ticket(clock, priority=2)))
    high = asyncio.create_task(gate.enter(ticket(clock, priority=0)))
    await asyncio.sleep(0)
    gate.leave()
    await asyncio.sleep(0)
    assert high.done() and not low.done()
    assert gate.running == 2
    low.cancel()


async def test_request_that_would_come_too_late_is_sent_back_at_once(gate, clock):
    for _ in range(2):
        await gate.enter(ticket(clock))
    rejected = await gate.enter(ticket(clock, target_s=0.12))
    assert rejected.reason == "saturated"
    assert rejected.retry_at > clock.now


async def test_slowed_endpoint_sends_requests_back_until_the_disturbance_is_over(gate, clock):
    gate.note_load(loads.Load(1, 0, 2, 7.0))
    assert (await gate.enter(ticket(clock))).retry_at >= clock.now + admission.RETRY_DISTURBED_S
    clock.now += admission.PACE_HOLD_S
    assert await gate.enter(ticket(clock)) is None


async def test_endpoint_that_ends_too_few_requests_counts_as_slowed(gate, clock):
    gate.resize(9)
    for _ in range(5):
        await gate.enter(ticket(clock))
    bound_s = admission.SILENT_ENDS * admission.TYPICAL_START_S / gate.running
    clock.now += 0.9 * bound_s
    assert gate.current_pace() == 1.0
    clock.now += 0.2 * bound_s
    assert gate.current_pace() == admission.SILENT_PACE
    assert gate.check_due()
    assert await gate.enter(ticket(clock, target_s=0.3)) is not None


async def test_idle_endpoint_never_counts_as_silent(gate, clock):
    clock.now += 60
    assert not gate.silent()
    assert await gate.enter(ticket(clock)) is None


async def test_late_request_is_taken_only_beside_free_slots(gate, clock):
    gate.note_load(loads.Load(0, 0, 2, 5.0))
    late = ticket(clock, target_s=0.2, late_allowed=True)
    assert await gate.enter(late) is None
    assert await gate.enter(late) is None
    assert await gate.enter(late) is not None


async def test_cancelled_request_gives_its_place_back(gate, clock):
    for _ in range(2):
        await gate.enter(ticket(clock))
    waiting = asyncio.create_task(gate.enter(ticket(clock)))
    await asyncio.sleep(0)
    gate.leave()
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert gate.running == 1
    assert await gate.enter(ticket(clock)) is None


async def test_waiting_requests_are_sent_back_when_the_endpoint_drains(gate, clock):
    for _ in range(2):
        await gate.enter(ticket(clock))
    waiting = asyncio.create_task(gate.enter(ticket(clock)))
    await asyncio.sleep(0)
    gate.reject_waiting("no_endpoint")
    assert (await waiting).reason == "no_endpoint"
    assert gate.running == 2


async def test_waiting_request_is_sent_back_once_it_can_no_longer_come_in_time(gate, clock):
    for _ in range(2):
        await gate.enter(ticket(clock))
    rejected = await asyncio.wait_for(gate.enter(ticket(clock, target_s=0.25)), 1.0)
    assert rejected.reason == "saturated"
    assert gate.running == 2
    gate.leave()
    assert gate.running == 1


async def test_short_request_is_taken_though_late_and_starts_before_long_ones(gate, clock):
    gate.note_time("route", 0.1, gate.judgement())
    gate.note_time("short", 0.01, gate.judgement())
    for _ in range(2):
        await gate.enter(ticket(clock))
    long = asyncio.create_task(gate.enter(ticket(clock)))
    await asyncio.sleep(0)
    late = ticket(clock, target_s=0.001, deadline_s=0.25)._replace(name="short")
    short = asyncio.create_task(gate.enter(late))
    await asyncio.sleep(0)
    gate.leave()
    await asyncio.sleep(0)
    assert short.done() and not long.done()
    assert short.result() is None
    long.cancel()


async def test_idle_endpoint_takes_a_request_whatever_was_learned_of_its_time(gate, clock):
    for _ in range(50):
        await gate.enter(ticket(clock, target_s=60.0, deadline_s=60.0))
        judged_by = gate.judgement()
        clock.now += 10.0
        gate.note_load(loads.Load(0, 0, 2, 1.0))
        gate.note_time("route", 10.0, judged_by)
        gate.leave()
    assert await gate.enter(ticket(clock)) is None
    assert (await gate.enter(ticket(clock))).reason == "saturated"


async def run(gate, clock, name, took_s, pace=1.0):
    await gate.enter(ticket(clock, target_s=60.0, deadline_s=60.0)._replace(name=name))
    judged_by = gate.judgement()
    clock.now += took_s
    gate.note_load(loads.Load(0, 0, 2, pace))
    gate.note_time(name, took_s, judged_by)
    gate.leave()


async def test_wait_is_judged_by_the_mix_of_routes_also_where_short_ones_come_in_quiet_times(
    gate, clock
):
    for _ in range(30):
        await run(gate, clock, "short", 0.01)
    gate.running += 2
    for _ in range(60):
        await run(gate, clock, "long", 0.3)
    assert gate.typical_s["long"] == pytest.approx(0.3)
    assert gate.mean_s == pytest.approx(0.3, rel=0.1)


async def test_time_between_two_disturbances_tells_nothing_of_the_usual_time(gate, clock):
    await run(gate, clock, "route", 0.1)
    for _ in range(30):
        gate.note_load(loads.Load(0, 0, 2, 7.0))
        await run(gate, clock, "route", 0.1, pace=7.0)
    assert gate.typical_s["route"] == pytest.approx(0.1)


async def test_late_request_is_taken_where_its_mean_time_fits_before_the_deadline(gate, clock):
    gate.note_load(loads.Load(0, 0, 2, 7.0))
    needs_s = 7.0 * admission.TYPICAL_START_S
    late = ticket(clock, target_s=0.2, deadline_s=1.1 * needs_s, late_allowed=True)
    assert await gate.enter(late) is None
    hopeless = ticket(clock, target_s=0.2, deadline_s=0.9 * needs_s, late_allowed=True)
    assert await gate.enter(hopeless) is not None


async def test_waiting_requests_are_sent_back_at_once_when_the_endpoint_turns_slow(gate, clock):
    for _ in range(2):
        await gate.enter(ticket(clock))
    soon = asyncio.create_task(gate.enter(ticket(clock, target_s=0.4)))
    patient = asyncio.create_task(gate.enter(ticket(clock, target_s=6.0, deadline_s=6.0)))
    await asyncio.sleep(0)
    gate.note_load(loads.Load(2, 0, 2, 7.0))
    await asyncio.sleep(0)
    assert soon.done() and soon.result().reason == "saturated"
    assert not patient.done()
    gate.leave()
    assert await patient is None
