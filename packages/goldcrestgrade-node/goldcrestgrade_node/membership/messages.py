"""Messages between nodes, as JSON documents."""

from __future__ import annotations

import typing

import pydantic
import typing_extensions

from goldcrestgrade import records
from goldcrestgrade_node.membership import digests

MAX_ENTRIES = 512
"""Largest number of entries in one message."""

MAX_NOTICES = 64
"""Largest number of notices that a node remembers, and so in one message."""

MAX_REGIONS = 64
"""Largest number of regions in one message."""

Entries = typing.Annotated[list[records.Entry], pydantic.Field(max_length=MAX_ENTRIES)]
Bucket = typing.Annotated[int, pydantic.Field(ge=0, lt=digests.BUCKETS)]
Seconds = typing.Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class Notice(typing_extensions.TypedDict):
    """A record of another part of the node that is spread to all nodes until its deadline."""

    kind: records.Name
    key: typing.Annotated[str, pydantic.Field(max_length=256)]
    order: records.Count
    """Of two notices of a kind and key the one of the higher order counts."""
    text: typing.Annotated[str, pydantic.Field(max_length=1024)]
    """Content, in a form that its kind defines."""
    until: records.Deadline


Notices = typing.Annotated[list[Notice], pydantic.Field(max_length=MAX_NOTICES)]


class Exchange(typing_extensions.TypedDict):
    """What a node tells a peer in each round, and whenever entries change."""

    node_id: records.Name
    region: records.Name
    sheet_version: records.Count
    digest: records.Count
    """Digest of all entries that the sender holds."""
    heard: typing.Annotated[dict[records.Name, Seconds], pydantic.Field(max_length=MAX_REGIONS)]
    """Seconds since a node of the sender's region was in contact with each other region."""
    entries: Entries
    """Entries that are new to the sender."""
    notices: Notices
    settle: bool
    """Whether the reply is to carry digests of buckets where the sender's digest differs."""


class ExchangeReply(typing_extensions.TypedDict):
    """Answer to an `Exchange`."""

    node_id: records.Name
    region: records.Name
    sheet_version: records.Count
    heard: typing.Annotated[dict[records.Name, Seconds], pydantic.Field(max_length=MAX_REGIONS)]
    buckets: typing.Annotated[list[records.Count], pydantic.Field(max_length=digests.BUCKETS)]
    """Digests of the replier's buckets; empty where not asked for or alike."""


class Summary(typing.NamedTuple):
    """Order of an entry that a node holds."""

    node_id: records.Name
    incarnation: records.Count
    revision: records.Count
    standing: records.Standing


class Reconcile(typing_extensions.TypedDict):
    """Asks a peer for what it holds in some buckets beyond the summaries."""

    buckets: typing.Annotated[list[Bucket], pydantic.Field(max_length=digests.BUCKETS)]
    summaries: typing.Annotated[list[Summary], pydantic.Field(max_length=MAX_ENTRIES)]
    notices: Notices


class ReconcileReply(typing_extensions.TypedDict):
    """Answer to a `Reconcile`."""

    entries: Entries
    wanted: typing.Annotated[list[records.Name], pydantic.Field(max_length=MAX_ENTRIES)]
    """Nodes of which the asker holds the newer entry."""
    notices: Notices


class Probe(typing_extensions.TypedDict):
    """Asks a peer whether it reaches a node."""

    node_id: records.Name


class ProbeReply(typing_extensions.TypedDict):
    """Answer to a `Probe`."""

    reached: bool


EXCHANGE: pydantic.TypeAdapter[Exchange] = pydantic.TypeAdapter(Exchange)
EXCHANGE_REPLY: pydantic.TypeAdapter[ExchangeReply] = pydantic.TypeAdapter(ExchangeReply)
RECONCILE: pydantic.TypeAdapter[Reconcile] = pydantic.TypeAdapter(Reconcile)
RECONCILE_REPLY: pydantic.TypeAdapter[ReconcileReply] = pydantic.TypeAdapter(ReconcileReply)
PROBE: pydantic.TypeAdapter[Probe] = pydantic.TypeAdapter(Probe)
PROBE_REPLY: pydantic.TypeAdapter[ProbeReply] = pydantic.TypeAdapter(ProbeReply)
