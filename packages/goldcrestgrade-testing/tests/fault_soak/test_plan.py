"""Random plans of faults."""

import itertools
import random

import orjson

from goldcrestgrade_testing.fault_soak import odd_entries, plan


def test_same_seed_gives_the_same_plan():
    assert plan.draw(random.Random(7), 6, 20.0) == plan.draw(random.Random(7), 6, 20.0)


def test_faults_are_ordered_and_lie_within_the_run():
    for seed in range(50):
        drawn = plan.draw(random.Random(seed), 6, 20.0)
        assert [fault.begin_s for fault in drawn] == sorted(fault.begin_s for fault in drawn)
        assert all(plan.QUIET_START_S <= fault.begin_s < fault.end_s <= 20.0 for fault in drawn)


def test_fifty_seeds_draw_all_kinds_and_overlapping_faults():
    drawn = [plan.draw(random.Random(seed), 6, 20.0) for seed in range(50)]
    assert {fault.kind for faults in drawn for fault in faults} == set(plan.KINDS)
    assert any(
        later.begin_s < earlier.end_s
        for faults in drawn
        for earlier, later in itertools.pairwise(faults)
    )


def test_each_plan_has_odd_entries_of_each_kind_within_the_run():
    for seed in range(50):
        drawn = plan.draw_odd(random.Random(seed), 6, 20.0)
        assert {fault.kind for fault in drawn} == set(plan.ODD_KINDS)
        assert all(plan.QUIET_START_S <= fault.begin_s < fault.end_s <= 20.0 for fault in drawn)


def test_each_plan_has_clients_that_exceed_limits_within_the_run():
    for seed in range(50):
        drawn = plan.draw_abusive(random.Random(seed), 6, 20.0)
        assert drawn == plan.draw_abusive(random.Random(seed), 6, 20.0)
        assert len(drawn) == 4 and {fault.kind for fault in drawn} == {plan.ABUSIVE_KIND}
        assert all(plan.QUIET_START_S <= fault.begin_s < fault.end_s <= 20.0 for fault in drawn)


def test_same_seed_gives_the_same_odd_entries_that_can_all_be_written():
    entry = {"host": "h", "place": {"failure_domain": "d", "region": "r"}, "port": 1}

    def drawn():
        rng = random.Random(5)
        return [orjson.dumps(odd_entries.spoil(rng, entry)) for _ in range(5000)]

    assert drawn() == drawn()
