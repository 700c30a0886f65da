"""Admission of requests to the endpoint, under the load patterns that it handles."""

import asyncio

import pytest

from goldcrestgrade import instants, routes
from goldcrestgrade_node.mesh.endpoint import (
    admission,
    coldness,
    concurrency,
    decision,
    estimates,
)
from goldcrestgrade_node.mesh.transport import loads

SERVICE_TIME_S = 0.1


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.now = 1000.0

    def clocks(self):
        return instants.Clocks(lambda: self.now, lambda: self.now)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def controller(clock):
    controller = admission.AdmissionController(clock.clocks())
    controller.set_slots(2)
    controller.apply_load_report(loads.Load(0, 0, 2, 1.0))
    return controller


def request(clock, target_s=0.4, deadline_s=0.8, priority=1, late_allowed=False):
    return decision.Request(
        "route", priority, clock.now + target_s, clock.now + deadline_s, late_allowed
    )


async def test_pace_that_was_never_reported_is_asked_for_unless_the_endpoint_reports_none(clock):
    controller = admission.AdmissionController(clock.clocks())
    controller.set_slots(2)
    assert controller.is_pace_outdated()
    controller.record_missing_load()
    assert not controller.is_pace_outdated()
    controller.apply_load_report(loads.Load(0, 0, 2, 1.0))
    assert not controller.is_pace_outdated()
    clock.now += admission.MAX_ADMISSION_PACE_AGE_S
    assert controller.is_pace_outdated()
    controller.in_flight = 2
    assert not controller.is_pace_outdated()


@pytest.mark.parametrize(("rate", "asked"), [(0.0, True), (6.0, False)])
def test_endpoint_with_a_warm_up_and_a_steady_pace_is_not_asked_for_it(clock, rate, asked):
    """Guards against a health check for every other request, and against one too few elsewhere."""
    controller = admission.AdmissionController(clock.clocks())
    controller.set_slots(2)
    service = routes.Service("archive", "/healthz", 9, 3.0, rate)
    controller.rate.coldness.set_terms(coldness.terms(service, 1.5, 8))
    controller.apply_load_report(loads.Load(0, 0, 2, 1.0))
    clock.now += admission.STEADY_PACE_S - 0.1
    assert controller.is_pace_outdated()
    clock.now += 0.2
    assert controller.is_pace_outdated() == asked
    controller.apply_load_report(loads.Load(0, 0, 2, estimates.DEGRADED_PACE))
    clock.now += admission.MAX_ADMISSION_PACE_AGE_S
    assert controller.is_pace_outdated()


async def test_request_starts_at_once_when_a_slot_is_free(controller, clock):
    assert await controller.admit(request(clock)) is None
    assert controller.in_flight == 1


async def test_requests_beyond_the_slots_queue_and_start_by_priority(controller, clock):
    for _ in range(2):
        await controller.admit(request(clock))
    low = asyncio.create_task(controller.admit(request(clock, priority=2)))
    high = asyncio.create_task(controller.admit(request(clock, priority=0)))
    await asyncio.sleep(0)
    controller.release()
    await asyncio.sleep(0)
    assert high.done() and not low.done()
    assert controller.in_flight == 2
    low.cancel()


async def test_request_expected_to_miss_its_target_is_rejected_at_once(controller, clock):
    for _ in range(2):
        await controller.admit(request(clock))
    rejected = await controller.admit(request(clock, target_s=0.12))
    assert rejected.reason == "saturated"
    assert rejected.retry_at > clock.now


async def test_degraded_endpoint_rejects_requests_until_its_pace_report_is_stale(controller, clock):
    controller.apply_load_report(loads.Load(1, 0, 2, 7.0))
    assert (
        await controller.admit(request(clock))
    ).retry_at >= clock.now + decision.DEGRADED_RETRY_DELAY_S
    clock.now += estimates.MAX_PACE_AGE_S
    assert await controller.admit(request(clock)) is None


async def test_endpoint_that_completes_too_few_requests_counts_as_stalled(controller, clock):
    controller.set_slots(9)
    for _ in range(5):
        await controller.admit(request(clock))
    threshold_s = (
        estimates.STALL_THRESHOLD * estimates.INITIAL_SERVICE_TIME_S / controller.in_flight
    )
    clock.now += 0.9 * threshold_s
    assert controller.current_pace() == 1.0
    clock.now += 0.2 * threshold_s
    assert controller.current_pace() == pytest.approx(1.1 * estimates.STALLED_PACE)
    clock.now += 1.1 * threshold_s
    assert controller.current_pace() == pytest.approx(2.2 * estimates.STALLED_PACE)
    assert controller.is_health_check_due()
    assert await controller.admit(request(clock, target_s=0.3)) is not None


