"""Documents by which nodes tell operators of themselves."""

from __future__ import annotations

import typing_extensions

from goldcrestgrade import records


class StatusDocument(typing_extensions.TypedDict):
    """What a node tells operators of itself and of the nodes that it knows."""

    node_id: str
    state: records.EndpointState
    sheet_version: int
    sheet_day: str
    in_flight: int
    members: list[records.NodeRecord]


class AdoptionDocument(typing_extensions.TypedDict):
    """Version that a node has in force, 0 before the first."""

    sheet_version: int


class DrainDocument(typing_extensions.TypedDict):
    """How far the drain of the own endpoint is."""

    state: records.EndpointState
    in_flight: int
    """Requests in flight that the endpoint announced last."""
