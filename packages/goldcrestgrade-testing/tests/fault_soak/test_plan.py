"""Plans of troubles."""

import itertools
import random

from goldcrestgrade_testing.fault_soak import plan


def test_same_seed_gives_the_same_plan():
    assert plan.draw(random.Random(7), 6, 20.0) == plan.draw(random.Random(7), 6, 20.0)


def test_troubles_lie_within_the_run_in_order():
    for seed in range(50):
        drawn = plan.draw(random.Random(seed), 6, 20.0)
        assert [t.begin_s for t in drawn] == sorted(t.begin_s for t in drawn)
        assert all(plan.QUIET_S <= t.begin_s < t.end_s <= 20.0 for t in drawn)


def test_all_kinds_come_in_fifty_seeds_and_some_overlap():
    drawn = [plan.draw(random.Random(seed), 6, 20.0) for seed in range(50)]
    assert {trouble.kind for troubles in drawn for trouble in troubles} == set(plan.KINDS)
    assert any(
        later.begin_s < earlier.end_s
        for troubles in drawn
        for earlier, later in itertools.pairwise(troubles)
    )
