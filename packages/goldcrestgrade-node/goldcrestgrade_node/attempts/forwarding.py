"""Relay of idempotent attempts through the endpoint's node, over HTTP.

The relayed request has the method of the original, so that its answer is framed in the same way.
"""

from __future__ import annotations

import asyncio
import collections
import typing

import pydantic
import typing_extensions

from goldcrestgrade import headers, instants, outcomes, reasons, records, sheet
from goldcrestgrade_node import asgi, requests
from goldcrestgrade_node.attempts import results, transport
from goldcrestgrade_node.entry import disconnects

INVALID_ANSWER = outcomes.Answer(400, (("content-type", "application/json"),), b"{}")
"""Answer to a relayed attempt that cannot be parsed."""


class ForwardDocument(typing_extensions.TypedDict):
    """What the endpoint's node must know of an attempt, apart from method and body."""

    attempt_id: str
    request_id: str
    service: str
    target: str
    headers: list[tuple[str, str]]
    deadline: instants.WallInstant
    caller_region: str


_DOCUMENT: pydantic.TypeAdapter[ForwardDocument] = pydantic.TypeAdapter(ForwardDocument)

Send = typing.Callable[[transport.Attempt], typing.Awaitable[results.AttemptResult]]
"""Sends an attempt to an endpoint."""


class ForwardApp:
    """ASGI application that sends relayed attempts to the endpoint of its node."""

    def __init__(
        self,
        send: Send,
        own_endpoint: typing.Callable[[], records.EndpointDocument | None],
        in_flight_changed: typing.Callable[[int], None],
        clocks: instants.Clocks,
        events: collections.Counter[str],
    ) -> None:
        self.send = send
        self.own_endpoint = own_endpoint
        self.in_flight_changed = in_flight_changed
        """Called with the change in the number of in-flight attempts, 1 or -1."""
        self.clocks = clocks
        self.events = events

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one relayed attempt."""
        try:
            body = await asgi.read_body(receive)
            meta = dict(asgi.headers_of(scope)).get(transport.FORWARD_HEADER, "").encode("latin-1")
            document = _DOCUMENT.validate_json(meta)
        except asgi.Disconnected:
            return
        except ValueError:
            await asgi.send_answer(send, INVALID_ANSWER, "")
            return
        if body is None:
            await asgi.send_answer(send, INVALID_ANSWER._replace(status=413), "")
            return
        await self._run(scope["method"], document, body, receive, send)

    async def _run(
        self,
        method: str,
        document: ForwardDocument,
        body: bytes,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        worker = asyncio.current_task()
        assert worker is not None
        watch = disconnects.Watch(receive, worker)
        self.in_flight_changed(1)
        try:
            result = await self._attempt(method, document, body)
            answer = _to_answer(result, document["attempt_id"], document["request_id"])
            await asgi.send_answer(send, answer, document["request_id"])
        except outcomes.AnswerCut:
            self.events[reasons.Event.STREAMED_ANSWER_CUT] += 1
        except asyncio.CancelledError:
            if not watch.disconnected:
                raise
            worker.uncancel()
        finally:
            self.in_flight_changed(-1)
            watch.stop()

    async def _attempt(
        self, method: str, document: ForwardDocument, body: bytes
    ) -> results.AttemptResult:
        endpoint = self.own_endpoint()
        if endpoint is None or endpoint["service"] != document["service"]:
            return results.Shed(load=None)
        request = requests.Request(
            request_id=document["request_id"],
            service=document["service"],
            kind=sheet.Kind("relayed", run_once=False, timeout_s=sheet.DEFAULT_TIMEOUT_S),
            method=method,
            target=document["target"],
            headers=tuple(document["headers"]),
            body=body,
            idempotency_key=None,
            deadline=self.clocks.from_wall(document["deadline"]),
            retries_allowed=False,
        )
        return await self.send(
            transport.Attempt(
                document["attempt_id"],
                request,
                endpoint["host"],
                endpoint["port"],
                document["caller_region"],
            )
        )


def _to_answer(result: results.AttemptResult, attempt_id: str, request_id: str) -> outcomes.Answer:
    echo = ((headers.ATTEMPT_ID, attempt_id),)
    match result:
        case results.Answered(answer=answer, load=load):
            return answer._replace(headers=(*answer.headers, *echo, *_load(load)))
        case results.Shed(load=load):
            return outcomes.Answer(503, ((headers.NOT_RUN, "1"), *echo, *_load(load)), b"")
        case results.Unreachable():
            return outcomes.Answer(503, ((headers.NOT_RUN, "1"), *echo), b"")
        case results.Broken(reason=reason):
            unknown = outcomes.to_answer(outcomes.Unknown(reason), request_id, 0.0)
            return unknown._replace(headers=(*unknown.headers, *echo))


def _load(load: int | None) -> headers.Fields:
    return () if load is None else ((headers.LOAD, str(load)),)
