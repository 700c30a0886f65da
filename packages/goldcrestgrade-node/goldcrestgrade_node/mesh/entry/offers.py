"""Instances that a request may be offered to at this moment, and the reason if there is none.

Load pattern: failure domains are evacuated, cut off or return cold while all others are busy. Each
offer that is certain to be rejected costs a hop, and each offer to an evacuated domain or outside
the allowed regions breaks a rule. Instances are therefore excluded before placement compares loads.
"""

from __future__ import annotations

import dataclasses
import random
import typing

from goldcrestgrade import instants, outcomes, reasons, routes
from goldcrestgrade_node.mesh.entry import (
    evacuation_ramp,
    placement,
    reachability,
    share_backoffs,
    warming,
)
from goldcrestgrade_node.mesh.state import directory, evacuations
from goldcrestgrade_node.mesh.transport import loads, requests

MAX_REJECTIONS = 6
"""Rejections by nodes after which a request is refused; those of unavailable nodes don't count."""

MAX_LATE_REJECTIONS = 3
"""The same if a further instance is expected to answer after the latency target."""

FORWARDED_REJECTIONS = 2
"""Rejections for which one by a node counts that has forwarded the request in its region."""

NO_INSTANCE_RETRY_S = 0.3
"""Delay after which a client may retry if no instance is usable or the retry budget is spent."""

EVACUATED_RETRY_S = 1.0
"""Delay after which a client may retry if all failure domains for its request are evacuated.

Operators end evacuations; they last much longer than a client waits.
"""

DOMAIN_UNREACHABLE_RETRY_S = 0.5
"""Delay after which a client may retry if no failure domain with the service responds."""

UNAVAILABLE_REASONS = frozenset(
    {
        reasons.Refusal.NO_ENDPOINT,
        reasons.Refusal.NODE_STOPPING,
        reasons.Refusal.UNKNOWN_SERVICE,
        reasons.Refusal.REGION_NOT_ALLOWED,
        reasons.Refusal.EVACUATED,
    }
)
"""Reasons with which a node rejects every request; they don't show that others are saturated."""

SHARE_REASONS = frozenset({reasons.Refusal.FAIR_SHARE_EXCEEDED})
"""Reasons with which a node rejects requests of one workspace; it accepts those of others."""


@dataclasses.dataclass(slots=True)
class Offered:
    """The nodes that one request was offered to, and how they rejected it."""

    tried: set[str] = dataclasses.field(default_factory=set)
    """Ids of the nodes to which the request was sent."""
    rejections: int = 0
    """Nodes that rejected this request but accept others."""
    beyond_share: int = 0
    """Those of them that accept requests of other workspaces."""
    unavailable: int = 0
    """Nodes that accepted no request at all."""
    retry_at: instants.Instant = 0.0
    """Earliest instant at which a node that rejected the request may accept it."""
    withheld: bool = False
    """Whether it was not offered to an instance that may be cold."""

    def record(
        self, reason: reasons.Refusal, again_at: instants.Instant, forwarded: bool = False
    ) -> None:
        """Record that a node, and others if it has `forwarded` it, rejected the request.

        `again_at` is when the node may accept it.
        """
        if reason in UNAVAILABLE_REASONS:
            self.unavailable += 1
        else:
            self.rejections += FORWARDED_REJECTIONS if forwarded else 1
            self.beyond_share += reason in SHARE_REASONS
        self.retry_at = min(self.retry_at or again_at, again_at)


class Candidates(typing.NamedTuple):
    """Instances of a service after each of the exclusions, in their order."""

    in_regions: list[directory.Instance]
    """Those in the allowed regions."""
    not_evacuated: list[directory.Instance]
    reachable: list[directory.Instance]
    """Those that a request may be offered to."""


def candidates(
    instances: list[directory.Instance],
    allowed_regions: frozenset[str] | None,
    evacuated: typing.Collection[str],
    unreachable: typing.Collection[str],
    own_id: str,
) -> Candidates:
    """Exclude instances by region, evacuation and reachability; the own one is reachable."""
    in_regions = placement.allowed(instances, allowed_regions)
    not_evacuated = _outside(in_regions, evacuated)
    return Candidates(in_regions, not_evacuated, _outside(not_evacuated, unreachable, own_id))


