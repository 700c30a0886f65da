"""Short soaks of real node processes, with the same faults in each run of the tests."""

import collections

import pytest

from goldcrestgrade_testing.fault_soak import soak

FAULT_PHASE_S = 8.0

SEEDS = (1, 2)
"""Seeds that each run of the tests uses; a seed that fails is added here with its cause."""


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_guarantee_is_violated_under_the_faults_of_a_seed(seed):
    result = await soak.run(seed, FAULT_PHASE_S)
    assert result.violations == []
    statuses = collections.Counter(request.status for request in result.observed.requests)
    assert statuses[200] > 100
