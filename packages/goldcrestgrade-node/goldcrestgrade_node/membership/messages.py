"""Membership messages between nodes, as JSON documents."""

from __future__ import annotations

import typing

import pydantic
import typing_extensions

from goldcrestgrade import records
from goldcrestgrade_node.membership import digests

MAX_ENTRIES = 512
"""Largest number of entries in one message."""

MAX_NOTICES = 64
"""Largest number of notices that a node keeps, and therefore in one message."""

MAX_REGIONS = 64
"""Largest number of regions in one message."""

Entries = typing.Annotated[list[records.Entry], pydantic.Field(max_length=MAX_ENTRIES)]
Bucket = typing.Annotated[int, pydantic.Field(ge=0, lt=digests.BUCKETS)]
Seconds = typing.Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class Notice(typing_extensions.TypedDict):
    """Information that another part of the node shares with all nodes until a deadline."""

    kind: records.Name
    key: typing.Annotated[str, pydantic.Field(max_length=256)]
    order: records.Count
    """Of two notices of the same kind and key, the one with the higher order is valid."""
    text: typing.Annotated[str, pydantic.Field(max_length=1024)]
    """Content, in a format that the kind defines."""
    until: records.Deadline
    """Wall instant at which the notice is removed."""


Notices = typing.Annotated[list[Notice], pydantic.Field(max_length=MAX_NOTICES)]


class Exchange(typing_extensions.TypedDict):
    """State that a node sends to a peer in each gossip round and whenever entries change."""

    node_id: records.Name
    region: records.Name
    sheet_version: records.Count
    digest: records.Count
    """Digest of all entries and notices of the sender."""
    heard: typing.Annotated[dict[records.Name, Seconds], pydantic.Field(max_length=MAX_REGIONS)]
    """Seconds since the last contact of the sender's region with each other region."""
    entries: Entries
    """Entries that are new to the sender, or that the peer asked for."""
    notices: Notices
    settle: bool
    """Whether the reply has to contain the bucket digests if the digests of the two differ."""


class ExchangeReply(typing_extensions.TypedDict):
    """Reply to an `Exchange`."""

    node_id: records.Name
    region: records.Name
    sheet_version: records.Count
    heard: typing.Annotated[dict[records.Name, Seconds], pydantic.Field(max_length=MAX_REGIONS)]
    buckets: typing.Annotated[list[records.Count], pydantic.Field(max_length=digests.BUCKETS)]
    """Digests of the buckets; empty if they were not requested or the root digests are equal."""


class Summary(typing.NamedTuple):
    """Order of an entry of the sender, without the entry itself."""

    node_id: records.Name
    incarnation: records.Count
    revision: records.Count
    standing: records.Standing


class Reconcile(typing_extensions.TypedDict):
    """Asks a peer for the entries in some buckets that are newer than these summaries."""

    buckets: typing.Annotated[list[Bucket], pydantic.Field(max_length=digests.BUCKETS)]
    summaries: typing.Annotated[list[Summary], pydantic.Field(max_length=MAX_ENTRIES)]
    notices: Notices


class ReconcileReply(typing_extensions.TypedDict):
    """Reply to a `Reconcile`."""

    entries: Entries
    """Entries that the requesting node lacks, or has in an older form."""
    wanted: typing.Annotated[list[records.Name], pydantic.Field(max_length=MAX_ENTRIES)]
    """Ids of the nodes for which the requesting node has the newer entry."""
    notices: Notices


class Probe(typing_extensions.TypedDict):
    """Asks a peer whether it can reach a node."""

    node_id: records.Name


class ProbeReply(typing_extensions.TypedDict):
    """Reply to a `Probe`."""

    reached: bool


EXCHANGE: pydantic.TypeAdapter[Exchange] = pydantic.TypeAdapter(Exchange)
EXCHANGE_REPLY: pydantic.TypeAdapter[ExchangeReply] = pydantic.TypeAdapter(ExchangeReply)
RECONCILE: pydantic.TypeAdapter[Reconcile] = pydantic.TypeAdapter(Reconcile)
RECONCILE_REPLY: pydantic.TypeAdapter[ReconcileReply] = pydantic.TypeAdapter(ReconcileReply)
PROBE: pydantic.TypeAdapter[Probe] = pydantic.TypeAdapter(Probe)
PROBE_REPLY: pydantic.TypeAdapter[ProbeReply] = pydantic.TypeAdapter(ProbeReply)
