"""Records by which nodes tell each other of themselves and of their endpoints."""

from __future__ import annotations

import enum
import typing

import pydantic
import typing_extensions

from goldcrestgrade import instants

Name = typing.Annotated[str, pydantic.Field(min_length=1, max_length=64)]
"""A name in a record."""

Count = typing.Annotated[int, pydantic.Field(ge=0, lt=1 << 53)]
"""A number that every JSON reader keeps exact."""

Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
"""A TCP port."""

Deadline = typing.Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
"""A wall instant, or 0 for none."""


class EndpointState(enum.StrEnum):
    """The life of an endpoint, as in the state chart `endpoint`."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class Standing(enum.IntEnum):
    """What the other nodes hold of a node; a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    """Two observers did not reach it; it may still refute."""
    LOST = 2
    """It did not refute in time."""


class EndpointDocument(typing_extensions.TypedDict):
    """What an endpoint announces to the node beside it."""

    service: Name
    host: Name
    port: Port
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
    """Requests that it works on at once."""
    connections: typing.Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
    """Connections that it accepts."""


ServiceNames = typing.Annotated[list[Name], pydantic.Field(max_length=512)]
"""Names of services that a node calls."""


class NodeRecord(typing_extensions.TypedDict):
    """A node and its endpoint; of two records of a node the one of the higher order counts."""

    node_id: Name
    incarnation: Count
    """Wall milliseconds at the node's start; a restart raises it."""
    revision: Count
    """Rises with each change within an incarnation."""
    region: Name
    failure_domain: Name
    control_host: Name
    control_port: Port
    state: EndpointState
    endpoint: EndpointDocument | None
    sheet_version: Count
    """Version in force when the record was revised."""
    expires_at: Deadline
    """Deadline of a lease row; 0 in records between nodes."""
    calls: typing_extensions.NotRequired[ServiceNames]
    """Services that the node called of late; their endpoints' connections are shared out by it."""


class Entry(typing_extensions.TypedDict):
    """A record and what is held of its node."""

    record: NodeRecord
    standing: Standing
    until: Deadline
    """Deadline of a suspicion, or of the memory of a node that is gone; 0 while it is alive."""


class Order(typing.NamedTuple):
    """Orders the entries of one node."""

    incarnation: int
    revision: int
    standing: int


def record_order(record: NodeRecord) -> tuple[int, int]:
    """Return the key that orders the records of one node."""
    return record["incarnation"], record["revision"]


def entry_order(entry: Entry) -> Order:
    """Return the key that orders the entries of one node."""
    return Order(*record_order(entry["record"]), entry["standing"])


def control_url(record: NodeRecord) -> str:
    """Return the base URL of the node's control address."""
    return f"http://{record['control_host']}:{record['control_port']}"


def lease(record: NodeRecord, expires_at: instants.WallInstant) -> NodeRecord:
    """Return the record as a lease row holds it."""
    return {**record, "expires_at": expires_at}
