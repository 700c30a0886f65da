"""Registration of this instance: the row by which all nodes learn of it.

A second row holds the id and service of the endpoint, by which the node finds its endpoint again
after a restart. Both are written in one transaction.
"""

from __future__ import annotations

import asyncio
import logging
import random

from goldcrestgrade import backoffs, instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import directory, pacing, replica

log = logging.getLogger(__name__)

ENDPOINT_PREFIX = "endpoint/"
"""Prefix of the keys of rows that hold the id and service of a node's endpoint."""

BACKOFF_BASE_S = 0.2
"""Longest backoff after the first failed write; it doubles with each further failure."""

WRITE_INTERVAL_S = 0.25
"""Mean time between writes of the row while another writer goes on to replace it."""

WRITE_BURST_S = 2.0
"""Time whose writes may follow each other without a pause."""

MAX_SUPERSEDED = 40
"""Largest number of rows at the own address that are removed in one transaction."""

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
        self.endpoint_key = ENDPOINT_PREFIX + initial.node_id
        self.endpoint: tables.Value | None = None
        """Desired row of the endpoint; none removes it."""
        self.has_found_endpoint = False
        """Whether this process has found an endpoint; the row stays as it is before."""
        self.replica = local_replica
        self.store = store
        self.clocks = clocks
        self.rng = rng
        self.pacer = pacing.Pacer(clocks, WRITE_INTERVAL_S, WRITE_BURST_S)
        self.write_due = asyncio.Event()
        self.up_to_date = asyncio.Event()
        """Set while the row equals the desired one."""

    def set_desired(self, row: directory.InstanceRow | None) -> None:
        """Set the desired row; none removes it."""
        if row != self.desired:
            self.desired = row
            self.up_to_date.clear()
            self.write_due.set()

    def set_endpoint(self, endpoint_id: str, service: str) -> None:
        """Set the id and service of the endpoint that this process has found."""
        self._set_endpoint({"endpoint_id": endpoint_id, "service": service})

    def clear_endpoint(self) -> None:
        """Remove the row of an endpoint that this process had found and that is gone."""
        if self.has_found_endpoint:
            self._set_endpoint(None)

    def _set_endpoint(self, value: tables.Value | None) -> None:
        if value != self.endpoint or not self.has_found_endpoint:
            self.endpoint = value
            self.has_found_endpoint = True
            self.up_to_date.clear()
            self.write_due.set()

    def on_own_row_change(self, change: tables.Change) -> None:
        """Schedule a write if a change of an own row differs from the desired row."""
        desired = self._desired_values()
        if change.key in desired and change.value != desired[change.key]:
            self.up_to_date.clear()
            self.write_due.set()

    def on_other_row_change(self, change: tables.Change) -> None:
        """Schedule a write if another row takes the address of this instance.

        Nodes that read it take it for the successor of this instance.
        """
        if self._is_superseded(change):
            self.up_to_date.clear()
            self.write_due.set()

    def check(self) -> None:
        """Have the row written unless the store has it in its desired state."""
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
                await self.pacer.pause()
                continue
            failures += 1
            self.write_due.set()
            limit_s = backoffs.exponential_s(failures, BACKOFF_BASE_S, BACKOFF_LIMIT_S)
            await asyncio.sleep(limit_s * self.rng.uniform(0.5, 1.0))

    async def _write(self) -> bool:
        unwritten = {
            key: value
            for key, value in self._desired_values().items()
            if self._known_value(key) != value or self.replica.is_lost(replica.MESH, key)
        }
        superseded_keys = [row.key for row in self._superseded_rows()[:MAX_SUPERSEDED]]
        writes: dict[str, tables.Value | None] = {**unwritten, **dict.fromkeys(superseded_keys)}
        if not writes:
            self.up_to_date.set()
            return True
        # Written again, the own row is later than those that another writer has left here.
        writes = {self.key: self._desired_values()[self.key], **writes}
        result = await self.store.transact(
            tables.Transaction(
                tuple(
                    tables.Condition(
                        replica.MESH, key, self.replica.store_position(replica.MESH, key)
                    )
                    for key in writes
                ),
                tuple(tables.Write(replica.MESH, key, value) for key, value in writes.items()),
            )
        )
        match result:
            case tables.Committed(position=position):
                for key, value in writes.items():
                    self.replica.apply_change(tables.Change(replica.MESH, key, position, value))
                if self._superseded_rows():
                    self.write_due.set()
                log.info("own row written", extra={"position": str(position), "rows": unwritten})
            case tables.Conflicted(failures=failures):
                # Without news, the store is in an era that this node has not read yet.
                news = [self.replica.apply_conflict(failure) for failure in failures]
                self.write_due.set()
                return any(news)
            case tables.Rejected(text=text) | tables.Unanswered(text=text):
                log.warning(
                    "own row not written; retried after a backoff",
                    extra={"error": text, "result": result.tag},
                )
                return False
        return True

    def _superseded_rows(self) -> list[tables.Change]:
        """Return the rows of other instances at the address of this one."""
        return [row for row in self.replica.rows.values() if self._is_superseded(row)]

    def _is_superseded(self, row: tables.Change) -> bool:
        return (
            self.desired is not None
            and row.table == replica.MESH
            and row.key.startswith(directory.INSTANCE_PREFIX)
            and row.key != self.key
            and row.value is not None
            and (row.value.get("host"), row.value.get("port"))
            == (self.desired.host, self.desired.port)
        )

    def _desired_values(self) -> dict[str, tables.Value | None]:
        """Return the desired rows by key; none removes a row."""
        own = None if self.desired is None else directory.encode(self.desired)
        endpoint = {self.endpoint_key: self.endpoint} if self.has_found_endpoint else {}
        return {self.key: own, **endpoint}

    def _known_value(self, key: str) -> tables.Value | None:
        known = self.replica.rows.get((replica.MESH, key))
        return None if known is None else known.value


def decode_endpoint(value: tables.Value) -> tuple[str, str] | None:
    """Return the id and service in the row of an endpoint, or none if it is malformed."""
    endpoint_id, service = value.get("endpoint_id"), value.get("service")
    if not isinstance(endpoint_id, str) or not isinstance(service, str):
        return None
    return endpoint_id, service