async def test_idle_endpoint_never_counts_as_stalled(controller, clock):
    clock.now += 60
    assert not controller.is_stalled()
    assert await controller.admit(request(clock)) is None


async def test_late_request_is_admitted_only_while_a_slot_is_free(controller, clock):
    controller.apply_load_report(loads.Load(0, 0, 2, 3.0))
    late = request(clock, target_s=0.2, late_allowed=True)
    assert await controller.admit(late) is None
    assert await controller.admit(late) is None
    assert await controller.admit(late) is not None


async def test_cancelled_request_releases_its_slot(controller, clock):
    for _ in range(2):
        await controller.admit(request(clock))
    waiting = asyncio.create_task(controller.admit(request(clock)))
    await asyncio.sleep(0)
    controller.release()
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert controller.in_flight == 1
    assert await controller.admit(request(clock)) is None


async def test_queued_requests_are_rejected_when_the_endpoint_drains(controller, clock):
    for _ in range(2):
        await controller.admit(request(clock))
    waiting = asyncio.create_task(controller.admit(request(clock)))
    await asyncio.sleep(0)
    controller.reject_queued("no_endpoint")
    assert (await waiting).reason == "no_endpoint"
    assert controller.in_flight == 2


async def test_queued_request_is_rejected_once_it_can_no_longer_meet_its_target(controller, clock):
    for _ in range(2):
        await controller.admit(request(clock))
    rejected = await asyncio.wait_for(controller.admit(request(clock, target_s=0.25)), 1.0)
    assert rejected.reason == "saturated"
    assert controller.in_flight == 2
    controller.release()
    assert controller.in_flight == 1


async def test_short_request_is_admitted_although_late_and_starts_before_long_ones(
    controller, clock
):
    controller.record_service_time("route", 0.1, controller.load_snapshot())
    controller.record_service_time("short", 0.01, controller.load_snapshot())
    for _ in range(2):
        await controller.admit(request(clock))
    long = asyncio.create_task(controller.admit(request(clock)))
    await asyncio.sleep(0)
    late = request(clock, target_s=0.001, deadline_s=0.25)._replace(route_key="short")
    short = asyncio.create_task(controller.admit(late))
    await asyncio.sleep(0)
    controller.release()
    await asyncio.sleep(0)
    assert short.done() and not long.done()
    assert short.result() is None
    long.cancel()


async def test_idle_endpoint_admits_a_request_whatever_its_service_time_estimate(controller, clock):
    for _ in range(50):
        await controller.admit(request(clock, target_s=60.0, deadline_s=60.0))
        at_start = controller.load_snapshot()
        clock.now += 10.0
        controller.apply_load_report(loads.Load(0, 0, 2, 1.0))
        controller.record_service_time("route", 10.0, at_start)
        controller.release()
    assert await controller.admit(request(clock)) is None
    assert (await controller.admit(request(clock))).reason == "saturated"


async def complete(controller, clock, route_key, elapsed_s, pace=1.0):
    await controller.admit(
        request(clock, target_s=60.0, deadline_s=60.0)._replace(route_key=route_key)
    )
    at_start = controller.load_snapshot()
    clock.now += elapsed_s
    controller.apply_load_report(loads.Load(0, 0, 2, pace))
    controller.record_service_time(route_key, elapsed_s, at_start)
    controller.release()


async def test_mean_service_time_follows_the_mix_of_routes_also_under_contention(controller, clock):
    for _ in range(30):
        await complete(controller, clock, "short", 0.01)
    controller.in_flight += 2
    for _ in range(60):
        await complete(controller, clock, "long", 0.3)
    assert controller.service_times_s["long"] == pytest.approx(0.3)
    assert controller.mean_service_time_s == pytest.approx(0.3, rel=0.1)


