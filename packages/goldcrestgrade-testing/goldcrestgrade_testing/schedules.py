"""Generated schedules of calls and faults for run-once requests."""

from __future__ import annotations

import enum
import itertools
import random
import typing

from hypothesis import strategies

from goldcrestgrade import instants

GUARDS = ("g1", "g2", "g3")
"""Guards; the last one stands in the other region."""

ALL_GUARDS = len(GUARDS)
"""In place of the index of a guard: all of them."""

ENTRIES = ("e1", "e2")
"""Entry nodes; the last one stands in the other region."""


LASTS_S = (0.1, 0.2, 0.6, 1.0, 2.0, 4.0)
"""Durations of faults."""

TIMEOUTS_S = (0.3, 0.6, 1.5, 3.0, 5.0)
"""Timeouts of tries."""

SKEWS_S = (0.0, 0.0, 0.5, -0.5)
"""How far the wall clock of a guard may be ahead."""


class FaultKind(enum.StrEnum):
    """What goes wrong during a fault."""

    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"
    STORE_SLOW = "store_slow"
    STORE_ANSWERS_LOST = "store_answers_lost"
    STORE_EFFECTS_LATE = "store_effects_late"
    MESSAGES_LOST = "messages_lost"
    REPLIES_LOST = "replies_lost"
    MESSAGES_LATE = "messages_late"
    MESSAGES_DOUBLED = "messages_doubled"
    REPLIES_CROSSED = "replies_crossed"
    GUARD_PAUSED = "guard_paused"
    GUARD_CRASHED = "guard_crashed"
    GUARD_STOPPED = "guard_stopped"
    ENDPOINT_CRASHED = "endpoint_crashed"
    ENDPOINT_SHEDS = "endpoint_sheds"
    REGIONS_CUT = "regions_cut"


class Fault(typing.NamedTuple):
    """A fault and the time for which it holds."""

    kind: FaultKind
    begins_at: instants.Instant
    ends_at: instants.Instant
    guard: int
    """Index of the guard concerned, or `ALL_GUARDS`, where the kind concerns guards."""


class Try(typing.NamedTuple):
    """One call of an intention."""

    begins_at: instants.Instant
    entry: int
    timeout_s: float
    changed: bool
    """Whether the caller wrongly sends another body with the same key."""


class Intention(typing.NamedTuple):
    """What a caller wants done once, and its tries."""

    dated: bool
    """Whether the key names its own time."""
    tries: tuple[Try, ...]


class Schedule(typing.NamedTuple):
    """All that happens to a run from outside."""

    seed: int
    skews_s: tuple[float, ...]
    """How far the wall clocks of the guards are ahead."""
    intentions: tuple[Intention, ...]
    faults: tuple[Fault, ...]


def _fault(kind: FaultKind, begins_at: float, lasts_s: float, guard: int) -> Fault:
    return Fault(kind, begins_at, begins_at + lasts_s, guard)


def _hundredths(*ranges: tuple[int, int]) -> strategies.SearchStrategy[float]:
    drawn = strategies.one_of(*(strategies.integers(low, high) for low, high in ranges))
    return drawn.map(lambda hundredths: hundredths / 100)


def _faults(kinds: list[FaultKind]) -> strategies.SearchStrategy[tuple[Fault, ...]]:
    fault = strategies.builds(
        _fault,
        kind=strategies.sampled_from(kinds),
        begins_at=_hundredths((0, 60), (0, 60), (0, 600)),
        lasts_s=strategies.sampled_from(LASTS_S),
        guard=strategies.integers(0, ALL_GUARDS),
    )
    return strategies.lists(fault, min_size=3, max_size=8).map(tuple)


TRIES = strategies.builds(
    Try,
    begins_at=_hundredths((0, 60), (0, 60), (0, 800)),
    entry=strategies.integers(0, len(ENTRIES) - 1),
    timeout_s=strategies.sampled_from(TIMEOUTS_S),
    changed=strategies.integers(0, 15).map(lambda draw: draw == 15),
)

INTENTIONS = strategies.builds(
    Intention,
    dated=strategies.integers(0, 3).map(lambda draw: draw == 3),
    tries=strategies.lists(TRIES, min_size=2, max_size=5).map(tuple),
)


def of_kinds(
    kinds: typing.Sequence[FaultKind] = tuple(FaultKind),
) -> strategies.SearchStrategy[Schedule]:
    """Return schedules with faults of up to four of `kinds`, many at about the same time."""
    drawn = strategies.lists(strategies.sampled_from(kinds), min_size=1, max_size=4, unique=True)
    return strategies.builds(
        Schedule,
        seed=strategies.integers(0, 2**16),
        skews_s=strategies.tuples(*(strategies.sampled_from(SKEWS_S) for _ in GUARDS)),
        intentions=strategies.lists(INTENTIONS, min_size=1, max_size=3).map(tuple),
        faults=drawn.flatmap(_faults),
    )


def draw(rng: random.Random, kinds: typing.Sequence[FaultKind] = tuple(FaultKind)) -> Schedule:
    """Return a schedule like those of `of_kinds`, the same for the same state of `rng`.

    What hypothesis generates depends on the modules that are loaded, which differ between runs.
    """
    chosen = rng.sample(kinds, rng.randint(1, min(4, len(kinds))))
    return Schedule(
        seed=rng.randint(0, 2**16),
        skews_s=tuple(rng.choice(SKEWS_S) for _ in GUARDS),
        intentions=tuple(_drawn_intention(rng) for _ in range(rng.randint(1, 3))),
        faults=tuple(_drawn_fault(rng, chosen) for _ in range(rng.randint(3, 8))),
    )


def _drawn_intention(rng: random.Random) -> Intention:
    tries = tuple(
        Try(
            begins_at=rng.choice((rng.randint(0, 60), rng.randint(0, 60), rng.randint(0, 800)))
            / 100,
            entry=rng.randrange(len(ENTRIES)),
            timeout_s=rng.choice(TIMEOUTS_S),
            changed=rng.randrange(16) == 0,
        )
        for _ in range(rng.randint(2, 5))
    )
    return Intention(rng.randrange(4) == 0, tries)


def _drawn_fault(rng: random.Random, kinds: typing.Sequence[FaultKind]) -> Fault:
    begins_at = rng.choice((rng.randint(0, 60), rng.randint(0, 60), rng.randint(0, 600))) / 100
    lasts_s = rng.choice(LASTS_S)
    return _fault(rng.choice(kinds), begins_at, lasts_s, rng.randint(0, ALL_GUARDS))


def late_start_s(schedule: Schedule) -> float:
    """Return how long past a deadline a guard with a slow clock may start a request."""
    return max(0.0, -min(schedule.skews_s))


def single_calls(seed: int, count: int, rate: float, faults: tuple[Fault, ...] = ()) -> Schedule:
    """Return a schedule of `count` calls at random instants, `rate` a second, each made once."""
    rng = random.Random(seed)
    instants_s = itertools.accumulate(rng.expovariate(rate) for _ in range(count))
    return Schedule(
        seed=seed,
        skews_s=(0.0,) * len(GUARDS),
        intentions=tuple(
            Intention(False, (Try(begins_at, n % len(ENTRIES), 5.0, False),))
            for n, begins_at in enumerate(instants_s)
        ),
        faults=faults,
    )
