"""The limits on the rate at which requests start at the own endpoint; the lowest one applies."""

from __future__ import annotations

from goldcrestgrade import instants, reasons
from goldcrestgrade_node.mesh.endpoint import coldness, rates


class StartLimits:
    """The rate limit that the endpoint names, and its warm-up; owned by the node's event loop."""

    def __init__(self, clocks: instants.Clocks) -> None:
        self.named = rates.RateLimiter(clocks)
        self.coldness = coldness.Coldness(clocks)

    def set_rate(self, rate: float | None) -> bool:
        """Set the rate that the endpoint names, and return whether it has changed."""
        return self.named.set_rate(rate)

    def lowest(self) -> float | None:
        """Return the rate in requests a second that applies now; none if there is none."""
        if self.named.rate is None and self.coldness.terms is None:
            return None
        applied = [r for r in (self.named.rate, self.coldness.limit()) if r is not None]
        return min(applied, default=None)

    def wait_s(self, ahead: int = 0) -> float:
        """Return the seconds until a request may start behind `ahead` others."""
        if self.named.rate is None and self.coldness.terms is None:
            return 0.0
        return max(self.named.wait_s(ahead), self.coldness.wait_s(ahead))

    def acquire(self) -> None:
        """Count a request that starts."""
        self.named.acquire()
        self.coldness.acquire()

    def reason(self) -> reasons.Refusal:
        """Return the reason of a rejection by the limit that applies."""
        if self.named.rate is None or self.coldness.wait_s() > self.named.wait_s():
            return reasons.Refusal.WARMING_UP
        return reasons.Refusal.RATE_LIMITED
