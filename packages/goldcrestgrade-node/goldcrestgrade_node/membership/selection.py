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

MAX_CROSS_REGION_SHARE = 0.2
"""Largest share of a node's messages that go to another region."""

CROSS_REGION_MESSAGES_PER_ROUND = 4.0
"""Messages that all nodes of a region together send to other regions in one round."""

RING_SIZE = 1 << 64
"""Number of places on the ring that nodes are ordered on."""

FREQUENT_POLLERS = 3
"""Nodes of each region that read the head row often."""


class View(typing.NamedTuple):
    """The live nodes other than this one, by how near they are."""

    own: records.NodeRecord
    own_domain: list[records.NodeRecord]
    other_domains: list[records.NodeRecord]
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
        return 1 + len(self.own_domain) + len(self.other_domains)


def view(own: records.NodeRecord, alive: typing.Iterable[records.NodeRecord]) -> View:
    """Return the view of `own` over the live nodes."""
    found = View(own, [], [], {})
    for record in alive:
        if record["node_id"] == own["node_id"]:
            continue
        if record["region"] != own["region"]:
            found.other_regions.setdefault(record["region"], []).append(record)
        elif record["failure_domain"] != own["failure_domain"]:
            found.other_domains.append(record)
        else:
            found.own_domain.append(record)
    return found


def cross_region_share(seen: View) -> float:
    """Return the share of messages that cross to another region."""
    return min(MAX_CROSS_REGION_SHARE, CROSS_REGION_MESSAGES_PER_ROUND / seen.region_size)


def choose_peer(seen: View, rng: random.Random) -> records.NodeRecord | None:
    """Return the peer of the next message, or none where no other node is known."""
    local = seen.own_domain or seen.other_domains
    if seen.own_domain and seen.other_domains and rng.random() >= OWN_DOMAIN_SHARE:
        local = seen.other_domains
    if seen.other_regions and (not local or rng.random() < cross_region_share(seen)):
        return rng.choice(seen.other_regions[rng.choice(sorted(seen.other_regions))])
    return rng.choice(local) if local else None


def successors(seen: View, count: int) -> list[records.NodeRecord]:
    """Return the nodes of the region that follow this one on a ring of digests.

    Where each node pushes what it hears to its successors, no node is missed by chance.
    """
    own_position = _ring_position(seen.own["node_id"])
    return heapq.nsmallest(
        count,
        seen.own_domain + seen.other_domains,
        key=lambda record: (_ring_position(record["node_id"]) - own_position) % RING_SIZE,
    )


def choose_observers(
    seen: View, suspect: records.NodeRecord, count: int, rng: random.Random
) -> list[records.NodeRecord]:
    """Return nodes that can confirm that `suspect` is not reached, its own region first."""
    near = [r for r in seen.own_domain + seen.other_domains if r["node_id"] != suspect["node_id"]]
    pool = near or list(itertools.chain.from_iterable(seen.other_regions.values()))
    return rng.sample(pool, min(count, len(pool)))


def polls_frequently(seen: View) -> bool:
    """Tell whether this node is one of the few of its region that read the head row often."""
    ids = [record["node_id"] for record in seen.own_domain + seen.other_domains]
    own_position = _ring_position(seen.own["node_id"])
    return sum(_ring_position(node_id) < own_position for node_id in ids) < FREQUENT_POLLERS


def _ring_position(node_id: str) -> int:
    return int(xxhash.xxh3_64_intdigest(node_id.encode()))
