"""Retry budget: a limit on the attempts that reach an endpoint beyond the first of each request.

Load pattern: an endpoint that fails or sheds requests makes every node retry at once. All nodes
together must stay within a share of the requests plus a fixed number of retries in each window;
each node uses its part of that budget.
"""

from __future__ import annotations

import typing

from goldcrestgrade import instants

RATIO_SHARE = 0.75
"""Share of the retries that requests earn which is used.

The rest is a margin for calls of repeated requests, which count as retries at the service called.
"""

SLACK_SHARE = 0.5
"""Share of the further retries that is used.

A window may hold those that nodes have saved before it, and as many again that they get in it.
"""


class Terms(typing.NamedTuple):
    """Budget of all nodes together for one service."""

    ratio: float
    """Retries that each request earns."""
    slack: float
    """Further retries in each window."""
    window_s: float


class RetryBudget:
    """This node's part of the retry budget of one service; owned by the node's event loop."""

    def __init__(self, terms: Terms, nodes: int, now: instants.Instant) -> None:
        self.terms = terms
        self.nodes = nodes
        self.tokens = min(1.0, SLACK_SHARE * terms.slack / nodes)
        self.updated_at = now

    def record_request(self, now: instants.Instant) -> None:
        """Add the share of a retry that one request earns."""
        self._accrue(now)
        self.tokens = min(self.tokens + RATIO_SHARE * self.terms.ratio, self._max_tokens())

    def try_acquire(self, now: instants.Instant) -> bool:
        """Spend one retry and return true, or return false if none is left."""
        self._accrue(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _accrue(self, now: instants.Instant) -> None:
        per_s = SLACK_SHARE * self.terms.slack / self.nodes / self.terms.window_s
        self.tokens = min(self._max_tokens(), self.tokens + per_s * (now - self.updated_at))
        self.updated_at = now

    def _max_tokens(self) -> float:
        return max(1.0, SLACK_SHARE * self.terms.slack / self.nodes)
