"""Records in which nodes describe themselves and their endpoints to each other."""

from __future__ import annotations

import enum
import typing

import pydantic
import typing_extensions

from goldcrestgrade import instants

Name = typing.Annotated[str, pydantic.Field(min_length=1, max_length=64)]
"""A name in a record, at most 64 characters long."""

Count = typing.Annotated[int, pydantic.Field(ge=0, lt=1 << 53)]
"""A number below 2**53, which every JSON reader represents exactly."""

Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
"""A TCP port."""

Deadline = typing.Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
"""A wall instant, or 0 if there is no deadline."""


class EndpointState(enum.StrEnum):
    """State of an endpoint; the state chart `endpoint` defines the transitions."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class Standing(enum.IntEnum):
    """Liveness of a node in the view of other nodes.

    In entries of the same record, a higher value overrides a lower one.
    """

    ALIVE = 0
    SUSPECT = 1
    """Neither a peer nor its observers reached the node, which may still refute the suspicion."""
    LOST = 2
    """It did not refute the suspicion before the deadline."""


class EndpointDocument(typing_extensions.TypedDict):
    """Announcement of an endpoint to its node."""

    service: Name
    host: Name
    port: Port
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
    """Number of requests that it processes at once."""
    connections: typing.Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
    """Number of connections that it accepts."""


ServiceNames = typing.Annotated[list[Name], pydantic.Field(max_length=512)]
"""Names of services that a node sends requests to."""


class NodeRecord(typing_extensions.TypedDict):
    """A node and its endpoint; of two records of a node, the one with the higher order is valid."""

    node_id: Name
    incarnation: Count
    """Wall clock at the start of the node in milliseconds; it increases with each restart."""
    revision: Count
    """Number that increases with each change within an incarnation."""
    region: Name
    failure_domain: Name
    control_host: Name
    control_port: Port
    state: EndpointState
    endpoint: EndpointDocument | None
    sheet_version: Count
    """Version of the sheet in force when the record was last changed."""
    expires_at: Deadline
    """Deadline of a lease row; 0 in records between nodes."""
    calls: typing_extensions.NotRequired[ServiceNames]
    """Services that the node recently sent requests to.

    The connections that an endpoint accepts are divided among the nodes that list its service.
    """


class Entry(typing_extensions.TypedDict):
    """A record, and the standing of its node."""

    record: NodeRecord
    standing: Standing
    until: Deadline
    """Deadline of a suspicion, or of the tombstone of a node that left or was lost; 0 otherwise."""


class Order(typing.NamedTuple):
    """Sort key of the entries of one node; the highest is the newest."""

    incarnation: int
    revision: int
    standing: int


def record_order(record: NodeRecord) -> tuple[int, int]:
    """Return the sort key of the records of one node."""
    return record["incarnation"], record["revision"]


def entry_order(entry: Entry) -> Order:
    """Return the sort key of the entries of one node."""
    return Order(*record_order(entry["record"]), entry["standing"])


def control_url(record: NodeRecord) -> str:
    """Return the base URL of the node's control address."""
    return f"http://{record['control_host']}:{record['control_port']}"


def lease(record: NodeRecord, expires_at: instants.WallInstant) -> NodeRecord:
    """Return the record with the expiry of a lease row."""
    return {**record, "expires_at": expires_at}
