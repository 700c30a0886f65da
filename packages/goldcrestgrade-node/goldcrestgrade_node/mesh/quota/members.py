"""The share of each quota's flow that a node accrues, from the instances that it knows.

Load pattern: fleets of a few to 1,700 nodes in which nodes join, restart, freeze and lose contact
while quotas are used. The shares of all nodes must add up to at most 1 although their knowledge
differs, so knowledge that lowers the own share applies at once and knowledge that raises it late:

- A node that appears counts at once, and accrues only after `JOIN_DELAY_S`, when those in contact
  know of it. One whose knowledge is older assumes that the fleet has grown by `ASSUMED_GROWTH`.
- A node that disappears counts for `HOLD_S` longer. A node whose knowledge is older than
  `MAX_AGE_S`, and may thus miss that its own row is gone, accrues nothing. The row may be gone and
  written anew by the time it looks again, also after a freeze; it then accrues like a new node.

Workspaces are grouped into shards. The flow of a shard is accrued by `MAX_ACCRUING` nodes at most,
the first by rendezvous hashing, so that collecting it takes few messages in a fleet of any size.
"""

from __future__ import annotations

import heapq
import math
import typing
import zlib

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.quota import bucket
from goldcrestgrade_node.mesh.state import directory

CONTACT_S = 3.0
"""Age of its knowledge above which a node assumes that others have joined: the bound on contact."""

REFRESH_S = 0.5
"""Time between two comparisons with the directory."""

JOIN_DELAY_S = CONTACT_S + REFRESH_S
"""Time after which a new node accrues."""

ASSUMED_GROWTH = 1 / 6
"""Growth of the fleet that a node out of contact assumes."""

MAX_AGE_S = 20.0
"""Age of its knowledge from which a node accrues nothing.

The row of a node that is not reached is removed after 28 s, so a store that is away for less does
not stop the flow.
"""

HOLD_S = MAX_AGE_S + CONTACT_S + 2 * REFRESH_S
"""Time for which a removed node still counts."""

SHARDS = 8
"""Number of groups of workspaces.

Each has an accounting node in each region, so that the messages of a region are spread over several
hosts; workspaces of one shard share messages.
"""

MAX_ACCRUING = 24
"""Largest number of nodes that accrue the flow of one shard.

With 91 accruing nodes, collecting took over twice the messages in a replay of 87 workspaces; with
fewer nodes, the loss of one would stop more of the flow.
"""


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
        self.own_position: tables.Position | None = None
        """Position of the own row when it was last looked at with young knowledge."""
        self.was_outdated = False
        """Whether the knowledge was older than `MAX_AGE_S` at the last look."""
        self.share_rose_at: instants.Instant = -instants.NEVER
        """Instant at which the share last rose, as a removed node ceased to count."""
        self.is_first_look = True
        self.is_out_of_contact = False
        self.accruing: dict[int, list[str]] = {}
        """Nodes that accrue for a shard, in the order of their rank."""

    def accrual(self, workspace: str, now: instants.Instant) -> bucket.Accrual:
        """Return what this node may accrue for a workspace."""
        age_s = self.age_s()
        if age_s > MAX_AGE_S:
            self._follow_age(now)
            return bucket.Accrual(0.0, now)
        if self.was_outdated or now >= self.refreshed_at + REFRESH_S:
            self.refresh(now)
        if self.is_out_of_contact != (age_s > CONTACT_S):
            self.is_out_of_contact = not self.is_out_of_contact
            if not self.is_out_of_contact:
                self.share_rose_at = now
        since = max(self.accrues_from, self.share_rose_at)
        if since > now:
            return bucket.Accrual(0.0, now)
        names = self.accruing_nodes(shard(workspace))
        share = 1 / max(1, len(names))
        if self.is_out_of_contact:
            # Unknown nodes rank first, or share the flow if all nodes do.
            names = names[: MAX_ACCRUING - math.ceil(ASSUMED_GROWTH * MAX_ACCRUING)]
            share = max(1 / MAX_ACCRUING, share / (1 + ASSUMED_GROWTH))
        return bucket.Accrual(share if self.own_id in names else 0.0, since)

    def refresh(self, now: instants.Instant) -> None:
        """Compare the nodes that count with those that are known."""
        known = self.instances.by_id
        self._follow_age(now)
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

    def _follow_age(self, now: instants.Instant) -> None:
        """Void what was accrued while others may have ceased to count this node."""
        own = self.instances.by_id.get(self.own_id)
        position = None if own is None else own.position
        is_outdated = not self.is_first_look and self.age_s() > MAX_AGE_S
        was_frozen = not self.is_first_look and now > self.refreshed_at + MAX_AGE_S
        if is_outdated or self.was_outdated or was_frozen:
            # What it accrued before may have passed to others meanwhile.
            since = now if position == self.own_position else now + JOIN_DELAY_S
            self.accrues_from = max(since, self.accrues_from)
        self.was_outdated = is_outdated
        if not is_outdated:
            self.own_position = position

    def accruing_nodes(self, of_shard: int) -> list[str]:
        """Return the nodes that accrue the flow of a shard as far as this node knows."""
        names = self.accruing.get(of_shard)
        if names is None:
            names = self.accruing[of_shard] = heapq.nlargest(
                MAX_ACCRUING, self.held, key=lambda name: score(of_shard, name)
            )
        return names

    def _follow_own_row(self, now: instants.Instant) -> None:
        own = self.instances.by_id.get(self.own_id)
        if own is None:
            self.accrues_from = instants.NEVER
        elif self.accrues_from == instants.NEVER:
            # At the first look, the row of an earlier start shows that others count this node.
            known_before = self.is_first_look and own.row.started_ms != self.own_started_ms
            self.accrues_from = now if known_before else now + JOIN_DELAY_S
        self.is_first_look = self.is_first_look and not self.instances.by_id


def shard(workspace: str) -> int:
    """Return the shard of a workspace."""
    return zlib.crc32(workspace.encode()) % SHARDS


def score(of_shard: int, node_id: str) -> tuple[int, str]:
    """Return the rank of a node for a shard by rendezvous hashing; the highest is first."""
    mixed = zlib.crc32(f"{of_shard}/{node_id}".encode())
    # CRC-32 is linear: without this, all shards would rank nodes alike.
    mixed = (mixed ^ mixed >> 16) * 0x45D9F3B % 2**32
    return mixed ^ mixed >> 16, node_id
