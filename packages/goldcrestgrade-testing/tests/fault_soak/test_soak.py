"""Short soaks of real node processes, with the same faults in each run of the tests."""

import collections
import random

import pytest

from goldcrestgrade_testing.fault_soak import checks, plan, soak

FAULT_PHASE_S = 8.0

SEEDS = (1, 4)
"""Seeds that each run of the tests uses; a seed that fails is added here with its cause."""


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_guarantee_is_violated_under_the_faults_of_a_seed(seed):
    result = await soak.run(seed, FAULT_PHASE_S)
    assert result.violations == []
    statuses = collections.Counter(request.status for request in result.observed.requests)
    assert statuses[200] > 100


LEAVE = plan.Fault("leave", 0, 1.0, 13.0, 0)
"""The endpoint of the first instance says in its answers only that it leaves."""

LEAVING_ENDPOINT = "i-khomas-a-1-1"
"""Endpoint of the first instance before it is replaced."""

LIMIT = plan.Fault("limit", 0, 1.0, 13.0, 1)
"""The endpoint of the first instance names 3, 2 and 2.5 requests a second, for 4 s each."""

DISTURBANCES = {
    "none": [],
    "node beside the endpoint is killed": [plan.Fault("kill", 0, 6.0, 6.3, 0)],
    "node beside the endpoint is killed again and again": [
        plan.Fault("kill", 0, at, at + 0.2, 0) for at in (4.5, 6.0, 7.5, 9.0, 10.5)
    ],
    "node beside the endpoint stops and starts": [plan.Fault("stop", 0, 6.0, 8.0, 0)],
    "node beside the endpoint stands still": [plan.Fault("pause", 0, 6.0, 7.5, 0)],
    "other nodes restart": [plan.Fault("kill", n, 5.0 + n, 5.2 + n, 0) for n in range(1, 6)],
    "nodes are cut off from the store": [
        plan.Fault("store_silent", n, 4.0, 7.0, 0) for n in range(3)
    ],
}


@pytest.mark.parametrize("name", DISTURBANCES)
async def test_endpoint_gets_no_more_than_its_rate_limit_allows(name):
    faults = sorted([LIMIT, *DISTURBANCES[name]], key=lambda fault: fault.begin_s)
    result = await soak.play(faults, random.Random(1))
    assert result.violations == []
    limited = [request for request in result.observed.requests if request.names_rate_limit]
    assert limited


COLD = [plan.Fault("cold", 0, at, at + 1.5, variant) for at, variant in ((3.0, 0), (6.0, 1))]
"""The endpoint of the first instance becomes cold while it runs, and then returns cold."""


@pytest.mark.parametrize("name", DISTURBANCES)
async def test_cold_endpoint_gets_no_more_than_its_warm_up_allows(name):
    """Guards against nodes that lose or miss the cold time of an endpoint under a disturbance."""
    faults = sorted([*COLD, *DISTURBANCES[name]], key=lambda fault: fault.begin_s)
    result = await soak.play(faults, random.Random(1))
    assert result.violations == []
    assert any(result.observed.cold_arrivals.values())


@pytest.mark.parametrize("name", DISTURBANCES)
async def test_leaving_endpoint_gets_no_more_requests(name):
    faults = sorted([LEAVE, *DISTURBANCES[name]], key=lambda fault: fault.begin_s)
    result = await soak.play(faults, random.Random(1))
    assert result.violations == []
    span = next(f.span for f in result.observed.injected_faults if f.kind == LEAVE.kind)
    arrivals_at = [a.at for a in result.observed.arrivals if a.endpoint_id == LEAVING_ENDPOINT]
    assert any(at < span.begin for at in arrivals_at)
    assert [at for at in arrivals_at if at > span.begin + checks.DRAIN_S] == []
