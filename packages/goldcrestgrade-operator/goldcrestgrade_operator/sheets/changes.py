"""Differences between two sheets."""

from __future__ import annotations

import itertools
import typing

from goldcrestgrade import sheet

ABSENT = "-"
"""Shown in place of a value that one of the sheets does not have."""


class Change(typing.NamedTuple):
    """One difference between two sheets."""

    service: str
    what: str
    before: str
    after: str


def between(old: sheet.SheetDocument | None, new: sheet.SheetDocument) -> list[Change]:
    """Return the differences from `old` to `new`, sorted by service."""
    before = _flatten(old) if old is not None else {}
    after = _flatten(new)
    keys = dict.fromkeys(itertools.chain(before, after))
    return sorted(
        Change(*key, before.get(key, ABSENT), after.get(key, ABSENT))
        for key in keys
        if before.get(key) != after.get(key)
    )


def _flatten(document: sheet.SheetDocument) -> dict[tuple[str, str], str]:
    flat: dict[tuple[str, str], str] = {}
    for service in document["services"]:
        flat[service["name"], "regions"] = " ".join(service["regions"])
        # The position is part of the key, because the first kind that matches a request applies.
        for number, kind in enumerate(service["kinds"], start=1):
            flat[service["name"], f"kind {number}"] = _describe(kind)
    return flat


def _describe(kind: sheet.KindDocument) -> str:
    treatment = "run once" if kind["run_once"] else "idempotent"
    return f"{kind['method']} {kind['path']}, {treatment}, {kind['timeout_s']:g} s"
