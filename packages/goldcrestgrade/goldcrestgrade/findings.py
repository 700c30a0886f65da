"""Findings about a document that an operator wrote, each with its place."""

from __future__ import annotations

import typing

import pydantic


class Finding(typing.NamedTuple):
    """One fault in a document."""

    place: str
    """For example `sheet.csv:14:run_once` or `settings.json:platform.tables`."""
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}"


def from_validation(document: str, error: pydantic.ValidationError) -> list[Finding]:
    """Return one finding for each error that pydantic found in `document`."""
    return [
        Finding(
            place=f"{document}:{'.'.join(str(part) for part in fault['loc']) or 'document'}",
            text=fault["msg"],
        )
        for fault in error.errors(include_url=False, include_input=False)
    ]
