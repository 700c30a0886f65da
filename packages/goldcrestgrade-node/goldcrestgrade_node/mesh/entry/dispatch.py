"""Dispatch of client requests: the instances that each one is sent to, and its outcome."""

from __future__ import annotations

import dataclasses
import logging
import random
import typing

from goldcrestgrade import counters, instants, outcomes, reasons, routes
from goldcrestgrade_node.mesh.entry import (
    distances,
    evacuation_ramp,
    placement,
    reachability,
    retry_budget,
    share_backoffs,
    warming,
)
from goldcrestgrade_node.mesh.state import directory, evacuations
from goldcrestgrade_node.mesh.transport import loads, requests

log = logging.getLogger(__name__)

MAX_REJECTIONS = 3
"""Rejections by nodes after which a request is refused; those of unavailable nodes don't count."""

REJECTION_BACKOFF_LIMIT_S = 1.0
"""Longest backoff for a node that rejected a request."""

INITIAL_SERVICE_TIME_S = 0.1
"""Service time that is assumed before the first answer."""

SERVICE_TIME_WEIGHT = 0.05
"""Weight of a new sample in the moving average of the service time."""

MIN_SERVICE_SHARE = 0.1
"""Smallest share of the latency that counts as service time beside the transfer of the body."""

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

FINAL_REASONS = frozenset(
    {reasons.Refusal.CRASHES_ENDPOINTS, reasons.Refusal.CONFIGURATION_OUTDATED}
)
"""Reasons that concern a request and which every node would give."""

SHARE_REASONS = frozenset({reasons.Refusal.FAIR_SHARE_EXCEEDED})
"""Reasons with which a node rejects requests of one workspace; it accepts those of others."""

MIN_FAILED_STATUS = 500
"""Lowest status of an answer that counts as a failure of the endpoint."""

Serve = typing.Callable[
    [directory.Instance, requests.Call], typing.Awaitable[requests.Served | None]
]
"""Has the node of an instance serve a request; returns none if the node was unreachable."""


@dataclasses.dataclass(slots=True)
class Progress:
    """State of one request between its attempts."""

    tried: set[str] = dataclasses.field(default_factory=set)
    """Ids of the nodes to which the request was sent."""
    arrivals: int = 0
    """Endpoints that have received the request."""
    resend_acquired: bool = False
    """Whether the retry budget has granted one more arrival that has not happened yet."""
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
    last_outcome: outcomes.Outcome | None = None
    """Outcome that is returned if the request can't be sent again."""


