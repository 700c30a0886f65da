"""What a node knows of the use of one workspace: how much it asks for, and when clients retry.

Load pattern: a workspace at 7.5 times its usual load sends far more than its quota to every node
for seconds. Each node asks for the tokens that its clients can use, less often while there are
none, and names each refused client another time at which a token is expected for it.
"""

from __future__ import annotations

import dataclasses
import math
import random

from goldcrestgrade import instants

AVERAGING_S = 1.0
"""Time constant of the averages of requests and of tokens that were used."""

AHEAD_S = 0.5
"""Time for which a node asks for tokens ahead: two rounds of its accounting node."""

FIRST_PAUSE_S = 0.1
"""Pause after an answer that lacks tokens, before the next message for the workspace."""

LONGEST_PAUSE_S = 2.0
"""Longest pause, after several answers that bring nothing."""

MIN_RETRY_S = 0.1
"""Shortest time after which a refused client is asked to return."""

MIN_TOKEN_RATE = 0.2
"""Tokens a second that are expected at least when a time to retry is computed."""


@dataclasses.dataclass(slots=True)
class Average:
    """Exponential average of events a second."""

    per_s: float = 0.0
    at: instants.Instant = 0.0

    def value(self, now: instants.Instant) -> float:
        """Return the average at `now`."""
        return self.per_s * math.exp(-max(0.0, now - self.at) / AVERAGING_S)

    def record(self, now: instants.Instant, count: float = 1.0) -> None:
        """Count events."""
        self.per_s = self.value(now) + count / AVERAGING_S
        self.at = now


@dataclasses.dataclass(slots=True)
class Demand:
    """Use of one workspace at this node; owned by its event loop."""

    requests: Average = dataclasses.field(default_factory=Average)
    charged: Average = dataclasses.field(default_factory=Average)
    waiting: int = 0
    """Requests that wait for a token."""
    ask_at: instants.Instant = 0.0
    """No other node is asked for tokens before then, since there were none."""
    pause_s: float = FIRST_PAUSE_S
    slot_at: instants.Instant = 0.0
    """Instant at which the token for the client refused last is expected."""
    refused: int = 0
    """Requests refused since the workspace began to be limited here; 0 if it is not."""
    refused_at: instants.Instant = 0.0

    def kept(self, now: instants.Instant) -> float:
        """Return the tokens that this node asks for ahead and does not hand over.

        None for less than a request in `AHEAD_S`, as the token would often become void unused.
        """
        return max(0.0, self.requests.value(now) * AHEAD_S - 1.0)

    def wanted(self, total: float, now: instants.Instant) -> float:
        """Return the tokens to ask for by a node that has `total` tokens."""
        # What rounding takes from a few lots must not cost a request its token.
        return max(0.0, 1.001 * self.waiting + self.kept(now) - total)

    def record_answer(self, lacking: bool, empty: bool, now: instants.Instant) -> None:
        """Set the pause after an answer: longer if it brought nothing.

        There is none unless requests that wait are `lacking` tokens.
        """
        if not lacking:
            self.ask_at, self.pause_s = now, FIRST_PAUSE_S
            return
        self.pause_s = min(LONGEST_PAUSE_S, 2 * self.pause_s) if empty else FIRST_PAUSE_S
        self.ask_at = now + self.pause_s

    def retry_at(
        self, now: instants.Instant, own_rate: float, latest: instants.Instant, rng: random.Random
    ) -> instants.Instant:
        """Return when a refused client may retry: one client for each token that is expected.

        Times beyond `latest` are spread over the last part of the time until then.
        """
        per_s = max(MIN_TOKEN_RATE, own_rate, self.charged.value(now))
        self.slot_at = max(self.slot_at, now + MIN_RETRY_S) + 1 / per_s
        if self.slot_at > latest:
            self.slot_at = latest
            return now + (latest - now) * rng.uniform(0.5, 1.0)
        return self.slot_at - rng.uniform(0.0, 0.5) / per_s
