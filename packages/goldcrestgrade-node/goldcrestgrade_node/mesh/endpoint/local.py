"""Requests at this node's endpoint: admission, the exchange and its outcome."""

from __future__ import annotations

import asyncio
import logging
import typing

from goldcrestgrade import instants, outcomes, reasons
from goldcrestgrade_node.attempts import exchanges, results
from goldcrestgrade_node.mesh.endpoint import (
    admission,
    endpoints,
    estimates,
    refused_attempts,
)
from goldcrestgrade_node.mesh.transport import (
    bodies,
    connections,
    dialect,
    loads,
    requests,
    signals,
    transfer,
)

log = logging.getLogger(__name__)

NO_ENDPOINT_RETRY_S = 0.5
"""Delay after which a node without an endpoint may be retried; endpoints start within seconds."""

RUN_ONCE_MAX_IDLE_S = 0.7
"""Longest idle time of a connection that carries a run-once request.

Endpoints may drop idle connections without closing them.
"""

IDEMPOTENT_MAX_IDLE_S = 8.0
"""Longest idle time of a connection that carries an idempotent request."""

SHED_RETRY_S = 0.1
"""Delay after which an endpoint that shed a request or was unreachable may be retried."""

NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})
"""Statuses with which an endpoint may declare that it did not run a request."""

REFUSING_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a client that its request did not run; invalid for a request that ran."""

MISDIRECTED_STATUS = 421
"""Status of an endpoint whose id is not the expected one."""


class Refused(typing.NamedTuple):
    """Why a request must not reach the endpoint, and when it may be retried."""

    reason: reasons.Refusal
    retry_at: instants.Instant


class Hooks(typing.NamedTuple):
    """Callbacks of `LocalRunner` to the rest of the node."""

    refusal_for: typing.Callable[[requests.Call], Refused | None]
    """Returns why a request must not reach the endpoint, or none if it may."""
    request_health_check: typing.Callable[[], None]
    """Requests a health check of an endpoint that may have ended."""
    request_pace_check: typing.Callable[[], None]
    """Requests a health check that reports the endpoint's pace."""
    refresh_pace: typing.Callable[[], typing.Awaitable[None]]
    """Waits for a health check that reports the endpoint's pace."""
    on_broken: typing.Callable[[requests.Call, reasons.Uncertainty], None]
    """Called when a request was sent and no valid answer came back, except after a time-out."""
    on_answered: typing.Callable[[requests.Call], None]
    """Called when the endpoint answered a request."""
    on_rejected: typing.Callable[[reasons.Refusal], None] = lambda _: None
    """Called with the reason of a request that is not sent to the endpoint."""


class Slot:
    """The slot of one admitted request, which is released once."""

    def __init__(self, controller: admission.AdmissionController) -> None:
        self.controller = controller
        self.released = False

    def release(self, completed: bool) -> None:
        """Release the slot unless that has happened; `completed` if the endpoint had the request.

        The task of a request releases its slot as it ends. A task that is cancelled before its
        first step executes none of its code, so its done callback calls this as well.
        """
        if not self.released:
            self.released = True
            self.controller.release(completed)


