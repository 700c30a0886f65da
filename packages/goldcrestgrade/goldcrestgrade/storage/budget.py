"""Rate limit of requests to the platform, which rises gradually after an outage."""

from __future__ import annotations

from goldcrestgrade import instants

RATE_PER_S = 150.0
"""Largest number of requests per second that one process sends in the long run."""

BURST_REQUESTS = 50.0
"""Largest number of requests that may be sent at once after an idle period."""

START_RATE_PER_S = 4.0
"""Requests per second allowed right after an outage; the rate doubles each second."""

MAX_DOUBLINGS = 16.0
"""Seconds after an outage at which the rate stops doubling; the full rate applies by then."""


def allowed_rate_per_s(since_outage_s: float) -> float:
    """Return the requests per second that are allowed `since_outage_s` after an outage."""
    return float(min(RATE_PER_S, START_RATE_PER_S * 2.0 ** min(since_outage_s, MAX_DOUBLINGS)))


class Budget:
    """A token bucket; owned by the event loop of its process."""

    def __init__(self) -> None:
        self.tokens = BURST_REQUESTS
        self.refilled_at: instants.Instant = 0.0

    def reserve(self, now: instants.Instant, outage_ended_at: instants.Instant) -> instants.Instant:
        """Reserve a token and return the instant from which it may be used."""
        rate_per_s = allowed_rate_per_s(now - outage_ended_at)
        elapsed_s = max(0.0, now - self.refilled_at)
        self.tokens = min(BURST_REQUESTS, rate_per_s, self.tokens + elapsed_s * rate_per_s)
        self.refilled_at = now
        self.tokens -= 1.0
        return now if self.tokens >= 0 else now - self.tokens / rate_per_s

    def cancel_reservation(self) -> None:
        """Return an unused reserved token to the bucket."""
        self.tokens += 1.0
