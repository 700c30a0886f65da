"""Choice of the instance that a request is sent to; a pure function.

Load pattern: instances become several times slower for half a second at a time. The nearest
instance is therefore used while it is expected to answer in time, and a more distant one, which
costs traffic between regions, only if all nearer ones would be late. The endpoint beside the entry
node comes first while it has room: its state is known exactly, and a request there takes no hop.

Load pattern: uploads, while half of the instances have links of 5 Mbit/s, over which a body takes
up to 0.6 s. The transfer counts as part of the latency, so that thin links are used for small
bodies and a node with a thin link prefers its own endpoint.

Load pattern: all regions are saturated. A request that is expected to be late in another region too
is not sent there while the own region has an available instance: most of these requests would be
rejected, and the others would take capacity from requests that would be in time. An instance whose
node is stopping, or has no endpoint, is not available.
"""

from __future__ import annotations

import random
import typing

from goldcrestgrade import instants
from goldcrestgrade_node.mesh.endpoint import estimates
from goldcrestgrade_node.mesh.entry import distances
from goldcrestgrade_node.mesh.state import directory
from goldcrestgrade_node.mesh.transport import bodies, loads

MAX_LOAD_AGE_S = 0.5
"""Staleness limit of a load report; the usual length of a degraded period."""

SAME_REGION_ROUND_TRIP_S = 0.002
"""Round trip within a region that is assumed until one is known."""

CROSS_REGION_ROUND_TRIP_S = 0.018
"""Round trip between regions that is assumed until one is known."""

IN_TIME_SHARE = 0.8
"""Share of the time to the latency target that the expected latency may take."""

OTHER_REGION = 2
"""Distance of an instance in another region."""

OWN_RANK = -1
"""Rank of the own endpoint while it can start one more request at a normal pace."""

LATE_RANK = 3
"""Rank of late instances, after all that are expected in time."""


class Requirements(typing.NamedTuple):
    """What a request needs from an instance."""

    target_at: instants.Instant
    """Latency target as an instant; a later answer has lost most of its use."""
    deadline: instants.Instant
    service_time_s: float
    """Service time estimate at a normal endpoint."""
    round_trips: distances.RoundTrips | None = None
    """Round trips that are known; without any, they are assumed by region."""
    body_bytes: int = 0
    """Size of a body whose transfer counts; 0 if the transfer takes no time worth counting."""
    own_id: str = ""
    """Id of this node, to whose endpoint the body needs no transfer."""
    link_mbps: float = 0.0
    """Bandwidth of this node's link in megabits a second; 0 if it is not known."""
    outgoing_bytes: int = 0
    """Bytes of bodies that this node is sending to other nodes."""


class Choice(typing.NamedTuple):
    """An instance and the latency expected of it."""

    instance: directory.Instance
    expected_s: float
    in_time: bool


def distance(own: directory.Location, other: directory.Location) -> int:
    """Return 0 in the same failure domain, 1 in the same region and 2 between regions."""
    if own.region != other.region:
        return 2
    return 0 if own.failure_domain == other.failure_domain else 1


def expected_latency_s(
    instance: directory.Instance,
    requirements: Requirements,
    cross_region: bool,
    now: instants.Instant,
) -> float:
    """Return the expected time in seconds until `instance`'s answer arrives."""
    load = instance.load
    round_trips = requirements.round_trips
    known_s = None if round_trips is None else round_trips.known_s(instance.row.place)
    assumed_s = CROSS_REGION_ROUND_TRIP_S if cross_region else SAME_REGION_ROUND_TRIP_S
    round_trip_s = assumed_s if known_s is None else known_s
    if load is None:
        return round_trip_s + requirements.service_time_s * (1 + instance.in_flight / 8)
    in_flight: float = instance.in_flight
    pace = 1.0
    weight = 1 - (now - instance.load_at) / MAX_LOAD_AGE_S
    if weight > 0:
        in_flight += max(0, load.running + load.waiting - instance.in_flight_at_load) * weight
        pace += (load.pace - 1) * weight
    slots = load.slots
    queued = (in_flight + 1 - slots) / slots if in_flight + 1 > slots else 0.0
    return round_trip_s + requirements.service_time_s * pace * (1 + queued)


def transfer_s(instance: directory.Instance, requirements: Requirements) -> float:
    """Return the seconds that the body takes to `instance` over both links."""
    if instance.row.node_id == requirements.own_id:
        return 0.0
    outgoing_bytes = requirements.outgoing_bytes + requirements.body_bytes
    return max(
        bodies.transfer_s(outgoing_bytes, requirements.link_mbps),
        bodies.transfer_s(requirements.body_bytes, instance.row.link_mbps),
    )


def is_usable(instance: directory.Instance, now: instants.Instant) -> bool:
    """Return whether a request may be sent to `instance`."""
    return instance.backoff_until <= now and instance.failures == 0


def allowed(
    instances: list[directory.Instance], regions: frozenset[str] | None
) -> list[directory.Instance]:
    """Return the instances in `regions`, or all if that is none."""
    if regions is None:
        return instances
    return [instance for instance in instances if instance.row.place.region in regions]


def choose(
    own: directory.Location,
    instances: typing.Sequence[directory.Instance],
    tried: typing.Container[str],
    requirements: Requirements,
    now: instants.Instant,
    rng: random.Random,
) -> Choice | None:
    """Return the nearest of `instances` that is expected in time, or none if none may be used.

    Instances whose node ids are in `tried` are not used. If all would be late, return the one with
    the lowest expected latency in the own region, or in another one if the own has none available.
    """
    best: tuple[tuple[int, float], Choice] | None = None
    time_budget_s = (requirements.target_at - now) * IN_TIME_SHARE
    region_available: bool | None = None
    for instance in instances:
        if instance.row.node_id in tried or not is_usable(instance, now):
            continue
        distance_rank = distance(own, instance.row.place)
        in_other_region = distance_rank == OTHER_REGION
        latency_s = expected_latency_s(instance, requirements, in_other_region, now)
        if requirements.body_bytes:
            latency_s += transfer_s(instance, requirements)
        in_time = latency_s <= time_budget_s
        if in_other_region and not in_time:
            if region_available is None:
                region_available = _is_region_available(own, instances, now)
            if region_available:
                continue
        is_own = instance.row.node_id == requirements.own_id
        if is_own and not requirements.body_bytes and _has_room(instance.load):
            distance_rank = OWN_RANK
        rank = (
            distance_rank if in_time else LATE_RANK,
            latency_s * rng.uniform(0.95, 1.05),
        )
        if best is None or rank < best[0]:
            best = rank, Choice(instance, latency_s, in_time)
    return None if best is None else best[1]


def _has_room(load: loads.Load | None) -> bool:
    """Return whether an endpoint with this load can start one more request at a normal pace."""
    if load is None or load.pace >= estimates.DEGRADED_PACE:
        return False
    return load.running + load.waiting < load.slots


def _is_region_available(
    own: directory.Location,
    instances: typing.Iterable[directory.Instance],
    now: instants.Instant,
) -> bool:
    """Return whether an instance in the own region was reached last and accepts requests at all."""
    return any(
        instance.row.place.region == own.region
        and instance.failures == 0
        and instance.unavailable_until <= now
        for instance in instances
    )
