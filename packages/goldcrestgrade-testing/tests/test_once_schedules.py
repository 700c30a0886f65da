"""Histories of generated schedules violate no guarantee of run-once requests."""

from __future__ import annotations

import pytest

from goldcrestgrade_testing import history, once_simulation, schedules, soak

KIND = schedules.FaultKind
SCHEDULES_PER_TEST = 200

FAMILIES = {
    "store_and_resends": (KIND.STORE_SLOW, KIND.STORE_ANSWERS_LOST, KIND.STORE_EFFECTS_LATE),
    "pauses": (KIND.GUARD_PAUSED, KIND.STORE_SLOW),
    "restarts": (KIND.GUARD_CRASHED, KIND.GUARD_STOPPED, KIND.STORE_DOWN),
    "late_messages": (KIND.MESSAGES_DOUBLED, KIND.MESSAGES_LATE, KIND.ENDPOINT_SHEDS),
}


@pytest.mark.parametrize("seed", range(9))
def test_no_guarantee_is_violated_under_faults_of_all_kinds(seed):
    soak.explore(schedules.of_kinds(), seed, SCHEDULES_PER_TEST)


@pytest.mark.parametrize("family", FAMILIES)
def test_no_guarantee_is_violated_under_related_faults(family):
    soak.explore(schedules.of_kinds(FAMILIES[family]), 1, SCHEDULES_PER_TEST)


def test_at_least_999_of_1000_requests_are_answered_without_faults():
    simulation = once_simulation.simulate(schedules.single_calls(seed=1, count=1000, rate=20.0))
    answered = sum(isinstance(event, history.Answered) for event in simulation.log.events)
    assert history.check(simulation.log.events) == []
    assert answered >= 999


def test_same_schedule_gives_the_same_history():
    schedule = schedules.single_calls(seed=3, count=20, rate=5.0)
    histories = [once_simulation.simulate(schedule).log.events for _ in range(2)]
    assert histories[0] == histories[1]
