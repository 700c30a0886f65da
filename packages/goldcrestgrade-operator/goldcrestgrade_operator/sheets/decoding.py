"""Decoding of exported files into rows of text cells."""

from __future__ import annotations

import codecs
import csv
import io
import typing

from goldcrestgrade import exceptions, findings, sheet

DELIMITERS = (",", ";", "\t")
"""Characters that may separate cells."""

_UTF16_BYTE_ORDER_MARKS = (codecs.BOM_UTF16_LE, codecs.BOM_UTF16_BE)


class Row(typing.NamedTuple):
    """The cells of one row, stripped of surrounding white space."""

    line: int
    """Number of the line that the row starts on; the first is 1."""
    cells: tuple[str, ...]


def decode(body: bytes, name: str) -> str:
    """Return the text of an exported file; raises `InvalidDocument`."""
    if len(body) > sheet.MAX_SHEET_BYTES:
        raise _invalid(name, f"is larger than {sheet.MAX_SHEET_BYTES} bytes")
    if body.startswith(_UTF16_BYTE_ORDER_MARKS):
        raise _invalid(name, "is encoded in UTF-16; export it as CSV in UTF-8")
    try:
        text = body.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = body.count(b"\n", 0, error.start) + 1
        raise _invalid(
            f"{name}:{line}", "is not encoded in UTF-8; export it as CSV in UTF-8"
        ) from error
    if "\0" in text:
        line = text.count("\n", 0, text.index("\0")) + 1
        raise _invalid(f"{name}:{line}", "contains a NUL character; export it as CSV in UTF-8")
    return text


def split_rows(text: str, name: str) -> tuple[list[Row], list[findings.Finding]]:
    """Return the rows that are not blank, and a finding if the rest cannot be read as CSV."""
    reader = csv.reader(
        io.StringIO(text, newline=""), delimiter=_detect_delimiter(text), strict=True
    )
    rows: list[Row] = []
    while True:
        line = reader.line_num + 1
        try:
            cells = tuple(cell.strip() for cell in next(reader))
        except StopIteration:
            return rows, []
        except csv.Error as error:
            text = f"the rest cannot be read as CSV: {error}"
            return rows, [findings.Finding(f"{name}:{line}", text)]
        if any(cells):
            rows.append(Row(line, cells))


def _detect_delimiter(text: str) -> str:
    first_line = next((line for line in text.splitlines() if line.strip(" ,;\t")), "")
    return max(DELIMITERS, key=first_line.count)


def _invalid(place: str, text: str) -> exceptions.InvalidDocument:
    return exceptions.InvalidDocument([findings.Finding(place, text)])
