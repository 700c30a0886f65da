"""The guard of the endpoint beside this node: it runs each claimed request at most once."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import typing
import uuid

from goldcrestgrade import instants, outcomes, reasons, statecharts
from goldcrestgrade.platform import tables
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results
from goldcrestgrade_node.once import claims

log = logging.getLogger(__name__)

CLAIM_TIMEOUT_S = 0.5
"""Longest wait for a claim."""

KEEP_OUTCOME_S = 86400.0
"""Time for which a key is remembered after its claim."""

RETRY_AFTER_S = 2.0
"""When a caller refused for want of the store may come back."""

CHART = statecharts.load("goldcrestgrade_node.statecharts", "claim")

Start = typing.Callable[[requests.Request, str], typing.Awaitable[results.AttemptResult]]
"""Sends a request to the own endpoint; takes the attempt id."""


@dataclasses.dataclass(slots=True)
class Execution:
    """The life of one key at its guard."""

    token: str
    digest: str
    outcome: asyncio.Future[outcomes.Outcome]
    state: str = CHART.initial
    version: int = tables.ABSENT
    """Commit version of the claim row, once known."""

    def step(self, event: str) -> None:
        """Move to the state after `event`."""
        self.state = CHART.next_state(self.state, event)


class Guard:
    """The executions of one guard; owned by the event loop of the node."""

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        committer: claims.Committer,
        start: Start,
        accepting: typing.Callable[[], bool],
        clocks: instants.Clocks,
    ) -> None:
        self.node_id = node_id
        self.incarnation = incarnation
        self.committer = committer
        self.start = start
        self.accepting = accepting
        self.clocks = clocks
        self.executions: dict[str, Execution] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, request: requests.Request, attempt_id: str) -> outcomes.Outcome:
        """Return how `request` ended here, or how the first request with its key did."""
        key = f"{request.service}/{request.idempotency_key}"
        digest = requests.digest(request)
        execution = self.executions.get(key)
        if execution is None:
            if not self.accepting():
                return outcomes.NotRun(
                    reasons.Refusal.GUARD_DRAINING, self.clocks.monotonic() + RETRY_AFTER_S
                )
            execution = self._begin(request, key, digest, attempt_id)
        elif execution.digest != digest:
            return outcomes.NotRun(reasons.Refusal.KEY_REUSED)
        try:
            async with asyncio.timeout_at(request.deadline):
                return await asyncio.shield(execution.outcome)
        except TimeoutError:
            return outcomes.Unknown(reasons.Uncertainty.CLAIM_RUNNING)

    def _begin(
        self, request: requests.Request, key: str, digest: str, attempt_id: str
    ) -> Execution:
        execution = Execution(
            token=uuid.uuid4().hex,
            digest=digest,
            outcome=asyncio.get_running_loop().create_future(),
        )
        self.executions[key] = execution
        task = asyncio.create_task(self._execute(execution, request, key, attempt_id))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return execution

    async def _execute(
        self, execution: Execution, request: requests.Request, key: str, attempt_id: str
    ) -> None:
        claimed = await self.committer.claim(self._claim(execution, request, key))
        match claimed:
            case claims.Held(version=version):
                execution.version = version
                outcome = await self._run_claimed(execution, request, attempt_id)
            case claims.Foreign(row=row):
                execution.step("found_foreign")
                outcome = self._resolve_foreign(execution, row)
            case claims.Unclaimed(store_down=store_down):
                execution.step("not_claimed")
                refusal = (
                    reasons.Refusal.STORE_UNAVAILABLE if store_down else reasons.Refusal.STORE_SLOW
                )
                outcome = outcomes.NotRun(refusal, self.clocks.monotonic() + RETRY_AFTER_S)
        if isinstance(outcome, outcomes.NotRun):
            self.executions.pop(key, None)
        execution.outcome.set_result(outcome)

    async def _run_claimed(
        self, execution: Execution, request: requests.Request, attempt_id: str
    ) -> outcomes.Outcome:
        if self.clocks.monotonic() >= request.deadline:
            execution.step("expired")
            return outcomes.NotRun(reasons.Refusal.DEADLINE_PASSED)
        execution.step("started")
        result = await self.start(request, attempt_id)
        match result:
            case results.Answered(answer=answer):
                execution.step("answered")
                return outcomes.Ran(answer)
            case results.Shed() | results.Unreached():
                execution.step("refused")
                return outcomes.NotRun(
                    reasons.Refusal.ENDPOINT_REFUSED, self.clocks.monotonic() + RETRY_AFTER_S
                )
            case results.Broken(reason=reason):
                execution.step("lost")
                return outcomes.Unknown(reason)

    def _resolve_foreign(self, execution: Execution, row: tables.Row) -> outcomes.Outcome:
        if row.value["digest"] != execution.digest:
            return outcomes.NotRun(reasons.Refusal.KEY_REUSED)
        if row.value["answer"] is not None:
            return outcomes.Ran(claims.kept_answer(row.value["answer"]))
        return outcomes.Unknown(reasons.Uncertainty.CLAIM_ORPHANED)

    def _claim(self, execution: Execution, request: requests.Request, key: str) -> claims.Claim:
        now = self.clocks.monotonic()
        return claims.Claim(
            key=key,
            document=claims.ClaimDocument(
                token=execution.token,
                guard_id=self.node_id,
                guard_incarnation=self.incarnation,
                digest=execution.digest,
                expires_at=self.clocks.to_wall(request.deadline) + KEEP_OUTCOME_S,
                answer=None,
            ),
            deadline=min(request.deadline, now + CLAIM_TIMEOUT_S),
        )
