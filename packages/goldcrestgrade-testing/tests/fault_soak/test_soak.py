"""A short soak of the real programs, the same troubles each time."""

import collections

import pytest

from goldcrestgrade_testing.fault_soak import soak

FAULT_PHASE_S = 8.0

SEEDS = (1, 2)
"""Seeds of each run of the tests; seeds that ever failed are added, with their cause."""


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_guarantee_is_violated_under_the_faults_of_a_seed(seed):
    result = await soak.run(seed, FAULT_PHASE_S)
    assert result.violations == []
    statuses = collections.Counter(request.status for request in result.observed.requests)
    assert statuses[200] > 100
