"""Restoration of shared rows that the store lost when it came back from a copy of its past.

Load pattern: all rows written since the copy are missing at once, and the store accepts few writes
a second. The first node of each failure domain writes the lost rows of the domain in a few
transactions. The other nodes write their own rows only if that did not happen soon.
"""

from __future__ import annotations

import asyncio
import logging
import random
import typing

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import directory, replica

log = logging.getLogger(__name__)

MAX_ROWS = 40
"""Largest number of rows in one transaction; each row takes a condition and a write."""

MAX_SHARED_DELAY_S = 0.3
"""Longest delay before rows are restored that belong to no failure domain.

One of the nodes is then mostly ahead of the others, which find nothing left to write.
"""

OWN_ROW_DELAY_S = (0.5, 1.3)
"""Shortest and longest delay before a node writes its own row if it is still lost."""

WRITE_ATTEMPTS = 4
"""Largest number of attempts of a write."""

WRITE_RETRY_DELAY_S = 0.2
"""Delay between two attempts of a write."""


def transaction(
    local_replica: replica.Replica, lost: typing.Sequence[tables.Change]
) -> tables.Transaction:
    """Return the transaction that restores rows and removals if the store's rows are as known."""
    return tables.Transaction(
        tuple(
            tables.Condition(row.table, row.key, local_replica.store_position(row.table, row.key))
            for row in lost
        ),
        tuple(tables.Write(row.table, row.key, row.value) for row in lost),
    )


def lost_rows_of(local_replica: replica.Replica, failure_domain: str) -> list[tables.Change]:
    """Return the lost instance rows of a failure domain, without malformed ones."""
    return [
        row
        for row in local_replica.lost_rows()
        if row.table == replica.MESH
        and row.value is not None
        and row.key.startswith(directory.INSTANCE_PREFIX)
        and _failure_domain(row) == failure_domain
    ]


def _failure_domain(row: tables.Change) -> str | None:
    """Return the failure domain in an instance row, or none if the row is malformed."""
    node_id = row.key.removeprefix(directory.INSTANCE_PREFIX)
    instance = None if row.value is None else directory.decode(node_id, row.value)
    return None if instance is None else instance.place.failure_domain


def lost_shared_rows(local_replica: replica.Replica) -> list[tables.Change]:
    """Return the lost rows and removals that belong to no failure domain."""
    return [
        row
        for row in local_replica.lost_rows()
        if row.table == replica.MESH
        and (row.value is None or not row.key.startswith(directory.INSTANCE_PREFIX))
    ]


class Restoration:
    """The task that restores lost rows; owned by the node's event loop."""

    def __init__(
        self,
        failure_domain: str,
        local_replica: replica.Replica,
        store: tables.TableService,
        is_first_in_failure_domain: typing.Callable[[], bool],
        write_own_row: typing.Callable[[], None],
        clocks: instants.Clocks,
        rng: random.Random,
    ) -> None:
        self.failure_domain = failure_domain
        self.replica = local_replica
        self.store = store
        self.is_first_in_failure_domain = is_first_in_failure_domain
        self.write_own_row = write_own_row
        self.clocks = clocks
        self.rng = rng

    async def run(self) -> None:
        """Restore lost rows at the start of each era, until cancelled."""
        async with asyncio.TaskGroup() as group:
            restoring: asyncio.Task[None] | None = None
            while True:
                await self.replica.era_began.wait()
                self.replica.era_began.clear()
                log.warning(
                    "store came back from a copy of its past; lost rows are written again",
                    extra={
                        "position": str(self.replica.positions[replica.MESH]),
                        "lost": len(self.replica.lost_rows()),
                    },
                )
                if restoring is not None:
                    restoring.cancel()
                restoring = group.create_task(self._restore())

    async def _restore(self) -> None:
        own_row_at = self.clocks.monotonic() + self.rng.uniform(*OWN_ROW_DELAY_S)
        end_at = self.replica.lost_rows_end_at
        if self.is_first_in_failure_domain():
            await self._write(lost_rows_of(self.replica, self.failure_domain))
            await asyncio.sleep(self.rng.uniform(0.0, MAX_SHARED_DELAY_S))
            await self._write(lost_shared_rows(self.replica))
        await asyncio.sleep(max(0.0, own_row_at - self.clocks.monotonic()))
        self.write_own_row()
        await asyncio.sleep(max(0.0, end_at - self.clocks.monotonic()))
        lost = [row.key for row in self.replica.lost_rows() if row.table == replica.MESH]
        log.info("lost rows that nobody wrote again are dropped", extra={"rows": lost[:MAX_ROWS]})
        self.replica.drop_lost_rows()

    async def _write(self, lost: typing.Sequence[tables.Change]) -> None:
        for first in range(0, len(lost), MAX_ROWS):
            await self._write_together(lost[first : first + MAX_ROWS])

    async def _write_together(self, lost: typing.Sequence[tables.Change]) -> None:
        for _ in range(WRITE_ATTEMPTS):
            still_lost = [row for row in lost if self.replica.is_lost(row.table, row.key)]
            if not still_lost:
                return
            result = await self.store.transact(transaction(self.replica, still_lost))
            log.info(
                "lost rows written again",
                extra={"rows": [row.key for row in still_lost], "result": result.tag},
            )
            match result:
                case tables.Committed(position=position):
                    for row in still_lost:
                        self.replica.apply_change(row._replace(position=position))
                    return
                case tables.Conflicted(failures=failures):
                    # Another node has written these rows meanwhile.
                    for failure in failures:
                        self.replica.apply_conflict(failure)
                case _:
                    await asyncio.sleep(WRITE_RETRY_DELAY_S)
