"""Seeded arrivals of requests, the same for every policy."""

from __future__ import annotations

import random
import typing

from goldcrestgrade_testing.bench import endpoints, scenarios

REQUEST_SIGMA = 0.3
"""Standard deviation of the logarithm of a request's service time factor."""


class Arrival(typing.NamedTuple):
    """One request of a client."""

    at_s: float
    request_id: str
    entry_node_index: int
    """Index of the entry node in the deployment's `nodes`."""
    service_time_factor: float
    """Factor on `endpoints.SERVICE_TIME_S`."""


def generate(
    deployment: scenarios.Deployment, scenario: scenarios.Scenario, seed: int
) -> list[Arrival]:
    """Return the arrivals of a run in order of time: a Poisson process and the bursts."""
    rng = random.Random(f"{seed}-{deployment.name}-{scenario.load}")
    rate = scenario.load * deployment.total_slots / endpoints.mean_service_time_s(REQUEST_SIGMA)
    times = _poisson(rng, rate, scenario.duration_s)
    burst_size = round(scenario.burst_calls_per_slot * deployment.total_slots)
    bursts = [
        second + rng.uniform(0.0, scenarios.BURST_S)
        for second in range(int(scenarios.FAULT_AT_S), int(scenario.duration_s))
        for _ in range(burst_size)
    ]
    return [
        Arrival(
            at_s,
            str(index),
            rng.randrange(len(deployment.nodes)),
            rng.lognormvariate(0.0, REQUEST_SIGMA),
        )
        for index, at_s in enumerate(sorted(times + bursts))
    ]


def _poisson(rng: random.Random, rate: float, duration_s: float) -> list[float]:
    times: list[float] = []
    at_s = rng.expovariate(rate)
    while at_s < duration_s:
        times.append(at_s)
        at_s += rng.expovariate(rate)
    return times