class LocalRunner:
    """Runs requests at the own endpoint; owned by the event loop of the node."""

    def __init__(
        self,
        own: endpoints.OwnEndpoint,
        controller: admission.AdmissionController,
        pool: connections.ConnectionPool,
        header_names: dialect.Dialect,
        hooks: Hooks,
        clocks: instants.Clocks,
    ) -> None:
        self.own = own
        self.controller = controller
        self.pool = pool
        self.header_names = header_names
        self.hooks = hooks
        self.clocks = clocks
        self.in_flight_tasks: set[asyncio.Task[requests.Served]] = set()
        self.refused_attempts = refused_attempts.RefusedAttempts(clocks)

    async def serve(
        self, call: requests.Call, fetch_body: bodies.FetchBody | None = None
    ) -> requests.Served:
        """Admit a request, send it to the endpoint and return how it ended.

        With `fetch_body`, the body of the request is fetched once it was admitted. A run-once
        request that was admitted continues when the task that awaits it is cancelled.
        """
        if call.report is not None and not self.own.answered:
            self.own.adopt_report(call.report)
            self.hooks.request_pace_check()
        refused = self._find_refusal(call)
        if refused is not None:
            return self._rejected(call, refused.reason, refused.retry_at)
        if self.controller.is_pace_outdated() or self.own.coldness.is_check_awaited():
            await self.hooks.refresh_pace()
        elif self.controller.is_health_check_due():
            self.hooks.request_pace_check()
        rejected = await self.controller.admit(call.admission_request())
        if rejected is not None:
            reason = reasons.Refusal(rejected.reason)
            return self._rejected(call, reason, rejected.retry_at)
        slot = Slot(self.controller)
        task = asyncio.create_task(self._run(call, fetch_body, slot))
        self.in_flight_tasks.add(task)
        task.add_done_callback(lambda _: slot.release(completed=False))
        task.add_done_callback(self.in_flight_tasks.discard)
        if call.run_once:
            return await asyncio.shield(task)
        try:
            return await task
        except asyncio.CancelledError:
            task.cancel()
            raise

    def reject_queued(self) -> None:
        """Reject the queued requests, since the endpoint accepts no new requests."""
        self.controller.reject_queued(reasons.Refusal.NO_ENDPOINT)

    async def _run(
        self, call: requests.Call, fetch_body: bodies.FetchBody | None, slot: Slot
    ) -> requests.Served:
        offered = False
        try:
            if fetch_body is not None:
                fetched = await self._fetch(fetch_body)
                if isinstance(fetched, reasons.Refusal):
                    retry_at = self.clocks.monotonic() + SHED_RETRY_S
                    return self._rejected(call, fetched, retry_at)
                call = call._replace(body=fetched)
            refused = self._find_refusal(call)
            if refused is not None:
                return self._rejected(call, refused.reason, refused.retry_at)
            if call.deadline <= self.clocks.monotonic():
                return self._rejected(
                    call, reasons.Refusal.EXPIRED_WAITING, self.clocks.monotonic()
                )
            offered = True
            return await self._exchange(call)
        finally:
            slot.release(completed=offered or fetch_body is None)

    async def _fetch(self, fetch_body: bodies.FetchBody) -> bytes | reasons.Refusal:
        """Hold the slot until the body of an admitted request was received or is given up."""
        self.controller.begin_hold()
        try:
            return await fetch_body()
        finally:
            self.controller.end_hold()

    async def _exchange(self, call: requests.Call) -> requests.Served:
        endpoint = self.own.usable()
        assert endpoint is not None
        started = self.clocks.monotonic()
        start_load = self.controller.load_snapshot()
        transferred = await transfer.send(
            self.pool,
            self._prepare(call, endpoint.endpoint_id, started),
            call.deadline,
            RUN_ONCE_MAX_IDLE_S if call.run_once else IDEMPOTENT_MAX_IDLE_S,
            lambda: (
                endpoints.is_same_incarnation(self.own.usable(), endpoint)
                and self.clocks.monotonic() < call.deadline
                and self.hooks.refusal_for(call) is None
            ),
            memory=call.answer_memory,
        )
        load = loads.parse(transferred.fields.get(self.header_names.load))
        if load is not None:
            self.controller.apply_load_report(load)
        match transferred.result:
            case results.Unreachable(text=text):
                refused = None if text == transfer.REFUSED else self.hooks.refusal_for(call)
                if refused is not None:
                    return self._rejected(call, refused.reason, refused.retry_at)
                return self._unreachable(call, text)
            case results.Broken(reason=reason):
                return self._broken(call, reason, started)
            case results.Answered(answer=answer):
                return self._answered(
                    call, endpoint.endpoint_id, answer, transferred.fields, started, start_load
                )

    def _answered(
        self,
        call: requests.Call,
        endpoint_id: str,
        answer: outcomes.Answer,
        fields: typing.Mapping[str, str],
        started: instants.Instant,
        start_load: estimates.LoadSnapshot,
    ) -> requests.Served:
        now = self.clocks.monotonic()
        echoed = fields.get(self.header_names.attempt_id)
        is_refused = answer.status == MISDIRECTED_STATUS or (
            self.header_names.not_run in fields and answer.status in NOT_RUN_STATUSES
        )
        if is_refused and call.run_once and echoed != call.attempt_id:
            # The refusal may belong to another request.
            return self._broken(call, reasons.Uncertainty.ANSWER_INVALID, started)
        if is_refused and call.run_once:
            self.refused_attempts.record(call.attempt_id, call.deadline)
        if answer.status == MISDIRECTED_STATUS:
            log.warning(
                "another endpoint answers at the address; the known one is dropped",
                extra={"endpoint": fields.get(self.header_names.endpoint_id)},
            )
            self.own.record_replacement()
            self.hooks.request_health_check()
            return self._rejected(call, reasons.Refusal.NO_ENDPOINT, now, arrived=False)
        if is_refused:
            self.own.record_answer(self._report(endpoint_id, fields))
            return self._rejected(
                call, reasons.Refusal.ENDPOINT_REFUSED, now + SHED_RETRY_S, arrived=True
            )
        if not self._is_valid(answer, fields, call):
            return self._broken(call, reasons.Uncertainty.ANSWER_INVALID, started)
        report = self._report(endpoint_id, fields)
        self.own.record_answer(report)
        self.hooks.on_answered(call)
        log.info(
            "endpoint answered",
            extra={
                "request_id": call.attempt_id,
                "status": answer.status,
                "took_s": round(now - started, 4),
                "judged_by": start_load.log_fields(),
                "pace": round(self.controller.pace, 2),
            },
        )
        if answer.status < 500:
            self.controller.record_service_time(call.route_key, now - started, start_load)
        dropped = {self.header_names.load, self.header_names.endpoint_id}
        forwarded = tuple(pair for pair in answer.headers if pair[0] not in dropped)
        ran = outcomes.Ran(answer._replace(headers=forwarded))
        return self._served(ran, arrived=True)._replace(report=report)

    def _report(self, endpoint_id: str, fields: typing.Mapping[str, str]) -> signals.Report:
        return signals.Report(endpoint_id, signals.parse(fields, self.header_names))

    def _is_valid(
        self, answer: outcomes.Answer, fields: typing.Mapping[str, str], call: requests.Call
    ) -> bool:
        echoed = fields.get(self.header_names.attempt_id)
        return (
            self.header_names.signature in fields
            and "content-encoding" not in fields
            and answer.status not in REFUSING_STATUSES
            and (echoed == call.attempt_id or not call.attempt_id)
        )

    def _unreachable(self, call: requests.Call, text: str) -> requests.Served:
        log.warning(
            "endpoint unreachable; request rejected",
            extra={"request_id": call.attempt_id, "error": text},
        )
        if text == transfer.REFUSED:
            self.own.record_refused_connection()
            self.pool.close_idle()
        self.hooks.request_health_check()
        now = self.clocks.monotonic()
        return self._rejected(call, reasons.Refusal.ENDPOINT_UNREACHED, now + SHED_RETRY_S)

    def _broken(
        self, call: requests.Call, reason: reasons.Uncertainty, started: instants.Instant
    ) -> requests.Served:
        took_s = self.clocks.monotonic() - started
        log.warning(
            "no whole answer from the endpoint",
            extra={"request_id": call.attempt_id, "reason": reason, "took_s": round(took_s, 3)},
        )
        if reason != reasons.Uncertainty.TIMED_OUT:
            self.hooks.on_broken(call, reason)
        return self._served(outcomes.Unknown(reason), arrived=True)

    def _find_refusal(self, call: requests.Call) -> Refused | None:
        if call.service != self.own.service():
            return Refused(reasons.Refusal.UNKNOWN_SERVICE, self.clocks.monotonic())
        if self.own.usable() is None:
            retry_at = self.clocks.monotonic() + NO_ENDPOINT_RETRY_S
            return Refused(reasons.Refusal.NO_ENDPOINT, retry_at)
        if call.run_once and call.attempt_id in self.refused_attempts:
            retry_at = self.clocks.monotonic() + SHED_RETRY_S
            return Refused(reasons.Refusal.ENDPOINT_REFUSED, retry_at)
        return self.hooks.refusal_for(call)

    def _rejected(
        self,
        call: requests.Call,
        reason: reasons.Refusal,
        retry_at: instants.Instant,
        arrived: bool = False,
    ) -> requests.Served:
        self.hooks.on_rejected(reason)
        load = self.controller.load()
        log.info(
            "call sent back",
            extra={
                "request_id": call.attempt_id,
                "reason": reason,
                "load": loads.encode(load),
                "target_in_s": round(call.target_at - self.clocks.monotonic(), 3),
            },
        )
        return self._served(outcomes.NotRun(reason, retry_at), arrived)

    def _served(self, outcome: outcomes.Outcome, arrived: bool) -> requests.Served:
        return requests.Served(outcome, self.controller.load(), arrived)

    def _prepare(
        self, call: requests.Call, endpoint_id: str, now: instants.Instant
    ) -> exchanges.PreparedRequest:
        left_ms = max(1, int(1000 * (call.deadline - now)))
        node_headers = self.header_names.set_by_node
        identity = ((self.header_names.workspace, call.workspace),) if call.workspace else ()
        fields = [
            *(pair for pair in call.headers if pair[0] not in node_headers),
            (self.header_names.remaining_ms, str(left_ms)),
            (self.header_names.expected_endpoint, endpoint_id),
            (self.header_names.caller, call.caller),
            *identity,
        ]
        return exchanges.PreparedRequest(
            call.method,
            call.target,
            fields,
            call.body,
            call.attempt_id,
            streamed=False,
            echo_header=self.header_names.attempt_id,
            host=call.host,
            unframed_allowed=True,
        )
