"""ASGI application that receives requests from clients and from the own endpoint."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import typing

from goldcrestgrade import (
    answer_memory,
    counters,
    headers,
    instants,
    outcomes,
    reasons,
    routes,
)
from goldcrestgrade_node import asgi
from goldcrestgrade_node.entry import disconnects
from goldcrestgrade_node.mesh.entry import dispatch, returning, workspaces
from goldcrestgrade_node.mesh.transport import bodies, dialect, requests, transfer

log = logging.getLogger(__name__)

NOT_READY_RETRY_S = 0.3
"""Delay after which a client may retry at a node that has no configuration yet."""

OUTDATED_RETRY_S = 0.5
"""Delay after which a request with a key may be retried at a node that lost its sources.

Nodes that find a source again are up to date within a second.
"""

CLOSED_RETRY_S = 1.0
"""Delay after which a request may be retried whose route or workspace is not valid."""

MAX_CLIENT_TIMEOUT_MS = 3_600_000
"""Longest timeout that a client may ask for."""

FOUND_ROUTE = "goldcrestgrade.route"
"""Key in the scope of a request for its `FoundRoute`."""

Run = typing.Callable[[requests.Call, int], typing.Awaitable[outcomes.Outcome]]
"""Runs a request at the given number of endpoints at most."""


class FoundRoute(typing.NamedTuple):
    """Result of a look-up of the route of a request."""

    table: routes.RouteTable
    host: str
    route: routes.Route | None


class Match(typing.NamedTuple):
    """What the configuration says of a request."""

    route: routes.Route
    workspace: routes.Workspace | None
    """Workspace on whose behalf it is made; none for an anonymous request."""


class EntryApp:
    """Reads requests of clients, has them run and sends the answers."""

    def __init__(
        self,
        run: Run,
        table: typing.Callable[[], routes.RouteTable | None],
        caller: str,
        header_names: dialect.Dialect,
        is_closing: typing.Callable[[], bool],
        clocks: instants.Clocks,
        counts: counters.Counts,
        rng: random.Random,
        is_outdated: typing.Callable[[], bool] = lambda: False,
        body_memory: bodies.BodyMemory | None = None,
        answers: answer_memory.AnswerMemory | None = None,
    ) -> None:
        self.run = run
        self.table = table
        self.caller = caller
        """Service of the instance, on which the requests originate."""
        self.header_names = header_names
        self.attempt_id_header = header_names.attempt_id.encode()
        self.remaining_ms_header = header_names.remaining_ms.encode()
        self.authorization_header = header_names.authorization.encode()
        self.identity_headers = frozenset({header_names.authorization, header_names.workspace})
        """Headers that are not passed on if there are workspaces."""
        self.is_closing = is_closing
        self.clocks = clocks
        self.counts = counts
        self.rng = rng
        self.is_outdated = is_outdated
        """Returns whether the configuration is too old to accept keys by it."""
        self.body_memory = body_memory or bodies.BodyMemory()
        self.answers = answers or answer_memory.AnswerMemory()
        self.usual_timeouts = returning.UsualTimeouts()

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one request."""
        if asgi.SATURATED in scope:
            await self._refuse_saturated(scope, send)
            return
        reservation = bodies.Reservation(self.body_memory)
        answer = answer_memory.Reservation(self.answers)
        try:
            await self._serve(scope, receive, send, reservation, answer)
        finally:
            reservation.release()
            answer.close()

    async def _refuse_saturated(self, scope: asgi.Scope, send: asgi.Send) -> None:
        """Refuse a request before its body is read, as too many are under way."""
        started = self.clocks.monotonic()
        fields = dict(scope["headers"])
        attempt_id = fields.get(self.attempt_id_header, b"").decode("latin-1")
        refused = outcomes.NotRun(reasons.Refusal.SATURATED, started + bodies.MEMORY_RETRY_S)
        closes = asgi.has_body(fields) or self._ends_connection(scope)
        await self._answer(send, refused, attempt_id, started, None, closes)

    def may_run_beside(self, scope: asgi.Scope) -> bool:
        """Return whether a bodyless request may run beside earlier ones of its connection.

        A run-once request waits for them, as its effects may depend on theirs.
        """
        table = self.table()
        if table is None:
            return False
        value = next((value for name, value in scope["headers"] if name == b"host"), b"")
        host = headers.decode_value(value)
        route = routes.find(table, host, scope["raw_path"].decode("latin-1"))
        scope[FOUND_ROUTE] = FoundRoute(table, host, route)
        return route is not None and not route.run_once

    async def _serve(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        reservation: bodies.Reservation,
        answer: answer_memory.Reservation,
    ) -> None:
        started = self.clocks.monotonic()
        table = self.table()
        limit = routes.DEFAULT_MAX_BODY_BYTES if table is None else table.limits.max_body_bytes
        by_name = {name: value.decode("latin-1") for name, value in scope["headers"]}
        by_name[b"host"] = headers.decode_value(by_name.get(b"host", "").encode("latin-1"))
        try:
            received = await bodies.read(receive, limit, reservation, bodies.length_of(by_name))
        except asgi.Disconnected:
            log.info("client disconnected before its request was complete")
            return
        body = received if isinstance(received, bytes) else None
        attempt_id = by_name.get(self.attempt_id_header, "")
        match_ = self._match(scope, by_name, b"" if received == reasons.Refusal.SATURATED else body)
        if isinstance(match_, Match) and received == reasons.Refusal.SATURATED:
            self.counts.events[reasons.Event.BODY_MEMORY_FULL] += 1
            retry_at = self.clocks.monotonic() + bodies.MEMORY_RETRY_S
            match_ = outcomes.NotRun(reasons.Refusal.SATURATED, retry_at)
        if isinstance(match_, outcomes.NotRun):
            # A client that waits for `100 Continue` may send its next request in place of the body.
            unread = b"expect" in by_name and not isinstance(received, bytes)
            closes = unread or self._ends_connection(scope)
            await self._answer(send, match_, attempt_id, started, None, closes)
            return
        route, workspace = match_
        message = requests.Message(
            scope["method"],
            asgi.target_of(scope),
            by_name.get(b"host", ""),
            self._forwarded_headers(scope),
            body or b"",
        )
        client_timeout_s = _client_timeout_s(by_name.get(self.remaining_ms_header))
        call = requests.call(
            route,
            dispatch.draw_service(route, self.rng),
            self.caller,
            attempt_id,
            message,
            started,
            client_timeout_s,
            workspace,
            self.usual_timeouts.elapsed_s(route.name, client_timeout_s),
        )
        call = call._replace(answer_memory=answer)
        if workspace is not None and (in_force := self.table()) is not None:
            call = call._replace(configuration=in_force.version)
        await self._run_watched(call, route, scope, receive, send, started)

    def _forwarded_headers(self, scope: asgi.Scope) -> outcomes.Headers:
        """Return the headers that are passed on, without the client's key and its own identity."""
        fields = headers.end_to_end(headers.from_request(scope["headers"]))
        table = self.table()
        if table is None or not table.workspaces:
            return fields
        return tuple(pair for pair in fields if pair[0] not in self.identity_headers)

    def _match(
        self, scope: asgi.Scope, by_name: dict[bytes, str], body: bytes | None
    ) -> Match | outcomes.NotRun:
        """Return the route and workspace of a request, or why it has none."""
        table = self.table()
        if table is None:
            return outcomes.NotRun(
                reasons.Refusal.NO_SHEET, self.clocks.monotonic() + NOT_READY_RETRY_S
            )
        text = by_name.get(self.authorization_header) if table.workspaces else None
        holder: routes.Workspace | None = None
        if text is not None:
            if self.is_outdated():
                return outcomes.NotRun(
                    reasons.Refusal.CONFIGURATION_OUTDATED,
                    self.clocks.monotonic() + OUTDATED_RETRY_S,
                )
            holder = workspaces.holder(table, text, self.header_names.authorization_scheme)
            if holder is None:
                return outcomes.NotRun(reasons.Refusal.UNAUTHORIZED)
        route = _find_route(table, scope, by_name)
        if route is None:
            return outcomes.NotRun(reasons.Refusal.NO_ROUTE)
        if table.workspaces and holder is None and not route.anonymous:
            return outcomes.NotRun(reasons.Refusal.UNAUTHORIZED)
        if route.is_closed or (holder is not None and holder.is_closed):
            return outcomes.NotRun(
                reasons.Refusal.CONFIGURATION_NOT_VALID, self.clocks.monotonic() + CLOSED_RETRY_S
            )
        if body is None:
            return outcomes.NotRun(reasons.Refusal.BODY_TOO_LARGE)
        return Match(route, holder)

    async def _run_watched(
        self,
        call: requests.Call,
        route: routes.Route,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        started: instants.Instant,
    ) -> None:
        worker = asyncio.current_task()
        assert worker is not None
        watch = disconnects.Watch(receive, worker)
        self.counts.in_flight += 1
        try:
            outcome = await self.run(call, route.attempts)
            watch.stop()
            closes = self._ends_connection(scope)
            await self._answer(send, outcome, call.attempt_id, started, call, closes)
        except asyncio.CancelledError:
            if not watch.disconnected:
                raise
            worker.uncancel()
            self.counts.events[reasons.Event.CALLER_DISCONNECTED] += 1
            log.info(
                "client disconnected before its answer",
                extra={
                    "request_id": call.attempt_id,
                    "after_s": round(self.clocks.monotonic() - started, 3),
                },
            )
        finally:
            self.counts.in_flight -= 1
            watch.stop()

    async def _answer(
        self,
        send: asgi.Send,
        outcome: outcomes.Outcome,
        attempt_id: str,
        started: instants.Instant,
        call: requests.Call | None,
        closes: bool,
    ) -> None:
        now = self.clocks.monotonic()
        self._record_outcome(outcome, attempt_id, now - started, call)
        answer = transfer.client_answer(outcome, attempt_id, now)
        if not isinstance(outcome, outcomes.Ran) and attempt_id:
            answer = answer._replace(
                headers=(*answer.headers, (self.header_names.attempt_id, attempt_id))
            )
        await asgi.send_plain(send, answer, closes)

    def _ends_connection(self, scope: asgi.Scope) -> bool:
        """Return whether the connection is closed after the answer to a request.

        A stopping node closes it after the answers to all requests that endpoints have begun.
        """
        if not self.is_closing():
            return False
        end_connection: asgi.EndConnection | None = scope.get(asgi.END_CONNECTION)
        return end_connection is None or end_connection()

    def _record_outcome(
        self,
        outcome: outcomes.Outcome,
        attempt_id: str,
        latency_s: float,
        call: requests.Call | None,
    ) -> None:
        self.counts.calls[outcome.tag] += 1
        self.counts.record_latency(latency_s)
        table = self.table()
        fields: dict[str, typing.Any] = {
            "request_id": attempt_id,
            "took_s": round(latency_s, 4),
            "configuration": 0 if table is None else table.version,
        }
        if call is not None:
            fields |= {"route": call.route, "service": call.service, "once": call.run_once}
        match outcome:
            case outcomes.Ran(answer=answer):
                log.info("call answered", extra={**fields, "status": answer.status})
            case outcomes.NotRun(reason=refusal):
                self.counts.refusals[refusal] += 1
                log.info("call refused", extra={**fields, "reason": refusal})
            case outcomes.Unknown(reason=uncertainty):
                self.counts.unknowns[uncertainty] += 1
                log.warning("call unknown", extra={**fields, "reason": uncertainty})


def _find_route(
    table: routes.RouteTable, scope: asgi.Scope, by_name: dict[bytes, str]
) -> routes.Route | None:
    """Return the route of a request, as `may_run_beside` found it if it looked for the same."""
    host = by_name.get(b"host", "")
    found: FoundRoute | None = scope.get(FOUND_ROUTE)
    # A request with several `Host` headers may have been looked up by another one.
    if found is not None and found.table is table and found.host == host:
        return found.route
    return routes.find(table, host, scope["raw_path"].decode("latin-1"))


def _client_timeout_s(text: str | None) -> float:
    """Return the client's timeout in seconds, infinite if its header is missing or malformed.

    A well-formed header has one to nine decimal digits.
    """
    if text is None or not (text.isascii() and text.isdecimal()) or len(text) > 9:
        return math.inf
    return min(int(text), MAX_CLIENT_TIMEOUT_MS) / 1000
