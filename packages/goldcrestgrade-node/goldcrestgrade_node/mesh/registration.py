"""Registration of this instance: the row by which all nodes learn of it."""

from __future__ import annotations

import asyncio
import logging
import random

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import directory, replica

log = logging.getLogger(__name__)

BACKOFF_BASE_S = 0.2
"""Longest backoff after the first failed write; it doubles with each further failure."""

BACKOFF_LIMIT_S = 1.5
"""Longest backoff; rows must be written again within two seconds of the store's recovery."""


class Registration:
    """The task that keeps the own row in its desired state; owned by the event loop of the node."""

    def __init__(
        self,
        initial: directory.InstanceRow,
        local_replica: replica.Replica,
        store: tables.TableService,
        clocks: instants.Clocks,
        rng: random.Random,
    ) -> None:
        self.desired: directory.InstanceRow | None = initial
        self.key = directory.INSTANCE_PREFIX + initial.node_id
        self.replica = local_replica
        self.store = store
        self.clocks = clocks
        self.rng = rng
        self.write_due = asyncio.Event()
        self.up_to_date = asyncio.Event()
        """Set while the row equals the desired one."""

    def set_desired(self, row: directory.InstanceRow | None) -> None:
        """Set the desired row; none removes it."""
        if row != self.desired:
            self.desired = row
            self.up_to_date.clear()
            self.write_due.set()

    def on_own_row_change(self, change: tables.Change) -> None:
        """Schedule a write if a change of the own row differs from the desired row."""
        if change.value != self._desired_value():
            self.up_to_date.clear()
            self.write_due.set()

    async def run(self) -> None:
        """Write the row whenever it differs from the desired one, until cancelled."""
        self.write_due.set()
        failures = 0
        while True:
            await self.write_due.wait()
            self.write_due.clear()
            if await self._write():
                failures = 0
                continue
            failures += 1
            self.write_due.set()
            limit_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2 ** (failures - 1))
            await asyncio.sleep(limit_s * self.rng.uniform(0.5, 1.0))

    async def _write(self) -> bool:
        desired = self._desired_value()
        known = self.replica.rows.get((replica.MESH, self.key))
        if (None if known is None else known.value) == desired:
            self.up_to_date.set()
            return True
        absent = known is None or known.value is None
        version = tables.ABSENT if absent or known is None else known.version
        superseded = self._superseded_rows()
        result = await self.store.transact(
            tables.Transaction(
                (
                    tables.Condition(replica.MESH, self.key, version),
                    *(tables.Condition(replica.MESH, row.key, row.version) for row in superseded),
                ),
                (
                    tables.Write(replica.MESH, self.key, desired),
                    *(tables.Write(replica.MESH, row.key, None) for row in superseded),
                ),
            )
        )
        match result:
            case tables.Committed(version=committed):
                self._apply_change(self.key, committed, desired)
                log.info("own row written", extra={"version": committed, "row": desired})
            case tables.Conflicted(failures=failures):
                for failure in failures:
                    self._apply_conflict(failure)
                self.write_due.set()
            case tables.Rejected(text=text) | tables.Unanswered(text=text):
                log.warning(
                    "own row not written; retried after a backoff",
                    extra={"error": text, "result": result.tag},
                )
                return False
        return True

    def _superseded_rows(self) -> list[tables.Change]:
        """Return the rows of earlier instances at the address of this one."""
        if self.desired is None:
            return []
        address = self.desired.host, self.desired.port
        return [
            row
            for (table, key), row in self.replica.rows.items()
            if table == replica.MESH
            and key.startswith(directory.INSTANCE_PREFIX)
            and key != self.key
            and row.value is not None
            and (row.value.get("host"), row.value.get("port")) == address
        ]

    def _apply_conflict(self, failure: tables.Failure) -> None:
        key = failure.condition.key
        if failure.row is not None:
            self._apply_change(key, failure.row.version, failure.row.value)
        else:
            known = self.replica.rows.get((replica.MESH, key))
            self._apply_change(key, 0 if known is None else known.version + 1, None)

    def _apply_change(self, key: str, version: int, value: tables.Value | None) -> None:
        # Version 0 leaves the table's version as it is, since changes of other rows before this one
        # may not have arrived yet.
        change = tables.Change(replica.MESH, key, version, value)
        self.replica.apply_changes(replica.MESH, tables.Changes((change,), 0))

    def _desired_value(self) -> tables.Value | None:
        return None if self.desired is None else directory.encode(self.desired)
