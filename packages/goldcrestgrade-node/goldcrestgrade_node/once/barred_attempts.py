"""BarredAttempts: attempts that were refused for good and must not start when they arrive late."""

from __future__ import annotations

import heapq

from goldcrestgrade import instants, outcomes

MAX_BARRED = 20_000
"""Largest number of bars that one guard keeps."""

RETENTION_MARGIN_S = 2 * instants.MAX_CLOCK_SKEW_S
"""Time past the deadline of its attempt for which a bar is kept."""


class BarredAttempts:
    """The bars of one guard; owned by its event loop.

    Where there are too many, the bar with the earliest deadline goes, and from then on every
    unknown attempt with that deadline or an earlier one is refused in its place.
    """

    def __init__(self, limit: int = MAX_BARRED) -> None:
        self.limit = limit
        self.refusals: dict[str, outcomes.NotRun] = {}
        self.deadlines: list[tuple[instants.Instant, str]] = []
        self.barred_until: instants.Instant = float("-inf")
        """Latest deadline of a bar that went for want of space."""

    def add(
        self, attempt_id: str, deadline: instants.Instant, refusal: outcomes.NotRun
    ) -> outcomes.NotRun:
        """Bar an attempt and return the refusal that it gets from now on."""
        if attempt_id not in self.refusals:
            heapq.heappush(self.deadlines, (deadline + RETENTION_MARGIN_S, attempt_id))
            self.refusals[attempt_id] = refusal
        while len(self.refusals) > self.limit:
            until, evicted = heapq.heappop(self.deadlines)
            self.refusals.pop(evicted, None)
            self.barred_until = max(self.barred_until, until)
        return self.refusals.get(attempt_id, refusal)

    def refusal_of(self, attempt_id: str) -> outcomes.NotRun | None:
        """Return the refusal of a barred attempt."""
        return self.refusals.get(attempt_id)

    def may_have_evicted(self, deadline: instants.Instant) -> bool:
        """Tell whether an unknown attempt with `deadline` may have had a bar that is gone."""
        return deadline <= self.barred_until

    def expire(self, now: instants.Instant) -> None:
        """Drop the bars of attempts that cannot start any more."""
        while self.deadlines and self.deadlines[0][0] <= now:
            _, attempt_id = heapq.heappop(self.deadlines)
            self.refusals.pop(attempt_id, None)
