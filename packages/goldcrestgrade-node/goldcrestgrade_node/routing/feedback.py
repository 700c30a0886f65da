"""Updates of an endpoint's statistics when an attempt starts and ends."""

from __future__ import annotations

import typing

from goldcrestgrade import instants, outcomes, reasons
from goldcrestgrade_node.attempts import results, retries
from goldcrestgrade_node.routing import choice, ejection, endpoint_stats, views

OVERHEAD_BYTES = 600
"""Assumed size of the headers of a request and its answer together."""

CANCELLED_LIMIT_FACTOR = 3.0
"""Factor on the median latency: a cancelled attempt counts as at most this slow."""


class Started(typing.NamedTuple):
    """When an attempt began, and the bytes charged to the link budget for it."""

    at: instants.Instant
    link_bytes: float
    """Bytes charged in advance for crossing to another region; 0 within the region."""


def start(
    view: views.ServiceView,
    endpoint: endpoint_stats.EndpointStats,
    origin: choice.Locality,
    now: instants.Instant,
) -> Started:
    """Count an attempt that begins, and charge the link budget if it leaves the region."""
    endpoint.in_flight += 1
    link_bytes = view.call_bytes if endpoint.region != origin.region else 0.0
    view.link.spend(link_bytes)
    return Started(now, link_bytes)


def finish(
    view: views.ServiceView,
    endpoint: endpoint_stats.EndpointStats,
    started: Started,
    result: results.AttemptResult,
    now: instants.Instant,
) -> None:
    """Record how an attempt ended."""
    endpoint.in_flight -= 1
    reported = retries.reported_load(result)
    if reported is not None:
        endpoint_stats.record_load(endpoint, reported, now)
    match result:
        case results.Answered(answer=answer):
            _record_bytes(view, started, len(answer.body) + OVERHEAD_BYTES)
            if retries.is_failure(result):
                _record_failure(view, endpoint, started, now)
            else:
                _record_latency(view, endpoint, started, now)
                ejection.record_success(endpoint, now)
        case results.Shed():
            endpoint.shed_until = now + endpoint_stats.SHED_BACKOFF_S
        case results.Unreachable():
            _record_failure(view, endpoint, started, now)
            ejection.record_unreachable(view, endpoint, now)
        case results.Broken():
            _record_failure(view, endpoint, started, now)


def finish_run_once(
    view: views.ServiceView,
    endpoint: endpoint_stats.EndpointStats,
    started: Started,
    outcome: outcomes.Outcome,
    now: instants.Instant,
) -> None:
    """Record how the guard of an endpoint ended a request.

    A refusal by a guard that could be reached says nothing about the endpoint.
    """
    endpoint.in_flight -= 1
    match outcome:
        case outcomes.Ran():
            ejection.record_success(endpoint, now)
        case outcomes.NotRun(reason=reasons.Refusal.GUARD_UNREACHED):
            _record_failure(view, endpoint, started, now)
            ejection.record_unreachable(view, endpoint, now)
        case outcomes.Unknown():
            _record_failure(view, endpoint, started, now)


def cancel(
    view: views.ServiceView,
    endpoint: endpoint_stats.EndpointStats,
    started: Started,
    now: instants.Instant,
) -> None:
    """Record a cancelled attempt; it can only show that its endpoint is slower than expected."""
    endpoint.in_flight -= 1
    median_s = view.median_latency_s(now)
    sample_s = min(now - started.at, CANCELLED_LIMIT_FACTOR * median_s)
    if sample_s > endpoint_stats.expected_latency_s(endpoint, median_s, now):
        endpoint_stats.record_latency(endpoint, sample_s, median_s, now)
        ejection.record_latency(view, endpoint, sample_s, now)


def _record_latency(
    view: views.ServiceView,
    endpoint: endpoint_stats.EndpointStats,
    started: Started,
    now: instants.Instant,
) -> None:
    sample_s = now - started.at
    endpoint_stats.record_latency(endpoint, sample_s, view.median_latency_s(now), now)
    ejection.record_latency(view, endpoint, sample_s, now)


def _record_failure(
    view: views.ServiceView,
    endpoint: endpoint_stats.EndpointStats,
    started: Started,
    now: instants.Instant,
) -> None:
    endpoint_stats.record_failure(endpoint, now - started.at, view.median_latency_s(now), now)
    ejection.record_failure(view, endpoint, now)


def _record_bytes(view: views.ServiceView, started: Started, size: int) -> None:
    view.record_bytes(size)
    if started.link_bytes:
        view.link.spend(size - started.link_bytes)
