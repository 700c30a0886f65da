"""The path of one request through its entry node."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import random
import typing

from goldcrestgrade import counters, instants, outcomes, reasons
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results, retries, transport
from goldcrestgrade_node.entry import hedges
from goldcrestgrade_node.routing import (
    choice,
    ejection,
    endpoint_stats,
    feedback,
    hedging,
    quarantine,
    views,
)

Send = typing.Callable[
    [transport.Attempt], typing.Coroutine[typing.Any, typing.Any, results.AttemptResult]
]
"""Sends an attempt to an endpoint."""

Relay = typing.Callable[
    [requests.Request, endpoint_stats.EndpointStats], typing.Awaitable[outcomes.Outcome]
]
"""Relays a request to the guard of an endpoint, which runs it at most once."""


class Policy(typing.NamedTuple):
    """The replaceable parts of routing: the choice of an endpoint, and whether hedges are sent."""

    choose: choice.Choose = choice.choose
    hedges: bool = True


@dataclasses.dataclass(slots=True)
class Call:
    """A request that has not ended yet, and its attempts."""

    request: requests.Request
    view: views.ServiceView
    request_key: str
    """Key of the request in the quarantine."""
    started_at: instants.Instant
    tried: list[str] = dataclasses.field(default_factory=list)
    """Ids of the nodes of the endpoints to which the request was sent."""
    ended: list[results.AttemptResult] = dataclasses.field(default_factory=list)
    """Results of the attempts that ended without being cancelled."""


class Calls:
    """Runs the requests that arrive at an entry node; owned by the node's event loop."""

    def __init__(
        self,
        locality: choice.Locality,
        service_views: views.Views,
        send: Send,
        relay: Relay,
        clocks: instants.Clocks,
        counts: counters.Counts,
        rng: random.Random,
        policy: Policy | None = None,
    ) -> None:
        self.locality = locality
        self.service_views = service_views
        self.send = send
        self.relay = relay
        self.clocks = clocks
        self.counts = counts
        self.rng = rng
        self.policy = policy or Policy()
        self.quarantine = quarantine.Quarantine()
        self.abandoned: set[hedges.AttemptTask] = set()
        """Attempts that have not ended and that no request waits for."""

    async def run(self, request: requests.Request) -> outcomes.Outcome:
        """Run `request` and return its outcome, at its deadline at the latest."""
        run = self._run_once if request.kind.run_once else self._run_idempotent
        view = self.service_views.of(request.service)
        view.retry_budget.deposit()
        view.hedge_budget.deposit()
        self.counts.in_flight += 1
        try:
            outcome = await run(
                Call(request, view, quarantine.request_key(request), self.clocks.monotonic())
            )
        finally:
            self.counts.in_flight -= 1
        self._count_outcome(outcome)
        return outcome

    async def _run_idempotent(self, call: Call) -> outcomes.Outcome:
        attempts = 0
        while True:
            decision = self._choose(call)
            if isinstance(decision, choice.Refuse):
                refusal = outcomes.NotRun(decision.reason, decision.retry_at)
                return retries.final_outcome(refusal, call.ended)
            attempts += 1
            result = await self._race(call, decision.endpoint)
            now = self.clocks.monotonic()
            retry_decision = retries.decide(call.request, result, attempts, now)
            if isinstance(retry_decision, retries.Finish):
                if not retries.is_failure(result):
                    call.view.record_latency(now - call.started_at)
                return retries.final_outcome(retry_decision.outcome, call.ended)
            if not retries.needs_no_budget(result) and not call.view.retry_budget.try_spend():
                return retries.final_outcome(retries.outcome_without_retry(result, now), call.ended)
            self.counts.retries[retry_decision.reason] += 1

    async def _run_once(self, call: Call) -> outcomes.Outcome:
        while True:
            decision = self._choose(call)
            if isinstance(decision, choice.Refuse):
                return outcomes.NotRun(decision.reason, decision.retry_at)
            outcome = await self._relay(call, decision.endpoint)
            retry_decision = retries.decide_run_once(
                call.request, outcome, len(call.tried), self.clocks.monotonic()
            )
            if isinstance(retry_decision, retries.Finish):
                return retry_decision.outcome
            if not call.view.retry_budget.try_spend():
                return outcome
            self.counts.retries[retry_decision.reason] += 1

    def _choose(self, call: Call) -> choice.Decision:
        now = self.clocks.monotonic()
        match self.quarantine.permission(call.request_key, now):
            case quarantine.Quarantined():
                if not self.quarantine.claim_trial(call.request_key, now):
                    retry_at = self.quarantine.retry_at(call.request_key, now)
                    return choice.Refuse(reasons.Refusal.QUARANTINED, retry_at)
            case quarantine.OnlyAt(node_ids=node_ids):
                return choice.choose_confined(call.view, node_ids, call.tried, now)
        ejection.readmit_due(call.view, now)
        return self.policy.choose(call.view, self.locality, call.tried, now, self.rng)

    async def _race(
        self, call: Call, endpoint: endpoint_stats.EndpointStats
    ) -> results.AttemptResult:
        """Run an attempt and its hedge; return a successful result, or else a failed one."""
        now = self.clocks.monotonic()
        due = instants.NEVER
        if self.policy.hedges:
            due = hedging.hedge_at(call.request, call.view, endpoint, now)
        race = self._attempt_on_trial if endpoint.on_trial else self._attempt_with_hedge
        call.ended.extend(await race(call, endpoint, due))
        best = min(reversed(call.ended), key=retries.is_failure)
        for result in call.ended:
            if result is not best:
                results.discard(result)
        return best

    async def _attempt_with_hedge(
        self, call: Call, endpoint: endpoint_stats.EndpointStats, due: instants.Instant
    ) -> list[results.AttemptResult]:
        """Run the attempt in the current task, so that only a hedge needs a task of its own."""
        ended: list[results.AttemptResult] = []
        scope = asyncio.timeout(None)
        hedge = hedges.Hedge(functools.partial(self._begin_hedge, call), scope, due)
        awaited_hedge: hedges.AttemptTask | None = None
        try:
            with contextlib.suppress(TimeoutError):  # Raised if the hedge succeeded.
                async with scope:
                    ended.append(await self._attempt_inline(call, endpoint))
            hedge.close()
            if hedge.task is not None and not any(map(hedges.is_good, ended)):
                await asyncio.wait({hedge.task})
                awaited_hedge = hedge.task
                ended.append(awaited_hedge.result())
            return ended
        finally:
            hedge.close()
            if hedge.task is not awaited_hedge and hedge.task is not None:
                self._abandon({hedge.task})

    async def _attempt_on_trial(
        self, call: Call, endpoint: endpoint_stats.EndpointStats, due: instants.Instant
    ) -> list[results.AttemptResult]:
        """Run the attempt at an endpoint on trial in a task that may outlive the request."""
        done: set[hedges.AttemptTask] = set()
        pending = {self._begin_attempt(call, endpoint)}
        try:
            done, pending = await _wait(pending, due - self.clocks.monotonic())
            if pending:
                pending |= self._hedge(call, on_trial=True)
            while pending and not any(hedges.is_good(task.result()) for task in done):
                ended, pending = await _wait(pending, instants.NEVER)
                done |= ended
        finally:
            self._abandon(pending, cancel=False)
        return [task.result() for task in done]

    def _begin_hedge(self, call: Call, late: bool) -> hedges.AttemptTask | None:
        tasks = self._late_attempt(call) if late else self._hedge(call, on_trial=False)
        return next(iter(tasks), None)

    def _hedge(self, call: Call, on_trial: bool) -> set[hedges.AttemptTask]:
        decision = self._choose(call)
        if isinstance(decision, choice.Refuse) or (decision.hot and not on_trial):
            return set()
        if not call.view.hedge_budget.try_spend():
            return set()
        self.counts.retries[reasons.Retry.HEDGED] += 1
        return {self._begin_attempt(call, decision.endpoint)}

    def _late_attempt(self, call: Call) -> set[hedges.AttemptTask]:
        decision = self._choose(call)
        if isinstance(decision, choice.Refuse) or not call.view.retry_budget.try_spend():
            return set()
        self.counts.retries[reasons.Retry.TIMED_OUT] += 1
        return {self._begin_attempt(call, decision.endpoint)}

    def _abandon(self, tasks: set[hedges.AttemptTask], cancel: bool = True) -> None:
        """Stop waiting for `tasks`, and cancel them if `cancel`.

        Attempts at an endpoint on trial are not cancelled, since their results end the trial.
        """
        for task in tasks:
            self.abandoned.add(task)
            task.add_done_callback(self.abandoned.discard)
            task.add_done_callback(_discard_result)
            if cancel:
                task.cancel()

    def _begin_attempt(
        self, call: Call, endpoint: endpoint_stats.EndpointStats
    ) -> hedges.AttemptTask:
        """Begin an attempt in a task of its own; it is counted at once, before the task runs."""
        started = self._start(call, endpoint)
        task = asyncio.ensure_future(self.send(self._to_attempt(call, endpoint)))
        task.add_done_callback(functools.partial(self._attempt_ended, call, endpoint, started))
        return task

    async def _attempt_inline(
        self, call: Call, endpoint: endpoint_stats.EndpointStats
    ) -> results.AttemptResult:
        """Run an attempt in the current task."""
        started = self._start(call, endpoint)
        result: results.AttemptResult | None = None
        try:
            result = await self.send(self._to_attempt(call, endpoint))
        finally:
            self._record_end(call, endpoint, started, result)
        return result

    def _to_attempt(self, call: Call, endpoint: endpoint_stats.EndpointStats) -> transport.Attempt:
        return transport.Attempt(
            attempt_id=f"{call.request.request_id}-{len(call.tried)}",
            request=call.request,
            host=endpoint.host,
            port=endpoint.port,
            caller_region=self.locality.region,
            control_url=endpoint.control_url,
            on_new_connection=len(call.tried) > 1,
        )

    def _start(self, call: Call, endpoint: endpoint_stats.EndpointStats) -> feedback.Started:
        call.tried.append(endpoint.node_id)
        self.quarantine.start_attempt(call.request_key, endpoint)
        return feedback.start(call.view, endpoint, self.locality, self.clocks.monotonic())

    def _attempt_ended(
        self,
        call: Call,
        endpoint: endpoint_stats.EndpointStats,
        started: feedback.Started,
        task: hedges.AttemptTask,
    ) -> None:
        ended = not task.cancelled() and task.exception() is None
        self._record_end(call, endpoint, started, task.result() if ended else None)

    def _record_end(
        self,
        call: Call,
        endpoint: endpoint_stats.EndpointStats,
        started: feedback.Started,
        result: results.AttemptResult | None,
    ) -> None:
        """Record how an attempt ended; without a result it was cancelled."""
        now = self.clocks.monotonic()
        self.quarantine.end_attempt(call.request_key, endpoint)
        if result is None:
            feedback.cancel(call.view, endpoint, started, now)
            return
        feedback.finish(call.view, endpoint, started, result, now)
        quarantine.record_result(
            self.quarantine, call.request_key, endpoint, result, started.at, now
        )

    async def _relay(self, call: Call, endpoint: endpoint_stats.EndpointStats) -> outcomes.Outcome:
        started = self._start(call, endpoint)
        try:
            outcome = await self.relay(call.request, endpoint)
        except BaseException:
            feedback.cancel(call.view, endpoint, started, self.clocks.monotonic())
            raise
        finally:
            self.quarantine.end_attempt(call.request_key, endpoint)
        now = self.clocks.monotonic()
        feedback.finish_run_once(call.view, endpoint, started, outcome, now)
        quarantine.record_result(
            self.quarantine, call.request_key, endpoint, outcome, started.at, now
        )
        return outcome

    def _count_outcome(self, outcome: outcomes.Outcome) -> None:
        self.counts.calls[outcome.tag] += 1
        match outcome:
            case outcomes.NotRun(reason=refusal):
                self.counts.refusals[refusal] += 1
            case outcomes.Unknown(reason=uncertainty):
                self.counts.unknowns[uncertainty] += 1


async def _wait(
    tasks: set[hedges.AttemptTask], timeout_s: float
) -> tuple[set[hedges.AttemptTask], set[hedges.AttemptTask]]:
    """Wait until one of `tasks` is done or the timeout ends; return those done and the others."""
    limit_s = None if timeout_s == instants.NEVER else timeout_s
    return await asyncio.wait(tasks, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)


def _discard_result(task: hedges.AttemptTask) -> None:
    if not task.cancelled() and task.exception() is None:
        results.discard(task.result())
