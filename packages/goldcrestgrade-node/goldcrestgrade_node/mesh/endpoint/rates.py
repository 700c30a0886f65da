"""Rate limit of the own endpoint, as a token bucket.

Load pattern: an endpoint in need names a rate far below that of the requests for it. All of its
requests pass through its node, so one bucket there holds the limit for all nodes together.
"""

from __future__ import annotations

from goldcrestgrade import instants

BURST_S = 0.5
"""Time for which an unused part of the rate is kept, for requests that arrive together."""

MIN_RATE = 0.5
"""Lowest rate that is used; the answers to these requests show when a limit has ended."""

ROUNDING = 1e-9
"""Part of a token that may be missing because of rounding."""


class RateLimiter:
    """Tokens for the requests that may start; owned by the event loop of the node."""

    def __init__(self, clocks: instants.Clocks) -> None:
        self.clocks = clocks
        self.rate: float | None = None
        """Requests a second; none if there is no limit."""
        self.tokens = 0.0
        self.updated_at: instants.Instant = 0.0
        self.burst_s = BURST_S
        """Time for which an unused part of the rate is kept."""

    def set_rate(self, rate: float | None) -> bool:
        """Set the rate in requests a second, and return whether it has changed.

        A limit that begins has no unused part.
        """
        if rate is not None:
            rate = max(MIN_RATE, rate)
        if rate == self.rate:
            return False
        if self.rate is None or rate is None:
            self.tokens, self.updated_at = 0.0, self.clocks.monotonic()
        else:
            self._accrue()
        self.rate = rate
        return True

    def wait_s(self, ahead: int = 0) -> float:
        """Return the seconds until a request may start behind `ahead` others."""
        if self.rate is None:
            return 0.0
        self._accrue()
        missing = ahead + 1 - self.tokens
        return 0.0 if missing <= ROUNDING else missing / self.rate

    def acquire(self) -> None:
        """Count a request that starts."""
        if self.rate is not None:
            self._accrue()
            self.tokens -= 1

    def release(self) -> None:
        """Return the token of a request that was not sent."""
        if self.rate is not None:
            self._accrue()
            self.tokens = min(self.capacity(), self.tokens + 1)

    def capacity(self) -> float:
        """Return the largest number of tokens."""
        return max(1.0, self.burst_s * (self.rate or 0.0))

    def set_burst(self, burst_s: float) -> None:
        """Set the time for which an unused part of the rate is kept; tokens beyond it are lost."""
        if self.rate is not None:
            self._accrue()
        self.burst_s = burst_s
        self.tokens = min(self.capacity(), self.tokens)

    def set_tokens(self, tokens: float) -> None:
        """Set the number of tokens, below 0 for requests that started without one."""
        self.tokens, self.updated_at = tokens, self.clocks.monotonic()

    def _accrue(self) -> None:
        assert self.rate is not None
        now = self.clocks.monotonic()
        gained = (now - self.updated_at) * self.rate
        self.tokens = min(self.capacity(), self.tokens + gained)
        self.updated_at = now
