"""Time that a client has spent on earlier attempts of a request.

Load pattern: under overload, many requests are refused and return. The latency target counts from
the first attempt, so a request that has returned may be late already; it must not take the place
of one that can still be in time. Clients say how long they wait, and one that returns has less time
left than the clients of a route usually have.
"""

from __future__ import annotations

import collections
import math

RECENT_REQUESTS = 64
"""Number of requests of a route whose timeouts are remembered."""

USUAL_COUNT = 8
"""Number of recent requests with the same timeout that make it a usual one.

Timeouts of returning clients have milliseconds of their own.
"""


class UsualTimeouts:
    """Timeouts of clients by route; owned by the node's event loop."""

    def __init__(self) -> None:
        self.recent: dict[str, collections.deque[float]] = {}
        """Timeouts of the latest requests, in seconds, by the name of the route."""
        self.counts: dict[str, collections.Counter[float]] = {}
        """How often each of them occurs there."""

    def elapsed_s(self, route: str, timeout_s: float) -> float:
        """Record the timeout of a request; return the time since its client's first attempt.

        It is 0 if the timeout is a usual one, or if no usual one is longer.
        """
        counts = self._record(route, timeout_s)
        if counts[timeout_s] >= USUAL_COUNT:
            return 0.0
        longer = [
            usual_s
            for usual_s, count in counts.items()
            if count >= USUAL_COUNT and timeout_s < usual_s < math.inf
        ]
        return min(longer) - timeout_s if longer else 0.0

    def _record(self, route: str, timeout_s: float) -> collections.Counter[float]:
        recent = self.recent.setdefault(route, collections.deque())
        counts = self.counts.setdefault(route, collections.Counter())
        recent.append(timeout_s)
        counts[timeout_s] += 1
        if len(recent) > RECENT_REQUESTS:
            oldest_s = recent.popleft()
            counts[oldest_s] -= 1
            if not counts[oldest_s]:
                del counts[oldest_s]
        return counts
