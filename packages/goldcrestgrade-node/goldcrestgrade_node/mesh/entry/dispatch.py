"""Dispatch of client requests: the instances that each one is sent to, and its outcome."""

from __future__ import annotations

import dataclasses
import logging
import random
import typing

from goldcrestgrade import counters, instants, outcomes, reasons, routes
from goldcrestgrade_node.mesh.entry import (
    distances,
    offers,
    placement,
    reachability,
    retry_budget,
)
from goldcrestgrade_node.mesh.state import directory, evacuations
from goldcrestgrade_node.mesh.transport import requests

log = logging.getLogger(__name__)

REJECTION_BACKOFF_LIMIT_S = 1.0
"""Longest backoff for a node that rejected a request."""

INITIAL_SERVICE_TIME_S = 0.1
"""Service time that is assumed before the first answer."""

SERVICE_TIME_WEIGHT = 0.05
"""Weight of a new sample in the moving average of the service time."""

MIN_SERVICE_SHARE = 0.1
"""Smallest share of the latency that counts as service time beside the transfer of the body."""

FINAL_REASONS = frozenset(
    {reasons.Refusal.CRASHES_ENDPOINTS, reasons.Refusal.CONFIGURATION_OUTDATED}
)
"""Reasons that concern a request and which every node would give."""

MAX_FORWARDS = 2
"""Instances of the own region that a request of another one is forwarded to at most."""

FORWARDED_REASONS = frozenset(
    {
        reasons.Refusal.SATURATED,
        reasons.Refusal.WARMING_UP,
        reasons.Refusal.RATE_LIMITED,
        reasons.Refusal.NO_ENDPOINT,
    }
)
"""Reasons of the own endpoint's node after which another instance of the region is asked."""

MIN_FAILED_STATUS = 500
"""Lowest status of an answer that counts as a failure of the endpoint."""

Serve = typing.Callable[
    [directory.Instance, requests.Call], typing.Awaitable[requests.Served | None]
]
"""Has the node of an instance serve a request; returns none if the node was unreachable."""


