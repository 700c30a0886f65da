"""ASGI application of the calls address.

A bare ASGI callable: falcon's dispatch costs a tenth of a millisecond on each call and brings
nothing here, since every path belongs to the endpoints.
"""

from __future__ import annotations

import typing
import uuid

from goldcrestgrade import headers, instants, outcomes, reasons, sheet
from goldcrestgrade_node import asgi, requests

MAX_KEY_LENGTH = 200
"""Largest length of an idempotency key, in characters."""

MAX_TIMEOUT_S = 3600.0
"""Longest time that a caller may ask an answer to be waited for."""

Run = typing.Callable[[requests.Request], typing.Awaitable[outcomes.Outcome]]
"""Runs a request to its outcome."""


class EntryApp:
    """Reads requests of callers, has them run and sends the answers."""

    def __init__(
        self,
        run: Run,
        sheet_in_force: typing.Callable[[], sheet.Sheet | None],
        refused: typing.Callable[[reasons.Refusal], None],
        closing: typing.Callable[[], bool],
        clocks: instants.Clocks,
    ) -> None:
        self.run = run
        self.sheet_in_force = sheet_in_force
        self.refused = refused
        self.closing = closing
        self.clocks = clocks

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        request_id = uuid.uuid4().hex
        try:
            body = await asgi.read_body(receive)
        except asgi.Disconnected:
            return
        request = self._request(scope, body, request_id)
        if isinstance(request, outcomes.NotRun):
            self.refused(request.reason)
            outcome: outcomes.Outcome = request
        else:
            outcome = await self.run(request)
        answer = outcomes.to_answer(outcome, request_id, self.clocks.monotonic())
        await asgi.send_answer(send, answer, request_id, close=self.closing())

    def _request(
        self, scope: asgi.Scope, body: bytes | None, request_id: str
    ) -> requests.Request | outcomes.NotRun:
        in_force = self.sheet_in_force()
        if in_force is None:
            return outcomes.NotRun(reasons.Refusal.NO_SHEET, self.clocks.monotonic() + 1)
        if body is None:
            return outcomes.NotRun(reasons.Refusal.BODY_TOO_LARGE)
        received = asgi.headers_of(scope)
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
            headers=tuple(pair for pair in received if pair[0] not in headers.INTERNAL),
            body=body,
            idempotency_key=key,
            deadline=deadline,
            retries_allowed=headers.NO_RETRY not in by_name,
        )

    def _deadline(self, text: str | None, kind: sheet.Kind) -> instants.Instant | None:
        now = self.clocks.monotonic()
        if text is None:
            return now + kind.timeout_s
        try:
            wall = float(text)
        except ValueError:
            return None
        return min(self.clocks.from_wall(wall), now + MAX_TIMEOUT_S) if wall == wall else None
