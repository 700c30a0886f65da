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

FORGET_S = 60.0
"""Time in which most of what was learned of a number of requests is forgotten."""

GAIN = 1.05
"""Throughput that fewer requests at once must bring to be preferred; above the means' noise."""

MIN_SHARE = 0.5
"""Smallest limit, as a share of the slots."""

SAMPLE_LIMIT = 4.0
"""Largest slowdown that one sample may tell of; single requests may be much longer than others."""


class Samples(typing.NamedTuple):
    """Slowdowns seen beside one number of requests."""

    excess: float
    """Sum of the slowdowns beyond 1."""
    weight: float
    at: instants.Instant

    def aged(self, now: instants.Instant) -> Samples:
        """Return these as they count at `now`."""
        kept = math.exp(-(now - self.at) / FORGET_S)
        return Samples(self.excess * kept, self.weight * kept, now)


class Slowdowns:
    """Slowdown by the number of requests that run; owned by the event loop of the node."""

    def __init__(self) -> None:
        self.samples: dict[int, Samples] = {}

    def note(self, running: int, slowdown: float, now: instants.Instant) -> None:
        """Take in that a request took `slowdown` times its usual time among `running` requests."""
        known = self._samples(running, now)
        kept = min(1.0, MAX_SAMPLES / (known.weight + 1))
        excess = known.excess + min(slowdown, SAMPLE_LIMIT) - 1
        self.samples[running] = Samples(kept * excess, kept * (known.weight + 1), now)

    def at(self, running: int, now: instants.Instant) -> float:
        """Return the expected slowdown among `running` requests, 1 where nothing is known.

        Samples beside one request fewer count too, since the number changes under way.
        """
        near = [self._samples(number, now) for number in (running - 1, running)]
        weight = PRIOR_SAMPLES + sum(samples.weight for samples in near)
        return max(1.0, 1 + sum(samples.excess for samples in near) / weight)

    def limit(self, slots: int, now: instants.Instant) -> int:
        """Return how many requests should run at once for the most to end, `slots` at most."""
        best, best_rate = slots, slots / self.at(slots, now)
        for running in range(slots - 1, math.ceil(MIN_SHARE * slots) - 1, -1):
            rate = running / self.at(running, now)
            if rate > GAIN * best_rate:
                best, best_rate = running, rate
        return max(1, best)

    def _samples(self, running: int, now: instants.Instant) -> Samples:
        return self.samples.get(running, Samples(0.0, 0.0, now)).aged(now)
