"""Figures of one day of the model."""

from __future__ import annotations

import collections
import itertools
import typing

from goldcrestgrade_testing.fleet_model import fleet, workload

WINDOW_S = 2.0
"""Length of the windows of which the two worst count."""

LATE_SHARE = 0.1
"""Share of a request's value that a late answer earns."""


class Figures(typing.NamedTuple):
    """How the requests of one day ended, as shares of them or of their value."""

    in_time: float
    late: float
    refused: float
    failed: float
    refused_again: float
    """Share that was refused, returned and was refused again."""
    earned: float
    """Share of the value of all requests."""
    worst: float
    """The same over the two worst windows."""
    hops: float
    """Attempts of nodes for each request."""
    other_region: float
    """Share of these attempts that go to another region."""
    beyond_knee: float
    """Share of the requests that start beyond the knee of their endpoint."""


def value(result: fleet.Result) -> float:
    """Return what the end of a request is worth."""
    share = {"in_time": 1.0, "late": LATE_SHARE}.get(result.how, 0.0)
    return share * result.kind.value


def earned(results: typing.Iterable[fleet.Result]) -> float:
    """Return the share of the value of some requests that was earned."""
    results = list(results)
    owed = sum(result.kind.value for result in results)
    return sum(map(value, results)) / owed if owed else 1.0


def worst(results: typing.Iterable[fleet.Result]) -> float:
    """Return the share of the value that was earned in the two worst windows."""
    windows = collections.defaultdict(list)
    for result in results:
        windows[int(result.at / WINDOW_S)].append(result)
    full = [windows[number] for number in range(int(workload.DURATION_S / WINDOW_S))]
    lowest = sorted(map(earned, full))[:2]
    return sum(lowest) / len(lowest)


def compute(played: fleet.Fleet) -> Figures:
    """Return the figures of a day."""
    results = played.results
    how = collections.Counter(result.how for result in results)
    again = sum(result.refusals > 1 for result in results)
    levels = collections.Counter[bool]()
    for node in played.nodes.values():
        terms = node.endpoint.terms
        for level, count in node.endpoint.starts_by_level.items():
            levels[level > terms.knee * terms.slots] += count
    hops = sum(played.hops.values())
    return Figures(
        how["in_time"] / len(results),
        how["late"] / len(results),
        how["refused"] / len(results),
        how["failed"] / len(results),
        again / len(results),
        earned(results),
        worst(results),
        hops / len(results),
        played.hops["other_region"] / hops,
        levels[True] / max(1, levels.total()),
    )


def mean(rows: typing.Sequence[Figures]) -> Figures:
    """Return the mean of each figure."""
    return Figures(*(sum(column) / len(rows) for column in zip(*rows, strict=True)))


def table(rows: typing.Sequence[tuple[str, Figures]]) -> str:
    """Return a table in Markdown with a row of figures for each label."""
    head = ("", *(field.replace("_", " ") for field in Figures._fields))
    lines = [head, ("---",) * len(head)]
    lines += [(label, *(f"{number:.3f}" for number in row)) for label, row in rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in itertools.chain(lines))
