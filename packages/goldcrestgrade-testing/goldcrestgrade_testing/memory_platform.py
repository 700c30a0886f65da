"""The platform's table service and object store in memory, with faults.

Tests use them directly; `platform_server` serves them over HTTP.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import math
import random

from goldcrestgrade.storage import tables

MAX_LOST_COMMITS = 256
"""Largest number of commits that the table service can lose when it comes back from a copy."""


@dataclasses.dataclass
class Faults:
    """Faults of the platform; a test may change them at any time."""

    down: bool = False
    """Every request fails without effect."""
    delay_s: float = 0.0
    """Round trip to the platform.

    A transaction waits half of it before its effect and half after; a read waits half of it, and a
    request to the object store all of it.
    """
    answers_to_lose: int = 0
    """Number of the next transactions that take effect but whose answer is lost."""
    lost_answer_share: float = 0.0
    """Share of transactions that take effect but whose answer is lost."""
    silent: bool = False
    """Requests to the table service get no answer and have no effect."""
    late_effect_s: float = 0.0
    """Delay of the effect of a transaction.

    Above 0, an accepted transaction returns `Unanswered` without waiting for its effect.
    """
    max_writes_per_s: float = math.inf
    """Transactions accepted in a second; more are rejected without effect."""
    rng: random.Random = dataclasses.field(default_factory=lambda: random.Random(0))


class MemoryTables:
    """A transactional table service; commits are serialized."""

    def __init__(self, faults: Faults | None = None) -> None:
        self.faults = faults or Faults()
        self.rows: dict[tuple[str, str], tables.Row] = {}
        self.era = 0
        self.version = 0
        self.current_second = 0
        self.writes_in_second = 0
        self.replaced_rows: collections.deque[dict[tuple[str, str], tables.Row | None]] = (
            collections.deque(maxlen=MAX_LOST_COMMITS)
        )
        """Rows as they were before each of the latest commits; none for one that did not exist."""
        self.writes = 0
        self.reads = 0

    async def transact(self, transaction: tables.Transaction) -> tables.Result:
        """Commit `transaction`, unless a fault prevents or delays it."""
        self.writes += 1
        await self._wait_half_delay()
        if self.faults.down:
            return tables.Rejected("table service is down")
        if self._is_over_rate():
            return tables.Rejected("rate limit")
        if self.faults.late_effect_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_effect_s, self.commit, transaction)
            return tables.Unanswered("answer lost, effect delayed")
        result = self.commit(transaction)
        await self._wait_half_delay()
        if self._loses_answer():
            return tables.Unanswered("answer lost")
        return result

    def _is_over_rate(self) -> bool:
        second = int(asyncio.get_running_loop().time())
        if second != self.current_second:
            self.current_second, self.writes_in_second = second, 0
        self.writes_in_second += 1
        return self.writes_in_second > self.faults.max_writes_per_s

    def _loses_answer(self) -> bool:
        if self.faults.answers_to_lose > 0:
            self.faults.answers_to_lose -= 1
            return True
        return (
            self.faults.lost_answer_share > 0
            and self.faults.rng.random() < self.faults.lost_answer_share
        )

    def commit(self, transaction: tables.Transaction) -> tables.Committed | tables.Conflicted:
        """Check the conditions and apply the writes atomically."""
        failures = tuple(
            tables.Failure(condition, self.rows.get((condition.table, condition.key)))
            for condition in transaction.conditions
            if self._row_position(condition) != condition.position
        )
        if failures:
            return tables.Conflicted(failures)
        self.version += 1
        keys = [(write.table, write.key) for write in transaction.writes]
        self.replaced_rows.append({row_key: self.rows.get(row_key) for row_key in keys})
        for write in transaction.writes:
            self._apply(write)
        return tables.Committed(self.position())

    def restore(self, lost_commits: int) -> None:
        """Come back from a copy without the latest commits, in a new era.

        At most `MAX_LOST_COMMITS` of them, and none of an earlier era, can be lost.
        """
        for _ in range(min(lost_commits, len(self.replaced_rows))):
            self.version -= 1
            for row_key, row in self.replaced_rows.pop().items():
                self.rows.pop(row_key, None)
                if row is not None:
                    self.rows[row_key] = row
        self.replaced_rows.clear()
        self.era += 1
        self.rows = {
            row_key: row._replace(position=row.position._replace(era=self.era))
            for row_key, row in self.rows.items()
        }

    async def read(self, table: str, key: str) -> tables.Row | None:
        """Return a row as of its last commit; raises `ReadError`."""
        await self._apply_read_faults()
        return self.rows.get((table, key))

    async def scan(self, table: str, prefix: str, limit: int) -> list[tables.Row]:
        """Return the first `limit` rows whose keys begin with `prefix`; raises `ReadError`."""
        await self._apply_read_faults()
        found = (
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key.startswith(prefix)
        )
        return list(itertools.islice(found, limit))

    async def _apply_read_faults(self) -> None:
        self.reads += 1
        await self._wait_half_delay()
        if self.faults.down:
            raise tables.ReadError("table service is down")

    async def _wait_half_delay(self) -> None:
        if self.faults.silent:
            await asyncio.Event().wait()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s / 2)

    def position(self) -> tables.Position:
        """Return the position of the last commit."""
        return tables.Position(self.era, self.version)

    def _row_position(self, condition: tables.Condition) -> tables.Position:
        row = self.rows.get((condition.table, condition.key))
        return tables.ABSENT if row is None else row.position

    def _apply(self, write: tables.Write) -> None:
        if write.value is None:
            self.rows.pop((write.table, write.key), None)
        else:
            row = tables.Row(write.table, write.key, self.position(), write.value)
            self.rows[write.table, write.key] = row


class MemoryObjects:
    """An object store; its requests may be slow or fail."""

    def __init__(self, faults: Faults | None = None) -> None:
        self.faults = faults or Faults()
        self.objects: dict[str, bytes] = {}

    async def put(self, name: str, body: bytes) -> None:
        """Write an object; raises `ObjectError`."""
        await self._apply_faults()
        self.objects[name] = body

    async def get(self, name: str) -> bytes | None:
        """Return an object, or `None` if it does not exist; raises `ObjectError`."""
        await self._apply_faults()
        return self.objects.get(name)

    async def _apply_faults(self) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise tables.ObjectError("object store is down")
