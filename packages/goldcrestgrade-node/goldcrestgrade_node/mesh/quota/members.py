"""The share of each quota's flow that a node accrues, from the instances that it knows.

Load pattern: fleets of a few to 1,700 nodes in which nodes join, restart, freeze and lose contact
while quotas are used. The shares of all nodes must add up to at most 1 although their knowledge
differs, so knowledge that lowers the own share applies at once and knowledge that raises it late:

- A node that appears counts at once, and accrues only after `JOIN_DELAY_S`, when those in contact
  know of it.
- A node that disappears counts for `HOLD_S` longer. A node whose knowledge is older than
  `MAX_AGE_S`, and may thus miss that its own row is gone, accrues nothing.

In a large fleet `MAX_ACCRUING` nodes accrue the flow of a workspace, so that collecting it takes a
bounded number of messages.
"""

from __future__ import annotations

import heapq
import typing
import zlib

from goldcrestgrade import instants
from goldcrestgrade_node.mesh.quota import bucket
from goldcrestgrade_node.mesh.state import directory

JOIN_DELAY_S = 3.5
"""Time after which a new node accrues: the bound on contact, 3 s, and `REFRESH_S`."""

MAX_AGE_S = 20.0
"""Age of its knowledge from which a node accrues nothing.

The row of a node that is not reached is removed after 28 s, so a store that is away for less does
not stop the flow.
"""

HOLD_S = 24.0
"""Time for which a removed node still counts: `MAX_AGE_S`, and the time for which the nodes in
contact may differ."""

REFRESH_S = 0.5
"""Time between two comparisons with the directory."""

MAX_ACCRUING = 96
"""Largest number of nodes that accrue the flow of one workspace."""

MAX_CACHED = 256
"""Largest number of workspaces whose accruing nodes are remembered."""


class Members:
    """The nodes that count, and whether this one may accrue; owned by the node's event loop."""

    def __init__(
        self,
        own_id: str,
        own_started_ms: int,
        instances: directory.Directory,
        age_s: typing.Callable[[], float],
        clocks: instants.Clocks,
    ) -> None:
        self.own_id = own_id
        self.own_started_ms = own_started_ms
        self.instances = instances
        self.age_s = age_s
        self.clocks = clocks
        self.refreshed_at: instants.Instant = -instants.NEVER
        self.held: dict[str, instants.Instant] = {}
        """Nodes that count, and the instant when each was last known."""
        self.accrues_from: instants.Instant = instants.NEVER
        """Instant from which this node may accrue; `NEVER` while its row is unknown."""
        self.share_rose_at: instants.Instant = -instants.NEVER
        """Instant at which the share last rose, as a removed node ceased to count."""
        self.accruing: dict[str, frozenset[str]] = {}
        """Nodes that accrue for a workspace, in a fleet above `MAX_ACCRUING`."""

    def accrual(self, workspace: str, now: instants.Instant) -> bucket.Accrual:
        """Return what this node may accrue for a workspace."""
        if self.age_s() > MAX_AGE_S:
            # What it accrued before may have passed to others meanwhile.
            self.accrues_from = max(now, self.accrues_from)
            return bucket.Accrual(0.0, now)
        if now >= self.refreshed_at + REFRESH_S:
            self.refresh(now)
        since = max(self.accrues_from, self.share_rose_at)
        if since > now or not self.accrues(workspace, self.own_id):
            return bucket.Accrual(0.0, now)
        return bucket.Accrual(1 / min(len(self.held), MAX_ACCRUING), since)

    def refresh(self, now: instants.Instant) -> None:
        """Compare the nodes that count with those that are known."""
        known = self.instances.by_id
        self._follow_own_row(now)
        before = len(self.held)
        self.held.update(dict.fromkeys(known, now))
        grown = len(self.held) > before
        gone = [name for name, at in self.held.items() if at + HOLD_S <= now]
        for name in gone:
            del self.held[name]
        if gone:
            self.share_rose_at = now
        if gone or grown:
            self.accruing.clear()
        self.refreshed_at = now

    def _follow_own_row(self, now: instants.Instant) -> None:
        own = self.instances.by_id.get(self.own_id)
        if own is None:
            self.accrues_from = instants.NEVER
        elif self.accrues_from == instants.NEVER:
            # The row of an earlier start shows that the others count this node already.
            known_before = own.row.started_ms != self.own_started_ms
            self.accrues_from = now if known_before else now + JOIN_DELAY_S

    def accrues(self, workspace: str, node_id: str) -> bool:
        """Return whether a node accrues for a workspace as far as this node knows."""
        if len(self.held) <= MAX_ACCRUING:
            return node_id in self.held
        names = self.accruing.get(workspace)
        if names is None:
            if len(self.accruing) >= MAX_CACHED:
                self.accruing.clear()
            names = frozenset(
                heapq.nlargest(MAX_ACCRUING, self.held, key=lambda name: score(workspace, name))
            )
            self.accruing[workspace] = names
        return node_id in names


def score(workspace: str, node_id: str) -> tuple[int, str]:
    """Return the rank of a node for a workspace by rendezvous hashing; the highest is first."""
    mixed = zlib.crc32(f"{workspace}/{node_id}".encode())
    # CRC-32 is linear: without this, all workspaces would rank nodes alike.
    mixed = (mixed ^ mixed >> 16) * 0x45D9F3B % 2**32
    return mixed ^ mixed >> 16, node_id
