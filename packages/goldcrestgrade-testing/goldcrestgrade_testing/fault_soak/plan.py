"""Random plans of faults, reproducible from a seed."""

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
    "store_restore",
    "store_link_reset",
    "store_link_silent",
    "answers",
    "slow_endpoint",
    "drain",
    "limit",
    "leave",
    "crash",
    "cold",
    "configure",
    "withdraw",
    "reload",
    "evacuate",
    "hot",
)
"""Kinds of fault; `injection.inject` implements them.

Planned operations such as `stop`, `drain`, `configure` and `reload` count as faults.
"""

ODD_KINDS = ("odd_rows", "odd_heartbeats", "odd_addresses")
"""Kinds of odd entries by another writer; `draw_odd` draws them, so that plans of seeds stay."""

ABUSIVE_KIND = "abusive_clients"
"""Kind of clients that exceed limits; `draw_abusive` draws them, so that plans of seeds stay."""

REUSED_KIND = "reused_address"
"""Kind of an address that goes to an endpoint of another service; drawn by `draw_reused`."""

POPULAR_KIND = "popular_crash"
"""Kind of crashes of endpoints that run requests for one path; drawn by `draw_popular`."""

FLEET_WIDE_KINDS = frozenset(
    {
        POPULAR_KIND,
        "store_forget",
        "store_restore",
        "configure",
        "withdraw",
        "hot",
        "odd_rows",
        "odd_addresses",
    }
)
"""Kinds that affect the whole fleet rather than one instance."""

MAX_SERIES_LENGTH = 3
"""Largest number of faults of one kind in a series."""

MAX_FAULT_S = 3.0
"""Longest duration of one fault, equal to `checks.GUARANTEE_DELAY_S`."""

LONG_KINDS = frozenset({"limit", "leave", "evacuate", "hot"})
"""Kinds whose effect is judged over several seconds."""

MIN_LONG_FAULT_S = 8.0
"""Shortest duration of a fault of a long kind."""

MAX_LONG_FAULT_S = 14.0
"""Longest duration of a fault of a long kind."""

QUIET_START_S = 1.0
"""Time at the start of a run in which no fault begins."""


class Fault(typing.NamedTuple):
    """One planned fault; times are seconds from the start of the run."""

    kind: str
    instance: int
    """Index of the affected instance, unused for `FLEET_WIDE_KINDS`."""
    begin_s: float
    end_s: float
    variant: int
    """Random number that selects details of some kinds.

    It gives the answer fault and its count for the kind `answers`, the age of the copy and the time
    away for the kind `store_restore`, the rates for the kind `limit`, and for the
    kind `leave` whether the heartbeats say so too. For the kind `cold` it selects whether the
    endpoint becomes cold while it runs, or returns cold after its node has restarted or not. For
    the kind `popular_crash` it selects whether endpoints crash at one moment or in turn. For
    the kind `reused_address` it selects what happens around the change, and in which order. For
    the kind `evacuate` it says when the evacuation is taken back early, if it is. For odd entries
    it is the seed of their fields, for clients that exceed limits that of their kind and address.
    """


def draw(rng: random.Random, instances: int, seconds: float) -> list[Fault]:
    """Return the faults of a run of `seconds`, ordered by `begin_s`.

    The faults come in series. All faults of a series have the same kind and do not overlap; faults
    of different series may overlap.
    """
    series_count = max(2, round(seconds / 3))
    drawn = itertools.chain.from_iterable(
        _series(rng, instances, seconds) for _ in range(series_count)
    )
    return sorted(drawn, key=lambda fault: fault.begin_s)


def draw_odd(rng: random.Random, instances: int, seconds: float) -> list[Fault]:
    """Return times of odd entries, which may overlap; odd heartbeats go to one node each."""
    faults = []
    for kind in ("odd_rows", "odd_heartbeats", "odd_heartbeats", "odd_addresses"):
        begin_s = rng.uniform(QUIET_START_S, 0.6 * seconds)
        end_s = rng.uniform(begin_s + 0.2 * seconds, seconds)
        faults.append(Fault(kind, rng.randrange(instances), begin_s, end_s, rng.randrange(1 << 32)))
    return faults


def draw_abusive(rng: random.Random, instances: int, seconds: float) -> list[Fault]:
    """Return times of clients that exceed limits at one node each, which may overlap."""
    faults = []
    for _ in range(max(1, round(seconds / 5))):
        begin_s = rng.uniform(QUIET_START_S, 0.7 * seconds)
        end_s = rng.uniform(begin_s + 0.1 * seconds, seconds)
        variant = rng.randrange(1 << 32)
        faults.append(Fault(ABUSIVE_KIND, rng.randrange(instances), begin_s, end_s, variant))
    return faults


def draw_reused(rng: random.Random, instances: int, seconds: float) -> list[Fault]:
    """Return times at which the addresses of two endpoints go to another service for a while."""
    faults = []
    for instance in rng.sample(range(instances), 2):
        begin_s = rng.uniform(QUIET_START_S, 0.6 * seconds)
        end_s = begin_s + rng.uniform(MAX_FAULT_S, 0.35 * seconds)
        faults.append(Fault(REUSED_KIND, instance, begin_s, end_s, rng.randrange(1 << 16)))
    return faults


def draw_popular(rng: random.Random, instances: int, seconds: float) -> list[Fault]:
    """Return crashes of the endpoints that run one path, and what follows them.

    All nodes, some or none are then killed, and the store comes back from a copy or not.
    """
    begin_s = rng.uniform(QUIET_START_S, 0.4 * seconds)
    end_s = begin_s + MAX_FAULT_S
    faults = [Fault(POPULAR_KIND, 0, begin_s, end_s, rng.randrange(1 << 16))]
    share = rng.choice((0.0, 0.5, 1.0))
    killed_at_s = begin_s + rng.uniform(0.5, 2.5)
    for instance in range(instances):
        if rng.random() < share:
            faults.append(Fault("kill", instance, killed_at_s, killed_at_s + 0.3, 0))
    if rng.random() < 0.3:
        faults.append(Fault("store_restore", 0, end_s, end_s + 0.3, rng.randrange(3)))
    return faults


def _series(rng: random.Random, instances: int, seconds: float) -> typing.Iterator[Fault]:
    kind = rng.choice(KINDS)
    instance = rng.randrange(instances)
    at_s = rng.uniform(QUIET_START_S, seconds)
    for _ in range(rng.randint(1, MAX_SERIES_LENGTH)):
        shortest_s, longest_s = (
            (MIN_LONG_FAULT_S, MAX_LONG_FAULT_S) if kind in LONG_KINDS else (0.2, MAX_FAULT_S)
        )
        end_s = at_s + rng.uniform(shortest_s, longest_s)
        if end_s > seconds:
            return
        yield Fault(kind, instance, at_s, end_s, rng.randrange(1000))
        at_s = end_s + rng.uniform(0.0, 1.0)
        instance = rng.choice((instance, rng.randrange(instances)))
