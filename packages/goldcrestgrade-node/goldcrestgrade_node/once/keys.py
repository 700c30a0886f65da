"""Idempotency keys: their rows, and the deadline that some of them name."""

from __future__ import annotations

import uuid

import xxhash

from goldcrestgrade import instants

KEY_LIFETIME_S = 86400.0
"""Time from the creation of a dated key to its deadline."""

EVICTION_MARGIN_S = 60.0
"""Time past its deadline for which the row of a key is kept; far above the clock skew."""

DATED_VERSION = 7
"""Version of the UUIDs that carry the time of their creation (RFC 9562)."""

HASH_LENGTH = 8
"""Length of the hash at the front of a row key, in hexadecimal digits."""


def row_key(service: str, key: str) -> str:
    """Return the key of the claim row; the hash at its front spreads the rows evenly."""
    name = f"{service}/{key}"
    return f"{xxhash.xxh3_64_hexdigest(name.encode())[:HASH_LENGTH]}/{name}"


def deadline(key: str) -> instants.WallInstant | None:
    """Return when `key` stops being accepted, or none for a key without a date.

    The deadline follows from the key alone, so each node finds the same one for each resend.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    # Other spellings may be random digits that look like a version 7 UUID by chance.
    if parsed.version != DATED_VERSION or str(parsed) != key.lower():
        return None
    created_at = (parsed.int >> 80) / 1000
    return created_at + KEY_LIFETIME_S