@dataclasses.dataclass(slots=True)
class Progress:
    """State of one request between its attempts."""

    offered: offers.Offered = dataclasses.field(default_factory=offers.Offered)
    """Nodes that the request was sent to, and what they said."""
    arrivals: int = 0
    """Endpoints that have received the request."""
    resend_acquired: bool = False
    """Whether the retry budget has granted one more arrival that has not happened yet."""
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
        self.offers = offers.Offers(
            location,
            instances,
            evacuated or evacuations.Evacuations(clocks, counts),
            reached
            or reachability.Reachability(
                "", location.failure_domain, instances.failure_domains, counts
            ),
            rng,
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

    def set_terms(self, terms: retry_budget.Terms) -> None:
        """Set the terms of all retry budgets, present and future ones."""
        self.terms = terms
        for budget in self.budgets.values():
            budget.terms = terms

    async def run(self, call: requests.Call, attempts: int) -> outcomes.Outcome:
        """Send a request until it is answered, refused or may not be sent again."""
        self._budget(call.service).record_request(self.clocks.monotonic())
        return await self._run(call, attempts, Progress())

    async def forward(self, call: requests.Call, rejected: requests.Served) -> requests.Served:
        """Send a request of another region, which the own endpoint's node `rejected`, to others.

        It goes to instances of this region that are expected in time, and to one endpoint at most.

        Load pattern: a quarter of the endpoints are degraded for half a second at a time, and
        requests that may run in one region only enter in another one. The entry node learns of each
        endpoint once in several seconds; a node beside them knows more of them, and each further
        attempt takes a tenth of the time and no traffic between regions.
        """
        refused = rejected.outcome
        if (
            not isinstance(refused, outcomes.NotRun)
            or refused.reason not in FORWARDED_REASONS
            or rejected.arrived
        ):
            return rejected
        progress = Progress()
        progress.offered.tried.add(self.offers.own_id)
        progress.offered.rejections = offers.MAX_REJECTIONS - MAX_FORWARDS
        near = call._replace(
            allowed_regions=frozenset({self.location.region}), forward_allowed=False
        )
        outcome = await self._run(near, 1, progress, in_time_only=True)
        if len(progress.offered.tried) == 1:
            return rejected
        self.counts.events[reasons.Event.FORWARDED] += 1
        if isinstance(outcome, outcomes.NotRun) and not progress.arrivals:
            return rejected._replace(forwarded=True)
        return rejected._replace(outcome=outcome, arrived=progress.arrivals > 0, forwarded=True)

    async def _run(
        self,
        call: requests.Call,
        attempts: int,
        progress: Progress,
        in_time_only: bool = False,
    ) -> outcomes.Outcome:
        """Send a request until it is answered, refused or may not be sent again.

        With `in_time_only`, it is sent only where it is expected to be answered in time.
        """
        budget = self._budget(call.service)
        while True:
            now = self.clocks.monotonic()
            if now >= call.deadline:
                return progress.last_outcome or outcomes.NotRun(
                    reasons.Refusal.EXPIRED_WAITING, now
                )
            requirements = self._requirements(call, self._service_time_s(call))
            choice = self.offers.choose(call, progress.offered, requirements, now)
            is_late = choice is not None and now + choice.expected_s > call.target_at
            if choice is None or (in_time_only and is_late):
                return progress.last_outcome or self.offers.refusal(call, progress.offered, now)
            progress.resend_acquired = progress.resend_acquired or (
                progress.arrivals > 0 and budget.try_acquire(now)
            )
            if progress.arrivals and not progress.resend_acquired:
                self.counts.events[reasons.Refusal.RETRY_BUDGET_SPENT] += 1
                return progress.last_outcome or outcomes.NotRun(
                    reasons.Refusal.RETRY_BUDGET_SPENT, now + offers.NO_INSTANCE_RETRY_S
                )
            served = await self._send(call, choice, progress)
            outcome = (
                None if served is None else self._final_outcome(call, served, progress, attempts)
            )
            if outcome is not None:
                return outcome

    def _service_time_s(self, call: requests.Call) -> float:
        return self.service_times_s.get(_service_time_key(call), INITIAL_SERVICE_TIME_S)

    def _requirements(self, call: requests.Call, service_time_s: float) -> placement.Requirements:
        return placement.Requirements(
            call.target_at,
            call.deadline,
            service_time_s,
            self.round_trips,
            len(call.body) if call.large_body else 0,
            self.offers.own_id,
            self.link_mbps,
            self.outgoing_bytes,
        )

    async def _send(
        self, call: requests.Call, choice: placement.Choice, progress: Progress
    ) -> requests.Served | None:
        instance = choice.instance
        progress.offered.tried.add(instance.row.node_id)
        instance.in_flight += 1
        is_remote = instance.row.node_id != self.offers.own_id
        crosses = placement.distance(self.location, instance.row.place) == placement.OTHER_REGION
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
                    forward_allowed=crosses and started + choice.expected_s <= call.target_at,
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
            self.offers.learn_warm_up(
                call.service, instance, served, self._service_time_s(call), now
            )
        if served.report is not None:
            self.instances.record_report(instance.row.node_id, served.report)
        match served.outcome:
            case outcomes.Ran(answer=answer) if answer.status < MIN_FAILED_STATUS:
                pace = 1.0
                if served.load is not None and not served.forwarded:
                    # Of a forwarded request, the load is that of another endpoint.
                    pace = served.load.pace
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
                if reason in offers.SHARE_REASONS:
                    self.offers.share_backoffs.record(
                        call.workspace, instance.row.node_id, backoff_until, now
                    )
                elif reason != reasons.Refusal.CONFIGURATION_OUTDATED:
                    instance.backoff_until = backoff_until
                    if reason in offers.UNAVAILABLE_REASONS:
                        instance.unavailable_until = backoff_until

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
                again_at = retry_at or self.clocks.monotonic()
                progress.offered.record(reason, again_at, served.forwarded)
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
