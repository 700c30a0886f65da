"""Backoffs of one workspace from the instances that serve it no more than its share.

Load pattern: a hot workspace sends through all nodes, and its requests are rejected by endpoints
whose queues it fills. Each entry node keeps its further requests away from these endpoints for a
moment, and goes on to offer them those of other workspaces.
"""

from __future__ import annotations

from goldcrestgrade import instants


class ShareBackoffs:
    """Instants until which workspaces are not offered to nodes; owned by the event loop."""

    def __init__(self) -> None:
        self.until: dict[str, dict[str, instants.Instant]] = {}
        """End of the backoff by workspace and node id, for backoffs that have not ended."""
        self.prune_at: instants.Instant = 0.0

    def record(
        self, workspace: str, node_id: str, until: instants.Instant, now: instants.Instant
    ) -> None:
        """Record that a node rejected a workspace beyond its share."""
        if now >= self.prune_at:
            self.prune_at = now + PRUNE_INTERVAL_S
            for name in list(self.until):
                self.of(name, now)
        self.until.setdefault(workspace, {})[node_id] = until

    def of(self, workspace: str, now: instants.Instant) -> frozenset[str]:
        """Return the ids of the nodes that the workspace is not offered to."""
        if workspace not in self.until:
            return frozenset()
        left = {node_id: until for node_id, until in self.until[workspace].items() if until > now}
        if left:
            self.until[workspace] = left
        else:
            del self.until[workspace]
        return frozenset(left)

    def earliest(self, workspace: str, now: instants.Instant) -> instants.Instant | None:
        """Return the end of the first backoff of a workspace, or none if it has none."""
        return min(self.until[workspace].values()) if self.of(workspace, now) else None


PRUNE_INTERVAL_S = 1.0
"""Time between two removals of ended backoffs, which last at most as long."""