def _outside(
    instances: list[directory.Instance], domains: typing.Collection[str], kept_id: str | None = None
) -> list[directory.Instance]:
    """Return the instances outside some failure domains, and the one with the id `kept_id`."""
    if not domains:
        return instances
    return [
        instance
        for instance in instances
        if instance.row.place.failure_domain not in domains or instance.row.node_id == kept_id
    ]


def refusal(
    found: Candidates,
    offered: Offered,
    is_region_limited: bool,
    share_until: instants.Instant | None,
    now: instants.Instant,
) -> outcomes.NotRun:
    """Return why a request can't be offered to any instance, and when it may be retried.

    `share_until` is the end of the first backoff of its workspace, if it has one.
    """
    if found.in_regions and not found.not_evacuated:
        return outcomes.NotRun(reasons.Refusal.EVACUATED, now + EVACUATED_RETRY_S)
    if found.in_regions and not found.reachable:
        return outcomes.NotRun(reasons.Refusal.DOMAIN_UNREACHABLE, now + DOMAIN_UNREACHABLE_RETRY_S)
    if offered.rejections or offered.unavailable:
        return outcomes.NotRun(_rejection_reason(offered), offered.retry_at)
    if share_until is not None:
        return outcomes.NotRun(reasons.Refusal.FAIR_SHARE_EXCEEDED, share_until)
    if not found.reachable and is_region_limited:
        return outcomes.NotRun(reasons.Refusal.REGION_NOT_ALLOWED, now + NO_INSTANCE_RETRY_S)
    if offered.withheld:
        return outcomes.NotRun(reasons.Refusal.WARMING_UP, now + NO_INSTANCE_RETRY_S)
    return _backoff_refusal(found.reachable, now)


def _rejection_reason(offered: Offered) -> reasons.Refusal:
    """Return the reason for a request that nodes have rejected."""
    if offered.rejections and offered.rejections == offered.beyond_share:
        return reasons.Refusal.FAIR_SHARE_EXCEEDED
    if offered.withheld:
        return reasons.Refusal.WARMING_UP
    return reasons.Refusal.SATURATED if offered.rejections else reasons.Refusal.NO_ENDPOINT


def _backoff_refusal(instances: list[directory.Instance], now: instants.Instant) -> outcomes.NotRun:
    """Return the refusal of a request that was not offered because of backoffs and failures."""
    earliest = min((i.backoff_until for i in instances if not i.failures), default=0.0)
    if earliest > now:
        return outcomes.NotRun(reasons.Refusal.SATURATED, earliest)
    return outcomes.NotRun(reasons.Refusal.NO_ENDPOINT, now + NO_INSTANCE_RETRY_S)


