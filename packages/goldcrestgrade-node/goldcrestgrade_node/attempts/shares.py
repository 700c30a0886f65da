"""Division of the connections that an endpoint accepts among the nodes that use it."""

from __future__ import annotations

import dataclasses
import math
import typing

from goldcrestgrade import records

USABLE_SHARE = 0.9
"""Share of an endpoint's connections that is allotted.

The rest is a reserve, since nodes may disagree for a while on which nodes are alive.
"""

MIN_LOCAL_SHARE = 0.25
"""Least share of the usable connections that the endpoint's node gets."""


@dataclasses.dataclass(frozen=True, slots=True)
class Direct:
    """Connect to the endpoint, with at most `limit` connections."""

    limit: int
    tag: typing.Literal["direct"] = "direct"


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Send through the endpoint's node."""

    tag: typing.Literal["relay"] = "relay"


Share = Direct | Relay


def remote_share(connections: int, remote_nodes: int) -> Share:
    """Return the share of each of the `remote_nodes`, which exclude the endpoint's node."""
    usable = math.floor(connections * USABLE_SHARE)
    reserved = math.ceil(usable * MIN_LOCAL_SHARE)
    limit = (usable - reserved) // max(1, remote_nodes)
    return Direct(limit) if limit >= 1 else Relay()


def local_share(connections: int, remote_nodes: int) -> Direct:
    """Return the share of the endpoint's node: all that the `remote_nodes` do not get."""
    usable = math.floor(connections * USABLE_SHARE)
    match remote_share(connections, remote_nodes):
        case Direct(limit=limit):
            return Direct(max(1, usable - limit * remote_nodes))
        case Relay():
            return Direct(max(1, usable))


def by_address(
    own_id: str, live: typing.Iterable[records.NodeRecord], entry_node_ids: typing.Collection[str]
) -> dict[tuple[str, int], Share]:
    """Return the share of this node at each endpoint in `live`, by the endpoint's address.

    `entry_node_ids` are the nodes that send requests to the service; this node counts as one.
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
