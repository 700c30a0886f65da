"""Records by which nodes tell each other of themselves and of their endpoints."""

from __future__ import annotations

import enum

import typing_extensions

from goldcrestgrade import instants


class EndpointState(enum.StrEnum):
    """The life of an endpoint, as in the state chart `endpoint`."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class EndpointDocument(typing_extensions.TypedDict):
    """What an endpoint announces to the node beside it."""

    service: str
    host: str
    port: int
    slots: int
    """Requests that it works on at once."""
    connections: int
    """Connections that it accepts."""


class NodeRecord(typing_extensions.TypedDict):
    """A node and its endpoint; of two records of a node the one of the higher order counts."""

    node_id: str
    incarnation: int
    """Wall milliseconds at the node's start; a restart raises it."""
    revision: int
    """Rises with each change within an incarnation."""
    region: str
    failure_domain: str
    control_host: str
    control_port: int
    state: EndpointState
    endpoint: EndpointDocument | None
    sheet_version: int
    expires_at: instants.WallInstant
    """Deadline after which the record says nothing."""


def order(record: NodeRecord) -> tuple[int, int]:
    """Return the key that orders the records of one node."""
    return record["incarnation"], record["revision"]


def control_url(record: NodeRecord) -> str:
    """Return the base URL of the node's control address."""
    return f"http://{record['control_host']}:{record['control_port']}"
