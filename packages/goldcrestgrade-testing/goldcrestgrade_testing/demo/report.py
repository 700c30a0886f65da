"""The report of the demo: a table of figures and the promises that were broken."""

from __future__ import annotations

import sys
import typing

import rich.box
import rich.console
import rich.table
from hdrh import histogram

from goldcrestgrade_testing.demo import scenario

MAX_PROPAGATION_S = 12.0
"""Largest time from the acceptance of a sheet until every node has it in force."""


class Promise(typing.NamedTuple):
    """A condition that must hold in each run of the demo."""

    text: str
    holds: bool


def promises(result: scenario.Result) -> list[Promise]:
    """Return each promise with whether it held."""
    starts = result.run_once_starts
    report = result.report
    return [
        Promise("no key ran twice", len(starts) == len(set(starts))),
        Promise("every run-once request that was sent ran", set(starts) == report.keys),
        Promise("every answer was whole and to its own request", report.wrong == 0),
        Promise("no call was refused or cut", not report.refusals),
        Promise("the second sheet was applied", result.adoption.apply_status == 0),
        Promise(
            f"it was in force on every node within {MAX_PROPAGATION_S:g} s",
            result.adoption.propagation_s <= MAX_PROPAGATION_S,
        ),
        Promise("the drained node ended with status 0", result.drain.exit_status == 0),
        Promise(
            f"its endpoint got no new work after {scenario.DRAIN_PROPAGATION_S:g} s",
            result.drain.late_starts == 0,
        ),
    ]


def show(result: scenario.Result) -> int:
    """Print the report and return the exit status: 1 if a promise was broken, otherwise 0."""
    console = rich.console.Console(file=sys.stdout, highlight=False)
    table = rich.table.Table(title="Demo", box=rich.box.SIMPLE_HEAD)
    table.add_column("measure")
    table.add_column("value")
    for name, value in _figures(result):
        table.add_row(name, value)
    console.print(table)
    broken = [promise.text for promise in promises(result) if not promise.holds]
    for text in broken:
        console.print(f"BROKEN: {text}")
    if not broken:
        console.print("every promise held")
    return 1 if broken else 0


def _figures(result: scenario.Result) -> list[tuple[str, str]]:
    report = result.report
    drain = result.drain
    refused = ", ".join(f"{reason} {count}" for reason, count in sorted(report.refusals.items()))
    return [
        ("calls answered", str(report.answered)),
        ("calls refused or unknown, by reason", refused or "0"),
        (
            "run-once executions / distinct keys",
            f"{len(result.run_once_starts)} / {len(report.keys)}",
        ),
        ("latency direct, p50 / p99", _percentiles(report.direct)),
        ("latency through one node, p50 / p99", _percentiles(report.through)),
        ("start of all nodes", f"{result.start_s:.1f} s"),
        ("second sheet in force on every node after", f"{result.adoption.propagation_s:.2f} s"),
        (f"drain of {drain.node_id} under load", f"{drain.drain_s:.1f} s"),
    ]


def _percentiles(latencies: histogram.HdrHistogram) -> str:
    p50, p99 = (latencies.get_value_at_percentile(percentile) / 1000 for percentile in (50, 99))
    return f"{p50:.1f} / {p99:.1f} ms"
