"""How many requests an endpoint should run at once, learned from how long they take.

Load pattern: in a burst all slots fill, and an endpoint that slows down when nearly full then ends
fewer requests a second than with some slots free. Endpoints differ, so the limit is learned.
"""

from __future__ import annotations

import math
import typing

from goldcrestgrade import instants

PRIOR_SAMPLES = 8.0
"""Samples without a slowdown that an estimate starts from; single requests differ much."""

MAX_SAMPLES = 80.0
"""Samples by number of requests after which older ones count less and less."""

DECAY_TIME_S = 60.0
"""Time in which most of what was learned of a number of requests is forgotten."""

MIN_THROUGHPUT_GAIN = 1.05
"""Throughput that fewer requests at once must bring to be preferred; above the means' noise."""

MIN_LIMIT_SHARE = 0.5
"""Smallest limit, as a share of the slots."""

MAX_SAMPLE_SLOWDOWN = 4.0
"""Largest slowdown that one sample may tell of; single requests may be much longer than others."""


class Samples(typing.NamedTuple):
    """Slowdowns seen beside one number of requests."""

    excess: float
    """Sum of the slowdowns beyond 1."""
    weight: float
    updated_at: instants.Instant

    def aged(self, now: instants.Instant) -> Samples:
        """Return these as they count at `now`."""
        remaining = math.exp(-(now - self.updated_at) / DECAY_TIME_S)
        return Samples(self.excess * remaining, self.weight * remaining, now)


class Slowdowns:
    """Slowdown by the number of requests that run; owned by the event loop of the node."""

    def __init__(self) -> None:
        self.samples: dict[int, Samples] = {}

    def record(self, in_flight: int, slowdown: float, now: instants.Instant) -> None:
        """Take in that a request took `slowdown` times its usual time among `in_flight`."""
        samples = self._samples(in_flight, now)
        remaining = min(1.0, MAX_SAMPLES / (samples.weight + 1))
        excess = samples.excess + min(slowdown, MAX_SAMPLE_SLOWDOWN) - 1
        self.samples[in_flight] = Samples(remaining * excess, remaining * (samples.weight + 1), now)

    def expected(self, in_flight: int, now: instants.Instant) -> float:
        """Return the expected slowdown among `in_flight` requests, 1 where nothing is known.

        Samples beside one request fewer count too, since the number changes under way.
        """
        nearby = [self._samples(level, now) for level in (in_flight - 1, in_flight)]
        weight = PRIOR_SAMPLES + sum(samples.weight for samples in nearby)
        return max(1.0, 1 + sum(samples.excess for samples in nearby) / weight)

    def limit(self, slots: int, now: instants.Instant) -> int:
        """Return how many requests should run at once for the most to end, `slots` at most."""
        limit, best_rate = slots, slots / self.expected(slots, now)
        for in_flight in range(slots - 1, math.ceil(MIN_LIMIT_SHARE * slots) - 1, -1):
            rate = in_flight / self.expected(in_flight, now)
            if rate > MIN_THROUGHPUT_GAIN * best_rate:
                limit, best_rate = in_flight, rate
        return max(1, limit)

    def _samples(self, in_flight: int, now: instants.Instant) -> Samples:
        return self.samples.get(in_flight, Samples(0.0, 0.0, now)).aged(now)
