"""How the connections that an endpoint accepts are shared out over the nodes that call it."""

from __future__ import annotations

import dataclasses
import math
import typing

from goldcrestgrade import records

USABLE_SHARE = 0.9
"""Share of an endpoint's connections that is given out; nodes disagree on who lives for a while."""

MIN_LOCAL_SHARE = 0.25
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


def remote_share(connections: int, remote_nodes: int) -> Share:
    """Return the share of one of the `callers` that are not beside the endpoint."""
    usable = math.floor(connections * USABLE_SHARE)
    reserved = math.ceil(usable * MIN_LOCAL_SHARE)
    limit = (usable - reserved) // max(1, remote_nodes)
    return Direct(limit) if limit >= 1 else Relay()


def local_share(connections: int, remote_nodes: int) -> Direct:
    """Return the share of the node beside the endpoint: all that the `callers` do not have."""
    usable = math.floor(connections * USABLE_SHARE)
    match remote_share(connections, remote_nodes):
        case Direct(limit=limit):
            return Direct(max(1, usable - limit * remote_nodes))
        case Relay():
            return Direct(max(1, usable))


def by_address(
    own_id: str, live: typing.Iterable[records.NodeRecord], entry_node_ids: typing.Collection[str]
) -> dict[tuple[str, int], Share]:
    """Return the share of this node at each endpoint in `live`, by its address.

    `callers` are the ids of the nodes that call the service; this node counts as one of them.
    """
    all_ids = {own_id, *entry_node_ids}
    return {
        (endpoint["host"], endpoint["port"]): (
            local_share(endpoint["connections"], len(all_ids) - 1)
            if record["node_id"] == own_id
            else remote_share(endpoint["connections"], len(all_ids - {record["node_id"]}))
        )
        for record in live
        if (endpoint := record["endpoint"]) is not None
    }
