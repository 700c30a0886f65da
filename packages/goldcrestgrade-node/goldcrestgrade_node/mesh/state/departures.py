"""Departures of endpoints, kept in the store so that they outlast the process of their node.

A node confirms that its endpoint leaves, and may be killed and started again while the endpoint
still serves. A heartbeat that the endpoint sent before may arrive at the new process, which must
not take it for a sign that the endpoint is in use.

Each departure is one small write. Rows are removed once no heartbeat can be so late.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import typing

from goldcrestgrade import backoffs, instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.endpoint import endpoints
from goldcrestgrade_node.mesh.state import replica

log = logging.getLogger(__name__)

KEY_PREFIX = "departure/"
"""Prefix of the keys of departure rows, one for each node."""

MAX_CONFIRMATION_DELAY_S = 0.4
"""Longest wait for the store before a departure is confirmed.

Endpoints expect an answer within a second. Without the store, the process alone remembers it.
"""

LIFETIME_S = 60.0
"""Age from which a row is removed; heartbeats arrive some seconds late at most."""

REMOVAL_INTERVAL_S = 30.0
"""Time between two searches for old rows."""

MAX_REMOVED = 40
"""Largest number of rows that are removed in one transaction."""

BACKOFF_BASE_S = 0.2
"""Longest backoff after the first failed write; it doubles with each further failure."""

BACKOFF_LIMIT_S = 1.5
"""Longest backoff after any failure."""


class Departures:
    """Writes the departures of the own endpoint and applies those written by earlier processes."""

    def __init__(
        self,
        node_id: str,
        own: endpoints.OwnEndpoint,
        local_replica: replica.Replica,
        store: tables.TableService,
        is_first_node: typing.Callable[[], bool],
        clocks: instants.Clocks,
        rng: random.Random,
    ) -> None:
        self.key = KEY_PREFIX + node_id
        self.own = own
        self.replica = local_replica
        self.store = store
        self.is_first_node = is_first_node
        """Returns whether this node removes old rows for all nodes."""
        self.clocks = clocks
        self.rng = rng
        self.unwritten: tables.Value | None = None
        """Latest departure, until the store has it."""
        self.write_due = asyncio.Event()
        self.written = asyncio.Event()

    async def record(self, endpoint_id: str, born_ms: int | None) -> str:
        """Record that an endpoint left, and return how its departure was classified.

        Returns once the store has the departure, after `MAX_CONFIRMATION_DELAY_S` at the latest.
        """
        result = self.own.record_departure(endpoint_id, born_ms)
        self.unwritten = {
            "endpoint_id": endpoint_id,
            "born_ms": self.own.departed[endpoint_id],
            "recorded_ms": int(1000 * self.clocks.wall()),
        }
        self.written.clear()
        self.write_due.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_CONFIRMATION_DELAY_S):
                await self.written.wait()
        return result

    def apply_change(self, change: tables.Change) -> None:
        """Apply a row of an earlier process of this node; rows of other nodes are ignored."""
        if change.key != self.key or change.value is None:
            return
        endpoint_id, born_ms = change.value.get("endpoint_id"), change.value.get("born_ms")
        if (
            not isinstance(endpoint_id, str)
            or type(born_ms) is not int
            or not self.own.is_plausible_start(born_ms)
        ):
            log.warning("departure row is malformed; ignored", extra={"key": change.key})
            return
        self.own.restore_departure(endpoint_id, born_ms)

    async def run(self) -> None:
        """Write departures, and remove old rows, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._write_departures())
            group.create_task(self._remove_old_rows())

    async def _write_departures(self) -> None:
        failures = 0
        while True:
            await self.write_due.wait()
            self.write_due.clear()
            departure = self.unwritten
            if departure is None:
                continue
            if await self._write(departure):
                failures = 0
                if self.unwritten is departure:
                    self.unwritten = None
                    self.written.set()
                continue
            failures += 1
            self.write_due.set()
            limit_s = backoffs.exponential_s(failures, BACKOFF_BASE_S, BACKOFF_LIMIT_S)
            await asyncio.sleep(limit_s * self.rng.uniform(0.5, 1.0))

    async def _write(self, departure: tables.Value) -> bool:
        """Write the row of this node; return whether the store has it."""
        write = tables.Write(replica.MESH, self.key, departure)
        result = await self.store.transact(
            tables.Transaction((self._condition(self.key),), (write,))
        )
        match result:
            case tables.Committed(position=position):
                change = tables.Change(replica.MESH, self.key, position, departure)
                self.replica.apply_change(change)
                log.info("departure written", extra={"row": departure, "position": str(position)})
                return True
            case tables.Conflicted(failures=conflicts):
                for conflict in conflicts:
                    self.replica.apply_conflict(conflict)
            case tables.Rejected(text=text) | tables.Unanswered(text=text):
                log.warning("departure not written; retried", extra={"error": text})
        return False

    async def _remove_old_rows(self) -> None:
        while True:
            await asyncio.sleep(REMOVAL_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            old_keys = self._old_keys()[:MAX_REMOVED]
            if old_keys and self.is_first_node():
                result = await self.store.transact(
                    tables.Transaction(
                        tuple(map(self._condition, old_keys)),
                        tuple(tables.Write(replica.MESH, key, None) for key in old_keys),
                    )
                )
                log.info(
                    "removal of old departure rows",
                    extra={"rows": old_keys, "result": result.tag},
                )

    def _condition(self, key: str) -> tables.Condition:
        """Return the condition that a row is as this node knows it."""
        return tables.Condition(replica.MESH, key, self.replica.store_position(replica.MESH, key))

    def _old_keys(self) -> list[str]:
        """Return the keys of rows that are old, or do not say when they were written."""
        now_ms = 1000 * self.clocks.wall()
        return [
            key
            for (table, key), row in self.replica.rows.items()
            if table == replica.MESH
            and key.startswith(KEY_PREFIX)
            and row.value is not None
            and not _is_recent(row.value.get("recorded_ms"), now_ms)
        ]


def _is_recent(recorded_ms: typing.Any, now_ms: float) -> bool:
    """Return whether a row was written lately by the clock of its node."""
    return type(recorded_ms) is int and abs(now_ms - recorded_ms) <= 1000 * LIFETIME_S
