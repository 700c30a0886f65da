"""The guard of this node's endpoint: it claims run-once requests and runs each at most once."""

from __future__ import annotations

import asyncio
import logging
import typing
import uuid

from goldcrestgrade import instants, outcomes, reasons
from goldcrestgrade.storage import tables
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results
from goldcrestgrade_node.once import (
    barred_attempts,
    buffered_answers,
    claims,
    executions,
    keys,
    messages,
    queries,
    rows,
    write_behind,
)

log = logging.getLogger(__name__)

CLAIM_TIMEOUT_S = 0.5
"""Longest wait for a claim."""

RETRY_AFTER_S = 2.0
"""Delay after which a refused client may retry, unless a more exact time is known."""

MAX_ATTEMPTS = 20_000
"""Largest number of attempts that a guard keeps; above it, new attempts are refused."""

MAX_KEPT_BYTES = 16 << 20
"""Largest total size of the answers that a guard keeps; above it, new requests are refused."""

EVICT_INTERVAL_S = 1.0
"""Time between two evictions of executions and barred attempts past their deadlines."""

SendToEndpoint = typing.Callable[[requests.Request, str], typing.Awaitable[results.AttemptResult]]
"""Sends a request to this node's endpoint; the string is the attempt id."""


class Guard:
    """Executes run-once requests at one endpoint; owned by the event loop of the node."""

    def __init__(
        self,
        identity: executions.Identity,
        committer: claims.Committer,
        writer: write_behind.WriteBehind,
        guard_client: messages.GuardClient,
        send_to_endpoint: SendToEndpoint,
        is_accepting: typing.Callable[[], bool],
        on_endpoint_died: typing.Callable[[requests.Request], None],
        clocks: instants.Clocks,
    ) -> None:
        self.identity = identity
        self.committer = committer
        self.writer = writer
        self.guard_client = guard_client
        self.send_to_endpoint = send_to_endpoint
        self.is_accepting = is_accepting
        self.on_endpoint_died = on_endpoint_died
        self.clocks = clocks
        self.executions: dict[str, executions.Execution] = {}
        self.attempts: dict[str, executions.Execution] = {}
        self.barred = barred_attempts.BarredAttempts()
        self.kept_bytes = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def receive(self, message: messages.Message) -> messages.Reply:
        """Return the reply to `message`."""
        match message:
            case messages.Run():
                verdict: messages.Verdict = messages.Resolved(await self.run(message))
            case messages.ResolveAttempt():
                verdict = await self.resolve_attempt(message)
            case messages.Release():
                verdict = await self.release(message)
        return messages.Reply(message.attempt_id, verdict)

    async def run(self, message: messages.Run) -> outcomes.Outcome:
        """Return the outcome of the request, or that of the first request with its key."""
        execution = self._admit(message)
        if isinstance(execution, outcomes.NotRun):
            return execution
        return await self._outcome_until(execution, message.request.deadline) or outcomes.Unknown(
            reasons.Uncertainty.CLAIM_RUNNING
        )

    async def resolve_attempt(self, message: messages.ResolveAttempt) -> messages.Verdict:
        """Return the outcome of an attempt; bar the attempt if it has not arrived."""
        execution = self.attempts.get(message.attempt_id)
        if execution is not None:
            outcome = await self._outcome_until(execution, message.reply_by)
            return messages.Running() if outcome is None else messages.Resolved(outcome)
        refusal = self.barred.refusal_of(message.attempt_id)
        if refusal is not None:
            return messages.Resolved(refusal)
        if message.guard_incarnation != self.identity.incarnation:
            return messages.Gone()
        if self.clocks.monotonic() >= message.deadline or self.barred.may_have_evicted(
            message.deadline
        ):
            return messages.Gone()
        refusal = self._make_refusal(reasons.Refusal.GUARD_UNREACHED)
        return messages.Resolved(self.barred.add(message.attempt_id, message.deadline, refusal))

    async def release(self, message: messages.Release) -> messages.Verdict:
        """Give up a claim whose request has not started, or return how the request ended."""
        if message.guard_incarnation != self.identity.incarnation:
            return messages.Gone()
        execution = self.executions.get(message.row_key)
        # An execution that has started is kept until its outcome is written to its row. So a claim
        # without an execution was given up before its start, or its row has another version by now.
        if execution is None or execution.token != message.token:
            return messages.Released()
        if executions.CHART.allows(execution.state, "barred"):
            execution.step("barred")
            return messages.Released()
        outcome = await self._outcome_until(execution, message.reply_by)
        if outcome is None:
            return messages.Running()
        return (
            messages.Released()
            if isinstance(outcome, outcomes.NotRun)
            else messages.Resolved(outcome)
        )

    async def evict_forever(self) -> None:
        """Evict executions and barred attempts past their deadlines, until cancelled."""
        while True:
            await asyncio.sleep(EVICT_INTERVAL_S)
            self.evict()

    def evict(self) -> None:
        """Evict expired barred attempts, and written executions without unexpired attempts."""
        now = self.clocks.monotonic()
        self.barred.expire(now)
        for execution in [e for e in self.executions.values() if self._is_evictable(e, now)]:
            self.kept_bytes -= execution.answer_bytes()
            self._remove(execution)

    def _is_evictable(self, execution: executions.Execution, now: instants.Instant) -> bool:
        attempts_expired = all(
            deadline + barred_attempts.RETENTION_MARGIN_S <= now
            for deadline in execution.attempt_deadlines.values()
        )
        return execution.outcome_written and attempts_expired

    def _admit(self, message: messages.Run) -> executions.Execution | outcomes.NotRun:
        known = self.attempts.get(message.attempt_id)
        if known is not None:
            return known
        request = message.request
        row_key = keys.row_key(request.service, request.idempotency_key or "")
        execution = self.executions.get(row_key)
        refusal = self.barred.refusal_of(message.attempt_id) or self._check_admission(
            message, execution
        )
        if refusal is not None:
            return self.barred.add(message.attempt_id, request.deadline, refusal)
        if execution is None:
            execution = self._begin(request, row_key, message.attempt_id)
        execution.attempt_deadlines[message.attempt_id] = request.deadline
        self.attempts[message.attempt_id] = execution
        return execution

    def _check_admission(
        self, message: messages.Run, execution: executions.Execution | None
    ) -> outcomes.NotRun | None:
        request = message.request
        if message.guard_incarnation != self.identity.incarnation:
            return self._make_refusal(reasons.Refusal.GUARD_UNREACHED)
        if self.clocks.monotonic() >= request.deadline:
            return outcomes.NotRun(reasons.Refusal.DEADLINE_PASSED)
        if self.barred.may_have_evicted(request.deadline):
            return self._make_refusal(reasons.Refusal.CLAIM_BARRED)
        key_deadline = keys.deadline(request.idempotency_key or "")
        if key_deadline is not None and self.clocks.wall() >= key_deadline:
            return outcomes.NotRun(reasons.Refusal.KEY_EXPIRED)
        if len(self.attempts) >= MAX_ATTEMPTS:
            return self._make_refusal(reasons.Refusal.SATURATED)
        if execution is not None:
            reused = execution.digest != requests.digest(request)
            return outcomes.NotRun(reasons.Refusal.KEY_REUSED) if reused else None
        if not self.is_accepting():
            return self._make_refusal(reasons.Refusal.GUARD_DRAINING)
        if self.kept_bytes >= MAX_KEPT_BYTES:
            return self._make_refusal(reasons.Refusal.SATURATED)
        return None

    def _make_refusal(
        self, reason: reasons.Refusal, retry_at: instants.Instant | None = None
    ) -> outcomes.NotRun:
        return outcomes.NotRun(reason, retry_at or self.clocks.monotonic() + RETRY_AFTER_S)

    def _begin(
        self, request: requests.Request, row_key: str, attempt_id: str
    ) -> executions.Execution:
        execution = executions.Execution(
            row_key=row_key,
            token=uuid.uuid4().hex,
            digest=requests.digest(request),
            request=request,
            start_deadline=self.clocks.to_wall(request.deadline),
            key_deadline=keys.deadline(request.idempotency_key or ""),
            outcome=asyncio.get_running_loop().create_future(),
        )
        self.executions[row_key] = execution
        task = asyncio.create_task(self._execute(execution, attempt_id))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return execution

    async def _execute(self, execution: executions.Execution, attempt_id: str) -> None:
        try:
            outcome = await self._claim_and_run(execution, attempt_id)
        except Exception:
            log.exception(
                "execution failed; its outcome counts as unknown", extra={"attempt_id": attempt_id}
            )
            outcome = outcomes.Unknown(reasons.Uncertainty.ANSWER_LOST)
        self._finish(execution, outcome)

    def _finish(self, execution: executions.Execution, outcome: outcomes.Outcome) -> None:
        held = execution.position != tables.ABSENT
        if held:
            self._queue_outcome(execution, outcome)
        match outcome:
            case outcomes.NotRun():
                self._bar_attempts(execution, outcome)
                self._remove(execution)
            case outcomes.Unknown() if not held:
                # Nothing started here. A later attempt has to query the holder of the claim again.
                self._remove(execution)
            case outcomes.Ran() if not held:
                execution.outcome_written = True
        execution.outcome.set_result(outcome)
        self.kept_bytes += execution.answer_bytes()

    async def _claim_and_run(
        self, execution: executions.Execution, attempt_id: str
    ) -> outcomes.Outcome:
        expected_position = tables.ABSENT
        while True:
            claim_result = await self.committer.claim(
                self._make_claim(execution, expected_position)
            )
            if execution.state == "not_run":
                return self._make_refusal(reasons.Refusal.CLAIM_BARRED)
            match claim_result:
                case claims.Held(position=position):
                    execution.position = position
                    return await self._run_claimed(execution, attempt_id)
                case claims.Unclaimed():
                    execution.step("not_claimed")
                    return self._refusal_of_unclaimed(claim_result)
                case claims.Foreign(row=row):
                    execution.step("found_foreign")
                    resolved = await self._resolve_foreign_claim(execution, row, attempt_id)
                    if execution.state == "not_run":
                        return self._make_refusal(reasons.Refusal.CLAIM_BARRED)
                    if resolved is not None:
                        execution.step(_RESOLVED_EVENTS[type(resolved)])
                        return resolved
                    execution.step("released")
                    expected_position = row.position

    def _refusal_of_unclaimed(self, result: claims.Unclaimed) -> outcomes.NotRun:
        if result.store_down:
            return self._make_refusal(reasons.Refusal.STORE_UNAVAILABLE, result.retry_at)
        return self._make_refusal(reasons.Refusal.STORE_SLOW)

    async def _run_claimed(
        self, execution: executions.Execution, attempt_id: str
    ) -> outcomes.Outcome:
        if not self._may_start(execution):
            execution.step("expired")
            return outcomes.NotRun(reasons.Refusal.DEADLINE_PASSED)
        execution.step("started")
        result = await self.send_to_endpoint(execution.request, attempt_id)
        match result:
            case results.Answered(answer=answer):
                return await self._receive_answer(execution, answer)
            case results.Shed() | results.Unreachable():
                execution.step("refused")
                return self._make_refusal(reasons.Refusal.ENDPOINT_REFUSED)
            case results.Broken(reason=reason):
                execution.step("lost")
                if reason == reasons.Uncertainty.ENDPOINT_DIED:
                    self.on_endpoint_died(execution.request)
                return outcomes.Unknown(reason)

    async def _receive_answer(
        self, execution: executions.Execution, answer: outcomes.Answer
    ) -> outcomes.Ran | outcomes.Unknown:
        try:
            complete_answer = await buffered_answers.read_in_full(answer)
        except (outcomes.AnswerCut, buffered_answers.AnswerTooLarge) as error:
            execution.step("lost")
            cut = isinstance(error, outcomes.AnswerCut)
            uncertainty = reasons.Uncertainty
            return outcomes.Unknown(uncertainty.ANSWER_CUT if cut else uncertainty.ANSWER_TOO_LARGE)
        execution.step("answered")
        return outcomes.Ran(complete_answer)

    def _may_start(self, execution: executions.Execution) -> bool:
        wall = self.clocks.wall()
        return (
            self.clocks.monotonic() < execution.request.deadline
            and wall < execution.start_deadline
            and (execution.key_deadline is None or wall < execution.key_deadline)
        )

    async def _resolve_foreign_claim(
        self, execution: executions.Execution, row: tables.Row, attempt_id: str
    ) -> outcomes.Outcome | None:
        """Return how the request of the claim in `row` ended, or None if it will not start."""
        document = typing.cast(rows.ClaimDocument, row.value)
        if document["digest"] != execution.digest:
            return outcomes.NotRun(reasons.Refusal.KEY_REUSED)
        match document["state"]:
            case rows.ClaimState.RELEASED:
                return None
            case rows.ClaimState.DONE if document["answer"] is not None:
                return outcomes.Ran(rows.decode_answer(document["answer"]))
            case rows.ClaimState.UNKNOWN:
                return outcomes.Unknown(reasons.Uncertainty.ANSWER_LOST)
        verdict = await self._query_holder(execution, document, attempt_id)
        match verdict:
            case messages.Released():
                return None if document["state"] == rows.ClaimState.CLAIMED else _ORPHANED
            case messages.Resolved(outcome=outcome):
                return outcome
            case messages.Running():
                return outcomes.Unknown(reasons.Uncertainty.CLAIM_RUNNING)
            case _:
                return _ORPHANED

    async def _query_holder(
        self, execution: executions.Execution, document: rows.ClaimDocument, attempt_id: str
    ) -> messages.Verdict | None:
        def make_query(reply_by: instants.Instant) -> messages.Release:
            return messages.Release(
                attempt_id,
                execution.row_key,
                document["token"],
                document["guard_incarnation"],
                reply_by,
            )

        if document["guard_id"] == self.identity.node_id:
            return await self.release(make_query(execution.request.deadline))
        return await queries.poll_verdict(
            self.guard_client,
            document["control_url"],
            make_query,
            execution.request.deadline,
            self.clocks,
        )

    def _make_claim(
        self, execution: executions.Execution, expected_position: tables.Position
    ) -> claims.Claim:
        return claims.Claim(
            row_key=execution.row_key,
            document=executions.claim_document(self.identity, execution, rows.ClaimState.CLAIMED),
            expected_position=expected_position,
            deadline=min(execution.request.deadline, self.clocks.monotonic() + CLAIM_TIMEOUT_S),
        )

    def _queue_outcome(self, execution: executions.Execution, outcome: outcomes.Outcome) -> None:
        document = executions.outcome_document(self.identity, execution, outcome)

        def mark_written() -> None:
            execution.outcome_written = True

        self.writer.add(
            write_behind.Entry(execution.row_key, execution.position, document, mark_written)
        )

    def _bar_attempts(self, execution: executions.Execution, refusal: outcomes.NotRun) -> None:
        for attempt_id, deadline in execution.attempt_deadlines.items():
            self.barred.add(attempt_id, deadline, refusal)

    def _remove(self, execution: executions.Execution) -> None:
        for attempt_id in execution.attempt_deadlines:
            self.attempts.pop(attempt_id, None)
        self.executions.pop(execution.row_key, None)

    async def _outcome_until(
        self, execution: executions.Execution, deadline: instants.Instant
    ) -> outcomes.Outcome | None:
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(execution.outcome)
        except TimeoutError:
            return None


_ORPHANED = outcomes.Unknown(reasons.Uncertainty.CLAIM_ORPHANED)

_RESOLVED_EVENTS: dict[type[outcomes.Outcome], str] = {
    outcomes.Ran: "replayed",
    outcomes.NotRun: "refused",
    outcomes.Unknown: "lost",
}
