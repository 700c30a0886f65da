"""Interfaces of the platform's transactional table service and of its object store."""

from __future__ import annotations

import dataclasses
import typing

from goldcrestgrade import instants

Value = dict[str, typing.Any]
"""A JSON object stored in a row."""

ABSENT = 0
"""Version of a row that does not exist."""

MAX_TRANSACTION_WRITES = 100
"""Largest number of writes in one transaction."""


class Row(typing.NamedTuple):
    """A row and the version of the commit that wrote it."""

    table: str
    key: str
    version: int
    value: Value


class Condition(typing.NamedTuple):
    """Requires that a row has `version`; `ABSENT` requires that it does not exist."""

    table: str
    key: str
    version: int


class Write(typing.NamedTuple):
    """Replaces a row, or deletes it if `value` is `None`."""

    table: str
    key: str
    value: Value | None


class Transaction(typing.NamedTuple):
    """Writes that take effect together, or not at all if a condition fails."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Failure(typing.NamedTuple):
    """A condition that failed, and the current row, or `None` if the row does not exist."""

    condition: Condition
    row: Row | None


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect as commit `version`."""

    version: int
    tag: typing.Literal["committed"] = "committed"


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """The transaction had no effect because conditions failed."""

    failures: tuple[Failure, ...]
    tag: typing.Literal["conflicted"] = "conflicted"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The service did not accept the transaction; it had no effect."""

    text: str
    retry_at: instants.Instant | None = None
    """Instant from which it may be sent again, if that is known."""
    tag: typing.Literal["rejected"] = "rejected"


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """No valid answer came; the transaction may have taken effect, or may still do so."""

    text: str
    tag: typing.Literal["unanswered"] = "unanswered"


Result = Committed | Conflicted | Rejected | Unanswered


class ReadError(Exception):
    """The table service did not answer a read."""


class TableService(typing.Protocol):
    """The operations of the table service that goldcrestgrade uses."""

    async def transact(self, transaction: Transaction) -> Result:
        """Commit `transaction`; the result states whether it had an effect, as far as is known."""
        ...

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row as of its last commit; raises `ReadError`."""
        ...

    async def scan(self, table: str, prefix: str, limit: int) -> list[Row]:
        """Return at most `limit` rows by key order; raises `ReadError`."""
        ...


class ObjectError(Exception):
    """The object store did not answer a request, or refused it."""


class ObjectStore(typing.Protocol):
    """The operations of the object store that goldcrestgrade uses."""

    async def put(self, name: str, body: bytes) -> None:
        """Write an object; raises `ObjectError`."""
        ...

    async def get(self, name: str) -> bytes | None:
        """Return an object, or `None` if it does not exist; raises `ObjectError`."""
        ...


class Change(typing.NamedTuple):
    """The latest state of a row that changed."""

    table: str
    key: str
    version: int
    """Commit version of the change."""
    value: Value | None
    """`None` if the row was deleted."""


class Changes(typing.NamedTuple):
    """The changes of a table up to a commit version."""

    changes: tuple[Change, ...]
    version: int
    """Commit version up to which all changes are included."""


class HistoryGone(ReadError):
    """The service no longer keeps the changes that were requested."""


class WatchedTables(TableService, typing.Protocol):
    """A table service whose changes can be watched."""

    async def snapshot(self, table: str) -> Changes:
        """Return all rows of a table as of one commit version; raises `ReadError`."""
        ...

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Wait up to `wait_s` seconds for changes later than the version `after`, and return them.

        Raises `HistoryGone` if the service no longer keeps these changes, and `ReadError`.
        """
        ...

    async def close(self) -> None:
        """Close all connections to the service."""
        ...