class Offers:
    """Decides which instance a request is offered to next; owned by the node's event loop."""

    def __init__(
        self,
        location: directory.Location,
        instances: directory.Directory,
        evacuated: evacuations.Evacuations,
        reached: reachability.Reachability,
        rng: random.Random,
    ) -> None:
        self.location = location
        self.instances = instances
        self.evacuations = evacuated
        self.reachability = reached
        self.rng = rng
        self.own_id = ""
        """Id of this node, which knows the state of its own endpoint."""
        self.find_service: typing.Callable[[str], routes.Service | None] = lambda _: None
        """Returns the service of a name, with the warm-up rate that all nodes together may use."""
        self.own_load: typing.Callable[[], loads.Load] | None = None
        """Returns the present load of the own endpoint; none if only its answers report it."""
        self.full_slots: dict[str, int] = {}
        """Most slots that an endpoint has reported, by services with a warm-up."""
        self.share_backoffs = share_backoffs.ShareBackoffs()

    def choose(
        self,
        call: requests.Call,
        offered: Offered,
        requirements: placement.Requirements,
        now: instants.Instant,
    ) -> placement.Choice | None:
        """Return the instance that a request is offered to next, or none."""
        if offered.rejections >= MAX_REJECTIONS:
            return None
        self._refresh_own_load(now)
        service = self._warm_up(call.service)
        skipped = offered.tried | self.share_backoffs.of(call.workspace, now)

        def choose_of(found: list[directory.Instance]) -> placement.Choice | None:
            if service is None:
                return placement.choose(self.location, found, skipped, requirements, now, self.rng)
            return self._choose_with_warm_up(found, service, offered, skipped, requirements, now)

        found = self._candidates(call).reachable
        held_back = self._held_back(now)
        choice = choose_of(_outside(found, held_back)) if held_back else None
        choice = choice or choose_of(found)
        if choice is None or offered.rejections < MAX_LATE_REJECTIONS:
            return choice
        if requirements.body_bytes:
            return None
        return choice if now + choice.expected_s <= requirements.target_at else None

    def _refresh_own_load(self, now: instants.Instant) -> None:
        """Take the load of the own endpoint from its admission, which is in this process."""
        own = self.instances.by_id.get(self.own_id)
        if own is not None and self.own_load is not None:
            own.load, own.load_at = self.own_load(), now
            own.in_flight_at_load = own.in_flight

    def refusal(
        self, call: requests.Call, offered: Offered, now: instants.Instant
    ) -> outcomes.NotRun:
        """Return why a request can't be offered to any instance, and when it may be retried."""
        return refusal(
            self._candidates(call),
            offered,
            call.allowed_regions is not None,
            self.share_backoffs.earliest(call.workspace, now),
            now,
        )

    def learn_warm_up(
        self,
        service_name: str,
        instance: directory.Instance,
        served: requests.Served,
        service_time_s: float,
        now: instants.Instant,
    ) -> None:
        """Learn from a load report whether an instance is cold, if its service has a warm-up."""
        service, load = self._warm_up(service_name), served.load
        if service is None or load is None:
            return
        full_slots = max(load.slots, self.full_slots.get(service_name, 0))
        self.full_slots[service_name] = full_slots
        match served.outcome:
            case outcomes.NotRun(reason=reason):
                rejected = reason == reasons.Refusal.WARMING_UP
            case _:
                rejected = False
        instance.warming = warming.learn(
            instance.warming,
            service,
            len(self.instances.by_id),
            now,
            warming.shows_cold(load, full_slots, service, service_time_s),
            rejected,
            load.waiting > 0,
        )

    def _candidates(self, call: requests.Call) -> Candidates:
        return candidates(
            self.instances.of_service(call.service),
            call.allowed_regions,
            self.evacuations.domains,
            self.reachability.unreachable,
            self.reachability.own_id,
        )

    def _held_back(self, now: instants.Instant) -> set[str]:
        """Draw the failure domains that get no part of an attempt after their evacuation."""
        held_back: set[str] = set()
        for domain, ended_at in list(self.evacuations.ended_at.items()):
            share = evacuation_ramp.share(now - ended_at)
            if share >= 1.0:
                del self.evacuations.ended_at[domain]
            elif self.rng.random() >= share:
                held_back.add(domain)
        return held_back

    def _warm_up(self, name: str) -> routes.Service | None:
        """Return a service if it names a warm-up."""
        service = self.find_service(name)
        return service if service is not None and service.warm_up_rate > 0 else None

    def _choose_with_warm_up(
        self,
        found: list[directory.Instance],
        service: routes.Service,
        offered: Offered,
        skipped: typing.Container[str],
        requirements: placement.Requirements,
        now: instants.Instant,
    ) -> placement.Choice | None:
        """Return the choice among instances that are not cold, or that may get an offer now.

        Without any, the others are asked too: the alternative is a refusal, and the node of a cold
        endpoint that has no room rejects a request until it has.
        """
        left = list(found)
        withheld: list[directory.Instance] = []
        while True:
            choice = placement.choose(self.location, left, skipped, requirements, now, self.rng)
            if choice is None:
                offered.withheld = offered.withheld or bool(withheld)
                return placement.choose(
                    self.location, withheld, skipped, requirements, now, self.rng
                )
            instance = choice.instance
            if self._draw_offer(instance, service, now):
                return choice
            left = [other for other in left if other is not instance]
            withheld.append(instance)

    def _draw_offer(
        self, instance: directory.Instance, service: routes.Service, now: instants.Instant
    ) -> bool:
        """Return whether an instance that may be cold gets an offer; others always do."""
        instance.warming = warming.consider(instance.warming, service, now)
        if instance.row.node_id == self.own_id or now >= instance.warming.cold_until:
            return True
        is_offered, instance.warming = warming.draw(
            instance.warming, service, len(self.instances.by_id), now, self.rng.random()
        )
        return is_offered
