"""How the connections that an endpoint accepts are shared out over the nodes that call it."""

from __future__ import annotations

import dataclasses
import math
import typing

from goldcrestgrade import records

USABLE_SHARE = 0.9
"""Share of an endpoint's connections that is given out; nodes disagree on who lives for a while."""

BESIDE_SHARE = 0.25
"""Share of the usable connections that the node beside the endpoint has at least."""


@dataclasses.dataclass(frozen=True, slots=True)
class Direct:
    """Connect to the endpoint, with at most `limit` connections."""

    limit: int
    tag: typing.Literal["direct"] = "direct"


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Send through the node beside the endpoint."""

    tag: typing.Literal["relay"] = "relay"


Share = Direct | Relay


def decide(connections: int, callers: int) -> Share:
    """Return the share of one of the `callers` that are not beside the endpoint."""
    usable = math.floor(connections * USABLE_SHARE)
    kept = math.ceil(usable * BESIDE_SHARE)
    limit = (usable - kept) // max(1, callers)
    return Direct(limit) if limit >= 1 else Relay()


def decide_beside(connections: int, callers: int) -> Direct:
    """Return the share of the node beside the endpoint: all that the `callers` do not have."""
    usable = math.floor(connections * USABLE_SHARE)
    match decide(connections, callers):
        case Direct(limit=limit):
            return Direct(max(1, usable - limit * callers))
        case Relay():
            return Direct(max(1, usable))


def at_endpoints(
    own_id: str, live: typing.Iterable[records.NodeRecord], callers: typing.Collection[str]
) -> dict[tuple[str, int], Share]:
    """Return the share of this node at each endpoint in `live`, by its address.

    `callers` are the ids of the nodes that call the service; this node counts as one of them.
    """
    sharing = {own_id, *callers}
    return {
        (endpoint["host"], endpoint["port"]): (
            decide_beside(endpoint["connections"], len(sharing) - 1)
            if record["node_id"] == own_id
            else decide(endpoint["connections"], len(sharing - {record["node_id"]}))
        )
        for record in live
        if (endpoint := record["endpoint"]) is not None
    }
