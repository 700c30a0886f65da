"""Digests by which two nodes find the entries that differ between them."""

from __future__ import annotations

import typing

import xxhash

from goldcrestgrade import records

BUCKETS = 64
"""Number of groups of entries; each group has its own digest."""

DIGEST_BITS = 48
"""Length of a digest in bits, short enough that JSON readers represent it exactly."""


def bucket_of(node_id: str) -> int:
    """Return the bucket that holds the entry of a node."""
    return int(xxhash.xxh3_64_intdigest(node_id.encode())) % BUCKETS


def digest_of(node_id: str, order: records.Order) -> int:
    """Return the digest of one entry."""
    text = f"{node_id}|{order.incarnation}|{order.revision}|{int(order.standing)}"
    return int(xxhash.xxh3_64_intdigest(text.encode())) >> (64 - DIGEST_BITS)


class Digests:
    """The digest of each bucket: the exclusive or of the digests of its entries."""

    def __init__(self) -> None:
        self.buckets = [0] * BUCKETS

    def toggle(self, entry: records.Entry) -> None:
        """Add an entry to its bucket's digest, or remove it if it is already included."""
        node_id = entry["record"]["node_id"]
        self.buckets[bucket_of(node_id)] ^= digest_of(node_id, records.entry_order(entry))

    def root(self, extra: int = 0) -> int:
        """Return the digest of all entries combined with `extra`, such as another digest."""
        text = repr((self.buckets, extra))
        return int(xxhash.xxh3_64_intdigest(text.encode())) >> (64 - DIGEST_BITS)

    def differing_buckets(self, peer_buckets: typing.Sequence[int]) -> list[int]:
        """Return the numbers of the buckets whose digests differ from those of a peer.

        Raises `ValueError` if the peer has another number of buckets.
        """
        return [
            n
            for n, pair in enumerate(zip(self.buckets, peer_buckets, strict=True))
            if len({*pair}) > 1
        ]
