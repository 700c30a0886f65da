"""The node's replica of the tables that all nodes share.

Rows only move forward: of two states of a row, the one with the higher commit version is kept.
"""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade.storage import tables

CONFIGURATION = "configuration"
"""Table that holds the configuration in force."""

CURRENT = "current"
"""Key of the configuration in force."""

MESH = "mesh"
"""Table that the nodes write: instance rows and crash rows."""

TABLES = (CONFIGURATION, MESH)
"""The tables that each node watches."""

MAX_TOMBSTONES = 4096
"""Largest number of tombstones of removed rows, from which peers learn of the removals."""

Listener = typing.Callable[[tables.Change], None]
"""Receives a change that is new to this node."""


class Replica:
    """Rows by table and key; owned by the node's event loop."""

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.rows: dict[tuple[str, str], tables.Change] = {}
        self.versions = dict.fromkeys(TABLES, 0)
        """Commit version up to which each table is complete."""
        self.changed = asyncio.Event()
        """Set whenever a row changes, and then replaced by a new event."""

    def apply_changes(self, table: str, received: tables.Changes) -> int:
        """Apply changes and return how many were new."""
        new_changes = [change for change in received.changes if self._is_newer(change)]
        for change in new_changes:
            self.rows[table, change.key] = change
        self.versions[table] = max(self.versions[table], received.version)
        self._evict_tombstones()
        for change in new_changes:
            self.listener(change)
        if new_changes:
            self.changed.set()
            self.changed = asyncio.Event()
        return len(new_changes)

    def apply_snapshot(self, table: str, received: tables.Changes) -> int:
        """Apply a snapshot of a table; rows missing from the snapshot count as removed.

        Return how many changes were new.
        """
        keys = {change.key for change in received.changes}
        removed = tuple(
            row._replace(version=received.version, value=None)
            for (row_table, key), row in self.rows.items()
            if row_table == table
            and key not in keys
            and row.value is not None
            and row.version <= received.version
        )
        return self.apply_changes(
            table, tables.Changes(received.changes + removed, received.version)
        )

    def changes_since(self, table: str, after: int) -> tables.Changes:
        """Return the changes of a table after the version `after`."""
        return tables.Changes(
            tuple(
                row
                for (row_table, _), row in self.rows.items()
                if row_table == table and row.version > after
            ),
            self.versions[table],
        )

    def has_changes_since(self, versions: typing.Mapping[str, int]) -> bool:
        """Return whether a row changed after `versions`, given by table."""
        return any(row.version > versions.get(table, 0) for (table, _), row in self.rows.items())

    def _is_newer(self, change: tables.Change) -> bool:
        known = self.rows.get((change.table, change.key))
        return known is None or change.version > known.version

    def _evict_tombstones(self) -> None:
        removed = sorted(
            (row.version, row_key) for row_key, row in self.rows.items() if row.value is None
        )
        for _, row_key in removed[: max(0, len(removed) - MAX_TOMBSTONES)]:
            del self.rows[row_key]