async def test_elapsed_time_at_a_degraded_endpoint_does_not_change_the_service_time(
    controller, clock
):
    await complete(controller, clock, "route", 0.1)
    for _ in range(30):
        controller.apply_load_report(loads.Load(0, 0, 2, 7.0))
        await complete(controller, clock, "route", 0.1, pace=7.0)
    assert controller.service_times_s["route"] == pytest.approx(0.1)


async def test_late_request_is_admitted_when_its_mean_service_time_fits_its_deadline(
    controller, clock
):
    controller.apply_load_report(loads.Load(0, 0, 2, 2.0))
    service_time_s = 2.0 * estimates.INITIAL_SERVICE_TIME_S
    late = request(clock, target_s=0.15, deadline_s=1.1 * service_time_s, late_allowed=True)
    assert await controller.admit(late) is None
    too_late = request(clock, target_s=0.15, deadline_s=0.9 * service_time_s, late_allowed=True)
    assert await controller.admit(too_late) is not None


async def test_late_request_is_rejected_by_a_degraded_endpoint(controller, clock):
    """Guards against slots that are held long after the endpoint is normal again."""
    controller.apply_load_report(loads.Load(0, 0, 2, 7.0))
    late = request(clock, target_s=0.2, deadline_s=2.0, late_allowed=True)
    assert (await controller.admit(late)).reason == "saturated"


async def test_queued_requests_are_rejected_at_once_when_the_endpoint_degrades(controller, clock):
    for _ in range(2):
        await controller.admit(request(clock))
    soon = asyncio.create_task(controller.admit(request(clock, target_s=0.4)))
    later = asyncio.create_task(controller.admit(request(clock, target_s=6.0, deadline_s=6.0)))
    await asyncio.sleep(0)
    controller.apply_load_report(loads.Load(2, 0, 2, 7.0))
    await asyncio.sleep(0)
    assert soon.done() and soon.result().reason == "saturated"
    assert not later.done()
    controller.release()
    assert await later is None


async def test_rate_limit_is_reported_as_the_slots_that_keep_the_endpoint_at_its_rate(controller):
    controller.set_slots(9)
    assert controller.load().slots == 9
    controller.set_rate_limit(2.5 / estimates.INITIAL_SERVICE_TIME_S)
    assert controller.load().slots == 3
    controller.set_rate_limit(0.1)
    assert controller.load().slots == 1
    controller.set_rate_limit(None)
    assert controller.load().slots == 9


async def test_slow_endpoint_reports_the_slots_that_keep_it_at_its_rate_limit(controller):
    """Guards against slots reported for a normal pace while cold endpoints take twice as long."""
    controller.set_slots(9)
    controller.set_rate_limit(2.5 / estimates.INITIAL_SERVICE_TIME_S)
    controller.apply_load_report(loads.Load(0, 0, 9, 2.0))
    assert controller.load().slots == 5


async def test_request_that_the_rate_limit_delays_too_long_is_rejected_until_it_may_start(
    controller, clock
):
    controller.set_rate_limit(1.0)
    rejected = await controller.admit(request(clock))
    assert rejected == decision.Rejected("rate_limited", clock.now + 1.0)
    clock.now += 1.0
    assert await controller.admit(request(clock)) is None


async def test_queued_requests_start_by_priority_as_the_rate_limit_allows(controller, clock):
    controller.set_rate_limit(20.0)
    low = asyncio.create_task(controller.admit(request(clock, priority=2)))
    high = asyncio.create_task(controller.admit(request(clock, priority=0)))
    await asyncio.sleep(0)
    assert not low.done() and not high.done()
    clock.now += 0.05
    controller.start_queued()
    await asyncio.sleep(0)
    assert high.done() and not low.done()
    controller.set_rate_limit(None)
    await asyncio.sleep(0)
    assert low.done() and low.result() is None


async def test_trial_of_a_limit_ends_in_time_while_the_endpoint_is_degraded(clock, controller):
    """Guards against a lower limit that stays in force while no request can be compared."""
    controller.set_slots(12)
    for _ in range(concurrency.TRIAL_SAMPLES):
        controller.search.record("route", 12, SERVICE_TIME_S, clock.now)
    assert controller.limit < 12
    clock.now += concurrency.TRIAL_TIME_S
    at_start = controller.load_snapshot()
    controller.apply_load_report(loads.Load(0, 0, 12, 5.0))
    controller.record_service_time("route", 5 * SERVICE_TIME_S, at_start)
    assert controller.limit == 12
