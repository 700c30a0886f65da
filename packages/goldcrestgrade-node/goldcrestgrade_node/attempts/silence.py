"""When a reused connection on which no byte arrives counts as silent."""

from __future__ import annotations

from goldcrestgrade import instants

MIN_SILENCE_S = 1.0
"""Shortest time without a byte after which a connection counts as silent."""

SILENCE_FACTOR = 8.0
"""Multiple of the time of the slowest recent answer after which a connection counts as silent."""

SLOWEST_DECAY = 0.99
"""Factor on the time of the slowest recent answer at each faster answer."""


def silence_deadline(
    now: instants.Instant, deadline: instants.Instant, slowest_s: float
) -> instants.Instant:
    """Return when an attempt that begins at `now` is given up if no byte has arrived."""
    return min(deadline, now + max(MIN_SILENCE_S, SILENCE_FACTOR * slowest_s))


def updated_slowest_s(previous_s: float, latency_s: float) -> float:
    """Return the time of the slowest recent answer, in seconds, after one more of `latency_s`."""
    return max(latency_s, SLOWEST_DECAY * previous_s)
