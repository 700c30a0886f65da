"""Barred attempts: they were refused for good and must not start if they arrive late."""

from __future__ import annotations

import heapq

from goldcrestgrade import instants, outcomes

MAX_BARRED = 20_000
"""Largest number of barred attempts that one guard keeps."""

RETENTION_MARGIN_S = 2 * instants.MAX_CLOCK_SKEW_S
"""Time for which a barred attempt is kept after its deadline."""


class BarredAttempts:
    """The barred attempts of one guard; owned by its event loop.

    Above the limit, the attempt with the earliest deadline is evicted. From then on, the guard
    refuses every unknown attempt with a deadline up to `barred_until`, as it may be an evicted one.
    """

    def __init__(self, limit: int = MAX_BARRED) -> None:
        self.limit = limit
        self.refusals: dict[str, outcomes.NotRun] = {}
        self.deadlines: list[tuple[instants.Instant, str]] = []
        self.barred_until: instants.Instant = float("-inf")
        """Latest time until which an evicted attempt would have been kept."""

    def add(
        self, attempt_id: str, deadline: instants.Instant, refusal: outcomes.NotRun
    ) -> outcomes.NotRun:
        """Bar an attempt and return its refusal; an already barred one keeps its first refusal."""
        if attempt_id not in self.refusals:
            heapq.heappush(self.deadlines, (deadline + RETENTION_MARGIN_S, attempt_id))
            self.refusals[attempt_id] = refusal
        while len(self.refusals) > self.limit:
            kept_until, evicted = heapq.heappop(self.deadlines)
            self.refusals.pop(evicted, None)
            self.barred_until = max(self.barred_until, kept_until)
        return self.refusals.get(attempt_id, refusal)

    def refusal_of(self, attempt_id: str) -> outcomes.NotRun | None:
        """Return the refusal of a barred attempt, or None for any other."""
        return self.refusals.get(attempt_id)

    def may_have_evicted(self, deadline: instants.Instant) -> bool:
        """Return whether an unknown attempt with `deadline` may have been barred and evicted."""
        return deadline <= self.barred_until

    def expire(self, now: instants.Instant) -> None:
        """Remove attempts whose retention has ended; they cannot start any more."""
        while self.deadlines and self.deadlines[0][0] <= now:
            _, attempt_id = heapq.heappop(self.deadlines)
            self.refusals.pop(attempt_id, None)
