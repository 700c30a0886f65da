"""The way of one call through its entry node."""

from __future__ import annotations

import random
import typing

from goldcrestgrade import instants, outcomes, reasons, telemetry
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results, retries, transport
from goldcrestgrade_node.routing import choice, evidence

Send = typing.Callable[[transport.Attempt], typing.Awaitable[results.AttemptResult]]
"""Sends an attempt to an endpoint."""

Relay = typing.Callable[[requests.Request, evidence.Evidence], typing.Awaitable[outcomes.Outcome]]
"""Has the guard of an endpoint run a request at most once."""


class Calls:
    """The calls in flight at an entry node; owned by the event loop of the node."""

    def __init__(
        self,
        caller: choice.Caller,
        evidences: evidence.Evidences,
        send: Send,
        relay: Relay,
        clocks: instants.Clocks,
        counts: telemetry.Counts,
        rng: random.Random,
    ) -> None:
        self.caller = caller
        self.evidences = evidences
        self.send = send
        self.relay = relay
        self.clocks = clocks
        self.counts = counts
        self.rng = rng

    async def run(self, request: requests.Request) -> outcomes.Outcome:
        """Return how `request` ended, at the latest at its deadline."""
        run = self._run_once if request.kind.run_once else self._run_idempotent
        self.counts.in_flight += 1
        try:
            outcome = await run(request)
        finally:
            self.counts.in_flight -= 1
        self._count(outcome)
        return outcome

    async def _run_idempotent(self, request: requests.Request) -> outcomes.Outcome:
        tried: list[str] = []
        while True:
            decision = self._choose(request, tried)
            if isinstance(decision, choice.Refuse):
                return outcomes.NotRun(decision.reason, decision.retry_at)
            tried.append(decision.endpoint.node_id)
            result = await self._attempt(request, decision.endpoint, len(tried))
            verdict = retries.judge(request, result, len(tried), self.clocks.monotonic())
            if isinstance(verdict, retries.Finish):
                return verdict.outcome
            self.counts.retries[verdict.reason] += 1

    async def _run_once(self, request: requests.Request) -> outcomes.Outcome:
        tried: list[str] = []
        while True:
            decision = self._choose(request, tried)
            if isinstance(decision, choice.Refuse):
                return outcomes.NotRun(decision.reason, decision.retry_at)
            tried.append(decision.endpoint.node_id)
            outcome = await self._relay(request, decision.endpoint)
            verdict = retries.judge_relayed(request, outcome, len(tried), self.clocks.monotonic())
            if isinstance(verdict, retries.Finish):
                return verdict.outcome
            self.counts.retries[verdict.reason] += 1

    def _choose(self, request: requests.Request, tried: typing.Collection[str]) -> choice.Decision:
        endpoints = self.evidences.of(request.service)
        return choice.choose(endpoints, self.caller, tried, self.clocks.monotonic(), self.rng)

    async def _attempt(
        self, request: requests.Request, endpoint: evidence.Evidence, number: int
    ) -> results.AttemptResult:
        started = self.clocks.monotonic()
        evidence.note_start(endpoint)
        result: results.AttemptResult = results.Unreached("cancelled")
        try:
            result = await self.send(
                transport.Attempt(
                    attempt_id=f"{request.request_id}-{number}",
                    request=request,
                    host=endpoint.host,
                    port=endpoint.port,
                    caller_region=self.caller.region,
                    control_url=endpoint.control_url,
                    on_new_connection=number > 1,
                )
            )
        finally:
            ended = self.clocks.monotonic()
            evidence.note_end(
                endpoint, ended - started, retries.failed(result), retries.load(result), ended
            )
        return result

    async def _relay(
        self, request: requests.Request, endpoint: evidence.Evidence
    ) -> outcomes.Outcome:
        started = self.clocks.monotonic()
        evidence.note_start(endpoint)
        outcome: outcomes.Outcome = outcomes.Unknown(reasons.Uncertainty.GUARD_LOST)
        try:
            outcome = await self.relay(request, endpoint)
        finally:
            ended = self.clocks.monotonic()
            failed = not isinstance(outcome, outcomes.Ran)
            evidence.note_end(endpoint, ended - started, failed, None, ended)
        return outcome

    def _count(self, outcome: outcomes.Outcome) -> None:
        self.counts.calls[outcome.tag] += 1
        match outcome:
            case outcomes.NotRun(reason=refusal):
                self.counts.refusals[refusal] += 1
            case outcomes.Unknown(reason=uncertainty):
                self.counts.unknowns[uncertainty] += 1
