"""Acceptance of a sheet: one transaction with a compare on the version that the operator saw."""

from __future__ import annotations

import dataclasses
import time
import typing

from goldcrestgrade import sheet
from goldcrestgrade.platform import tables


class Head(typing.NamedTuple):
    """The sheet in force and the commit version of its head row."""

    document: sheet.HeadDocument | None
    row_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The sheet is accepted as `version`."""

    version: int
    tag: typing.Literal["accepted"] = "accepted"


@dataclasses.dataclass(frozen=True, slots=True)
class Overtaken:
    """Another sheet was accepted first."""

    by: sheet.HeadDocument
    tag: typing.Literal["overtaken"] = "overtaken"


@dataclasses.dataclass(frozen=True, slots=True)
class Outdated:
    """The sheet is for an older day than the one in force."""

    in_force: sheet.HeadDocument
    tag: typing.Literal["outdated"] = "outdated"


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The table service did not say whether the sheet was accepted."""

    text: str
    tag: typing.Literal["undecided"] = "undecided"


Acceptance = Accepted | Overtaken | Outdated | Undecided


async def read_head(store: tables.TableService) -> Head:
    """Return the head row; raises `ReadError`."""
    row = await store.read(sheet.HEAD_TABLE, sheet.HEAD_KEY)
    if row is None:
        return Head(None, tables.ABSENT)
    return Head(typing.cast(sheet.HeadDocument, row.value), row.version)


async def accept(
    store: tables.TableService,
    objects: tables.ObjectStore,
    document: sheet.SheetDocument,
    seen: Head,
    operator: str,
) -> Acceptance:
    """Make `document` the sheet in force; raises `ObjectError` before any effect."""
    if seen.document is not None and document["day"] < seen.document["day"]:
        return Outdated(seen.document)
    body = sheet.encode(document)
    head = sheet.HeadDocument(
        version=(seen.document["version"] if seen.document else 0) + 1,
        day=document["day"],
        object_name=sheet.object_name(body),
        accepted_at=time.time(),
        operator=operator,
    )
    await objects.put(head["object_name"], body)
    result = await store.transact(_transaction(head, seen))
    match result:
        case tables.Committed():
            return Accepted(head["version"])
        case tables.Conflicted(failures=failures):
            row = failures[0].row
            return Overtaken(typing.cast(sheet.HeadDocument, row.value if row else {}))
        case tables.Rejected(text=text):
            return Undecided(text)
        case tables.Unanswered():
            return await _read_back(store, head)


async def _read_back(store: tables.TableService, head: sheet.HeadDocument) -> Acceptance:
    try:
        row = await store.read(sheet.HEAD_TABLE, _history_key(head["version"]))
    except tables.ReadError as error:
        return Undecided(str(error))
    if row is None:
        return Undecided("not accepted so far")
    if row.value == head:
        return Accepted(head["version"])
    return Overtaken(typing.cast(sheet.HeadDocument, row.value))


def _transaction(head: sheet.HeadDocument, seen: Head) -> tables.Transaction:
    value = typing.cast(tables.Value, head)
    return tables.Transaction(
        conditions=(tables.Condition(sheet.HEAD_TABLE, sheet.HEAD_KEY, seen.row_version),),
        writes=(
            tables.Write(sheet.HEAD_TABLE, sheet.HEAD_KEY, value),
            tables.Write(sheet.HEAD_TABLE, _history_key(head["version"]), value),
        ),
    )


def _history_key(version: int) -> str:
    return f"{sheet.HISTORY_PREFIX}{version:012d}"
