"""Reading of sheets from the CSV files that planners export."""

from __future__ import annotations

import collections
import re
import typing

from goldcrestgrade import exceptions, findings, sheet
from goldcrestgrade_operator.sheets import cells, decoding, rules

COLUMNS = tuple(cells.PARSERS)
"""Columns that a sheet must have, in any order."""


class CheckedSheet(typing.NamedTuple):
    """A valid sheet and its warnings."""

    document: sheet.SheetDocument
    warnings: tuple[findings.Finding, ...]


def read(body: bytes, name: str) -> CheckedSheet:
    """Return the sheet in the file `name` with content `body`.

    Raises `InvalidDocument` with every fault and warning.
    """
    rows, all_findings = decoding.split_rows(decoding.decode(body, name), name)
    if not rows:
        all_findings.append(findings.Finding(name, "has no rows"))
        raise exceptions.InvalidDocument(all_findings)
    header, *rest = rows
    columns = tuple(_normalize_column(cell) for cell in header.cells)
    all_findings += _header_faults(columns, header.line, name)
    parsed = [_parse_row(row, columns, name) for row in rest]
    all_findings += [fault for row in parsed if isinstance(row, list) for fault in row]
    valid = [row for row in parsed if isinstance(row, rules.KindRow)]
    all_findings += rules.check(valid, name)
    if not rest:
        all_findings.append(findings.Finding(f"{name}:{header.line}", "no row follows the header"))
    if findings.errors(all_findings):
        raise exceptions.InvalidDocument(all_findings)
    document = sheet.validate(sheet.encode(_build_document(valid)), name)
    return CheckedSheet(document, tuple(all_findings))


def _normalize_column(cell: str) -> str:
    return re.sub(r"[\s-]+", "_", cell.casefold())


def _header_faults(
    columns: tuple[str, ...], line: int, name: str
) -> typing.Iterator[findings.Finding]:
    counts = collections.Counter(column for column in columns if column)
    texts = {
        **{column: "column is missing" for column in COLUMNS if column not in counts},
        **{column: "column is unknown" for column in counts if column not in COLUMNS},
        **{column: "column is repeated" for column, count in counts.items() if count > 1},
    }
    return (findings.Finding(f"{name}:{line}:{column}", text) for column, text in texts.items())


def _parse_row(
    row: decoding.Row, columns: tuple[str, ...], name: str
) -> rules.KindRow | list[findings.Finding]:
    values: dict[str, typing.Any] = {}
    faults = _stray_cells(row, columns, name)
    texts = dict(zip(columns, row.cells, strict=False))
    for column in COLUMNS:
        if column not in columns:
            continue
        location = f"{name}:{row.line}:{column}"
        text = texts.get(column, "")
        if not text:
            faults.append(findings.Finding(location, "cell is empty"))
            continue
        try:
            values[column] = cells.PARSERS[column](text)
        except ValueError as error:
            faults.append(findings.Finding(location, str(error)))
    return faults if faults or len(values) < len(COLUMNS) else _kind_row(row.line, values)


def _stray_cells(row: decoding.Row, columns: tuple[str, ...], name: str) -> list[findings.Finding]:
    return [
        findings.Finding(f"{name}:{row.line}", f"cell {number} has no column: {cell!r}")
        for number, cell in enumerate(row.cells, start=1)
        if cell and not "".join(columns[number - 1 : number])
    ]


def _kind_row(line: int, values: typing.Mapping[str, typing.Any]) -> rules.KindRow:
    return rules.KindRow(
        line,
        values["day"],
        values["service"],
        values["regions"],
        sheet.KindDocument(
            method=values["method"],
            path=values["path"],
            run_once=values["run_once"],
            timeout_s=values["timeout_s"],
        ),
    )


def _build_document(rows: list[rules.KindRow]) -> sheet.SheetDocument:
    return sheet.SheetDocument(
        day=rows[0].day,
        services=[
            sheet.ServiceDocument(
                name=name, regions=list(group[0].regions), kinds=[row.kind for row in group]
            )
            for name, group in sorted(rules.group_by_service(rows).items())
        ],
    )
