"""The way of one call through its entry node."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import random
import typing

from goldcrestgrade import instants, outcomes, reasons, telemetry
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results, retries, transport
from goldcrestgrade_node.routing import (
    choice,
    ejection,
    evidence,
    feedback,
    hedging,
    quarantine,
    views,
)

Send = typing.Callable[
    [transport.Attempt], typing.Coroutine[typing.Any, typing.Any, results.AttemptResult]
]
"""Sends an attempt to an endpoint."""

Relay = typing.Callable[[requests.Request, evidence.Evidence], typing.Awaitable[outcomes.Outcome]]
"""Has the guard of an endpoint run a request at most once."""


class Policy(typing.NamedTuple):
    """What varies in how calls are routed."""

    choose: choice.Choose = choice.choose
    hedges: bool = True


@dataclasses.dataclass(slots=True)
class Call:
    """A request on its way."""

    request: requests.Request
    view: views.ServiceView
    name: str
    """What the request is called in the quarantine."""
    started_at: instants.Instant
    tried: list[str] = dataclasses.field(default_factory=list)
    """Nodes of the endpoints that it was sent to."""
    ended: list[results.AttemptResult] = dataclasses.field(default_factory=list)
    """Results of the attempts that were not cancelled."""


AttemptTask = asyncio.Task[results.AttemptResult]


class Calls:
    """The calls in flight at an entry node; owned by the event loop of the node."""

    def __init__(
        self,
        caller: choice.Caller,
        known: views.Views,
        send: Send,
        relay: Relay,
        clocks: instants.Clocks,
        counts: telemetry.Counts,
        rng: random.Random,
        policy: Policy | None = None,
    ) -> None:
        self.caller = caller
        self.known = known
        self.send = send
        self.relay = relay
        self.clocks = clocks
        self.counts = counts
        self.rng = rng
        self.policy = policy or Policy()
        self.quarantine = quarantine.Quarantine()
        self.left: set[AttemptTask] = set()
        """Attempts that no call waits for and that have not ended."""

    async def run(self, request: requests.Request) -> outcomes.Outcome:
        """Return how `request` ended, at the latest at its deadline."""
        run = self._run_once if request.kind.run_once else self._run_idempotent
        view = self.known.of(request.service)
        view.retry_budget.deposit()
        view.hedge_budget.deposit()
        self.counts.in_flight += 1
        try:
            outcome = await run(
                Call(request, view, quarantine.name_of(request), self.clocks.monotonic())
            )
        finally:
            self.counts.in_flight -= 1
        self._count(outcome)
        return outcome

    async def _run_idempotent(self, call: Call) -> outcomes.Outcome:
        attempts = 0
        while True:
            decision = self._choose(call)
            if isinstance(decision, choice.Refuse):
                refusal = outcomes.NotRun(decision.reason, decision.retry_at)
                return retries.settle(refusal, call.ended)
            attempts += 1
            result = await self._race(call, decision.endpoint)
            now = self.clocks.monotonic()
            verdict = retries.judge(call.request, result, attempts, now)
            if isinstance(verdict, retries.Finish):
                if not retries.failed(result):
                    call.view.note_latency(now - call.started_at)
                return retries.settle(verdict.outcome, call.ended)
            if not retries.is_free(result) and not call.view.retry_budget.take():
                return retries.settle(retries.give_up(result, now), call.ended)
            self.counts.retries[verdict.reason] += 1

    async def _run_once(self, call: Call) -> outcomes.Outcome:
        while True:
            decision = self._choose(call)
            if isinstance(decision, choice.Refuse):
                return outcomes.NotRun(decision.reason, decision.retry_at)
            outcome = await self._relay(call, decision.endpoint)
            verdict = retries.judge_relayed(
                call.request, outcome, len(call.tried), self.clocks.monotonic()
            )
            if isinstance(verdict, retries.Finish):
                return verdict.outcome
            if not call.view.retry_budget.take():
                return outcome
            self.counts.retries[verdict.reason] += 1

    def _choose(self, call: Call) -> choice.Decision:
        now = self.clocks.monotonic()
        match self.quarantine.permission(call.name, now):
            case quarantine.Quarantined(until=until):
                return choice.Refuse(reasons.Refusal.QUARANTINED, until)
            case quarantine.OnlyAt(node_ids=node_ids):
                return choice.join(call.view, node_ids, call.tried, now)
        ejection.return_due(call.view, now)
        return self.policy.choose(call.view, self.caller, call.tried, now, self.rng)

    async def _race(self, call: Call, endpoint: evidence.Evidence) -> results.AttemptResult:
        """Return the first good result of an attempt and its hedge, or else the latest."""
        now = self.clocks.monotonic()
        on_trial = endpoint.on_trial
        due = instants.NEVER
        if self.policy.hedges:
            due = hedging.hedge_at(call.request, call.view, endpoint, now)
        pending = {self._attempt(call, endpoint)}
        try:
            done, pending = await _wait(pending, due - now)
            if pending:
                hedge = self._hedge(call, on_trial)
                if not hedge:
                    done, pending = await _wait(pending, hedging.late_s(due - now))
                    hedge = self._late_attempt(call) if pending else hedge
                pending |= hedge
            while pending and not _any_good(done):
                call.ended.extend(task.result() for task in done)
                done, pending = await _wait(pending, instants.NEVER)
        finally:
            self._leave(pending, cancel=not on_trial)
        call.ended.extend(task.result() for task in done)
        best = min(reversed(call.ended), key=retries.failed)
        for result in call.ended:
            if result is not best:
                results.discard(result)
        return best

    def _hedge(self, call: Call, on_trial: bool) -> set[AttemptTask]:
        decision = self._choose(call)
        if isinstance(decision, choice.Refuse) or (decision.hot and not on_trial):
            return set()
        if not call.view.hedge_budget.take():
            return set()
        self.counts.retries[reasons.Retry.HEDGED] += 1
        return {self._attempt(call, decision.endpoint)}

    def _late_attempt(self, call: Call) -> set[AttemptTask]:
        decision = self._choose(call)
        if isinstance(decision, choice.Refuse) or not call.view.retry_budget.take():
            return set()
        self.counts.retries[reasons.Retry.TIMED_OUT] += 1
        return {self._attempt(call, decision.endpoint)}

    def _leave(self, tasks: set[AttemptTask], cancel: bool) -> None:
        """Stop waiting for `tasks`; a trial runs on, since its result is what it is for."""
        for task in tasks:
            self.left.add(task)
            task.add_done_callback(self.left.discard)
            task.add_done_callback(_discard_result)
            if cancel:
                task.cancel()

    def _attempt(self, call: Call, endpoint: evidence.Evidence) -> AttemptTask:
        """Begin an attempt; it counts at once, before its task has run."""
        started = self._start(call, endpoint)
        attempt = transport.Attempt(
            attempt_id=f"{call.request.request_id}-{len(call.tried)}",
            request=call.request,
            host=endpoint.host,
            port=endpoint.port,
            caller_region=self.caller.region,
            control_url=endpoint.control_url,
            on_new_connection=len(call.tried) > 1,
        )
        task = asyncio.ensure_future(self.send(attempt))
        task.add_done_callback(functools.partial(self._attempt_ended, call, endpoint, started))
        return task

    def _start(self, call: Call, endpoint: evidence.Evidence) -> feedback.Started:
        call.tried.append(endpoint.node_id)
        self.quarantine.start(call.name, endpoint)
        return feedback.start(call.view, endpoint, self.caller, self.clocks.monotonic())

    def _attempt_ended(
        self,
        call: Call,
        endpoint: evidence.Evidence,
        started: feedback.Started,
        task: AttemptTask,
    ) -> None:
        now = self.clocks.monotonic()
        self.quarantine.leave(call.name, endpoint)
        if task.cancelled() or task.exception() is not None:
            feedback.cancel(call.view, endpoint, started, now)
            return
        result = task.result()
        feedback.finish(call.view, endpoint, started, result, now)
        quarantine.note_result(self.quarantine, call.name, endpoint, result, started.at, now)

    async def _relay(self, call: Call, endpoint: evidence.Evidence) -> outcomes.Outcome:
        started = self._start(call, endpoint)
        try:
            outcome = await self.relay(call.request, endpoint)
        except BaseException:
            feedback.cancel(call.view, endpoint, started, self.clocks.monotonic())
            raise
        finally:
            self.quarantine.leave(call.name, endpoint)
        now = self.clocks.monotonic()
        feedback.finish_relayed(call.view, endpoint, started, outcome, now)
        quarantine.note_result(self.quarantine, call.name, endpoint, outcome, started.at, now)
        return outcome

    def _count(self, outcome: outcomes.Outcome) -> None:
        self.counts.calls[outcome.tag] += 1
        match outcome:
            case outcomes.NotRun(reason=refusal):
                self.counts.refusals[refusal] += 1
            case outcomes.Unknown(reason=uncertainty):
                self.counts.unknowns[uncertainty] += 1


async def _wait(
    tasks: set[AttemptTask], timeout_s: float
) -> tuple[set[AttemptTask], set[AttemptTask]]:
    """Return which of `tasks` are done and which are not, when one is or at the timeout."""
    limit_s = None if timeout_s == instants.NEVER else timeout_s
    return await asyncio.wait(tasks, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)


def _discard_result(task: AttemptTask) -> None:
    if not task.cancelled() and task.exception() is None:
        results.discard(task.result())


def _any_good(done: set[AttemptTask]) -> bool:
    return any(not retries.failed(task.result()) for task in done)
