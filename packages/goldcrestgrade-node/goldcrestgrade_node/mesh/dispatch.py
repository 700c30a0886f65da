"""Calls of clients: which instances they go to, one after the other, and how they end."""

from __future__ import annotations

import dataclasses
import logging
import random
import typing

from goldcrestgrade import counters, instants, outcomes, reasons, routes
from goldcrestgrade_node.mesh import directory, placement, requests, retry_budget

log = logging.getLogger(__name__)

MAX_SENT_BACK = 3
"""Nodes that may send a call back before it is refused."""

AVOID_LIMIT_S = 1.0
"""Longest time for which a node that sent a call back is avoided."""

TYPICAL_START_S = 0.1
"""Time that an endpoint is taken to need before the first answer."""

TYPICAL_WEIGHT = 0.05
"""Weight of a new sample in the moving mean of the time until an answer."""

NO_INSTANCE_RETRY_S = 0.3
"""Time after which a client may try again where no instance can be used."""

UNABLE = frozenset(
    {
        reasons.Refusal.NO_ENDPOINT,
        reasons.Refusal.NODE_STOPPING,
        reasons.Refusal.UNKNOWN_SERVICE,
    }
)
"""Reasons of a node that could take no call at all; they say nothing of how full the others are."""

FAILED_STATUS = 500
"""Lowest status with which an endpoint says that it failed."""

Serve = typing.Callable[
    [directory.Instance, requests.Call], typing.Awaitable[requests.Served | None]
]
"""Has the node of an instance serve a call; none where it was not reached."""


@dataclasses.dataclass(slots=True)
class Progress:
    """What has happened to a call so far."""

    tried: set[str] = dataclasses.field(default_factory=set)
    arrivals: int = 0
    """Endpoints that have seen the call."""
    paid: bool = False
    """Whether the budget has allowed one more arrival that has not happened yet."""
    sent_back: int = 0
    """Nodes that had no room for the call."""
    unable: int = 0
    """Nodes that could take no call at all."""
    retry_at: instants.Instant = 0.0
    """Earliest instant at which a node that sent the call back may take it."""
    last: outcomes.Outcome | None = None
    """Outcome that is returned if the call can't be sent again."""


