"""The row by which all nodes hear of this instance."""

from __future__ import annotations

import asyncio
import logging
import random

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import directory, replica

log = logging.getLogger(__name__)

BACKOFF_BASE_S = 0.2
"""Time before a write that the store did not take is repeated."""

BACKOFF_LIMIT_S = 1.5
"""Longest such time; rows must be back two seconds after the store is."""


class Registration:
    """The task that keeps the own row as it should be; owned by the event loop of the node."""

    def __init__(
        self,
        first: directory.InstanceRow,
        copy: replica.Replica,
        store: tables.TableService,
        clocks: instants.Clocks,
        rng: random.Random,
    ) -> None:
        self.wanted: directory.InstanceRow | None = first
        self.key = directory.INSTANCE_PREFIX + first.node_id
        self.copy = copy
        self.store = store
        self.clocks = clocks
        self.rng = rng
        self.due = asyncio.Event()
        self.settled = asyncio.Event()
        """Set while the row is as wanted."""

    def want(self, row: directory.InstanceRow | None) -> None:
        """Set what the row is to be; none to remove it."""
        if row != self.wanted:
            self.wanted = row
            self.settled.clear()
            self.due.set()

    def seen(self, change: tables.Change) -> None:
        """Take in a change of the own row that this node heard of."""
        if change.value != self._value():
            self.settled.clear()
            self.due.set()

    async def run(self) -> None:
        """Write the row whenever it is not as wanted, until cancelled."""
        self.due.set()
        failures = 0
        while True:
            await self.due.wait()
            self.due.clear()
            if await self._write():
                failures = 0
                continue
            failures += 1
            self.due.set()
            limit_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2 ** (failures - 1))
            await asyncio.sleep(limit_s * self.rng.uniform(0.5, 1.0))

    async def _write(self) -> bool:
        wanted = self._value()
        known = self.copy.rows.get((replica.MESH, self.key))
        if (None if known is None else known.value) == wanted:
            self.settled.set()
            return True
        removed = known is None or known.value is None
        version = tables.ABSENT if removed or known is None else known.version
        former = self._former_rows()
        result = await self.store.transact(
            tables.Transaction(
                (
                    tables.Condition(replica.MESH, self.key, version),
                    *(tables.Condition(replica.MESH, row.key, row.version) for row in former),
                ),
                (
                    tables.Write(replica.MESH, self.key, wanted),
                    *(tables.Write(replica.MESH, row.key, None) for row in former),
                ),
            )
        )
        match result:
            case tables.Committed(version=committed):
                self._take(self.key, committed, wanted)
                log.info("own row written", extra={"version": committed, "row": wanted})
            case tables.Conflicted(failures=failures):
                for failure in failures:
                    self._take_found(failure)
                self.due.set()
            case tables.Rejected(text=text) | tables.Unanswered(text=text):
                log.warning("own row not written", extra={"error": text, "result": result.tag})
                return False
        return True

    def _former_rows(self) -> list[tables.Change]:
        """Return the rows of instances that were at the address of this one before it."""
        if self.wanted is None:
            return []
        address = self.wanted.host, self.wanted.port
        return [
            row
            for (table, key), row in self.copy.rows.items()
            if table == replica.MESH
            and key.startswith(directory.INSTANCE_PREFIX)
            and key != self.key
            and row.value is not None
            and (row.value.get("host"), row.value.get("port")) == address
        ]

    def _take_found(self, failure: tables.Failure) -> None:
        key = failure.condition.key
        if failure.row is not None:
            self._take(key, failure.row.version, failure.row.value)
        else:
            known = self.copy.rows.get((replica.MESH, key))
            self._take(key, 0 if known is None else known.version + 1, None)

    def _take(self, key: str, version: int, value: tables.Value | None) -> None:
        # The version of the table stays: changes of other rows before this one may be unknown.
        change = tables.Change(replica.MESH, key, version, value)
        self.copy.apply_changes(replica.MESH, tables.Changes((change,), 0))

    def _value(self) -> tables.Value | None:
        return None if self.wanted is None else directory.encode(self.wanted)
