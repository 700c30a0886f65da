"""Choice of the peers that a node talks to: a pure decision."""

from __future__ import annotations

import heapq
import itertools
import random
import typing

import xxhash

from goldcrestgrade import records

OWN_DOMAIN_SHARE = 0.5
"""Share of messages within the region that stay in the failure domain."""

MAX_CROSSING_SHARE = 0.2
"""Largest share of a node's messages that go to another region."""

CROSSINGS_PER_ROUND = 4.0
"""Messages that all nodes of a region together send to other regions in one round."""

RING_SIZE = 1 << 64
"""Number of places on the ring that nodes are ordered on."""

QUICK_POLLERS = 3
"""Nodes of each region that read the head row often."""


class View(typing.NamedTuple):
    """The live nodes other than this one, by how near they are."""

    own: records.NodeRecord
    own_domain: list[records.NodeRecord]
    own_region: list[records.NodeRecord]
    """Nodes of the region outside the failure domain."""
    other_regions: dict[str, list[records.NodeRecord]]
    """Nodes of each other region."""

    @property
    def regions(self) -> frozenset[str]:
        """Regions other than the own."""
        return frozenset(self.other_regions)

    @property
    def region_size(self) -> int:
        """Number of live nodes in the own region, this one included."""
        return 1 + len(self.own_domain) + len(self.own_region)


def view(own: records.NodeRecord, alive: typing.Iterable[records.NodeRecord]) -> View:
    """Return the view of `own` over the live nodes."""
    found = View(own, [], [], {})
    for record in alive:
        if record["node_id"] == own["node_id"]:
            continue
        if record["region"] != own["region"]:
            found.other_regions.setdefault(record["region"], []).append(record)
        elif record["failure_domain"] != own["failure_domain"]:
            found.own_region.append(record)
        else:
            found.own_domain.append(record)
    return found


def crossing_share(seen: View) -> float:
    """Return the share of messages that cross to another region."""
    return min(MAX_CROSSING_SHARE, CROSSINGS_PER_ROUND / seen.region_size)


def choose_peer(seen: View, rng: random.Random) -> records.NodeRecord | None:
    """Return the peer of the next message, or none where no other node is known."""
    local = seen.own_domain or seen.own_region
    if seen.own_domain and seen.own_region and rng.random() >= OWN_DOMAIN_SHARE:
        local = seen.own_region
    if seen.other_regions and (not local or rng.random() < crossing_share(seen)):
        return rng.choice(seen.other_regions[rng.choice(sorted(seen.other_regions))])
    return rng.choice(local) if local else None


def successors(seen: View, count: int) -> list[records.NodeRecord]:
    """Return the nodes of the region that follow this one on a ring of digests.

    Where each node pushes what it hears to its successors, no node is missed by chance.
    """
    own_rank = _rank(seen.own["node_id"])
    return heapq.nsmallest(
        count,
        seen.own_domain + seen.own_region,
        key=lambda record: (_rank(record["node_id"]) - own_rank) % RING_SIZE,
    )


def choose_observers(
    seen: View, accused: records.NodeRecord, count: int, rng: random.Random
) -> list[records.NodeRecord]:
    """Return nodes that can confirm that `accused` is not reached, its own region first."""
    near = [r for r in seen.own_domain + seen.own_region if r["node_id"] != accused["node_id"]]
    pool = near or list(itertools.chain.from_iterable(seen.other_regions.values()))
    return rng.sample(pool, min(count, len(pool)))


def polls_quickly(seen: View) -> bool:
    """Tell whether this node is one of the few of its region that read the head row often."""
    ids = [record["node_id"] for record in seen.own_domain + seen.own_region]
    own_rank = _rank(seen.own["node_id"])
    return sum(_rank(node_id) < own_rank for node_id in ids) < QUICK_POLLERS


def _rank(node_id: str) -> int:
    return int(xxhash.xxh3_64_intdigest(node_id.encode()))