class Dispatcher:
    """Sends calls to instances; owned by the event loop of the node."""

    def __init__(
        self,
        place: directory.Location,
        known: directory.Directory,
        serve: Serve,
        terms: retry_budget.Terms,
        clocks: instants.Clocks,
        counts: counters.Counts,
        rng: random.Random,
    ) -> None:
        self.place = place
        self.known = known
        self.serve = serve
        self.terms = terms
        self.clocks = clocks
        self.counts = counts
        self.rng = rng
        self.typical_s: dict[str, float] = {}
        self.budgets: dict[str, retry_budget.RetryBudget] = {}

    def set_terms(self, terms: retry_budget.Terms) -> None:
        """Change the terms of the budgets of arrivals beyond the first."""
        self.terms = terms
        for budget in self.budgets.values():
            budget.terms = terms

    async def run(self, call: requests.Call, attempts: int) -> outcomes.Outcome:
        """Send a call until it is answered, refused or may not be sent again."""
        progress = Progress()
        budget = self._budget(call.service)
        budget.record_request(self.clocks.monotonic())
        while True:
            now = self.clocks.monotonic()
            if now >= call.deadline:
                return progress.last or outcomes.NotRun(reasons.Refusal.EXPIRED_WAITING, now)
            chosen = self._choose(call, progress, now)
            if chosen is None:
                return progress.last or self._none_left(call, progress, now)
            progress.paid = progress.paid or (progress.arrivals > 0 and budget.try_acquire(now))
            if progress.arrivals and not progress.paid:
                self.counts.events[reasons.Refusal.RETRY_BUDGET_SPENT] += 1
                return progress.last or outcomes.NotRun(
                    reasons.Refusal.RETRY_BUDGET_SPENT, now + NO_INSTANCE_RETRY_S
                )
            served = await self._send(call, chosen, progress)
            outcome = None if served is None else self._settled(call, served, progress, attempts)
            if outcome is not None:
                return outcome

    def _choose(
        self, call: requests.Call, progress: Progress, now: instants.Instant
    ) -> placement.Choice | None:
        if progress.sent_back >= MAX_SENT_BACK:
            return None
        typical_s = self.typical_s.get(_kind(call), TYPICAL_START_S)
        candidates = [
            instance
            for instance in self.known.of_service(call.service)
            if instance.row.node_id not in progress.tried
        ]
        aim = placement.Requirements(call.target_at, call.deadline, typical_s)
        return placement.choose(self.place, candidates, aim, now, self.rng)

    async def _send(
        self, call: requests.Call, chosen: placement.Choice, progress: Progress
    ) -> requests.Served | None:
        instance = chosen.instance
        progress.tried.add(instance.row.node_id)
        instance.in_flight += 1
        started = self.clocks.monotonic()
        load_age_s = min(999.0, started - instance.load_at)
        served: requests.Served | None = None
        try:
            served = await self.serve(instance, call._replace(late_allowed=not chosen.in_time))
        finally:
            instance.in_flight -= 1
        now = self.clocks.monotonic()
        log.info(
            "call placed",
            extra={
                "request_id": call.attempt_id,
                "instance": instance.row.node_id,
                "distance": placement.distance(self.place, instance.row.place),
                "expected_s": round(chosen.expected_s, 3),
                "in_time": chosen.in_time,
                "load_age_s": round(load_age_s, 3),
                "took_s": round(now - started, 3),
                "outcome": "unreached" if served is None else served.outcome.tag,
            },
        )
        if served is None:
            self.known.record_unreachable(instance, now)
            self.counts.retries[reasons.Retry.UNREACHED] += 1
            return None
        self._learn(call, instance, served, started, now)
        return served

    def _learn(
        self,
        call: requests.Call,
        instance: directory.Instance,
        served: requests.Served,
        started: instants.Instant,
        now: instants.Instant,
    ) -> None:
        if served.load is not None:
            instance.load, instance.load_at = served.load, now
            instance.in_flight_at_load = instance.in_flight
        match served.outcome:
            case outcomes.Ran(answer=answer) if answer.status < FAILED_STATUS:
                pace = served.load.pace if served.load is not None else 1.0
                sample_s = (now - started) / max(1.0, pace)
                known_s = self.typical_s.get(_kind(call), sample_s)
                self.typical_s[_kind(call)] = known_s + TYPICAL_WEIGHT * (sample_s - known_s)
            case outcomes.NotRun(retry_at=retry_at):
                instance.backoff_until = min(retry_at or now, now + AVOID_LIMIT_S)

    def _settled(
        self, call: requests.Call, served: requests.Served, progress: Progress, attempts: int
    ) -> outcomes.Outcome | None:
        """Take in how a node ended a call and return its outcome, or none to send it again."""
        progress.arrivals += served.arrived
        progress.paid = progress.paid and not served.arrived
        spent = progress.arrivals >= attempts
        match served.outcome:
            case outcomes.NotRun(reason=reason, retry_at=retry_at):
                self.counts.retries[reasons.Retry.REFUSED] += 1
                if reason in UNABLE:
                    progress.unable += 1
                else:
                    progress.sent_back += 1
                again_at = retry_at or self.clocks.monotonic()
                progress.retry_at = min(progress.retry_at or again_at, again_at)
                if reason == reasons.Refusal.CRASHES_ENDPOINTS or spent:
                    return progress.last or served.outcome
                return None
            case outcomes.Ran(answer=answer) if answer.status < FAILED_STATUS:
                return served.outcome
            case _:
                if call.run_once or spent:
                    return served.outcome
                progress.last = served.outcome
                self.counts.retries[reasons.Retry.FAILED] += 1
                return None

    def _none_left(
        self, call: requests.Call, progress: Progress, now: instants.Instant
    ) -> outcomes.NotRun:
        if progress.sent_back or progress.unable:
            none_full = not progress.sent_back
            refusal = reasons.Refusal.NO_ENDPOINT if none_full else reasons.Refusal.SATURATED
            return outcomes.NotRun(refusal, progress.retry_at)
        instances = self.known.of_service(call.service)
        soonest = min((i.backoff_until for i in instances if not i.failures), default=0.0)
        retry_at = soonest if soonest > now else now + NO_INSTANCE_RETRY_S
        reason = reasons.Refusal.SATURATED if soonest > now else reasons.Refusal.NO_ENDPOINT
        return outcomes.NotRun(reason, retry_at)

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        nodes = max(1, len(self.known.by_id))
        budget = self.budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(self.terms, nodes, self.clocks.monotonic())
            self.budgets[service] = budget
        budget.nodes = nodes
        return budget


def divide(route: routes.Route, rng: random.Random) -> str:
    """Return the service of one request, drawn by the weights of the route's parts."""
    weights = [part.weight for part in route.parts]
    return rng.choices(route.parts, weights)[0].service


def _kind(call: requests.Call) -> str:
    return f"{call.service} {call.route}"
