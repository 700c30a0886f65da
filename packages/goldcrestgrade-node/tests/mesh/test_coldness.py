"""What a node knows of its endpoint's warm-up, and how fast requests start meanwhile."""

import random

import pytest

from goldcrestgrade import instants, reasons, routes
from goldcrestgrade_node.mesh.endpoint import admission, coldness, start_limits

SERVICE = routes.Service("archive", "/healthz", 9, 3.0, 6.0)
TERMS = coldness.terms(SERVICE, 1.5, 8)


class Clock:
    """A clock that tests advance."""

    now = 50.0

    def clocks(self):
        return instants.Clocks(lambda: self.now, lambda: self.now)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def cold(clock):
    state = coldness.Coldness(clock.clocks())
    state.set_terms(TERMS)
    return state


def start_all(limiter):
    """Return how many requests start at once."""
    count = 0
    while limiter.wait_s() == 0 and count < 100:
        limiter.acquire()
        count += 1
    return count


def test_service_without_a_warm_up_has_no_limit(clock):
    state = coldness.Coldness(clock.clocks())
    state.set_terms(coldness.terms(SERVICE._replace(warm_up_rate=0.0), 1.5, 8))
    assert start_all(state) == 100


def test_health_check_allows_a_bounded_number_of_requests_for_a_bounded_time(cold, clock):
    """Guards against a full rate at an endpoint that becomes cold after it was checked."""
    cold.record_check(cold.begin_check(), 0.0)
    assert start_all(cold) == TERMS.max_unverified - 1
    cold.record_check(cold.begin_check(), 0.0)
    clock.now += coldness.MAX_STATEMENT_AGE_S + 0.01
    at_once = start_all(cold)
    assert at_once <= TERMS.max_unverified - TERMS.rate
    clock.now += 1.0
    assert at_once + start_all(cold) <= TERMS.max_unverified


def test_requests_after_a_health_check_count_once_the_endpoint_is_cold(cold, clock):
    """Guards against a burst on top of the requests that a warm endpoint got just before."""
    cold.record_check(cold.begin_check(), 0.0)
    started = start_all(cold)
    cold.record_check(cold.begin_check(), 3.0)
    clock.now += 1.0
    assert started + start_all(cold) <= 13


def test_requests_held_for_bodies_count_as_sent_after_a_check_that_began_meanwhile(clock):
    """Guards against uploads that reach a cold endpoint on top of the requests of its last check.

    Seven slots were held when the check began, and the endpoint is cold from then on.
    """
    controller = admission.AdmissionController(clock.clocks())
    cold = controller.rate.coldness
    cold.set_terms(TERMS)
    cold.record_check(cold.begin_check(), 0.0)
    for _ in range(7):
        cold.acquire()
        controller.begin_hold()
    cold.record_check(cold.begin_check(), 0.0)
    for _ in range(7):
        controller.end_hold()
    assert 7 + start_all(cold) <= TERMS.max_unverified


def checks_of(cold, clock, rate, seconds=300.0):
    """Return the starts of Poisson requests, and the number of health checks that they need."""
    requested = []
    cold.on_doubt = lambda: requested.append(True)
    rng = random.Random(1)
    starts, checks = [], 0
    cold.record_check(cold.begin_check(), 0.0)
    end = clock.now + seconds
    while clock.now < end:
        clock.now += rng.expovariate(rate)
        if cold.is_check_awaited() or requested:
            checks += 1
            cold.record_check(cold.begin_check(), 0.0)
            requested.clear()
        if cold.wait_s() == 0:
            cold.acquire()
            starts.append(clock.now)
    return starts, checks


@pytest.mark.parametrize(("rate", "most"), [(3.0, 0.02), (6.0, 0.1), (10.0, 0.2)])
def test_requests_about_the_warm_up_rate_rarely_need_a_health_check(cold, clock, rate, most):
    """Guards against a price and a slot of the endpoint for every other request."""
    starts, checks = checks_of(cold, clock, rate)
    assert len(starts) == pytest.approx(300 * rate, rel=0.1)
    assert checks <= most * len(starts)


@pytest.mark.parametrize("idle_s", [0.0, 0.2, 0.5, 1.5, 9.0])
def test_unused_tokens_of_a_warm_endpoint_keep_the_bound_once_it_is_cold(cold, clock, idle_s):
    """Guards against a kept burst that comes on top of the rate, or is kept while cold."""
    cold.record_check(cold.begin_check(), 0.0)
    clock.now += idle_s
    before, starts = clock.now, 0
    while clock.now < before + 1.0:
        starts += start_all(cold)
        clock.now += 0.01
    assert starts <= TERMS.max_unverified
    clock.now += 9.0
    cold.record_doubt("lost connection")
    assert start_all(cold) <= TERMS.rate * TERMS.burst_s


