"""What a node has seen of each endpoint that it may call."""

from __future__ import annotations

import dataclasses
import typing

from goldcrestgrade import instants, records

LATENCY_DECAY = 0.2
"""Weight of a new latency in the moving mean."""

FAILURE_LATENCY_S = 1.0
"""Latency that a failed attempt counts as."""

EJECTION_FAILURES = 3
"""Consecutive failures that eject an endpoint."""

EJECTION_S = 2.0
"""Time for which an endpoint is ejected."""


@dataclasses.dataclass(slots=True)
class Evidence:
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
    reported_load: int = 0
    reported_at: instants.Instant = 0.0
    consecutive_failures: int = 0
    ejected_until: instants.Instant = 0.0


def from_record(record: records.NodeRecord, endpoint: records.EndpointDocument) -> Evidence:
    """Return evidence of an endpoint that no attempt has reached yet."""
    return Evidence(
        node_id=record["node_id"],
        region=record["region"],
        failure_domain=record["failure_domain"],
        host=endpoint["host"],
        port=endpoint["port"],
        control_url=records.control_url(record),
        slots=endpoint["slots"],
        incarnation=record["incarnation"],
    )


def note_start(evidence: Evidence) -> None:
    """Count an attempt that begins."""
    evidence.in_flight += 1


def note_end(
    evidence: Evidence, latency_s: float, failed: bool, load: int | None, now: instants.Instant
) -> None:
    """Take in an attempt that ended, and the load that the endpoint reported with it."""
    evidence.in_flight -= 1
    counted_s = max(latency_s, FAILURE_LATENCY_S) if failed else latency_s
    evidence.latency_s += LATENCY_DECAY * (counted_s - evidence.latency_s)
    evidence.consecutive_failures = evidence.consecutive_failures + 1 if failed else 0
    if evidence.consecutive_failures >= EJECTION_FAILURES:
        evidence.ejected_until = now + EJECTION_S
    if load is not None:
        evidence.reported_load = load
        evidence.reported_at = now


class Evidences:
    """The evidence of a node by service; owned by the event loop of the node."""

    def __init__(self) -> None:
        self.by_service: dict[str, dict[str, Evidence]] = {}

    def update(self, service: str, live: typing.Sequence[records.NodeRecord]) -> None:
        """Keep evidence of exactly the nodes in `live`, all of which have an endpoint."""
        known = self.by_service.get(service, {})
        self.by_service[service] = {
            record["node_id"]: _refreshed(known.get(record["node_id"]), record, record["endpoint"])
            for record in live
            if record["endpoint"] is not None
        }

    def of(self, service: str) -> dict[str, Evidence]:
        """Return the evidence of the service's endpoints by node id."""
        return self.by_service.get(service, {})


def _refreshed(
    known: Evidence | None, record: records.NodeRecord, endpoint: records.EndpointDocument
) -> Evidence:
    if known is None or (known.host, known.port) != (endpoint["host"], endpoint["port"]):
        return from_record(record, endpoint)
    known.slots = endpoint["slots"]
    known.incarnation = record["incarnation"]
    return known
