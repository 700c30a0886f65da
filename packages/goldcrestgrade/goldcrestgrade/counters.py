"""Counters of one process as plain integers, cheap enough to update in each request."""

from __future__ import annotations

import bisect
import collections

LATENCY_BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""Upper bounds of the buckets of the latency histogram, in seconds."""


OTHER_WORKSPACES = "other"
"""Label under which workspaces without counters of their own are counted."""


class Counts:
    """The counters of one process, by name and reason."""

    def __init__(self) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.unknowns: collections.Counter[str] = collections.Counter()
        self.broken_attempts: collections.Counter[str] = collections.Counter()
        self.retries: collections.Counter[str] = collections.Counter()
        self.events: collections.Counter[str] = collections.Counter()
        self.quota_charges: collections.Counter[str] = collections.Counter()
        """Requests charged to the quota of their workspace, by workspace."""
        self.quota_refusals: collections.Counter[str] = collections.Counter()
        """Requests refused for the quota of their workspace, by workspace."""
        self.in_flight = 0
        self.store_era = 0
        """Latest era of the store that this process has seen."""
        self.configuration_version = 0
        """Version of the configuration in force; 0 if there is none."""
        self.evacuated: frozenset[str] = frozenset()
        """Failure domains that are evacuated."""
        self.unreachable: frozenset[str] = frozenset()
        """Failure domains that do not respond to this node."""
        self.latency_buckets = [0] * (len(LATENCY_BOUNDS_S) + 1)
        """Requests by latency: one count for each bound, and one for those above the last."""
        self.latency_sum_s = 0.0

    def record_latency(self, latency_s: float) -> None:
        """Count a request with a latency of `latency_s` seconds."""
        self.latency_buckets[bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1
        self.latency_sum_s += latency_s
