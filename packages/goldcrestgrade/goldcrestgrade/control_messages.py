"""JSON documents with which nodes answer requests of operators."""

from __future__ import annotations

import typing_extensions

from goldcrestgrade import records


class StatusDocument(typing_extensions.TypedDict):
    """State of a node, and the records of the nodes that it knows."""

    node_id: str
    state: records.EndpointState
    sheet_version: int
    sheet_day: str
    in_flight: int
    members: list[records.NodeRecord]


class AdoptionDocument(typing_extensions.TypedDict):
    """Version of the sheet that a node has in force, 0 before the first."""

    sheet_version: int


class DrainDocument(typing_extensions.TypedDict):
    """Progress of draining the endpoint of the node."""

    state: records.EndpointState
    in_flight: int
    """In-flight requests in the latest announcement of the endpoint."""
