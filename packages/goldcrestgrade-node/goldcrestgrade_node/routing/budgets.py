"""Budgets that bound retries, hedges and traffic between regions."""

from __future__ import annotations

from goldcrestgrade import instants


class ShareBudget:
    """Token bucket that each request fills by a fixed share; owned by the node's event loop."""

    def __init__(self, share: float, burst: float, tokens: float) -> None:
        self.share = share
        self.burst = burst
        self.tokens = tokens

    def deposit(self) -> None:
        """Add the share of one request, up to `burst` tokens in total."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def try_spend(self) -> bool:
        """Spend one token and return true, or return false if there is less than one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RateBudget:
    """Token bucket that fills at a constant rate; owned by the node's event loop."""

    def __init__(self, per_s: float, burst_s: float) -> None:
        self.per_s = per_s
        self.burst_s = burst_s
        """Largest balance, in seconds of the rate."""
        self.tokens = per_s * burst_s
        self.updated_at: instants.Instant = 0.0

    def allows(self, amount: float, now: instants.Instant) -> bool:
        """Return whether `amount` may be spent at `now`."""
        accrued = self.tokens + (now - self.updated_at) * self.per_s
        self.tokens = min(self.per_s * self.burst_s, accrued)
        self.updated_at = now
        return self.tokens >= amount

    def spend(self, amount: float) -> None:
        """Spend `amount`; the balance may become negative by costs that were not foreseen."""
        self.tokens -= amount

    def set_rate(self, per_s: float) -> None:
        """Change the rate, and reduce the balance to the new maximum if it is above."""
        self.per_s = per_s
        self.tokens = min(self.tokens, per_s * self.burst_s)
