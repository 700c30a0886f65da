"""Idempotency keys: the keys of their claim rows, and the deadlines of keys with a date."""

from __future__ import annotations

import uuid

import xxhash

from goldcrestgrade import instants

KEY_LIFETIME_S = 86400.0
"""Time from the creation of a dated key to its deadline."""

EVICTION_MARGIN_S = 60.0
"""Time for which a claim row is kept after the deadline of its key; far above the clock skew."""

DATED_VERSION = 7
"""Version of the UUIDs that carry the time of their creation (RFC 9562)."""

HASH_LENGTH = 8
"""Length of the hash at the front of a row key, in hexadecimal digits."""


def row_key(service: str, key: str) -> str:
    """Return the key of the claim row; its hash prefix distributes the rows evenly."""
    name = f"{service}/{key}"
    return f"{xxhash.xxh3_64_hexdigest(name.encode())[:HASH_LENGTH]}/{name}"


def deadline(key: str) -> instants.WallInstant | None:
    """Return the time from which `key` is refused, or None for a key without a date.

    The deadline depends on the key alone, so all nodes compute the same one for every resend.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    # Random digits in another spelling may parse as a version 7 UUID by chance.
    if parsed.version != DATED_VERSION or str(parsed) != key.lower():
        return None
    created_at = (parsed.int >> 80) / 1000
    return created_at + KEY_LIFETIME_S
