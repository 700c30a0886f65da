"""Ejection of endpoints that fail or are much slower than the others, and their readmission."""

from __future__ import annotations

from goldcrestgrade import backoffs, instants
from goldcrestgrade_node.routing import endpoint_stats, views

MAX_EJECTED_SHARE = 0.5
"""Largest ejected share of a service's endpoints after an ejection for failures or slowness."""

MAX_UNREACHABLE_SHARE = 0.75
"""Largest ejected share of a service's endpoints after an ejection for being unreachable."""

EJECTION_FAILURES = 3
"""Consecutive failures that eject an endpoint."""

STRAGGLER_FACTOR = 2.5
"""Factor on the median latency above which an endpoint is ejected as a straggler."""

BASE_EJECTION_S = 2.0
"""Duration of a first ejection; it doubles with each further one."""

MAX_EJECTION_S = 30.0
"""Longest duration of an ejection."""


def record_unreachable(
    view: views.ServiceView, endpoint: endpoint_stats.EndpointStats, now: instants.Instant
) -> None:
    """Eject an endpoint that could not be connected to."""
    _eject(view, endpoint, MAX_UNREACHABLE_SHARE, now)


def record_failure(
    view: views.ServiceView, endpoint: endpoint_stats.EndpointStats, now: instants.Instant
) -> None:
    """Eject an endpoint after `EJECTION_FAILURES` consecutive failures, or one while on trial."""
    if endpoint.on_trial or endpoint.consecutive_failures >= EJECTION_FAILURES:
        _eject(view, endpoint, MAX_EJECTED_SHARE, now)


def record_latency(
    view: views.ServiceView,
    endpoint: endpoint_stats.EndpointStats,
    sample_s: float,
    now: instants.Instant,
) -> None:
    """Eject a straggler; an endpoint on trial is ejected for a single slow sample."""
    median_s = view.median_latency_s(now)
    compared_s = sample_s if endpoint.on_trial else endpoint.latency_s
    if median_s and compared_s > STRAGGLER_FACTOR * median_s:
        _eject(view, endpoint, MAX_EJECTED_SHARE, now)


def record_success(endpoint: endpoint_stats.EndpointStats, now: instants.Instant) -> None:
    """End the trial of an endpoint that answered.

    A success after a full slow start also resets the count that doubles the ejection's duration.
    """
    endpoint.consecutive_failures = 0
    if endpoint.on_trial:
        endpoint.on_trial = False
        endpoint.started_at = now
    elif now - endpoint.started_at >= endpoint_stats.SLOW_START_S:
        endpoint.ejections = 0


def readmit_due(view: views.ServiceView, now: instants.Instant) -> None:
    """Readmit the endpoints whose ejection has ended, on trial."""
    if now < view.next_readmission_at:
        return
    for endpoint in view.ejected:
        if endpoint.ejected_until <= now:
            endpoint.ejected_until = 0.0
            endpoint.on_trial = True
            endpoint.latency_s = 0.0
            endpoint.consecutive_failures = 0
    view.ejected = [endpoint for endpoint in view.ejected if endpoint.ejected_until]
    view.reindex()


def _eject(
    view: views.ServiceView,
    endpoint: endpoint_stats.EndpointStats,
    limit_share: float,
    now: instants.Instant,
) -> None:
    if endpoint.ejected_until or len(view.ejected) + 1 > limit_share * len(view.endpoints):
        return
    ejection_s = backoffs.exponential_s(endpoint.ejections + 1, BASE_EJECTION_S, MAX_EJECTION_S)
    endpoint.ejections += 1
    endpoint.ejected_until = now + ejection_s
    endpoint.on_trial = False
    view.ejected.append(endpoint)
    view.reindex()
