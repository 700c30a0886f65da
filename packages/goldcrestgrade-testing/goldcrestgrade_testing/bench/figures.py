"""Figures computed from the result of a run."""

from __future__ import annotations

import collections
import math
import typing

import typing_extensions

from goldcrestgrade import outcomes
from goldcrestgrade_testing.bench import arrivals, endpoints, runs, scenarios


class Figures(typing_extensions.TypedDict):
    """The figures of one policy in one scenario; latencies are those of successful requests."""

    deployment: str
    scenario: str
    policy: str
    seed: int
    calls: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    worst_refusal_ms: float
    """Longest time from the arrival of a request until its refusal."""
    goodput_share: float
    """Successful requests as a share of those that the slots could serve."""
    answered_share: float
    """Successful requests as a share of all requests."""
    refusals: dict[str, int]
    unknowns: dict[str, int]
    retries_per_call: float
    hedges_per_call: float
    probes_per_call: float
    probes_per_endpoint_minute: float
    cross_region_bytes_per_s: float
    first_upstream_share: float
    """Share of the attempts that went to the first endpoint, which most faults affect."""


def compute(
    deployment: scenarios.Deployment,
    scenario: scenarios.Scenario,
    policy: str,
    seed: int,
    run: runs.RunResult,
) -> Figures:
    """Return the figures of `run`.

    Latencies and goodput count from `MEASURED_FROM_S`, or from the start if the scenario has a
    duration of its own.
    """
    since_s = scenarios.MEASURED_FROM_S if scenario.duration_s == scenarios.DURATION_S else 0.0
    measured = [request for request in run.finished if request.at_s >= since_s]
    latencies_s = sorted(request.latency_s for request in measured if _is_success(request.outcome))
    refused = [finished for finished in measured if isinstance(finished.outcome, outcomes.NotRun)]
    total = max(1, len(run.finished))
    hedges = run.counts.retries["hedged"]
    probes = run.counts.events["probe"]
    capacity_per_s = deployment.total_slots / endpoints.mean_service_time_s(arrivals.REQUEST_SIGMA)
    capacity = capacity_per_s * (scenario.duration_s - since_s)
    return Figures(
        deployment=deployment.name,
        scenario=scenario.name,
        policy=policy,
        seed=seed,
        calls=len(measured),
        p50_ms=_percentile_ms(latencies_s, 0.5),
        p99_ms=_percentile_ms(latencies_s, 0.99),
        p999_ms=_percentile_ms(latencies_s, 0.999),
        worst_refusal_ms=round(
            max((finished.latency_s for finished in refused), default=0.0) * 1e3, 2
        ),
        goodput_share=round(len(latencies_s) / capacity, 4),
        answered_share=round(len(latencies_s) / max(1, len(measured)), 4),
        refusals=_refusals(measured),
        unknowns={str(reason): count for reason, count in run.counts.unknowns.items()},
        retries_per_call=round((run.counts.retries.total() - hedges) / total, 4),
        hedges_per_call=round(hedges / total, 4),
        probes_per_call=round(probes / total, 4),
        probes_per_endpoint_minute=round(
            probes / len(deployment.endpoints) / scenario.duration_s * 60, 3
        ),
        cross_region_bytes_per_s=round(run.cross_region_bytes / scenario.duration_s),
        first_upstream_share=round(run.attempts[0] / max(1, sum(run.attempts)), 4),
    )


def _refusals(finished: typing.Iterable[runs.FinishedRequest]) -> dict[str, int]:
    request_outcomes = (request.outcome for request in finished)
    return dict(
        collections.Counter(
            str(o.reason) for o in request_outcomes if isinstance(o, outcomes.NotRun)
        )
    )


def _is_success(outcome: outcomes.Outcome) -> bool:
    return isinstance(outcome, outcomes.Ran) and outcome.answer.status < 500


def _percentile_ms(ordered: list[float], share: float) -> float:
    if not ordered:
        return math.nan
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1e3, 2)
