"""How many requests should run at once, as learned from their times."""

import pytest

from goldcrestgrade_node.mesh import concurrency

SLOTS = 12
KNEE = 10
SLOWDOWN = 1.65


@pytest.fixture
def slowdowns():
    return concurrency.Slowdowns()


def learn(slowdowns, levels, slowdown_at, now=0.0, samples=40):
    for level in levels:
        for _ in range(samples):
            slowdowns.note(level, slowdown_at(level), now)


def with_knee(level):
    return SLOWDOWN if level >= KNEE else 1.0


def test_all_slots_are_used_while_nothing_is_known(slowdowns):
    assert slowdowns.limit(SLOTS, 0.0) == SLOTS


def test_all_slots_are_used_where_requests_take_no_longer_when_full(slowdowns):
    learn(slowdowns, range(1, SLOTS + 1), lambda _: 1.0)
    assert slowdowns.limit(SLOTS, 0.0) == SLOTS


def test_limit_stays_below_the_number_from_which_requests_take_longer(slowdowns):
    learn(slowdowns, range(1, SLOTS + 1), with_knee)
    assert slowdowns.limit(SLOTS, 0.0) == KNEE - 1


def test_limit_is_found_step_by_step_from_full(slowdowns):
    seen = []
    for _ in range(6):
        limit = slowdowns.limit(SLOTS, 0.0)
        seen.append(limit)
        learn(slowdowns, [limit], with_knee)
    assert seen[0] == SLOTS
    assert seen[-1] == KNEE - 1


def test_slowdown_that_fewer_requests_would_not_make_up_for_changes_nothing(slowdowns):
    learn(slowdowns, range(1, SLOTS + 1), lambda level: 1.05 if level >= KNEE else 1.0)
    assert slowdowns.limit(SLOTS, 0.0) == SLOTS


def test_what_was_learned_is_forgotten_without_samples(slowdowns):
    learn(slowdowns, range(1, SLOTS + 1), with_knee)
    assert slowdowns.limit(SLOTS, 3 * concurrency.FORGET_S) == SLOTS


def test_single_long_request_does_not_lower_the_limit(slowdowns):
    learn(slowdowns, range(1, SLOTS + 1), lambda _: 1.0)
    slowdowns.note(SLOTS, 1.5, 0.0)
    assert slowdowns.limit(SLOTS, 0.0) == SLOTS


def test_limit_is_one_at_least(slowdowns):
    learn(slowdowns, [1], lambda _: 4.0)
    assert slowdowns.limit(1, 0.0) == 1
