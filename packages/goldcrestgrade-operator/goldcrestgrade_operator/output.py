"""Output of commands: tables for people and JSON for scripts."""

from __future__ import annotations

import datetime
import sys
import typing

import orjson
import rich.box
import rich.console
import rich.table

from goldcrestgrade import findings, instants

PIPED_WIDTH = 200
"""Width of tables, in characters, if the output is not a terminal."""

Row = tuple[object, ...]
"""Cells of one row of a table."""


class Table(typing.NamedTuple):
    """A table with a title."""

    title: str
    columns: tuple[str, ...]
    rows: typing.Sequence[Row]


def show(document: object, table: Table, as_json: bool) -> None:
    """Print `document` as one line of JSON if `as_json`, otherwise `table`."""
    if as_json:
        print(orjson.dumps(document).decode())
    else:
        console(sys.stdout).print(_to_rich_table(table))


def show_warnings(warnings: typing.Iterable[findings.Finding]) -> None:
    """Print warnings to standard error."""
    for warning in warnings:
        print(warning, file=sys.stderr)


def console(stream: typing.TextIO) -> rich.console.Console:
    """Return a console that does not wrap table rows if `stream` is not a terminal."""
    width = None if stream.isatty() else PIPED_WIDTH
    return rich.console.Console(file=stream, width=width, highlight=False, markup=False)


def format_time(wall: instants.WallInstant) -> str:
    """Return a wall-clock instant as ISO 8601 text in the operator's time zone."""
    return datetime.datetime.fromtimestamp(wall).astimezone().isoformat(" ", "seconds")


def _to_rich_table(table: Table) -> rich.table.Table:
    rendered = rich.table.Table(
        *table.columns,
        title=table.title or None,
        title_justify="left",
        box=rich.box.SIMPLE_HEAD,
        show_header=any(table.columns),
    )
    for row in table.rows:
        rendered.add_row(*(str(cell) for cell in row))
    return rendered
