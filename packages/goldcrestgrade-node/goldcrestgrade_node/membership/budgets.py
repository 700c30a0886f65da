"""Token bucket that limits the bytes a node pushes to its peers."""

from __future__ import annotations

import typing

from goldcrestgrade import instants


class TokenBucket:
    """A token bucket whose balance may become negative."""

    def __init__(
        self, rate_per_s: float, burst: float, clock: typing.Callable[[], instants.Instant]
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.clock = clock
        self.tokens = burst
        self.refilled_at = clock()

    def spend(self, amount: float) -> None:
        """Subtract `amount` tokens, even if fewer are left."""
        self._refill()
        self.tokens -= amount

    def in_credit(self) -> bool:
        """Return whether the balance is positive."""
        self._refill()
        return self.tokens > 0

    def _refill(self) -> None:
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + self.rate_per_s * (now - self.refilled_at))
        self.refilled_at = now
