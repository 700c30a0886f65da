"""Choice of the peers that a node exchanges state with; functions without side effects."""

from __future__ import annotations

import heapq
import itertools
import random
import typing

import xxhash

from goldcrestgrade import records

OWN_DOMAIN_SHARE = 0.5
"""Share of the messages within the region that go to the own failure domain."""

MAX_CROSS_REGION_SHARE = 0.2
"""Largest share of a node's messages that go to another region."""

CROSS_REGION_MESSAGES_PER_ROUND = 4.0
"""Messages that all nodes of a region together send to other regions in one gossip round."""

RING_SIZE = 1 << 64
"""Number of positions on the ring that orders the nodes."""

FREQUENT_POLLERS = 3
"""Number of nodes in each region that poll the head row of the sheets frequently."""


class View(typing.NamedTuple):
    """The live nodes other than this one, grouped by failure domain and region."""

    own: records.NodeRecord
    own_domain: list[records.NodeRecord]
    other_domains: list[records.NodeRecord]
    """Nodes of the own region in other failure domains."""
    other_regions: dict[str, list[records.NodeRecord]]
    """Nodes of other regions, by the name of their region."""

    @property
    def regions(self) -> frozenset[str]:
        """Names of the other regions."""
        return frozenset(self.other_regions)

    @property
    def region_size(self) -> int:
        """Number of live nodes in the own region, this one included."""
        return 1 + len(self.own_domain) + len(self.other_domains)


def view(own: records.NodeRecord, alive: typing.Iterable[records.NodeRecord]) -> View:
    """Return the live nodes grouped relative to `own`, which is left out."""
    grouped = View(own, [], [], {})
    for record in alive:
        if record["node_id"] == own["node_id"]:
            continue
        if record["region"] != own["region"]:
            grouped.other_regions.setdefault(record["region"], []).append(record)
        elif record["failure_domain"] != own["failure_domain"]:
            grouped.other_domains.append(record)
        else:
            grouped.own_domain.append(record)
    return grouped


def cross_region_share(seen: View) -> float:
    """Return the share of this node's messages that go to another region."""
    return min(MAX_CROSS_REGION_SHARE, CROSS_REGION_MESSAGES_PER_ROUND / seen.region_size)


def choose_peer(seen: View, rng: random.Random) -> records.NodeRecord | None:
    """Return a random peer for the next message, or `None` if no other node is known."""
    local = seen.own_domain or seen.other_domains
    if seen.own_domain and seen.other_domains and rng.random() >= OWN_DOMAIN_SHARE:
        local = seen.other_domains
    if seen.other_regions and (not local or rng.random() < cross_region_share(seen)):
        return rng.choice(seen.other_regions[rng.choice(sorted(seen.other_regions))])
    return rng.choice(local) if local else None


def successors(seen: View, count: int) -> list[records.NodeRecord]:
    """Return the next `count` nodes of the region on the ring, ordered by digests of their ids.

    If each node pushes new changes to its successors as well as to random peers, no node is missed
    by chance.
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
    """Return at most `count` random nodes that can confirm that `suspect` is unreachable.

    They come from the own region, or from the others if it has no further node.
    """
    near = [r for r in seen.own_domain + seen.other_domains if r["node_id"] != suspect["node_id"]]
    pool = near or list(itertools.chain.from_iterable(seen.other_regions.values()))
    return rng.sample(pool, min(count, len(pool)))


def polls_frequently(seen: View) -> bool:
    """Return whether this node is one of the `FREQUENT_POLLERS` of its region."""
    ids = [record["node_id"] for record in seen.own_domain + seen.other_domains]
    own_position = _ring_position(seen.own["node_id"])
    return sum(_ring_position(node_id) < own_position for node_id in ids) < FREQUENT_POLLERS


def _ring_position(node_id: str) -> int:
    return int(xxhash.xxh3_64_intdigest(node_id.encode()))
