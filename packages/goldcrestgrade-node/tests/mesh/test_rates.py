"""Rate limit of an endpoint as a token bucket."""

import pytest

from goldcrestgrade import instants
from goldcrestgrade_node.mesh.endpoint import rates


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.now = 50.0

    def clocks(self):
        return instants.Clocks(lambda: self.now, lambda: self.now)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def limiter(clock):
    return rates.RateLimiter(clock.clocks())


def test_without_a_limit_nothing_waits(limiter):
    limiter.acquire()
    assert limiter.wait_s(ahead=100) == 0


def test_limit_that_begins_lets_the_first_request_start_after_one_interval(limiter, clock):
    limiter.set_rate(4.0)
    assert limiter.wait_s() == pytest.approx(0.25)
    assert limiter.wait_s(ahead=3) == pytest.approx(1.0)
    clock.now += 0.25
    assert limiter.wait_s() == 0
    limiter.acquire()
    assert limiter.wait_s() == pytest.approx(0.25)


def test_unused_rate_is_kept_for_half_a_second_only(limiter, clock):
    limiter.set_rate(20.0)
    clock.now += 60.0
    for _ in range(10):
        assert limiter.wait_s() == 0
        limiter.acquire()
    assert limiter.wait_s() == pytest.approx(0.05)


def test_limit_that_is_named_again_keeps_its_unused_part_and_a_new_one_its_debt(limiter, clock):
    limiter.set_rate(4.0)
    clock.now += 0.5
    assert not limiter.set_rate(4.0)
    limiter.acquire()
    assert limiter.wait_s() == 0
    limiter.acquire()
    assert limiter.set_rate(2.0)
    assert limiter.wait_s() == pytest.approx(0.5)


def test_limit_of_zero_lets_few_requests_pass_whose_answers_may_end_it(limiter, clock):
    limiter.set_rate(0.0)
    assert limiter.wait_s() == pytest.approx(1 / rates.MIN_RATE)
    limiter.set_rate(None)
    assert limiter.wait_s() == 0
