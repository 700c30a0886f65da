"""Generated schedules of requests and faults for simulations of run-once requests."""

from __future__ import annotations

import enum
import itertools
import random
import typing

from hypothesis import strategies

from goldcrestgrade import instants

GUARDS = ("g1", "g2", "g3")
"""Names of the guards; the last one is in another region."""

ALL_GUARDS = len(GUARDS)
"""Stands for all guards where the index of a guard is expected."""

ENTRIES = ("e1", "e2")
"""Names of the entry nodes; the last one is in another region."""

FAULT_DURATIONS_S = (0.1, 0.2, 0.6, 1.0, 2.0, 4.0)
"""Durations of faults; each fault draws one."""

REQUEST_TIMEOUTS_S = (0.3, 0.6, 1.5, 3.0, 5.0)
"""Timeouts of requests; each request draws one."""

CLOCK_SKEWS_S = (0.0, 0.0, 0.5, -0.5)
"""Offsets of the wall clock of a guard; above 0 it is ahead. Each guard draws one."""


class FaultKind(enum.StrEnum):
    """The kinds of faults."""

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
    """A fault, active from `begins_at` to `ends_at`."""

    kind: FaultKind
    begins_at: instants.Instant
    ends_at: instants.Instant
    guard: int
    """Index of the affected guard, or `ALL_GUARDS`.

    It selects the delay of `STORE_SLOW`; other faults of the store and of the network ignore it.
    """


class PlannedRequest(typing.NamedTuple):
    """One request that a client sends for an operation."""

    begins_at: instants.Instant
    entry: int
    timeout_s: float
    has_other_body: bool
    """Whether the client wrongly sends another body with the same key."""


class Operation(typing.NamedTuple):
    """An operation that must run at most once: one key, with the requests that a client sends."""

    has_dated_key: bool
    """Whether the key contains the time of its creation and so expires."""
    requests: tuple[PlannedRequest, ...]


class Schedule(typing.NamedTuple):
    """The requests and faults of a run, and the seed of its random choices."""

    seed: int
    clock_skews_s: tuple[float, ...]
    """Offset of the wall clock of each guard; above 0 it is ahead."""
    operations: tuple[Operation, ...]
    faults: tuple[Fault, ...]


def _make_fault(kind: FaultKind, begins_at: float, duration_s: float, guard: int) -> Fault:
    return Fault(kind, begins_at, begins_at + duration_s, guard)


def _hundredths(*ranges: tuple[int, int]) -> strategies.SearchStrategy[float]:
    integers = strategies.one_of(*(strategies.integers(low, high) for low, high in ranges))
    return integers.map(lambda hundredths: hundredths / 100)


def _faults(kinds: list[FaultKind]) -> strategies.SearchStrategy[tuple[Fault, ...]]:
    fault = strategies.builds(
        _make_fault,
        kind=strategies.sampled_from(kinds),
        begins_at=_hundredths((0, 60), (0, 60), (0, 600)),
        duration_s=strategies.sampled_from(FAULT_DURATIONS_S),
        guard=strategies.integers(0, ALL_GUARDS),
    )
    return strategies.lists(fault, min_size=3, max_size=8).map(tuple)


PLANNED_REQUESTS = strategies.builds(
    PlannedRequest,
    begins_at=_hundredths((0, 60), (0, 60), (0, 800)),
    entry=strategies.integers(0, len(ENTRIES) - 1),
    timeout_s=strategies.sampled_from(REQUEST_TIMEOUTS_S),
    has_other_body=strategies.integers(0, 15).map(lambda draw: draw == 15),
)

OPERATIONS = strategies.builds(
    Operation,
    has_dated_key=strategies.integers(0, 3).map(lambda draw: draw == 3),
    requests=strategies.lists(PLANNED_REQUESTS, min_size=2, max_size=5).map(tuple),
)


def of_kinds(
    kinds: typing.Sequence[FaultKind] = tuple(FaultKind),
) -> strategies.SearchStrategy[Schedule]:
    """Return schedules with faults of up to four of `kinds`; many faults begin close together."""
    drawn_kinds = strategies.lists(
        strategies.sampled_from(kinds), min_size=1, max_size=4, unique=True
    )
    return strategies.builds(
        Schedule,
        seed=strategies.integers(0, 2**16),
        clock_skews_s=strategies.tuples(*(strategies.sampled_from(CLOCK_SKEWS_S) for _ in GUARDS)),
        operations=strategies.lists(OPERATIONS, min_size=1, max_size=3).map(tuple),
        faults=drawn_kinds.flatmap(_faults),
    )


def draw(rng: random.Random, kinds: typing.Sequence[FaultKind] = tuple(FaultKind)) -> Schedule:
    """Return a schedule like those of `of_kinds`, the same for the same state of `rng`.

    The values that hypothesis generates depend on the loaded modules, which differ between runs.
    """
    chosen_kinds = rng.sample(kinds, rng.randint(1, min(4, len(kinds))))
    return Schedule(
        seed=rng.randint(0, 2**16),
        clock_skews_s=tuple(rng.choice(CLOCK_SKEWS_S) for _ in GUARDS),
        operations=tuple(_draw_operation(rng) for _ in range(rng.randint(1, 3))),
        faults=tuple(_draw_fault(rng, chosen_kinds) for _ in range(rng.randint(3, 8))),
    )


def _draw_operation(rng: random.Random) -> Operation:
    requests = tuple(
        PlannedRequest(
            begins_at=rng.choice((rng.randint(0, 60), rng.randint(0, 60), rng.randint(0, 800)))
            / 100,
            entry=rng.randrange(len(ENTRIES)),
            timeout_s=rng.choice(REQUEST_TIMEOUTS_S),
            has_other_body=rng.randrange(16) == 0,
        )
        for _ in range(rng.randint(2, 5))
    )
    return Operation(rng.randrange(4) == 0, requests)


def _draw_fault(rng: random.Random, kinds: typing.Sequence[FaultKind]) -> Fault:
    begins_at = rng.choice((rng.randint(0, 60), rng.randint(0, 60), rng.randint(0, 600))) / 100
    duration_s = rng.choice(FAULT_DURATIONS_S)
    return _make_fault(rng.choice(kinds), begins_at, duration_s, rng.randint(0, ALL_GUARDS))


def max_late_start_s(schedule: Schedule) -> float:
    """Return how long after a request's deadline a guard with a slow clock may start it."""
    return max(0.0, -min(schedule.clock_skews_s))


def single_calls(seed: int, count: int, rate: float, faults: tuple[Fault, ...] = ()) -> Schedule:
    """Return a schedule of `count` one-request operations at random times, `rate` a second."""
    rng = random.Random(seed)
    begin_instants = itertools.accumulate(rng.expovariate(rate) for _ in range(count))
    return Schedule(
        seed=seed,
        clock_skews_s=(0.0,) * len(GUARDS),
        operations=tuple(
            Operation(False, (PlannedRequest(begins_at, n % len(ENTRIES), 5.0, False),))
            for n, begins_at in enumerate(begin_instants)
        ),
        faults=faults,
    )
