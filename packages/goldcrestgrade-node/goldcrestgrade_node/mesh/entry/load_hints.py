"""Load reports that a node passes on with its answers to other nodes of its region.

Load pattern: 59 nodes send 6 requests a second each, and endpoints are degraded for half a second
at a time. A node hears of each endpoint once in several seconds, so most choices are made without
knowing a load. Each answer therefore carries the latest reports that the answering node knows of
other endpoints of the same service in its region. Nothing is sent for them alone, so a node that
gets no requests causes no traffic, and the traffic of each answer does not grow with the fleet.
"""

from __future__ import annotations

import heapq
import typing

import orjson

from goldcrestgrade import instants
from goldcrestgrade_node.mesh.state import directory
from goldcrestgrade_node.mesh.transport import loads

MAX_AGE_S = 0.25
"""Age up to which a report is passed on; half of `placement.MAX_LOAD_AGE_S`."""

MAX_HINTS = 4
"""Most reports that are passed on with one answer."""


class Hint(typing.NamedTuple):
    """A report of the load of an endpoint that another node received."""

    node_id: str
    """Id of the node beside the endpoint."""
    load: loads.Load
    age_s: float


def latest(
    instances: typing.Iterable[directory.Instance], own_id: str, region: str, now: instants.Instant
) -> list[Hint]:
    """Return the latest reports of instances in a region, without the one of `own_id`."""
    known = [
        Hint(instance.row.node_id, instance.load, now - instance.load_at)
        for instance in instances
        if instance.load is not None
        and now - instance.load_at <= MAX_AGE_S
        and instance.row.node_id != own_id
        and instance.row.place.region == region
    ]
    return heapq.nsmallest(MAX_HINTS, known, key=lambda hint: hint.age_s)


def encode(hints: typing.Iterable[Hint]) -> str:
    """Return the header form of reports; ages are in milliseconds."""
    return orjson.dumps(
        [(hint.node_id, loads.encode(hint.load), round(1000 * hint.age_s)) for hint in hints]
    ).decode()


def decode(text: str) -> list[Hint]:
    """Return the reports in a header; malformed ones are left out."""
    try:
        documents = orjson.loads(text)
    except orjson.JSONDecodeError:
        return []
    if not isinstance(documents, list):
        return []
    return [hint for hint in map(_decode_one, documents) if hint is not None]


def _decode_one(document: typing.Any) -> Hint | None:
    match document:
        case [str(node_id), str(text), int(age_ms)] if age_ms >= 0:
            load = loads.parse(text)
            return None if load is None else Hint(node_id, load, age_ms / 1000)
    return None


def apply(
    hints: typing.Iterable[Hint],
    instances: typing.Mapping[str, directory.Instance],
    own_id: str,
    now: instants.Instant,
) -> None:
    """Take over the reports that are later than the known ones, except that of `own_id`."""
    for hint in hints:
        instance = instances.get(hint.node_id)
        reported_at = now - hint.age_s
        if instance is None or hint.node_id == own_id or reported_at <= instance.load_at:
            continue
        instance.load, instance.load_at = hint.load, reported_at
        instance.in_flight_at_load = instance.in_flight
