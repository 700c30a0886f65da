"""A byte budget that refills at a steady rate."""

from __future__ import annotations

import typing

from goldcrestgrade import instants


class TokenBucket:
    """A token bucket that may go into debt."""

    def __init__(
        self, rate_per_s: float, burst: float, clock: typing.Callable[[], instants.Instant]
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.clock = clock
        self.tokens = burst
        self.refilled_at = clock()

    def spend(self, amount: float) -> None:
        """Take `amount` out of the budget."""
        self._refill()
        self.tokens -= amount

    def in_credit(self) -> bool:
        """Tell whether more may be spent."""
        self._refill()
        return self.tokens > 0

    def _refill(self) -> None:
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + self.rate_per_s * (now - self.refilled_at))
        self.refilled_at = now
