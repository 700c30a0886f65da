"""Withdrawn keys of workspaces, as far as they concern requests that were accepted before.

Load pattern: a request waits for an endpoint for seconds while the key that it came with is
withdrawn. Its node doesn't know the key, only by which version of the configuration the entry node
accepted it.
"""

from __future__ import annotations

import typing

from goldcrestgrade import instants, routes

SETTLE_S = 1.5
"""Time after a withdrawal is known for which requests that were accepted before may still start.

Entry nodes learn of the same configuration within this time, so that requests with the other keys
of the workspace are not refused. With the 3 s in which a configuration is in force, it stays below
the 5 s in which a withdrawal must be.
"""

RETENTION_S = 3600.0
"""Time for which a withdrawal is remembered; no request waits longer."""


class Withdrawal(typing.NamedTuple):
    """A configuration that took a key from a workspace."""

    version: int
    known_at: instants.Instant


class Withdrawals:
    """The latest withdrawal from each workspace; owned by the event loop of the node."""

    def __init__(self) -> None:
        self.by_workspace: dict[str, Withdrawal] = {}

    def record(
        self, before: routes.RouteTable, after: routes.RouteTable, now: instants.Instant
    ) -> None:
        """Record the workspaces that lost a key as `after` took the place of `before`."""
        kept = {
            name: withdrawal
            for name, withdrawal in self.by_workspace.items()
            if now - withdrawal.known_at < RETENTION_S
        }
        lost = {
            name
            for digest, name in before.workspace_by_key.items()
            if after.workspace_by_key.get(digest) != name
        }
        self.by_workspace = kept | dict.fromkeys(lost, Withdrawal(after.version, now))

    def concerns(self, workspace: str, version: int, now: instants.Instant) -> bool:
        """Return whether the key of a request accepted by `version` may have been withdrawn."""
        found = self.by_workspace.get(workspace)
        return found is not None and version < found.version and now >= found.known_at + SETTLE_S
