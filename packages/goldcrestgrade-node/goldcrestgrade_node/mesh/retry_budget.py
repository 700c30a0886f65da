"""Budget of arrivals at endpoints beyond the first of each request.

Load pattern: an endpoint that fails or sheds makes every node send again at once. All nodes
together must stay within a share of the requests plus a fixed amount in each window; each takes its
part.
"""

from __future__ import annotations

import typing

from goldcrestgrade import instants

USED_SHARE = 0.5
"""Part of the allowed arrivals that is used, so that uneven load and late counts fit in."""


class Terms(typing.NamedTuple):
    """What all nodes together may send again to one service."""

    ratio: float
    """Arrivals beyond the first for each request."""
    slack: float
    """Further arrivals in each window."""
    window_s: float


class RetryBudget:
    """This node's part of the budget of one service; owned by the event loop of the node."""

    def __init__(self, terms: Terms, nodes: int, now: instants.Instant) -> None:
        self.terms = terms
        self.nodes = nodes
        self.tokens = min(1.0, USED_SHARE * terms.slack / nodes)
        self.updated_at = now

    def record_request(self, now: instants.Instant) -> None:
        """Earn the share of one request."""
        self._accrue(now)
        self.tokens = min(self.tokens + USED_SHARE * self.terms.ratio, self._max_tokens())

    def try_acquire(self, now: instants.Instant) -> bool:
        """Spend one arrival and return true, or return false where there is none left."""
        self._accrue(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _accrue(self, now: instants.Instant) -> None:
        per_s = USED_SHARE * self.terms.slack / self.nodes / self.terms.window_s
        self.tokens = min(self._max_tokens(), self.tokens + per_s * (now - self.updated_at))
        self.updated_at = now

    def _max_tokens(self) -> float:
        return max(1.0, USED_SHARE * self.terms.slack / self.nodes)
