"""The view of a service that routing decisions read: statistics and budgets."""

from __future__ import annotations

import collections
import math
import typing

from goldcrestgrade import instants, records
from goldcrestgrade_node.routing import budgets, endpoint_stats

MEDIAN_REFRESH_S = 0.1
"""Time after which the median latency is computed again."""

UNLOADED_RISE = 1.001
"""Factor by which the unloaded latency rises at each update of the median, to follow changes."""

LATENCY_WINDOW = 256
"""Number of latest latencies of a service from which the hedging delay is computed."""

HEDGE_DELAY_QUANTILE = 0.95
"""Share of requests that end before a hedge is sent."""

HEDGE_DELAY_SAMPLES = 32
"""Latencies recorded between two updates of the hedging delay, and before the first hedge."""

RETRY_SHARE = 0.06
"""Retries that each request adds to the retry budget."""

HEDGE_SHARE = 0.045
"""Hedges that each request adds to the hedge budget."""

RETRY_BURST = 12.0
"""Largest retry budget; enough for a node's in-flight requests at an endpoint that dies."""

HEDGE_BURST = 5.0
"""Largest hedge budget."""

CALL_BYTES = 4096.0
"""Assumed size of a request with its answer, before the first answer."""

CALL_BYTES_EWMA_WEIGHT = 0.05
"""Weight of a new request in the moving average of `ServiceView.call_bytes`."""

LINK_BYTES_PER_S = 30e6 / 8
"""Capacity of the link between two regions in each direction, in bytes per second."""

LINK_SHARE = 0.6
"""Share of the link's capacity that requests may use."""

LINK_BURST_S = 1.0
"""Largest link budget, in seconds of a node's share of the link."""


class Candidates(typing.NamedTuple):
    """The endpoints that are not ejected, by whether they are in the region of the entry node."""

    local: tuple[endpoint_stats.EndpointStats, ...]
    remote: tuple[endpoint_stats.EndpointStats, ...]


class ServiceView:
    """A node's statistics and budgets for one service; owned by the node's event loop."""

    def __init__(self, link: budgets.RateBudget) -> None:
        self.link = link
        self.endpoints: dict[str, endpoint_stats.EndpointStats] = {}
        self.ejected: list[endpoint_stats.EndpointStats] = []
        self.next_readmission_at: instants.Instant = instants.NEVER
        self.candidates_by_region: dict[str, Candidates] = {}
        self.median_s = 0.0
        self.unloaded_s = math.inf
        """Lowest recent median latency, used as the latency without load."""
        self.median_valid_until: instants.Instant = 0.0
        self.latencies: collections.deque[float] = collections.deque(maxlen=LATENCY_WINDOW)
        self.latencies_seen = 0
        self.hedge_delay_s = math.inf
        self.call_bytes = CALL_BYTES
        self.retry_budget = budgets.ShareBudget(RETRY_SHARE, RETRY_BURST, RETRY_BURST)
        self.hedge_budget = budgets.ShareBudget(HEDGE_SHARE, HEDGE_BURST, 0.0)

    def candidates(self, region: str) -> Candidates:
        """Return the endpoints that are not ejected, split by whether they are in `region`."""
        candidates = self.candidates_by_region.get(region)
        if candidates is None:
            in_use = [e for e in self.endpoints.values() if not e.ejected_until]
            candidates = Candidates(
                tuple(e for e in in_use if e.region == region),
                tuple(e for e in in_use if e.region != region),
            )
            self.candidates_by_region[region] = candidates
        return candidates

    def median_latency_s(self, now: instants.Instant) -> float:
        """Return the median of the endpoints' latencies, in seconds; 0 before the first answer."""
        if now >= self.median_valid_until:
            latencies_s = sorted(e.latency_s for e in self.endpoints.values() if e.latency_s)
            self.median_s = latencies_s[(len(latencies_s) - 1) // 2] if latencies_s else 0.0
            self.unloaded_s = min(self.unloaded_s * UNLOADED_RISE, self.median_s or math.inf)
            self.median_valid_until = now + MEDIAN_REFRESH_S
        return self.median_s

    def record_latency(self, latency_s: float) -> None:
        """Record the latency of a request that was answered without failure."""
        self.latencies.append(latency_s)
        self.latencies_seen += 1
        if self.latencies_seen % HEDGE_DELAY_SAMPLES == 0:
            ordered = sorted(self.latencies)
            self.hedge_delay_s = ordered[int(HEDGE_DELAY_QUANTILE * len(ordered))]

    def record_bytes(self, size: int) -> None:
        """Record the bytes of a request and its answer."""
        self.call_bytes += CALL_BYTES_EWMA_WEIGHT * (size - self.call_bytes)

    def update(self, live: typing.Sequence[records.NodeRecord], now: instants.Instant) -> None:
        """Set the endpoints to those of nodes in `live`; unchanged ones keep their statistics."""
        previous = self.endpoints
        self.endpoints = {
            record["node_id"]: _refreshed(
                previous.get(record["node_id"]), record, record["endpoint"]
            )
            for record in live
            if record["endpoint"] is not None
        }
        if previous:
            for node_id in self.endpoints.keys() - previous.keys():
                self.endpoints[node_id].started_at = now
        self.ejected = [e for e in self.endpoints.values() if e.ejected_until]
        self.reindex()

    def reindex(self) -> None:
        """Update what is derived from the set of ejected endpoints."""
        self.candidates_by_region.clear()
        self.next_readmission_at = min(
            (e.ejected_until for e in self.ejected), default=instants.NEVER
        )


class Views:
    """A node's view of each service; owned by the node's event loop."""

    def __init__(self, now: typing.Callable[[], instants.Instant]) -> None:
        self.now = now
        self.by_service: dict[str, ServiceView] = {}
        self.link = budgets.RateBudget(LINK_SHARE * LINK_BYTES_PER_S, LINK_BURST_S)

    def share_link(self, nodes: int) -> None:
        """Set this node's share of the link, which `nodes` nodes of its region share equally."""
        self.link.set_rate(LINK_SHARE * LINK_BYTES_PER_S / max(1, nodes))

    def update(self, service: str, live: typing.Sequence[records.NodeRecord]) -> None:
        """Update the view of `service` from the records of its live nodes."""
        self.of(service).update(live, self.now())

    def of(self, service: str) -> ServiceView:
        """Return the view of `service`, a new one if there is none."""
        view = self.by_service.get(service)
        if view is None:
            view = self.by_service[service] = ServiceView(self.link)
        return view


def _refreshed(
    previous: endpoint_stats.EndpointStats | None,
    record: records.NodeRecord,
    endpoint: records.EndpointDocument,
) -> endpoint_stats.EndpointStats:
    if previous is None or (previous.host, previous.port) != (endpoint["host"], endpoint["port"]):
        return endpoint_stats.from_record(record, endpoint)
    if previous.incarnation != record["incarnation"]:
        return endpoint_stats.from_record(record, endpoint)
    previous.slots = endpoint["slots"]
    return previous
