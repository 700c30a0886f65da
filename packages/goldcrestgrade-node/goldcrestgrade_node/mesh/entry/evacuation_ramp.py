"""Return of requests to a failure domain after its evacuation; a pure function of time.

Load pattern: a quarter of the endpoints return at once, idle and perhaps cold, while the others run
at 1.35 times their usual load. Idle endpoints look best to every entry node, so without a ramp they
would get most requests of all entry nodes in the same moment. An endpoint of the heavy deployments
usually gets 6 requests a second and takes 6 while it is cold, for 3 s. If all requests that may go
to the domain do so, its endpoints reach four times their usual load at a share of 1. The share
therefore stays at about a quarter while they are cold, and reaches 1 when load reports of all of
them are known.
"""

from __future__ import annotations

COLD_S = 3.0
"""Time for which returning endpoints may be cold."""

COLD_SHARE = 0.25
"""Share of the requests that may go to the domain at `COLD_S`, about its share of the endpoints."""

INITIAL_SHARE = 0.05
"""Share right after the end, so that loads become known."""

RAMP_S = 6.0
"""Time after which all requests may go to the domain again."""


def share(since_end_s: float) -> float:
    """Return the share of requests that may go to a domain whose evacuation ended before."""
    if since_end_s >= RAMP_S:
        return 1.0
    if since_end_s <= COLD_S:
        return INITIAL_SHARE + (COLD_SHARE - INITIAL_SHARE) * max(0.0, since_end_s) / COLD_S
    return COLD_SHARE + (1.0 - COLD_SHARE) * (since_end_s - COLD_S) / (RAMP_S - COLD_S)
