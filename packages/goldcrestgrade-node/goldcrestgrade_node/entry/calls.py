"""The way of one call through its entry node."""

from __future__ import annotations

import asyncio
import itertools
import random
import typing

from goldcrestgrade import instants, outcomes, reasons, telemetry
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results, retries, transport
from goldcrestgrade_node.routing import choice, ejection, evidence, feedback, hedging, views

Send = typing.Callable[[transport.Attempt], typing.Awaitable[results.AttemptResult]]
"""Sends an attempt to an endpoint."""

Relay = typing.Callable[[requests.Request, evidence.Evidence], typing.Awaitable[outcomes.Outcome]]
"""Has the guard of an endpoint run a request at most once."""


class Policy(typing.NamedTuple):
    """What varies in how calls are routed."""

    choose: choice.Choose = choice.choose
    hedges: bool = True


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
        self.losers: set[asyncio.Task[results.AttemptResult]] = set()
        """Attempts that no call waits for and that have not ended."""

    async def run(self, request: requests.Request) -> outcomes.Outcome:
        """Return how `request` ended, at the latest at its deadline."""
        run = self._run_once if request.kind.run_once else self._run_idempotent
        view = self.known.of(request.service)
        view.retry_budget.deposit()
        view.hedge_budget.deposit()
        self.counts.in_flight += 1
        try:
            outcome = await run(request, view)
        finally:
            self.counts.in_flight -= 1
        self._count(outcome)
        return outcome

    async def _run_idempotent(
        self, request: requests.Request, view: views.ServiceView
    ) -> outcomes.Outcome:
        started = self.clocks.monotonic()
        tried: list[str] = []
        ended: list[results.AttemptResult] = []
        for number in itertools.count(1):
            decision = self._choose(view, tried)
            if isinstance(decision, choice.Refuse):
                return retries.settle(outcomes.NotRun(decision.reason, decision.retry_at), ended)
            result = await self._race(request, view, decision.endpoint, tried, ended)
            now = self.clocks.monotonic()
            verdict = retries.judge(request, result, number, now)
            if isinstance(verdict, retries.Finish):
                if not retries.failed(result):
                    view.note_latency(now - started)
                return retries.settle(verdict.outcome, ended)
            if not view.retry_budget.take():
                return retries.settle(retries.give_up(result, now), ended)
            self.counts.retries[verdict.reason] += 1
        raise AssertionError

    async def _run_once(
        self, request: requests.Request, view: views.ServiceView
    ) -> outcomes.Outcome:
        tried: list[str] = []
        while True:
            decision = self._choose(view, tried)
            if isinstance(decision, choice.Refuse):
                return outcomes.NotRun(decision.reason, decision.retry_at)
            tried.append(decision.endpoint.node_id)
            outcome = await self._relay(request, view, decision.endpoint)
            verdict = retries.judge_relayed(request, outcome, len(tried), self.clocks.monotonic())
            if isinstance(verdict, retries.Finish):
                return verdict.outcome
            if not view.retry_budget.take():
                return outcome
            self.counts.retries[verdict.reason] += 1

    def _choose(self, view: views.ServiceView, tried: typing.Collection[str]) -> choice.Decision:
        now = self.clocks.monotonic()
        ejection.return_due(view, now)
        return self.policy.choose(view, self.caller, tried, now, self.rng)

    async def _race(
        self,
        request: requests.Request,
        view: views.ServiceView,
        endpoint: evidence.Evidence,
        tried: list[str],
        ended: list[results.AttemptResult],
    ) -> results.AttemptResult:
        """Return the first good result of an attempt and its hedge, or else the latest."""
        now = self.clocks.monotonic()
        due = (
            hedging.hedge_at(request, view, endpoint, now) if self.policy.hedges else instants.NEVER
        )
        on_trial = endpoint.on_trial
        tried.append(endpoint.node_id)
        if due == instants.NEVER:
            ended.append(await self._attempt(request, view, endpoint, len(tried)))
            return ended[-1]
        pending = {asyncio.create_task(self._attempt(request, view, endpoint, len(tried)))}
        try:
            done, pending = await asyncio.wait(pending, timeout=due - now)
            if pending:
                hedge = self._hedge(request, view, tried, on_trial)
                if not hedge:
                    wait_s = hedging.late_s(due - now)
                    done, pending = await asyncio.wait(pending, timeout=wait_s)
                    hedge = self._late_attempt(request, view, tried) if pending else hedge
                pending |= hedge
            while pending and not _any_good(done):
                ended.extend(task.result() for task in done)
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._leave(pending, cancel=not on_trial)
        ended.extend(task.result() for task in done)
        return min(reversed(ended), key=retries.failed)

    def _hedge(
        self,
        request: requests.Request,
        view: views.ServiceView,
        tried: list[str],
        on_trial: bool,
    ) -> set[asyncio.Task[results.AttemptResult]]:
        decision = self._choose(view, tried)
        if isinstance(decision, choice.Refuse) or (decision.hot and not on_trial):
            return set()
        if not view.hedge_budget.take():
            return set()
        return self._second(request, view, decision, tried, reasons.Retry.HEDGED)

    def _late_attempt(
        self, request: requests.Request, view: views.ServiceView, tried: list[str]
    ) -> set[asyncio.Task[results.AttemptResult]]:
        decision = self._choose(view, tried)
        if isinstance(decision, choice.Refuse) or not view.retry_budget.take():
            return set()
        return self._second(request, view, decision, tried, reasons.Retry.TIMED_OUT)

    def _second(
        self,
        request: requests.Request,
        view: views.ServiceView,
        decision: choice.Direct,
        tried: list[str],
        reason: reasons.Retry,
    ) -> set[asyncio.Task[results.AttemptResult]]:
        self.counts.retries[reason] += 1
        tried.append(decision.endpoint.node_id)
        attempt = self._attempt(request, view, decision.endpoint, len(tried))
        return {asyncio.create_task(attempt)}

    def _leave(self, tasks: set[asyncio.Task[results.AttemptResult]], cancel: bool) -> None:
        """Stop waiting for `tasks`; a trial runs on, since its result is what it is for."""
        for task in tasks:
            self.losers.add(task)
            task.add_done_callback(self.losers.discard)
            if cancel:
                task.cancel()

    async def _attempt(
        self,
        request: requests.Request,
        view: views.ServiceView,
        endpoint: evidence.Evidence,
        number: int,
    ) -> results.AttemptResult:
        started = feedback.start(view, endpoint, self.caller, self.clocks.monotonic())
        try:
            result = await self.send(
                transport.Attempt(
                    attempt_id=f"{request.request_id}-{number}",
                    request=request,
                    host=endpoint.host,
                    port=endpoint.port,
                    caller_region=self.caller.region,
                )
            )
        except BaseException:
            feedback.cancel(view, endpoint, started, self.clocks.monotonic())
            raise
        feedback.finish(view, endpoint, started, result, self.clocks.monotonic())
        return result

    async def _relay(
        self, request: requests.Request, view: views.ServiceView, endpoint: evidence.Evidence
    ) -> outcomes.Outcome:
        started = feedback.start(view, endpoint, self.caller, self.clocks.monotonic())
        try:
            outcome = await self.relay(request, endpoint)
        except BaseException:
            feedback.cancel(view, endpoint, started, self.clocks.monotonic())
            raise
        feedback.finish_relayed(view, endpoint, started, outcome, self.clocks.monotonic())
        return outcome

    def _count(self, outcome: outcomes.Outcome) -> None:
        self.counts.calls[outcome.tag] += 1
        match outcome:
            case outcomes.NotRun(reason=refusal):
                self.counts.refusals[refusal] += 1
            case outcomes.Unknown(reason=uncertainty):
                self.counts.unknowns[uncertainty] += 1


def _any_good(done: set[asyncio.Task[results.AttemptResult]]) -> bool:
    return any(not retries.failed(task.result()) for task in done)
