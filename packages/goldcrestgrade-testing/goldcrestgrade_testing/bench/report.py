"""Markdown tables of the figures of an experiment."""

from __future__ import annotations

import typing

from goldcrestgrade_testing.bench import figures

COLUMNS: tuple[tuple[str, typing.Callable[[figures.Figures], str]], ...] = (
    ("scenario", lambda f: f["scenario"]),
    ("policy", lambda f: f["policy"]),
    ("p50 ms", lambda f: f"{f['p50_ms']:.1f}"),
    ("p99 ms", lambda f: f"{f['p99_ms']:.1f}"),
    ("p99.9 ms", lambda f: f"{f['p999_ms']:.1f}"),
    ("answered", lambda f: f"{f['answered_share']:.4f}"),
    ("goodput", lambda f: f"{f['goodput_share']:.3f}"),
    ("refused", lambda f: _reasons(f["refusals"])),
    ("worst refusal ms", lambda f: f"{f['worst_refusal_ms']:.1f}"),
    ("retries/call", lambda f: f"{f['retries_per_call']:.4f}"),
    ("hedges/call", lambda f: f"{f['hedges_per_call']:.4f}"),
    ("probes/call", lambda f: f"{f['probes_per_call']:.4f}"),
    ("probes/endpoint/min", lambda f: f"{f['probes_per_endpoint_minute']:.2f}"),
    ("cross-region B/s", lambda f: str(f["cross_region_bytes_per_s"])),
    ("share of first", lambda f: f"{f['first_upstream_share']:.4f}"),
)
"""Heading of each column with the function that formats its cells."""


def markdown(rows: typing.Sequence[figures.Figures]) -> str:
    """Return a Markdown table of `rows`."""
    lines = [
        [heading for heading, _ in COLUMNS],
        ["---"] * len(COLUMNS),
        *([format_cell(row) for _, format_cell in COLUMNS] for row in rows),
    ]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in lines)


def ratios(rows: typing.Sequence[figures.Figures]) -> str:
    """Return a Markdown table of each policy's p99 with and without the fault, with their ratio."""
    baselines_ms = {
        (row["scenario"].removeprefix("twin-"), row["policy"]): row["p99_ms"]
        for row in rows
        if row["scenario"].startswith("twin-")
    }
    pairs = [(row, baselines_ms.get((row["scenario"], row["policy"]))) for row in rows]
    lines = [
        f"| {row['scenario']} | {row['policy']} | {row['p99_ms']:.1f} | {baseline_ms:.1f} "
        f"| {row['p99_ms'] / baseline_ms:.2f} |"
        for row, baseline_ms in pairs
        if baseline_ms is not None
    ]
    heading = "| scenario | policy | p99 ms | p99 ms without the fault | ratio |"
    return "\n".join([heading, "|---" * 5 + "|", *lines])


def _reasons(counts: typing.Mapping[str, int]) -> str:
    return ", ".join(f"{reason} {count}" for reason, count in sorted(counts.items())) or "0"
