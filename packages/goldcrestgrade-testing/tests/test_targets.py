from __future__ import annotations

import functools

import pytest

from goldcrestgrade_testing.bench import __main__ as bench
from goldcrestgrade_testing.bench import figures, scenarios

BY_NAME = {scenario.name: scenario for scenario in scenarios.SCENARIOS}

FAULTS = [scenario.name for scenario in scenarios.SCENARIOS if scenario.has_fault]


@functools.cache
def measure(scenario: scenarios.Scenario) -> figures.Figures:
    return bench.execute(bench.Job(scenarios.DEPLOYMENTS[0], scenario, "ours", 1))


@pytest.mark.parametrize("name", FAULTS)
def test_p99_latency_under_a_fault_is_at_most_one_and_a_half_times_the_baseline(name):
    faulty, baseline = measure(BY_NAME[name]), measure(BY_NAME[name].baseline())
    assert faulty["p99_ms"] <= 1.5 * baseline["p99_ms"]
    assert faulty["answered_share"] >= 0.99


@pytest.mark.parametrize("name", ["straggler", "fast-fail", "overload", "silent"])
def test_retries_and_hedges_stay_within_their_shares_of_the_requests(name):
    result = measure(BY_NAME[name])
    assert result["retries_per_call"] <= 0.10
    assert result["hedges_per_call"] <= 0.05


def test_endpoint_that_fails_fast_gets_at_most_2_percent_of_the_attempts():
    assert measure(BY_NAME["fast-fail"])["first_upstream_share"] <= 0.02


def test_overload_keeps_goodput_and_refuses_within_50_ms():
    result = measure(BY_NAME["overload"])
    assert result["goodput_share"] >= 0.9
    assert result["refusals"]
    assert result["worst_refusal_ms"] <= 50.0


def test_idle_service_causes_at_most_1_probe_a_minute_and_300_cross_region_bytes_a_second():
    result = bench.execute(bench.Job(scenarios.DEPLOYMENTS[1], BY_NAME["idle-night"], "ours", 1))
    assert result["probes_per_endpoint_minute"] <= 1.0
    assert result["cross_region_bytes_per_s"] <= 300
