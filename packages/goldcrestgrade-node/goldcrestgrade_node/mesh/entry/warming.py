"""How often an entry node offers requests to an instance that may be cold; pure functions.

Load pattern: a failure domain of 17 endpoints returns cold after 4 s, no entry node knows a load of
any of them, and all 59 nodes offer requests at once while the rest runs at 1.7 times its usual
load. An unknown load looks like an idle instance, so every node would prefer them, and most of the
requests would be rejected after a wasted hop.

Each node therefore offers an instance requests at a rate of its own, whose sum over all nodes
begins at the warm-up rate. A request is offered with a probability that grows with the time since
the node last considered the instance, so the sum doesn't depend on how many requests the nodes
have. A node that sees its requests run raises its rate, and one that is rejected lowers it. The
restriction ends with a report of more slots, or with the warm-up time of the service.
"""

from __future__ import annotations

import math

from goldcrestgrade import instants, routes
from goldcrestgrade_node.mesh.state import directory
from goldcrestgrade_node.mesh.transport import loads

MAX_UNUSED_S = 0.5
"""Time for which an unused part of the offers is kept; the burst of `coldness.Coldness`."""

GROWTH = 1.5
"""Factor on the rate of the offers after a request that ran without waiting."""

REDUCTION = 0.5
"""Factor on the rate of the offers after a request that was rejected for the warm-up."""


def consider(
    known: directory.Warming, service: routes.Service, now: instants.Instant
) -> directory.Warming:
    """Return the knowledge with the time until which an unproven instance may be cold."""
    if known.unproven and not known.cold_until:
        return known._replace(cold_until=now + service.warm_up_s, offer_rate=0.0)
    return known


def draw(
    known: directory.Warming,
    service: routes.Service,
    nodes: int,
    now: instants.Instant,
    chance: float,
) -> tuple[bool, directory.Warming]:
    """Return whether a request may be offered to an instance that may be cold, by a `chance` of 0
    to 1, and the knowledge after that.
    """
    rate = max(known.offer_rate, service.warm_up_rate / max(1, nodes))
    since_s = min(MAX_UNUSED_S, now - known.considered_at)
    return chance < rate * since_s, known._replace(considered_at=now, offer_rate=rate)


def shows_cold(
    load: loads.Load, full_slots: int, service: routes.Service, service_time_s: float
) -> bool:
    """Return whether a report has as few slots as a cold endpoint's, and others have more."""
    cold_slots = max(1, math.ceil(service.warm_up_rate * service_time_s * load.pace))
    return load.slots <= cold_slots and load.slots < full_slots


def learn(
    known: directory.Warming,
    service: routes.Service,
    nodes: int,
    now: instants.Instant,
    cold: bool,
    rejected: bool,
    waited: bool,
) -> directory.Warming:
    """Return the knowledge after a report of the load.

    `cold`: the report shows a cold endpoint; `rejected`: so does the reason of the rejection;
    `waited`: requests wait there. A cold time that began earlier is not prolonged.
    """
    if not (cold or rejected):
        return directory.Warming(unproven=False)
    until = known.cold_until if now < known.cold_until else now + service.warm_up_s
    floor = service.warm_up_rate / max(1, nodes)
    factor = REDUCTION if rejected else 1.0 if waited else GROWTH
    rate = min(service.warm_up_rate, max(floor, factor * known.offer_rate))
    return directory.Warming(False, until, known.considered_at, rate)
