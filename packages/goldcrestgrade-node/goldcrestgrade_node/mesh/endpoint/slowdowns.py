"""Slowdown of requests by the number of requests that run at the same time.

Load pattern: an endpoint slows down when nearly full, so requests that start then end later than
their usual service time says.
"""

from __future__ import annotations

import math
import typing

from goldcrestgrade import instants

PRIOR_SAMPLES = 8.0
"""Weight of assumed samples without slowdown in each estimate; single requests vary widely."""

MAX_SAMPLES = 80.0
"""Largest weight of the samples at one concurrency; a further sample scales them down to it."""

DECAY_TIME_S = 60.0
"""Time constant with which samples lose their weight."""

MAX_SAMPLE_SLOWDOWN = 4.0
"""Slowdown at which a sample is capped; single requests may take much longer than others."""


class Samples(typing.NamedTuple):
    """Slowdowns sampled at one number of in-flight requests."""

    excess: float
    """Weighted sum of the slowdowns beyond 1."""
    weight: float
    updated_at: instants.Instant

    def aged(self, now: instants.Instant) -> Samples:
        """Return the samples with their weight at `now`."""
        remaining = math.exp(-(now - self.updated_at) / DECAY_TIME_S)
        return Samples(self.excess * remaining, self.weight * remaining, now)


class Slowdowns:
    """Slowdown by number of in-flight requests; owned by the node's event loop."""

    def __init__(self) -> None:
        self.samples: dict[int, Samples] = {}

    def record(self, in_flight: int, slowdown: float, now: instants.Instant) -> None:
        """Record that a request took `slowdown` times its estimate with `in_flight` in flight."""
        samples = self._samples(in_flight, now)
        remaining = min(1.0, MAX_SAMPLES / (samples.weight + 1))
        excess = samples.excess + min(slowdown, MAX_SAMPLE_SLOWDOWN) - 1
        self.samples[in_flight] = Samples(remaining * excess, remaining * (samples.weight + 1), now)

    def expected(self, in_flight: int, now: instants.Instant) -> float:
        """Return the expected slowdown with `in_flight` requests in flight, 1 without samples.

        Samples with one request fewer count too, since the number changes while a request runs.
        """
        nearby = [self._samples(level, now) for level in (in_flight - 1, in_flight)]
        weight = PRIOR_SAMPLES + sum(samples.weight for samples in nearby)
        return max(1.0, 1 + sum(samples.excess for samples in nearby) / weight)

    def weight(self, in_flight: int, now: instants.Instant) -> float:
        """Return the number of recent samples with `in_flight` requests in flight."""
        return self._samples(in_flight, now).weight

    def _samples(self, in_flight: int, now: instants.Instant) -> Samples:
        return self.samples.get(in_flight, Samples(0.0, 0.0, now)).aged(now)
