"""What a node has seen of each endpoint that it may call."""

from __future__ import annotations

import dataclasses

from goldcrestgrade import instants, records

LATENCY_EWMA_WEIGHT = 0.1
"""Weight of a new sample in the moving mean of the latency."""

MAX_LATENCY_AGE_S = 5.0
"""Age at which the latency seen of an endpoint counts for nothing."""

LOAD_EWMA_WEIGHT = 0.2
"""Weight of a new report in the moving mean of the load by other nodes."""

MAX_REPORT_AGE_S = 1.0
"""Age at which a load report counts for nothing."""

SHED_BACKOFF_S = 0.1
"""Time for which an endpoint that shed an attempt counts as full."""

QUEUEING_FACTOR = 1.25
"""Factor on the latency without load above which requests wait for a slot."""

FAILURE_FACTOR = 10.0
"""Factor on the typical latency that a failed attempt counts as, at least."""

FAILURE_LATENCY_S = 1.0
"""Latency that a failed attempt counts as while no typical latency is known."""

SLOW_START_S = 3.0
"""Time in which an endpoint that is new or came back grows to its full share."""

SLOW_START_MIN_SHARE = 0.1
"""Share that an endpoint starts with."""


@dataclasses.dataclass(slots=True)
class EndpointStats:
    """What a node has seen of one endpoint; owned by the event loop of the node."""

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
    """Attempts of this node that have not ended."""
    latency_s: float = 0.0
    """Moving mean of the latencies of this node's attempts; 0 before the first."""
    latency_at: instants.Instant = 0.0
    """When the latest sample of `latency_s` was taken."""
    others_load: float = 0.0
    """Moving mean of the requests that other nodes have in flight, by the endpoint's reports."""
    reported_at: instants.Instant = 0.0
    shed_until: instants.Instant = 0.0
    """Until when the endpoint counts as full since it shed an attempt."""
    consecutive_failures: int = 0
    ejections: int = 0
    """Ejections since the endpoint last did well."""
    ejected_until: instants.Instant = 0.0
    on_trial: bool = False
    """Whether the endpoint takes one attempt only, after an ejection."""
    started_at: instants.Instant = -SLOW_START_S
    """When the slow start of the endpoint began."""


def from_record(record: records.NodeRecord, endpoint: records.EndpointDocument) -> EndpointStats:
    """Return evidence of an endpoint that no attempt has reached yet."""
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
    """Return the estimated number of requests that the endpoint has in flight."""
    weight = 1.0 - (now - stats.reported_at) / MAX_REPORT_AGE_S
    return stats.in_flight + (weight * stats.others_load if weight > 0.0 else 0.0)


def expected_latency_s(stats: EndpointStats, median_s: float, now: instants.Instant) -> float:
    """Return the expected latency of an attempt; old evidence gives way to `median_s`."""
    weight = 1.0 - (now - stats.latency_at) / MAX_LATENCY_AGE_S
    if not stats.latency_s or weight <= 0.0:
        return median_s
    return median_s + weight * (stats.latency_s - median_s)


def is_queueing(stats: EndpointStats, unloaded_s: float, now: instants.Instant) -> bool:
    """Tell whether the latencies seen show that requests wait for a slot."""
    fresh = now - stats.latency_at < MAX_REPORT_AGE_S
    return fresh and stats.latency_s > QUEUEING_FACTOR * unloaded_s


def slow_start_share(stats: EndpointStats, now: instants.Instant) -> float:
    """Return the share of its load that the endpoint may take now."""
    share = (now - stats.started_at) / SLOW_START_S
    return min(1.0, max(SLOW_START_MIN_SHARE, share))


def record_load(stats: EndpointStats, reported: int, now: instants.Instant) -> None:
    """Take in the load that the endpoint reported with an answer to this node."""
    others = max(0, reported - stats.in_flight)
    stats.others_load += LOAD_EWMA_WEIGHT * (others - stats.others_load)
    stats.reported_at = now


def record_latency(
    stats: EndpointStats, sample_s: float, median_s: float, now: instants.Instant
) -> None:
    """Take in the latency of one attempt."""
    if not stats.latency_s or now - stats.latency_at >= MAX_LATENCY_AGE_S:
        stats.latency_s = median_s or sample_s
    stats.latency_s += LATENCY_EWMA_WEIGHT * (sample_s - stats.latency_s)
    stats.latency_at = now


def record_failure(
    stats: EndpointStats, latency_s: float, median_s: float, now: instants.Instant
) -> None:
    """Take in a failed attempt as a slow one, however fast it was."""
    counted_s = FAILURE_FACTOR * median_s or FAILURE_LATENCY_S
    stats.consecutive_failures += 1
    record_latency(stats, max(latency_s, counted_s), median_s, now)
