"""Exponential backoffs."""

from __future__ import annotations

MAX_DOUBLINGS = 62
"""Doublings beyond which a backoff no longer grows; a float overflows after 1,023."""


def exponential_s(failures: int, base_s: float, limit_s: float) -> float:
    """Return the backoff in seconds after consecutive failures; the first one gets `base_s`."""
    return min(limit_s, base_s * 2.0 ** min(max(0, failures - 1), MAX_DOUBLINGS))
