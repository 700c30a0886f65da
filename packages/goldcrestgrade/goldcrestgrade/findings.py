"""Findings about a document that an operator wrote, each with its location."""

from __future__ import annotations

import collections.abc
import enum
import typing

if typing.TYPE_CHECKING:
    import pydantic


class Severity(enum.StrEnum):
    """Whether a finding makes its document invalid."""

    ERROR = "error"
    WARNING = "warning"


class Finding(typing.NamedTuple):
    """One error or warning about a document."""

    place: str
    """Location in the document, such as `sheet.csv:14:run_once` or `node.json:platform.tables`."""
    text: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        note = "warning: " if self.severity == Severity.WARNING else ""
        return f"{self.place}: {note}{self.text}"


def errors(all_findings: collections.abc.Iterable[Finding]) -> list[Finding]:
    """Return the findings that make their document invalid."""
    return [finding for finding in all_findings if finding.severity == Severity.ERROR]


def from_validation(document: str, error: pydantic.ValidationError) -> list[Finding]:
    """Return one finding for each pydantic error in the document named `document`."""
    return [
        Finding(
            place=f"{document}:{'.'.join(str(part) for part in fault['loc']) or 'document'}",
            text=fault["msg"],
        )
        for fault in error.errors(include_url=False, include_input=False)
    ]
