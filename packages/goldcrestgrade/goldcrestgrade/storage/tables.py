"""Interface of the platform's transactional table service."""

from __future__ import annotations

import dataclasses
import typing

from goldcrestgrade import instants

Value = dict[str, typing.Any]
"""A JSON object kept in a row."""

ABSENT = 0
"""Version of a row that does not exist."""

MAX_TRANSACTION_WRITES = 100
"""Largest number of writes in one transaction."""


class Row(typing.NamedTuple):
    """A row and the commit version that wrote it."""

    table: str
    key: str
    version: int
    value: Value


class Condition(typing.NamedTuple):
    """Demands that a row has `version`; `ABSENT` demands that it does not exist."""

    table: str
    key: str
    version: int


class Write(typing.NamedTuple):
    """Replaces a row, or deletes it where `value` is none."""

    table: str
    key: str
    value: Value | None


class Transaction(typing.NamedTuple):
    """Writes that take effect together, or not at all when a condition fails."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Failure(typing.NamedTuple):
    """A condition that failed, and the row that stands in its place."""

    condition: Condition
    row: Row | None


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect as commit `version`."""

    version: int
    tag: typing.Literal["committed"] = "committed"


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """The transaction had no effect, since conditions failed."""

    failures: tuple[Failure, ...]
    tag: typing.Literal["conflicted"] = "conflicted"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The service did not take the transaction; it had no effect."""

    text: str
    retry_at: instants.Instant | None = None
    """When it may be sent again, where that is known."""
    tag: typing.Literal["rejected"] = "rejected"


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer came; the transaction may have taken effect, or may yet."""

    text: str
    tag: typing.Literal["unanswered"] = "unanswered"


Result = Committed | Conflicted | Rejected | Unanswered


class ReadError(Exception):
    """A read that the service did not answer."""


class TableService(typing.Protocol):
    """What goldcrestgrade needs of the table service."""

    async def transact(self, transaction: Transaction) -> Result:
        """Commit `transaction`."""
        ...

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row as of its last commit; raises `ReadError`."""
        ...

    async def scan(self, table: str, prefix: str, limit: int) -> list[Row]:
        """Return at most `limit` rows by key order; raises `ReadError`."""
        ...


class ObjectError(Exception):
    """A request that the object store did not answer."""


class ObjectStore(typing.Protocol):
    """What goldcrestgrade needs of the object store."""

    async def put(self, name: str, body: bytes) -> None:
        """Write an object; raises `ObjectError`."""
        ...

    async def get(self, name: str) -> bytes | None:
        """Return an object, or none where there is none; raises `ObjectError`."""
        ...


class Change(typing.NamedTuple):
    """The latest state of a row that changed."""

    table: str
    key: str
    version: int
    """Commit version of the change."""
    value: Value | None
    """None where the row was removed."""


class Changes(typing.NamedTuple):
    """What changed in a table, up to a commit version."""

    changes: tuple[Change, ...]
    version: int
    """All changes up to this commit version have been told."""


class HistoryGone(ReadError):
    """The service no longer holds the changes that were asked for."""


class WatchedTables(TableService, typing.Protocol):
    """A table service that tells of changes."""

    async def snapshot(self, table: str) -> Changes:
        """Return all rows of a table as of one moment; raises `ReadError`."""
        ...

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return what changed later than the version `after`, or nothing after `wait_s` seconds.

        Raises `HistoryGone` where the changes are no longer held, and `ReadError`.
        """
        ...

    async def close(self) -> None:
        """Close all connections to the service."""
        ...
