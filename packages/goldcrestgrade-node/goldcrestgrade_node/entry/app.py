"""ASGI application of the calls address.

It is a bare ASGI callable: falcon's dispatch costs 0.1 ms for each request and is not needed here,
since every path belongs to the endpoints.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import secrets
import typing

from goldcrestgrade import headers, instants, outcomes, reasons, sheet
from goldcrestgrade_node import asgi, requests
from goldcrestgrade_node.entry import disconnects

MAX_KEY_LENGTH = 200
"""Largest length of an idempotency key, in characters."""

MAX_TIMEOUT_S = 3600.0
"""Longest time from a request's arrival to its deadline; a later deadline is moved up."""

MAX_HEADERS_LENGTH = 16 * 1024
"""Largest total length of the headers of a request, in characters."""

FORBIDDEN_METHODS = frozenset({"CONNECT", "TRACE"})
"""Methods that would open a tunnel, or echo internal headers to the client."""

Run = typing.Callable[[requests.Request], typing.Awaitable[outcomes.Outcome]]
"""Runs a request and returns its outcome."""


class EntryApp:
    """Reads requests of clients, runs them and sends the answers."""

    def __init__(
        self,
        run: Run,
        sheet_in_force: typing.Callable[[], sheet.Sheet | None],
        count_refusal: typing.Callable[[reasons.Refusal], None],
        is_closing: typing.Callable[[], bool],
        clocks: instants.Clocks,
        events: collections.Counter[str],
    ) -> None:
        self.run = run
        self.sheet_in_force = sheet_in_force
        self.count_refusal = count_refusal
        self.is_closing = is_closing
        self.clocks = clocks
        self.events = events
        self.id_prefix = secrets.token_hex(8)
        self.request_numbers = itertools.count(1)

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        request_id = f"{self.id_prefix}{next(self.request_numbers):x}"
        try:
            body = await asgi.read_body(receive)
        except asgi.Disconnected:
            return
        request = self._request(scope, body, request_id)
        if isinstance(request, outcomes.NotRun):
            self.count_refusal(request.reason)
            await self._send(send, request, request_id)
        elif request.kind.run_once:
            await self._send(send, await self.run(request), request_id)
        else:
            await self._run_watched(request, receive, send)

    async def _run_watched(
        self, request: requests.Request, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        worker = asyncio.current_task()
        assert worker is not None
        watch = disconnects.Watch(receive, worker)
        try:
            await self._send(send, await self.run(request), request.request_id)
        except asyncio.CancelledError:
            if not watch.disconnected:
                raise
            worker.uncancel()
            self.events[reasons.Event.CALLER_DISCONNECTED] += 1
        finally:
            watch.stop()

    async def _send(self, send: asgi.Send, outcome: outcomes.Outcome, request_id: str) -> None:
        answer = outcomes.to_answer(outcome, request_id, self.clocks.monotonic())
        try:
            await asgi.send_answer(send, answer, request_id, close=self.is_closing())
        except outcomes.AnswerCut:
            # Returning early makes the server close the connection, so the client sees the cut.
            self.events[reasons.Event.STREAMED_ANSWER_CUT] += 1

    def _request(
        self, scope: asgi.Scope, body: bytes | None, request_id: str
    ) -> requests.Request | outcomes.NotRun:
        in_force = self.sheet_in_force()
        if in_force is None:
            return outcomes.NotRun(reasons.Refusal.NO_SHEET, self.clocks.monotonic() + 1)
        if body is None:
            return outcomes.NotRun(reasons.Refusal.BODY_TOO_LARGE)
        received = _fields(scope)
        if received is None:
            return outcomes.NotRun(reasons.Refusal.INVALID_REQUEST)
        by_name = dict(received)
        host = by_name.get("host", "").partition(":")[0].partition(".")[0]
        service = in_force.services.get(by_name.get(headers.SERVICE, host))
        if service is None:
            return outcomes.NotRun(reasons.Refusal.UNKNOWN_SERVICE)
        kind = service.kind(scope["method"], scope["path"])
        key = by_name.get(headers.IDEMPOTENCY_KEY)
        if kind.run_once and not key:
            return outcomes.NotRun(reasons.Refusal.KEY_MISSING)
        if key and len(key) > MAX_KEY_LENGTH:
            return outcomes.NotRun(reasons.Refusal.INVALID_REQUEST)
        deadline = self._deadline(by_name.get(headers.DEADLINE), kind)
        if deadline is None:
            return outcomes.NotRun(reasons.Refusal.INVALID_REQUEST)
        if deadline <= self.clocks.monotonic():
            return outcomes.NotRun(reasons.Refusal.DEADLINE_PASSED)
        return requests.Request(
            request_id=request_id,
            service=service.name,
            kind=kind,
            method=scope["method"],
            target=asgi.target_of(scope),
            headers=headers.end_to_end(received),
            body=body,
            idempotency_key=key,
            deadline=deadline,
            retries_allowed=headers.NO_RETRY not in by_name,
        )

    def _deadline(self, text: str | None, kind: sheet.Kind) -> instants.Instant | None:
        now = self.clocks.monotonic()
        if text is None:
            return now + kind.timeout_s
        wall = headers.parse_deadline(text)
        return None if wall is None else min(self.clocks.from_wall(wall), now + MAX_TIMEOUT_S)


def _fields(scope: asgi.Scope) -> headers.Fields | None:
    """Return the headers of a request, or None if it can't be passed on unchanged."""
    if scope["method"] in FORBIDDEN_METHODS or not scope["query_string"].isascii():
        return None
    try:
        received = asgi.headers_of(scope)
    except UnicodeDecodeError:
        return None
    if sum(len(name) + len(value) for name, value in received) > MAX_HEADERS_LENGTH:
        return None
    options = headers.connection_options(received)
    if headers.has_repeated_header(received) or not options.isdisjoint(headers.PROTECTED):
        return None
    return received
