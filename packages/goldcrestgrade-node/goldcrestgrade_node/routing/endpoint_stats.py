"""Statistics that a node keeps of each endpoint to which it may send requests."""

from __future__ import annotations

import dataclasses

from goldcrestgrade import instants, records

LATENCY_EWMA_WEIGHT = 0.1
"""Weight of a new sample in the moving average of the latency."""

MAX_LATENCY_AGE_S = 5.0
"""Age at which the measured latency of an endpoint is no longer used."""

LOAD_EWMA_WEIGHT = 0.2
"""Weight of a new report in the moving average of the load from other nodes."""

MAX_REPORT_AGE_S = 1.0
"""Age at which a load report is no longer used."""

SHED_BACKOFF_S = 0.1
"""Time for which an endpoint that shed an attempt is treated as full."""

QUEUEING_FACTOR = 1.25
"""Factor on the unloaded latency above which requests are assumed to wait for a slot."""

FAILURE_FACTOR = 10.0
"""Factor on the median latency: a failed attempt counts as at least this slow."""

FAILURE_LATENCY_S = 1.0
"""Least latency that a failed attempt counts as while no median latency is known."""

SLOW_START_S = 3.0
"""Time over which a new or readmitted endpoint grows to its full share of requests."""

SLOW_START_MIN_SHARE = 0.1
"""Part of its full share of requests that an endpoint starts with."""


@dataclasses.dataclass(slots=True)
class EndpointStats:
    """Address and statistics of one endpoint; owned by the node's event loop."""

    node_id: str
    region: str
    failure_domain: str
    host: str
    port: int
    control_url: str
    slots: int
    incarnation: int = 0
    """Incarnation of the endpoint's node."""
    in_flight: int = 0
    """In-flight attempts of this node."""
    latency_s: float = 0.0
    """Moving average of the latencies of this node's attempts; 0 before the first."""
    latency_at: instants.Instant = 0.0
    """When the latest sample of `latency_s` was taken."""
    others_load: float = 0.0
    """Moving average of other nodes' in-flight requests, from the endpoint's load reports."""
    reported_at: instants.Instant = 0.0
    shed_until: instants.Instant = 0.0
    """Until when the endpoint is treated as full because it shed an attempt."""
    consecutive_failures: int = 0
    ejections: int = 0
    """Ejections since the endpoint last succeeded after a full slow start."""
    ejected_until: instants.Instant = 0.0
    on_trial: bool = False
    """Whether the endpoint gets only one attempt at a time, after an ejection."""
    started_at: instants.Instant = -SLOW_START_S
    """When the slow start of the endpoint began."""


def from_record(record: records.NodeRecord, endpoint: records.EndpointDocument) -> EndpointStats:
    """Return the initial statistics of an endpoint, before any attempt."""
    return EndpointStats(
        node_id=record["node_id"],
        region=record["region"],
        failure_domain=record["failure_domain"],
        host=endpoint["host"],
        port=endpoint["port"],
        control_url=records.control_url(record),
        slots=endpoint["slots"],
        incarnation=record["incarnation"],
    )


def estimated_in_flight(stats: EndpointStats, now: instants.Instant) -> float:
    """Return the estimated number of the endpoint's in-flight requests, from all nodes."""
    weight = 1.0 - (now - stats.reported_at) / MAX_REPORT_AGE_S
    return stats.in_flight + (weight * stats.others_load if weight > 0.0 else 0.0)


def expected_latency_s(stats: EndpointStats, median_s: float, now: instants.Instant) -> float:
    """Return the expected latency of an attempt; it approaches `median_s` as the samples age."""
    weight = 1.0 - (now - stats.latency_at) / MAX_LATENCY_AGE_S
    if not stats.latency_s or weight <= 0.0:
        return median_s
    return median_s + weight * (stats.latency_s - median_s)


def is_queueing(stats: EndpointStats, unloaded_s: float, now: instants.Instant) -> bool:
    """Return whether recent latencies show that requests wait for a slot."""
    fresh = now - stats.latency_at < MAX_REPORT_AGE_S
    return fresh and stats.latency_s > QUEUEING_FACTOR * unloaded_s


def slow_start_share(stats: EndpointStats, now: instants.Instant) -> float:
    """Return the part of its full share of requests that the endpoint may get now."""
    share = (now - stats.started_at) / SLOW_START_S
    return min(1.0, max(SLOW_START_MIN_SHARE, share))


def record_load(stats: EndpointStats, reported: int, now: instants.Instant) -> None:
    """Record the load that the endpoint reported with an answer to this node."""
    others = max(0, reported - stats.in_flight)
    stats.others_load += LOAD_EWMA_WEIGHT * (others - stats.others_load)
    stats.reported_at = now


def record_latency(
    stats: EndpointStats, sample_s: float, median_s: float, now: instants.Instant
) -> None:
    """Record the latency of one attempt."""
    if not stats.latency_s or now - stats.latency_at >= MAX_LATENCY_AGE_S:
        stats.latency_s = median_s or sample_s
    stats.latency_s += LATENCY_EWMA_WEIGHT * (sample_s - stats.latency_s)
    stats.latency_at = now


def record_failure(
    stats: EndpointStats, latency_s: float, median_s: float, now: instants.Instant
) -> None:
    """Record a failed attempt as a slow one, however fast it failed."""
    counted_s = FAILURE_FACTOR * median_s or FAILURE_LATENCY_S
    stats.consecutive_failures += 1
    record_latency(stats, max(latency_s, counted_s), median_s, now)