class Dispatcher:
    """Sends requests to instances; owned by the event loop of the node."""

    def __init__(
        self,
        location: directory.Location,
        instances: directory.Directory,
        serve: Serve,
        terms: retry_budget.Terms,
        clocks: instants.Clocks,
        counts: counters.Counts,
        rng: random.Random,
        evacuated: evacuations.Evacuations | None = None,
        reached: reachability.Reachability | None = None,
    ) -> None:
        self.evacuations = evacuated or evacuations.Evacuations(clocks, counts)
        self.reachability = reached or reachability.Reachability(
            "", location.failure_domain, instances.failure_domains, counts
        )
        self.location = location
        self.instances = instances
        self.serve = serve
        self.terms = terms
        self.clocks = clocks
        self.counts = counts
        self.rng = rng
        self.link_mbps = 0.0
        """Bandwidth of this node's link in megabits a second; 0 if it is not known."""
        self.outgoing_bytes = 0
        """Bytes of large bodies in requests that were sent to other nodes and have not ended."""
        self.service_times_s: dict[str, float] = {}
        """Moving average of latency divided by the endpoint's pace, by service and route."""
        self.round_trips = distances.RoundTrips()
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.own_id = ""
        """Id of this node, which knows the state of its own endpoint."""
        self.find_service: typing.Callable[[str], routes.Service | None] = lambda _: None
        """Returns the service of a name."""
        self.full_slots: dict[str, int] = {}
        """Most slots that an endpoint has reported, by services with a warm-up."""
        self.share_backoffs = share_backoffs.ShareBackoffs()

    def set_terms(self, terms: retry_budget.Terms) -> None:
        """Set the terms of all retry budgets, present and future ones."""
        self.terms = terms
        for budget in self.budgets.values():
            budget.terms = terms

    async def run(self, call: requests.Call, attempts: int) -> outcomes.Outcome:
        """Send a request until it is answered, refused or may not be sent again."""
        progress = Progress()
        budget = self._budget(call.service)
        budget.record_request(self.clocks.monotonic())
        while True:
            now = self.clocks.monotonic()
            if now >= call.deadline:
                return progress.last_outcome or outcomes.NotRun(
                    reasons.Refusal.EXPIRED_WAITING, now
                )
            choice = self._choose(call, progress, now)
            if choice is None:
                return progress.last_outcome or self._no_instance_left(call, progress, now)
            progress.resend_acquired = progress.resend_acquired or (
                progress.arrivals > 0 and budget.try_acquire(now)
            )
            if progress.arrivals and not progress.resend_acquired:
                self.counts.events[reasons.Refusal.RETRY_BUDGET_SPENT] += 1
                return progress.last_outcome or outcomes.NotRun(
                    reasons.Refusal.RETRY_BUDGET_SPENT, now + NO_INSTANCE_RETRY_S
                )
            served = await self._send(call, choice, progress)
            outcome = (
                None if served is None else self._final_outcome(call, served, progress, attempts)
            )
            if outcome is not None:
                return outcome

    def _choose(
        self, call: requests.Call, progress: Progress, now: instants.Instant
    ) -> placement.Choice | None:
        if progress.rejections >= MAX_REJECTIONS:
            return None
        service_time_s = self.service_times_s.get(_service_time_key(call), INITIAL_SERVICE_TIME_S)
        requirements = self._requirements(call, service_time_s)
        service = self._warm_up(call.service)
        skipped = progress.tried | self.share_backoffs.of(call.workspace, now)

        def choose_of(offered: list[directory.Instance]) -> placement.Choice | None:
            if service is not None:
                return self._choose_with_warm_up(
                    offered, service, progress, skipped, requirements, now
                )
            return placement.choose(self.location, offered, skipped, requirements, now, self.rng)

        instances = self._allowed(call)
        held_back = self._held_back(now)
        if not held_back:
            return choose_of(instances)
        others = [i for i in instances if i.row.place.failure_domain not in held_back]
        return choose_of(others) or choose_of(instances)

    def _held_back(self, now: instants.Instant) -> set[str]:
        """Draw the failure domains that get no part of an attempt after their evacuation."""
        held_back: set[str] = set()
        if not self.evacuations.ended_at:
            return held_back
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
        instances: list[directory.Instance],
        service: routes.Service,
        progress: Progress,
        skipped: typing.Container[str],
        requirements: placement.Requirements,
        now: instants.Instant,
    ) -> placement.Choice | None:
        """Return the choice among instances that are not cold, or that may get an offer now.

        Without any, one that may be cold is asked if nothing is known of it and no request of this
        node is there: at most one hop for each node and instance.
        """
        nodes = len(self.instances.by_id)
        left = list(instances)
        unknown: list[directory.Instance] = []
        while True:
            choice = placement.choose(self.location, left, skipped, requirements, now, self.rng)
            if choice is None:
                progress.withheld = progress.withheld or len(left) < len(instances)
                return placement.choose(
                    self.location, unknown, skipped, requirements, now, self.rng
                )
            instance = choice.instance
            instance.warming = warming.consider(instance.warming, service, now)
            if instance.row.node_id == self.own_id or now >= instance.warming.cold_until:
                return choice
            offered, instance.warming = warming.draw(
                instance.warming, service, nodes, now, self.rng.random()
            )
            if offered:
                return choice
            left = [other for other in left if other is not instance]
            if instance.warming.unproven and not instance.in_flight:
                unknown.append(instance)

    def _learn_warm_up(
        self,
        call: requests.Call,
        instance: directory.Instance,
        load: loads.Load,
        outcome: outcomes.Outcome,
        now: instants.Instant,
    ) -> None:
        service = self._warm_up(call.service)
        if service is None:
            return
        full_slots = max(load.slots, self.full_slots.get(service.name, 0))
        self.full_slots[service.name] = full_slots
        service_time_s = self.service_times_s.get(_service_time_key(call), INITIAL_SERVICE_TIME_S)
        rejected = (
            isinstance(outcome, outcomes.NotRun) and outcome.reason == reasons.Refusal.WARMING_UP
        )
        instance.warming = warming.learn(
            instance.warming,
            service,
            len(self.instances.by_id),
            now,
            warming.shows_cold(load, full_slots, service, service_time_s),
            rejected,
            load.waiting > 0,
        )

    def _requirements(self, call: requests.Call, service_time_s: float) -> placement.Requirements:
        return placement.Requirements(
            call.target_at,
            call.deadline,
            service_time_s,
            self.round_trips,
            len(call.body) if call.large_body else 0,
            self.own_id,
            self.link_mbps,
            self.outgoing_bytes,
        )

    def _allowed(self, call: requests.Call) -> list[directory.Instance]:
        """Return the instances of the service to which the request may be offered."""
        found = self._not_evacuated(call)
        if self.reachability.unreachable:
            found = [instance for instance in found if self.reachability.is_offered(instance)]
        return found

    def _not_evacuated(self, call: requests.Call) -> list[directory.Instance]:
        """Return the instances of the service that are not evacuated, in the allowed regions."""
        found = self._in_regions(call)
        if self.evacuations.domains:
            evacuated = self.evacuations.domains
            found = [i for i in found if i.row.place.failure_domain not in evacuated]
        return found

    def _in_regions(self, call: requests.Call) -> list[directory.Instance]:
        """Return the instances of the service in regions where the request may run."""
        return placement.allowed(self.instances.of_service(call.service), call.allowed_regions)

    async def _send(
        self, call: requests.Call, choice: placement.Choice, progress: Progress
    ) -> requests.Served | None:
        instance = choice.instance
        progress.tried.add(instance.row.node_id)
        instance.in_flight += 1
        is_remote = instance.row.node_id != self.own_id
        outgoing_bytes = len(call.body) if call.large_body and is_remote else 0
        self.outgoing_bytes += outgoing_bytes
        started = self.clocks.monotonic()
        load_age_s = min(999.0, started - instance.load_at)
        served: requests.Served | None = None
        try:
            report = self.instances.reports.get(instance.row.node_id)
            served = await self.serve(
                instance,
                call._replace(
                    late_allowed=not choice.in_time,
                    report=report,
                    round_trip_s=self.round_trips.known_s(instance.row.place) or 0.0,
                ),
            )
        finally:
            instance.in_flight -= 1
            self.outgoing_bytes -= outgoing_bytes
        now = self.clocks.monotonic()
        log.info(
            "call placed",
            extra={
                "request_id": call.attempt_id,
                "instance": instance.row.node_id,
                "distance": placement.distance(self.location, instance.row.place),
                "expected_s": round(choice.expected_s, 3),
                "in_time": choice.in_time,
                "load_age_s": round(load_age_s, 3),
                "took_s": round(now - started, 3),
                "outcome": "unreached" if served is None else served.outcome.tag,
            },
        )
        if served is None:
            self.instances.record_unreachable(instance, now)
            self.counts.retries[reasons.Retry.UNREACHED] += 1
            return None
        self._record_result(call, instance, served, started, now)
        return served

    def _record_result(
        self,
        call: requests.Call,
        instance: directory.Instance,
        served: requests.Served,
        started: instants.Instant,
        now: instants.Instant,
    ) -> None:
        if served.served_s is not None:
            self.round_trips.record(instance.row.place, now - started, served.served_s, now)
        if served.load is not None:
            instance.load, instance.load_at = served.load, now
            instance.in_flight_at_load = instance.in_flight
            self._learn_warm_up(call, instance, served.load, served.outcome, now)
        if served.report is not None:
            self.instances.record_report(instance.row.node_id, served.report)
        match served.outcome:
            case outcomes.Ran(answer=answer) if answer.status < MIN_FAILED_STATUS:
                pace = served.load.pace if served.load is not None else 1.0
                sample_s = (now - started) / max(1.0, pace)
                if call.large_body:
                    # The transfer of a large body is added per instance and is no service time.
                    transfer_s = placement.transfer_s(instance, self._requirements(call, 0.0))
                    sample_s = max(MIN_SERVICE_SHARE * sample_s, sample_s - transfer_s)
                estimate_s = self.service_times_s.get(_service_time_key(call), sample_s)
                self.service_times_s[_service_time_key(call)] = estimate_s + SERVICE_TIME_WEIGHT * (
                    sample_s - estimate_s
                )
            case outcomes.NotRun(reason=reason, retry_at=retry_at):
                backoff_until = min(retry_at or now, now + REJECTION_BACKOFF_LIMIT_S)
                if reason in SHARE_REASONS:
                    self.share_backoffs.record(
                        call.workspace, instance.row.node_id, backoff_until, now
                    )
                elif reason != reasons.Refusal.CONFIGURATION_OUTDATED:
                    instance.backoff_until = backoff_until

    def _final_outcome(
        self, call: requests.Call, served: requests.Served, progress: Progress, attempts: int
    ) -> outcomes.Outcome | None:
        """Record how a node ended a request; return the final outcome, or none to send it again."""
        progress.arrivals += served.arrived
        progress.resend_acquired = progress.resend_acquired and not served.arrived
        attempts_used = progress.arrivals >= attempts
        match served.outcome:
            case outcomes.NotRun(reason=reason, retry_at=retry_at):
                self.counts.retries[reasons.Retry.REFUSED] += 1
                if reason in UNAVAILABLE_REASONS:
                    progress.unavailable += 1
                else:
                    progress.rejections += 1
                    progress.beyond_share += reason in SHARE_REASONS
                again_at = retry_at or self.clocks.monotonic()
                progress.retry_at = min(progress.retry_at or again_at, again_at)
                if reason in FINAL_REASONS or attempts_used:
                    return progress.last_outcome or served.outcome
                return None
            case outcomes.Ran(answer=answer) if answer.status < MIN_FAILED_STATUS:
                return served.outcome
            case _:
                if call.run_once or attempts_used:
                    return served.outcome
                progress.last_outcome = served.outcome
                self.counts.retries[reasons.Retry.FAILED] += 1
                return None

    def _no_instance_left(
        self, call: requests.Call, progress: Progress, now: instants.Instant
    ) -> outcomes.NotRun:
        instances = self._allowed(call)
        if not instances and self._in_regions(call):
            if not self._not_evacuated(call):
                return outcomes.NotRun(reasons.Refusal.EVACUATED, now + EVACUATED_RETRY_S)
            return outcomes.NotRun(
                reasons.Refusal.DOMAIN_UNREACHABLE, now + DOMAIN_UNREACHABLE_RETRY_S
            )
        if progress.rejections and progress.rejections == progress.beyond_share:
            return outcomes.NotRun(reasons.Refusal.FAIR_SHARE_EXCEEDED, progress.retry_at)
        if progress.rejections or progress.unavailable:
            if progress.withheld:
                return outcomes.NotRun(reasons.Refusal.WARMING_UP, progress.retry_at)
            none_saturated = not progress.rejections
            refusal = reasons.Refusal.NO_ENDPOINT if none_saturated else reasons.Refusal.SATURATED
            return outcomes.NotRun(refusal, progress.retry_at)
        share_until = self.share_backoffs.earliest(call.workspace, now)
        if share_until is not None:
            return outcomes.NotRun(reasons.Refusal.FAIR_SHARE_EXCEEDED, share_until)
        if not instances and call.allowed_regions is not None:
            return outcomes.NotRun(reasons.Refusal.REGION_NOT_ALLOWED, now + NO_INSTANCE_RETRY_S)
        if progress.withheld:
            return outcomes.NotRun(reasons.Refusal.WARMING_UP, now + NO_INSTANCE_RETRY_S)
        earliest = min((i.backoff_until for i in instances if not i.failures), default=0.0)
        retry_at = earliest if earliest > now else now + NO_INSTANCE_RETRY_S
        reason = reasons.Refusal.SATURATED if earliest > now else reasons.Refusal.NO_ENDPOINT
        return outcomes.NotRun(reason, retry_at)

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        nodes = max(1, len(self.instances.by_id))
        budget = self.budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(self.terms, nodes, self.clocks.monotonic())
            self.budgets[service] = budget
        budget.nodes = nodes
        return budget


def draw_service(route: routes.Route, rng: random.Random) -> str:
    """Return the service of one request, drawn by the weights of the route's parts."""
    if len(route.parts) == 1:
        return route.parts[0].service
    weights = [part.weight for part in route.parts]
    return rng.choices(route.parts, weights)[0].service


def _service_time_key(call: requests.Call) -> str:
    return f"{call.service} {call.route}"