def test_check_from_before_an_event_or_a_later_check_shows_no_warm_endpoint(cold):
    """Guards against answers that describe an earlier state of the endpoint."""
    before_reset, later = cold.begin_check(), cold.begin_check()
    cold.record_doubt("lost connection")
    cold.record_check(later, 0.0)
    assert cold.state() == "unknown"
    cold.record_check(cold.begin_check(), 2.0)
    cold.record_check(before_reset, 0.0)
    assert cold.state() == "cold"


def test_lagging_heartbeats_neither_shorten_a_cold_time_nor_end_a_warm_one(cold, clock):
    """Guards against heartbeats that were sent before a health check was answered."""
    cold.record_check(cold.begin_check(), 2.0)
    cold.record_heartbeat(0.0)
    cold.record_heartbeat(0.5)
    clock.now += 1.9
    assert cold.state() == "cold"
    clock.now += 0.2
    cold.record_check(cold.begin_check(), 0.0)
    cold.record_heartbeat(1.0)
    assert cold.state() == "unknown"
    cold.record_check(cold.begin_check(), 0.0)
    assert cold.state() == "warm"


def test_refused_health_checks_leave_tokens_for_the_return_of_the_endpoint(cold, clock):
    """Guards against an endpoint that returns to a bucket emptied by checks it never got."""
    clock.now += 1.0
    for _ in range(20):
        cold.begin_check()
        cold.record_refused_check()
    assert start_all(cold) == TERMS.rate * TERMS.burst_s


@pytest.mark.parametrize(
    ("rate", "overage", "slack"), [(6.0, 1.5, 8), (15.0, 1.2, 5), (6.0, 1.0, 0)]
)
def test_busy_cold_endpoint_gets_its_rate_with_the_overage_and_no_more(clock, rate, overage, slack):
    """Guards against requests refused all through a cold time that the endpoint could take."""
    service = SERVICE._replace(warm_up_rate=rate)
    cold = coldness.Coldness(clock.clocks())
    cold.set_terms(coldness.terms(service, overage, slack))
    cold.record_check(cold.begin_check(), service.warm_up_s)
    starts = []
    for step in range(300):
        clock.now += 0.01
        starts += [clock.now] * start_all(cold)
        recent = [at for at in starts if at > clock.now - 1.0]
        assert len(recent) <= rate * overage + max(1.0, slack - coldness.MARGIN), step
    assert len(starts) >= 0.85 * rate * overage * service.warm_up_s


def test_lower_one_of_rate_limit_and_warm_up_applies(clock):
    """Guards against a named rate limit that hides the warm-up rate, or the reverse."""
    limits = start_limits.StartLimits(clock.clocks())
    limits.coldness.set_terms(TERMS)
    assert (limits.lowest(), limits.reason()) == (TERMS.rate, reasons.Refusal.WARMING_UP)
    limits.set_rate(2.0)
    assert (limits.lowest(), limits.reason()) == (2.0, reasons.Refusal.RATE_LIMITED)
    assert limits.wait_s() == pytest.approx(0.5)


@pytest.mark.parametrize("source", ["heartbeat", "health check"])
def test_endpoint_that_says_that_it_stays_cold_for_very_long_is_checked_again(cold, clock, source):
    """Guards against one far too long time by which an endpoint would get the low rate for good."""
    if source == "heartbeat":
        cold.record_heartbeat(1e300)
    else:
        cold.record_check(cold.begin_check(), 1e20)
    assert cold.is_known_cold()
    clock.now += coldness.MAX_COLD_S
    assert not cold.is_known_cold()
    cold.record_check(cold.begin_check(), 0.0)
    assert cold.state() == "warm"


def test_heartbeats_that_contradict_each_other_are_settled_by_a_health_check(cold, clock):
    """Guards against an odd heartbeat by which a warm endpoint gets the low rate for a time."""
    cold.record_check(cold.begin_check(), 0.0)
    cold.record_doubt("lost connection")
    cold.record_heartbeat(20.0)
    assert cold.is_known_cold()
    asked = []
    cold.on_doubt = lambda: asked.append(clock.now)
    cold.record_heartbeat(0.0)
    assert asked and not cold.is_known_cold() and cold.state() == "unknown"
    cold.record_check(cold.begin_check(), 0.0)
    assert cold.state() == "warm"


def test_heartbeat_that_says_nothing_does_not_end_a_cold_time_that_a_health_check_has_shown(cold):
    cold.record_check(cold.begin_check(), 2.0)
    cold.record_heartbeat(0.0)
    assert cold.is_known_cold()
