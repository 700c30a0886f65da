"""Acceptance of a sheet by one transaction, conditional on the version that the operator saw.

The transaction may be sent again when its answer is lost: its condition fails once it has taken
effect. It therefore takes effect at most once, even if an earlier copy of it arrives late.
"""

from __future__ import annotations

import asyncio
import dataclasses
import typing
import uuid

from goldcrestgrade import instants, sheet
from goldcrestgrade.storage import tables

ACCEPT_TIMEOUT_S = 15.0
"""Longest time for the whole acceptance."""

TRANSACTION_TIMEOUT_S = 3.0
"""Longest wait for the answer to one attempt of the transaction."""

RETRY_DELAY_S = 0.5
"""Delay before a transaction without an answer is sent again."""


class Head(typing.NamedTuple):
    """The head of the sheet in force, and the position of the head row."""

    document: sheet.HeadDocument | None
    row_position: tables.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The sheet was accepted as `version`."""

    version: int
    tag: typing.Literal["accepted"] = "accepted"


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The same sheet is already in force."""

    in_force: sheet.HeadDocument
    tag: typing.Literal["unchanged"] = "unchanged"


@dataclasses.dataclass(frozen=True, slots=True)
class Overtaken:
    """Another sheet was accepted first."""

    winner: sheet.HeadDocument
    tag: typing.Literal["overtaken"] = "overtaken"


@dataclasses.dataclass(frozen=True, slots=True)
class Outdated:
    """The sheet is for an older day than the one in force."""

    in_force: sheet.HeadDocument
    tag: typing.Literal["outdated"] = "outdated"


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The sheet was not accepted, because of a failure of the platform; no row was written."""

    text: str
    tag: typing.Literal["unavailable"] = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The answers of the table service leave open whether the sheet was accepted."""

    text: str
    tag: typing.Literal["undecided"] = "undecided"


Acceptance = Accepted | Unchanged | Overtaken | Outdated | Unavailable | Undecided


async def read_head(store: tables.TableService) -> Head:
    """Return the head of the sheet in force; raises `ReadError` or `InvalidDocument`."""
    row = await store.read(sheet.HEAD_TABLE, sheet.HEAD_KEY)
    if row is None:
        return Head(None, tables.ABSENT)
    return Head(sheet.validate_head(row.value, "head row"), row.position)


async def accept(
    store: tables.TableService,
    objects: tables.ObjectStore,
    document: sheet.SheetDocument,
    seen: Head,
    operator: str,
    clocks: instants.Clocks | None = None,
    newest_version: int = 0,
) -> Acceptance:
    """Put `document` in force if the sheet in force is still `seen`.

    `newest_version` is the newest version that a node has in force. The table service may have lost
    it, and then neither its version is used again, nor does an older sheet count as in force.
    """
    clocks = clocks or instants.system_clocks()
    deadline = clocks.monotonic() + ACCEPT_TIMEOUT_S
    body = sheet.encode(document)
    name = sheet.object_name(body)
    seen_version = 0 if seen.document is None else seen.document["version"]
    in_force = seen.document is not None and newest_version <= seen_version
    if in_force and seen.document is not None and name == seen.document["object_name"]:
        return Unchanged(seen.document)
    if seen.document is not None and document["day"] < seen.document["day"]:
        return Outdated(seen.document)
    head = sheet.HeadDocument(
        version=max(seen_version, newest_version) + 1,
        day=document["day"],
        object_name=name,
        accepted_at=clocks.wall(),
        operator=operator,
        apply_id=uuid.uuid4().hex,
    )
    try:
        async with asyncio.timeout_at(deadline):
            await objects.put(name, body)
    except (tables.ObjectError, TimeoutError) as error:
        return Unavailable(f"object store: {str(error) or 'no answer in time'}")
    return await _commit(store, head, seen, clocks, deadline)


async def _commit(
    store: tables.TableService,
    head: sheet.HeadDocument,
    seen: Head,
    clocks: instants.Clocks,
    deadline: instants.Instant,
) -> Acceptance:
    transaction = _transaction(head, seen)
    may_have_committed = False
    while True:
        answer_by = min(deadline, clocks.monotonic() + TRANSACTION_TIMEOUT_S)
        result = await _transact(store, transaction, answer_by)
        match result:
            case tables.Committed():
                return Accepted(head["version"])
            case tables.Conflicted():
                return await _resolve_conflict(store, head, deadline, may_have_committed)
            case tables.Rejected(text=text) if not may_have_committed:
                return Unavailable(f"table service: {text}")
            case tables.Rejected(text=text) | tables.Unanswered(text=text):
                may_have_committed = True
        if clocks.monotonic() + RETRY_DELAY_S >= deadline:
            return Undecided(text)
        await asyncio.sleep(RETRY_DELAY_S)


async def _transact(
    store: tables.TableService, transaction: tables.Transaction, answer_by: instants.Instant
) -> tables.Result:
    try:
        async with asyncio.timeout_at(answer_by):
            return await store.transact(transaction)
    except TimeoutError:
        return tables.Unanswered("no answer in time")


async def _resolve_conflict(
    store: tables.TableService,
    head: sheet.HeadDocument,
    deadline: instants.Instant,
    may_have_committed: bool,
) -> Acceptance:
    """Return the outcome after a conflict, from the row of the sheet accepted as this version."""
    try:
        async with asyncio.timeout_at(deadline):
            row = await store.read(sheet.HEAD_TABLE, sheet.history_key(head["version"]))
    except (tables.ReadError, TimeoutError) as error:
        text = (
            f"version {head['version']} was already accepted, but its history row cannot be read: "
            f"{str(error) or 'no answer in time'}"
        )
        return Undecided(text) if may_have_committed else Unavailable(text)
    if row is None:
        return Undecided(f"the history has no version {head['version']}")
    winner = sheet.validate_head(row.value, "history row")
    return Accepted(head["version"]) if winner == head else Overtaken(winner)


def _transaction(head: sheet.HeadDocument, seen: Head) -> tables.Transaction:
    value = typing.cast(tables.Value, head)
    return tables.Transaction(
        conditions=(tables.Condition(sheet.HEAD_TABLE, sheet.HEAD_KEY, seen.row_position),),
        writes=(
            tables.Write(sheet.HEAD_TABLE, sheet.HEAD_KEY, value),
            tables.Write(sheet.HEAD_TABLE, sheet.history_key(head["version"]), value),
        ),
    )
