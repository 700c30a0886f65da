"""The node's replica of the tables that all nodes share.

Rows only move forward: of two states of a row, the one at the later position is kept. A store that
comes back from a copy of its past begins a new era and has lost its latest commits. Rows that it
has lost stay in use for a while, so that they can be written again.
"""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import evacuations

CONFIGURATION = "configuration"
"""Table of the operator: the configuration in force, and the rows of evacuations."""

CURRENT = "current"
"""Key of the configuration in force."""

MESH = "mesh"
"""Table that the nodes write: instance rows and crash rows."""

TABLES = (CONFIGURATION, MESH)
"""The tables that each node watches."""

MAX_TOMBSTONES = 4096
"""Largest number of tombstones of removed rows, from which peers learn of the removals."""

MAX_KNOWN_VERSIONS = 16
"""Largest number of versions of an operator's row that are remembered."""

LOST_ROW_LIFETIME_S = 2.0
"""Time from the first snapshot of an era for which a row that the store has lost stays in use."""

RowKey = tuple[str, str]
"""Table and key of a row."""

Listener = typing.Callable[[tables.Change], bool]
"""Applies a change that is new to this node; returns whether the replica keeps it."""


class Replica:
    """Rows by table and key; owned by the node's event loop."""

    def __init__(self, listener: Listener, clocks: instants.Clocks) -> None:
        self.listener = listener
        self.clocks = clocks
        self.rows: dict[RowKey, tables.Change] = {}
        """State in use of each row; one of an earlier era than its table's is lost in the store."""
        self.store_rows: dict[RowKey, tables.Change] = {}
        """State in the store of each lost row; missing if the store has no such row."""
        self.known_versions: dict[RowKey, set[int]] = {}
        """Versions at which a row of the operator, other than the configuration, was known."""
        self.positions = dict.fromkeys(TABLES, tables.START)
        """Position up to which each table is complete."""
        self.latest_changes = dict.fromkeys(TABLES, tables.START)
        """Position of the latest change of each table."""
        self.lost_rows_end_at: instants.Instant = instants.NEVER
        self.changed = asyncio.Event()
        """Set whenever a row changes, and then replaced by a new event."""
        self.era_began = asyncio.Event()
        """Set when a new era begins while rows of an earlier one are known."""

    def apply_changes(self, table: str, received: tables.Changes) -> int:
        """Apply changes and return how many were new.

        Changes of another era than the table's have no effect: an earlier one is over, and a later
        one begins with a snapshot.
        """
        if received.position.era != self.positions[table].era:
            return 0
        self.positions[table] = max(self.positions[table], received.position)
        return self._apply([change for change in received.changes if self._is_newer(change)])

    def apply_change(self, change: tables.Change) -> bool:
        """Apply one change, although earlier ones may be missing; return whether it was new."""
        in_era = change.position.era == self.positions[change.table].era
        return in_era and self._is_newer(change) and self._apply([change]) > 0

    def apply_conflict(self, failure: tables.Failure) -> bool:
        """Apply what a failed condition shows of a row; return whether that was new."""
        condition, row = failure
        if row is not None:
            return self.apply_change(tables.Change(*row))
        era, version = condition.position
        # The row was removed at an unknown position after the one of the condition.
        removed_at = tables.Position(era, version + 1)
        return self.apply_change(tables.Change(condition.table, condition.key, removed_at, None))

    def apply_snapshot(self, table: str, received: tables.Changes) -> int:
        """Apply a snapshot of a table; rows missing from the snapshot count as removed.

        A snapshot of a later era begins that era. Return how many changes were new.
        """
        if received.position.era < self.positions[table].era:
            return 0
        begins_era = received.position.era > self.positions[table].era
        if begins_era:
            self._begin_era(table, received)
        keys = {change.key for change in received.changes}
        removed = [
            row._replace(position=received.position, value=None)
            for (row_table, key), row in self.rows.items()
            if row_table == table
            and key not in keys
            and row.value is not None
            and self._is_in_store(row)
            and row.position <= received.position
        ]
        new_changes = [change for change in received.changes if self._replaces(change)]
        self.positions[table] = max(self.positions[table], received.position)
        new_count = self._apply(new_changes + removed)
        if begins_era:
            self.notify()
        return new_count

    def drop_lost_rows(self) -> None:
        """Replace each lost row by its state in the store, since nobody has written it again.

        The configuration and evacuations stay, because they never go back.
        """
        self.lost_rows_end_at = instants.NEVER
        lost = [row for row in self.lost_rows() if row.table == MESH]
        position = self.positions[MESH]
        self._apply(
            [
                self.store_rows.get(
                    (row.table, row.key), row._replace(position=position, value=None)
                )
                for row in lost
            ]
        )

    def lost_rows(self) -> list[tables.Change]:
        """Return the rows, and the tombstones of removed rows, that the store has lost."""
        return [row for row in self.rows.values() if not self._is_in_store(row)]

    def is_lost(self, table: str, key: str) -> bool:
        """Return whether the store has lost the state in use of a row."""
        row = self.rows.get((table, key))
        return row is not None and not self._is_in_store(row)

    def store_position(self, table: str, key: str) -> tables.Position:
        """Return the position of a row in the store, as a condition on the row needs it."""
        row = self.rows.get((table, key))
        if row is not None and not self._is_in_store(row):
            row = self.store_rows.get((table, key))
        return tables.ABSENT if row is None or row.value is None else row.position

    def changes_since(self, table: str, after: tables.Position) -> tables.Changes:
        """Return the changes of a table in the store after `after`.

        If `after` is of an earlier era, these are all its rows. Rows and removals of the operator
        that are in use and that the store has lost are always included.
        """
        in_store = (
            row if self._is_in_store(row) else self.store_rows.get(row_key)
            for row_key, row in self.rows.items()
            if row_key[0] == table
        )
        found = [row for row in in_store if row is not None and row.position > after]
        if table == CONFIGURATION:
            found += [row for row in self.lost_rows() if row.table == CONFIGURATION]
        return tables.Changes(tuple(found), self.positions[table])

    def has_changes_since(self, positions: typing.Mapping[str, tables.Position]) -> bool:
        """Return whether a row changed or an era began after `positions`, given by table."""
        return any(
            self.latest_changes[table] > positions.get(table, tables.START)
            or self.positions[table].era > positions.get(table, tables.START).era
            for table in TABLES
        )

    def _begin_era(self, table: str, snapshot: tables.Changes) -> None:
        """Regard all known rows of a table as lost, until the store or a write shows them again."""
        self.positions[table] = tables.Position(snapshot.position.era, 0)
        in_store = {change.key: change for change in snapshot.changes}
        known = [(row_key, row) for row_key, row in self.rows.items() if row_key[0] == table]
        for row_key, row in known:
            self.store_rows.pop(row_key, None)
            if row.key in in_store:
                self.store_rows[row_key] = in_store[row.key]
            elif row.value is None and table == MESH:
                # The row is missing from the store, as it should be. Removals of operator's rows
                # stay, so that a peer that missed one does not bring the row back.
                del self.rows[row_key]
        if table == MESH and known:
            self.lost_rows_end_at = self.clocks.monotonic() + LOST_ROW_LIFETIME_S
            self.era_began.set()

    def _apply(self, new_changes: typing.Sequence[tables.Change]) -> int:
        kept = [change for change in new_changes if self.listener(change)]
        for change in kept:
            row_key = change.table, change.key
            before = self.rows.get(row_key)
            self.rows[row_key] = change
            if change.table == CONFIGURATION and change.value is not None:
                self._record_version(change)
            if self._is_in_store(change):
                self.store_rows.pop(row_key, None)
                self.latest_changes[change.table] = max(
                    self.latest_changes[change.table], change.position
                )
            elif before is not None and self._is_in_store(before):
                self.store_rows[row_key] = before
        self._evict_tombstones()
        if kept:
            self.notify()
        return len(kept)

    def notify(self) -> None:
        """Wake everyone who waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _is_in_store(self, row: tables.Change) -> bool:
        return row.position.era == self.positions[row.table].era

    def _is_newer(self, change: tables.Change) -> bool:
        known = self.rows.get((change.table, change.key))
        if known is None or change.position > known.position:
            return True
        return _is_ordered_by_listener(change) and change.value != known.value

    def _replaces(self, change: tables.Change) -> bool:
        """Return whether a row of a snapshot replaces the state in use.

        A lost row that is newer than the store's stays in use.
        """
        known = self.rows.get((change.table, change.key))
        if known is None or self._is_in_store(known):
            return self._is_newer(change)
        if change.table == CONFIGURATION and not _is_ordered_by_listener(change):
            versions = self.known_versions.get((change.table, change.key), set())
            return evacuations.replaces_lost(known, change, versions)
        return (
            _is_ordered_by_listener(change)
            or known.value == change.value
            or known.position.version <= change.position.version
        )

    def _record_version(self, row: tables.Change) -> None:
        if not _is_ordered_by_listener(row):
            versions = self.known_versions.setdefault((row.table, row.key), set())
            versions.add(row.position.version)
            if len(versions) > MAX_KNOWN_VERSIONS:
                versions.remove(min(versions))

    def _evict_tombstones(self) -> None:
        removed = sorted(
            (row.position, row_key)
            for row_key, row in self.rows.items()
            if row.value is None and row.table == MESH
        )
        for _, row_key in removed[: max(0, len(removed) - MAX_TOMBSTONES)]:
            del self.rows[row_key]


def _is_ordered_by_listener(change: tables.Change) -> bool:
    """Return whether the listener knows the order of two states of a row, whatever their eras.

    It does so for the configuration, which has a version of its own.
    """
    return change.table == CONFIGURATION and change.key == CURRENT
