"""Plans of troubles: which come when, drawn from a seed."""

from __future__ import annotations

import itertools
import random
import typing

KINDS = (
    "kill",
    "stop",
    "pause",
    "link_reset",
    "link_delay",
    "link_requests",
    "link_answers",
    "link_silent",
    "store_busy",
    "store_silent",
    "store_lost",
    "store_late",
    "store_slow",
    "store_forget",
    "store_link_reset",
    "store_link_silent",
    "answers",
    "slow_endpoint",
    "drain",
    "crash",
    "configure",
    "reload",
)
"""Kinds of trouble; `injection` says what each does."""

FLEET_WIDE_KINDS = frozenset({"store_forget", "configure"})
"""Kinds that concern no single instance."""

MAX_SERIES_LENGTH = 3
"""Times that one trouble comes in a row."""

MAX_FAULT_S = 3.0
"""Longest duration of one trouble, `GUARANTEE_DELAY_S` of the checks."""

QUIET_START_S = 1.0
"""Time at the start without trouble."""


class Fault(typing.NamedTuple):
    """One trouble; times are seconds from the start of the run."""

    kind: str
    instance: int
    begin_s: float
    end_s: float
    variant: int
    """Chooses among the forms of a kind."""


def draw(rng: random.Random, instances: int, seconds: float) -> list[Fault]:
    """Return troubles of a run of `seconds`, in series and overlapping, by their begin."""
    series = max(2, round(seconds / 3))
    drawn = itertools.chain.from_iterable(_series(rng, instances, seconds) for _ in range(series))
    return sorted(drawn, key=lambda fault: fault.begin_s)


def _series(rng: random.Random, instances: int, seconds: float) -> typing.Iterator[Fault]:
    kind = rng.choice(KINDS)
    instance = rng.randrange(instances)
    at_s = rng.uniform(QUIET_START_S, seconds)
    for _ in range(rng.randint(1, MAX_SERIES_LENGTH)):
        end_s = at_s + rng.uniform(0.2, MAX_FAULT_S)
        if end_s > seconds:
            return
        yield Fault(kind, instance, at_s, end_s, rng.randrange(1000))
        at_s = end_s + rng.uniform(0.0, 1.0)
        instance = rng.choice((instance, rng.randrange(instances)))
