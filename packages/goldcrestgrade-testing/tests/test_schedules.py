"""Schedules that are drawn from a seed."""

import random

from goldcrestgrade_testing import schedules


def test_same_seed_draws_the_same_schedule():
    assert schedules.draw(random.Random(3)) == schedules.draw(random.Random(3))


def test_drawn_schedules_have_every_kind_of_fault_and_only_requested_kinds():
    drawn = [schedules.draw(random.Random(seed)) for seed in range(300)]
    kinds = {fault.kind for schedule in drawn for fault in schedule.faults}
    assert kinds == set(schedules.FaultKind)
    requested_kinds = (schedules.FaultKind.GUARD_PAUSED, schedules.FaultKind.STORE_SLOW)
    faults = schedules.draw(random.Random(1), requested_kinds).faults
    assert {fault.kind for fault in faults} <= set(requested_kinds)
