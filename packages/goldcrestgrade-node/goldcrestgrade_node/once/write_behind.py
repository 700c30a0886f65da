"""Writes outcomes to claim rows after the client has received its answer.

The queue holds at most one entry for each execution that the guard keeps. Entries stay queued
during an outage of the table service.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import typing

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.once import rows

log = logging.getLogger(__name__)

FLUSH_DELAY_S = 0.25
"""Time for which the writer waits for further outcomes before it writes a group."""

RETRY_DELAY_S = 1.0
"""Shortest delay before repeating a write that the table service rejected or did not answer."""

MAX_GROUP_OUTCOMES = tables.MAX_TRANSACTION_WRITES
"""Largest number of outcomes in one transaction."""

MAX_GROUP_BYTES = 512 << 10
"""Largest total size of the answers in one transaction of more than one outcome."""


class Entry(typing.NamedTuple):
    """A queued outcome."""

    row_key: str
    position: tables.Position
    """Position of the claim row to which the outcome belongs."""
    document: rows.ClaimDocument
    on_written: typing.Callable[[], None]
    """Called once the outcome is in the row, or the row belongs to another claim."""

    def answer_bytes(self) -> int:
        """Return the size of the answer's encoded body, 0 without an answer."""
        answer = self.document["answer"]
        return 0 if answer is None else len(answer["body"])


class WriteBehind:
    """Queue of outcomes; `run` is the task that writes them."""

    def __init__(self, store: tables.TableService, clocks: instants.Clocks) -> None:
        self.store = store
        self.clocks = clocks
        self.entries: dict[tuple[str, tables.Position], Entry] = {}
        self.entry_added = asyncio.Event()

    def add(self, entry: Entry) -> None:
        """Queue `entry` for writing."""
        self.entries[entry.row_key, entry.position] = entry
        self.entry_added.set()

    def is_idle(self) -> bool:
        """Return whether every outcome is written."""
        return not self.entries

    async def run(self) -> None:
        """Write outcomes in groups until cancelled."""
        while True:
            await self.entry_added.wait()
            await asyncio.sleep(FLUSH_DELAY_S)
            while self.entries:
                await self._write(_next_group(self.entries.values()))
            self.entry_added.clear()

    async def _write(self, group: list[Entry]) -> None:
        result = await self.store.transact(_transaction(group))
        match result:
            case tables.Committed():
                self._remove(group)
            case tables.Conflicted(failures=failures):
                failed = {failure.condition.key for failure in failures}
                self._remove([entry for entry in group if entry.row_key in failed])
            case tables.Rejected() | tables.Unanswered():
                retry_at = self.clocks.monotonic() + RETRY_DELAY_S
                if isinstance(result, tables.Rejected):
                    retry_at = max(retry_at, result.retry_at or 0.0)
                await asyncio.sleep(retry_at - self.clocks.monotonic())

    def _remove(self, group: list[Entry]) -> None:
        for entry in group:
            self.entries.pop((entry.row_key, entry.position), None)
            entry.on_written()


def _next_group(entries: typing.Iterable[Entry]) -> list[Entry]:
    """Return the first of `entries`, as many as fit into one transaction."""
    first_entries = list(itertools.islice(entries, MAX_GROUP_OUTCOMES))
    sizes = itertools.accumulate(entry.answer_bytes() for entry in first_entries)
    fitting_count = sum(size <= MAX_GROUP_BYTES for size in sizes)
    return first_entries[: max(1, fitting_count)]


def _transaction(group: list[Entry]) -> tables.Transaction:
    return tables.Transaction(
        conditions=tuple(
            tables.Condition(rows.TABLE, entry.row_key, entry.position) for entry in group
        ),
        writes=tuple(
            tables.Write(rows.TABLE, entry.row_key, typing.cast(tables.Value, entry.document))
            for entry in group
        ),
    )
