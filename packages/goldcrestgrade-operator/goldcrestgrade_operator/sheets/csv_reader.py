"""Reading of sheets from the CSV files that planners export."""

from __future__ import annotations

import csv
import io
import itertools
import typing

import pydantic
import typing_extensions

from goldcrestgrade import exceptions, findings, sheet

COLUMNS = ("day", "service", "regions", "method", "path", "run_once", "timeout_s")
"""Columns of a sheet; their order does not matter."""


class RowDocument(typing_extensions.TypedDict):
    """One row: a service and one of its kinds of requests."""

    day: str
    service: str
    regions: str
    method: str
    path: str
    run_once: bool
    timeout_s: float


class _NumberedRow(typing.NamedTuple):
    line: int
    row: RowDocument


_ROW: pydantic.TypeAdapter[RowDocument] = pydantic.TypeAdapter(RowDocument)


def read(body: bytes, name: str) -> sheet.SheetDocument:
    """Return the sheet in `body`; raises `InvalidDocument` with every fault found."""
    reader = csv.DictReader(io.StringIO(body.decode("utf-8-sig")))
    missing = [column for column in COLUMNS if column not in (reader.fieldnames or ())]
    if missing:
        raise exceptions.InvalidDocument(
            [findings.Finding(f"{name}:1:{column}", "column is missing") for column in missing]
        )
    faults: list[findings.Finding] = []
    rows: list[_NumberedRow] = []
    for line, cells in enumerate(reader, start=2):
        try:
            rows.append(_NumberedRow(line, _ROW.validate_python(cells)))
        except pydantic.ValidationError as error:
            faults += findings.from_validation(f"{name}:{line}", error)
    if faults:
        raise exceptions.InvalidDocument(faults)
    document = _document([numbered.row for numbered in rows])
    return sheet.validate(sheet.encode(document), name)


def _document(rows: list[RowDocument]) -> sheet.SheetDocument:
    by_service = itertools.groupby(
        sorted(rows, key=lambda row: row["service"]), key=lambda row: row["service"]
    )
    return sheet.SheetDocument(
        day=rows[0]["day"] if rows else "",
        services=[_service(name, list(group)) for name, group in by_service],
    )


def _service(name: str, rows: list[RowDocument]) -> sheet.ServiceDocument:
    return sheet.ServiceDocument(
        name=name,
        regions=rows[0]["regions"].split(),
        kinds=[
            sheet.KindDocument(
                method=row["method"],
                path=row["path"],
                run_once=row["run_once"],
                timeout_s=row["timeout_s"],
            )
            for row in rows
        ],
    )
