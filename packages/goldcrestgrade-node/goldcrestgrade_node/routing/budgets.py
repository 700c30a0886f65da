"""Budgets that bound retries, hedges and traffic between regions."""

from __future__ import annotations

from goldcrestgrade import instants


class ShareBudget:
    """Tokens that each call earns a share of; owned by the event loop of the node."""

    def __init__(self, share: float, burst: float, tokens: float) -> None:
        self.share = share
        self.burst = burst
        self.tokens = tokens

    def deposit(self) -> None:
        """Earn the share of one call."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def try_spend(self) -> bool:
        """Spend one token and return true, or return false where there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RateBudget:
    """Tokens that accrue with time; owned by the event loop of the node."""

    def __init__(self, per_s: float, burst_s: float) -> None:
        self.per_s = per_s
        self.burst_s = burst_s
        """Seconds of the rate that may be saved up."""
        self.tokens = per_s * burst_s
        self.updated_at: instants.Instant = 0.0

    def allows(self, amount: float, now: instants.Instant) -> bool:
        """Tell whether `amount` may be spent at `now`."""
        accrued = self.tokens + (now - self.updated_at) * self.per_s
        self.tokens = min(self.per_s * self.burst_s, accrued)
        self.updated_at = now
        return self.tokens >= amount

    def spend(self, amount: float) -> None:
        """Spend `amount`; the budget may go below zero by what was not foreseen."""
        self.tokens -= amount

    def set_rate(self, per_s: float) -> None:
        """Change the rate; what was saved up shrinks to the new limit."""
        self.per_s = per_s
        self.tokens = min(self.tokens, per_s * self.burst_s)
