"""Concurrency limit, as derived from sampled slowdowns."""

import pytest

from goldcrestgrade_node.mesh.endpoint import concurrency

SLOTS = 12
KNEE = 10
SLOWDOWN = 1.65


@pytest.fixture
def slowdowns():
    return concurrency.Slowdowns()


def record_samples(slowdowns, levels, slowdown_at, now=0.0, samples=40):
    for level in levels:
        for _ in range(samples):
            slowdowns.record(level, slowdown_at(level), now)


def slow_from_knee(level):
    return SLOWDOWN if level >= KNEE else 1.0


def test_limit_equals_the_slots_without_samples(slowdowns):
    assert slowdowns.limit(SLOTS, 0.0) == SLOTS


def test_limit_equals_the_slots_when_load_does_not_slow_requests(slowdowns):
    record_samples(slowdowns, range(1, SLOTS + 1), lambda _: 1.0)
    assert slowdowns.limit(SLOTS, 0.0) == SLOTS


def test_limit_is_below_the_level_at_which_requests_slow_down(slowdowns):
    record_samples(slowdowns, range(1, SLOTS + 1), slow_from_knee)
    assert slowdowns.limit(SLOTS, 0.0) == KNEE - 1


def test_limit_converges_from_all_slots_to_below_the_knee(slowdowns):
    limits = []
    for _ in range(6):
        limit = slowdowns.limit(SLOTS, 0.0)
        limits.append(limit)
        record_samples(slowdowns, [limit], slow_from_knee)
    assert limits[0] == SLOTS
    assert limits[-1] == KNEE - 1


def test_slowdown_too_small_for_a_throughput_gain_keeps_the_limit(slowdowns):
    record_samples(slowdowns, range(1, SLOTS + 1), lambda level: 1.05 if level >= KNEE else 1.0)
    assert slowdowns.limit(SLOTS, 0.0) == SLOTS


def test_old_samples_decay_and_the_limit_returns_to_the_slots(slowdowns):
    record_samples(slowdowns, range(1, SLOTS + 1), slow_from_knee)
    assert slowdowns.limit(SLOTS, 3 * concurrency.DECAY_TIME_S) == SLOTS


def test_single_slow_request_does_not_lower_the_limit(slowdowns):
    record_samples(slowdowns, range(1, SLOTS + 1), lambda _: 1.0)
    slowdowns.record(SLOTS, 1.5, 0.0)
    assert slowdowns.limit(SLOTS, 0.0) == SLOTS


def test_limit_is_at_least_one(slowdowns):
    record_samples(slowdowns, [1], lambda _: 4.0)
    assert slowdowns.limit(1, 0.0) == 1
