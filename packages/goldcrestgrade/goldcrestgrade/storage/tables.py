"""Interfaces of the platform's transactional table service and of its object store."""

from __future__ import annotations

import dataclasses
import typing

from goldcrestgrade import instants

Value = dict[str, typing.Any]
"""A JSON object stored in a row."""


class Position(typing.NamedTuple):
    """A point in the history of the store; a later one is greater.

    The store begins a new era each time it comes back from a copy of its past. Versions that it had
    given out after that copy are then given out again, so only the pair is unique.
    """

    era: int
    version: int
    """Commit version; rises by one with each transaction of an era."""

    def __str__(self) -> str:
        """Return the form that `parse_position` reads."""
        return f"{self.era}.{self.version}"


def parse_position(text: str) -> Position:
    """Return the position in `text`; raises `ValueError` if it is malformed."""
    era, _, version = text.partition(".")
    return Position(int(era), int(version))


START = Position(0, 0)
"""Position before the first commit of the first era."""

ABSENT = START
"""Position of a row that does not exist."""

MAX_TRANSACTION_WRITES = 100
"""Largest number of writes in one transaction."""


class Row(typing.NamedTuple):
    """A row and the position of the commit that wrote it."""

    table: str
    key: str
    position: Position
    value: Value


class Condition(typing.NamedTuple):
    """Requires that a row has `position`; `ABSENT` requires that it does not exist."""

    table: str
    key: str
    position: Position


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
    """The transaction took effect as the commit at `position`."""

    position: Position
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


class ReadCut(ReadError):
    """A read was given up while parts of its answer were arriving."""


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
    position: Position
    """Position of the commit."""
    value: Value | None
    """`None` if the row was deleted."""


class Changes(typing.NamedTuple):
    """The changes of a table up to a position."""

    changes: tuple[Change, ...]
    position: Position
    """Position up to which all changes are included."""


class HistoryGone(ReadError):
    """The service no longer keeps the changes that were requested, or is in another era."""


class WatchedTables(TableService, typing.Protocol):
    """A table service whose changes can be watched."""

    async def snapshot(self, table: str, transfer_s: float) -> Changes:
        """Return all rows of a table as of one position; raises `ReadError`.

        Raises `ReadCut` if an answer takes longer than `transfer_s` seconds to arrive.
        """
        ...

    async def changes(
        self, table: str, after: Position, wait_s: float, transfer_s: float
    ) -> Changes:
        """Wait up to `wait_s` seconds for changes later than `after`, and return them.

        Raises `HistoryGone` if the service no longer keeps these changes or is in a later era than
        `after`, `ReadCut` if the answer takes longer than `transfer_s` seconds to arrive, and
        `ReadError`.
        """
        ...

    def on_era(self, listener: typing.Callable[[int], None]) -> None:
        """Have `listener` called with each new era that an answer of the service shows."""
        ...

    async def close(self) -> None:
        """Close all connections to the service."""
        ...
