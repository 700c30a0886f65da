"""Circuit breaker: stops requests to a failing service, and sends trial requests with backoff."""

from __future__ import annotations

import random

from goldcrestgrade import instants, statecharts

FAILURES_TO_OPEN = 2
"""Consecutive failures that open the breaker."""

BACKOFF_BASE_S = 1.0
"""Upper bound of the first backoff after the breaker opens; it doubles with each opening."""

BACKOFF_LIMIT_S = 10.0
"""Longest backoff between two trial requests."""

CHART = statecharts.load("goldcrestgrade.storage", "breaker")


def backoff_s(openings: int, rng: random.Random) -> float:
    """Return the jittered time before the next trial request, after consecutive `openings`."""
    limit_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2.0 ** (openings - 1))
    return limit_s * rng.uniform(0.5, 1.0)


class Breaker:
    """The state of one breaker; owned by the event loop of its process."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.state = CHART.initial
        self.failures = 0
        self.openings = 0
        self.open_until: instants.Instant = 0.0
        self.closed_at: instants.Instant = float("-inf")
        """Instant at which the breaker last closed after an outage."""
        self.trial_until: instants.Instant = 0.0
        """Deadline of the latest trial request."""

    def allows_requests(self) -> bool:
        """Return whether ordinary requests may be sent."""
        return self.state == "closed"

    def begin_trial(self, now: instants.Instant, deadline: instants.Instant) -> bool:
        """Return whether to send a trial request at `now`, and if so remember its `deadline`."""
        if self.state == "open" and now >= self.open_until:
            self.state = CHART.next_state(self.state, "backoff_passed")
        if self.state != "half_open" or now < self.trial_until:
            return False
        self.trial_until = deadline
        return True

    def retry_at(self, now: instants.Instant) -> instants.Instant:
        """Return the instant from which a request that was not admitted may be retried."""
        return max(now, self.open_until if self.state == "open" else self.trial_until)

    def record_success(self, now: instants.Instant) -> None:
        """Record that the service answered a request."""
        self.failures = 0
        match self.state:
            case "closed":
                self.openings = 0
            case "half_open":
                self.state = CHART.next_state(self.state, "succeeded")
                self.closed_at = now

    def record_failure(self, now: instants.Instant) -> None:
        """Record that the service rejected a request or did not answer it."""
        self.failures += 1
        trips = self.state == "half_open" or self.failures >= FAILURES_TO_OPEN
        if trips and CHART.allows(self.state, "tripped"):
            self.state = CHART.next_state(self.state, "tripped")
            self.openings += 1
            self.open_until = now + backoff_s(self.openings, self.rng)
            self.trial_until = 0.0
