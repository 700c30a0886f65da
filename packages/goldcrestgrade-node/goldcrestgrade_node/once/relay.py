"""Sends and receives messages to guards, as JSON over HTTP."""

from __future__ import annotations

import asyncio
import typing

import aiohttp
import orjson
import pydantic
import typing_extensions

from goldcrestgrade import headers, instants, outcomes, reasons, sheet
from goldcrestgrade_node import asgi, requests
from goldcrestgrade_node.once import guard, messages

PATH = "/v1/relay"
"""Path on the control address that receives messages to the guard."""

CONNECT_TIMEOUT_S = 0.25
"""Longest wait for a connection to a guard."""

MESSAGE_HEADER = "goldcrestgrade-relay"
"""Header that carries a message as JSON, except the body of its request."""

INVALID_MESSAGE_ANSWER = outcomes.Answer(400, (("content-type", "application/json"),), b"{}")
"""Answer to a malformed message."""

_VERDICTS: dict[str, messages.Verdict] = {
    verdict.tag: verdict for verdict in (messages.Released(), messages.Running(), messages.Gone())
}


class RunDocument(typing_extensions.TypedDict):
    """A `Run` on the wire; the body of its request is the body of the HTTP request."""

    message: typing.Literal["run"]
    attempt_id: str
    guard_incarnation: int
    request_id: str
    service: str
    kind: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    idempotency_key: str
    deadline: instants.WallInstant


class SettleDocument(typing_extensions.TypedDict):
    """A `ResolveAttempt` on the wire."""

    message: typing.Literal["settle"]
    attempt_id: str
    guard_incarnation: int
    deadline: instants.WallInstant
    reply_by: instants.WallInstant


class ReleaseDocument(typing_extensions.TypedDict):
    """A `Release` on the wire."""

    message: typing.Literal["release"]
    attempt_id: str
    row_key: str
    token: str
    guard_incarnation: int
    reply_by: instants.WallInstant


MessageDocument = typing.Annotated[
    RunDocument | SettleDocument | ReleaseDocument, pydantic.Field(discriminator="message")
]
_MESSAGE: pydantic.TypeAdapter[RunDocument | SettleDocument | ReleaseDocument] = (
    pydantic.TypeAdapter(MessageDocument)
)


class HttpGuardClient:
    """Sends messages to guards over HTTP.

    All messages but `Run` are sent on new connections, since a pooled one may be silent.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        shared_key: str,
        clocks: instants.Clocks,
        fresh_session: aiohttp.ClientSession | None = None,
    ) -> None:
        self.session = session
        self.fresh_session = fresh_session or session
        self.shared_key = shared_key
        self.clocks = clocks

    async def exchange(
        self, control_url: str, message: messages.Message, deadline: instants.Instant
    ) -> messages.Reply:
        """Return the reply by `deadline`; raises `Unreachable` or `ReplyLost`."""
        now = self.clocks.monotonic()
        session = self.session if isinstance(message, messages.Run) else self.fresh_session
        try:
            async with session.post(
                control_url + PATH,
                data=message.request.body if isinstance(message, messages.Run) else None,
                headers={
                    headers.CONTROL_KEY: self.shared_key,
                    MESSAGE_HEADER: orjson.dumps(_encode_message(message, self.clocks)).decode(
                        "latin-1"
                    ),
                },
                timeout=aiohttp.ClientTimeout(
                    total=max(0.001, deadline - now), sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
            ) as response:
                return _decode_reply(response, await response.read(), self.clocks)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise messages.Unreachable(str(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            raise messages.ReplyLost(repr(error)) from error


class LocalGuardClient:
    """Passes messages for this node's guard to it directly and sends all others to `remote`."""

    def __init__(self, own_guard: guard.Guard, remote: messages.GuardClient) -> None:
        self.own_guard = own_guard
        self.remote = remote

    async def exchange(
        self, control_url: str, message: messages.Message, deadline: instants.Instant
    ) -> messages.Reply:
        """Return the reply by `deadline`; raises `Unreachable` or `ReplyLost`."""
        if control_url != self.own_guard.identity.control_url:
            return await self.remote.exchange(control_url, message, deadline)
        try:
            async with asyncio.timeout_at(deadline):
                return await self.own_guard.receive(message)
        except TimeoutError as error:
            raise messages.ReplyLost("the local guard did not reply by the deadline") from error


class RelayApp:
    """ASGI application that receives messages to this node's guard."""

    def __init__(self, own_guard: guard.Guard, clocks: instants.Clocks) -> None:
        self.own_guard = own_guard
        self.clocks = clocks

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one message.

        Answers 400 to a malformed message and 413 to a request with too large a body.
        """
        try:
            body = await asgi.read_body(receive)
            encoded = dict(asgi.headers_of(scope)).get(MESSAGE_HEADER, "").encode("latin-1")
            document = _MESSAGE.validate_json(encoded)
        except asgi.Disconnected:
            return
        except pydantic.ValidationError:
            await asgi.send_answer(send, INVALID_MESSAGE_ANSWER, "")
            return
        if body is None:
            await asgi.send_answer(send, INVALID_MESSAGE_ANSWER._replace(status=413), "")
            return
        reply = await self.own_guard.receive(_decode_message(document, body, self.clocks))
        await asgi.send_answer(send, _encode_reply(reply, self.clocks), reply.attempt_id)


def _encode_message(
    message: messages.Message, clocks: instants.Clocks
) -> RunDocument | SettleDocument | ReleaseDocument:
    match message:
        case messages.Run(request=request):
            return RunDocument(
                message="run",
                attempt_id=message.attempt_id,
                guard_incarnation=message.guard_incarnation,
                request_id=request.request_id,
                service=request.service,
                kind=request.kind.name,
                method=request.method,
                target=request.target,
                headers=list(request.headers),
                idempotency_key=request.idempotency_key or "",
                deadline=clocks.to_wall(request.deadline),
            )
        case messages.ResolveAttempt():
            return SettleDocument(
                message="settle",
                attempt_id=message.attempt_id,
                guard_incarnation=message.guard_incarnation,
                deadline=clocks.to_wall(message.deadline),
                reply_by=clocks.to_wall(message.reply_by),
            )
        case messages.Release():
            return ReleaseDocument(
                message="release",
                attempt_id=message.attempt_id,
                row_key=message.row_key,
                token=message.token,
                guard_incarnation=message.guard_incarnation,
                reply_by=clocks.to_wall(message.reply_by),
            )


def _decode_message(
    document: RunDocument | SettleDocument | ReleaseDocument, body: bytes, clocks: instants.Clocks
) -> messages.Message:
    if document["message"] == "run":
        return messages.Run(
            document["attempt_id"],
            _decode_request(document, body, clocks),
            document["guard_incarnation"],
        )
    if document["message"] == "settle":
        return messages.ResolveAttempt(
            document["attempt_id"],
            document["guard_incarnation"],
            clocks.from_wall(document["deadline"]),
            clocks.from_wall(document["reply_by"]),
        )
    return messages.Release(
        document["attempt_id"],
        document["row_key"],
        document["token"],
        document["guard_incarnation"],
        clocks.from_wall(document["reply_by"]),
    )


def _decode_request(
    document: RunDocument, body: bytes, clocks: instants.Clocks
) -> requests.Request:
    return requests.Request(
        request_id=document["request_id"],
        service=document["service"],
        kind=sheet.Kind(document["kind"], run_once=True, timeout_s=sheet.DEFAULT_TIMEOUT_S),
        method=document["method"],
        target=document["target"],
        headers=tuple(document["headers"]),
        body=body,
        idempotency_key=document["idempotency_key"],
        deadline=clocks.from_wall(document["deadline"]),
        retries_allowed=False,
    )


def _encode_reply(reply: messages.Reply, clocks: instants.Clocks) -> outcomes.Answer:
    attempt_header = (headers.ATTEMPT_ID, reply.attempt_id)
    match reply.verdict:
        case messages.Resolved(outcome=outcome):
            answer = outcomes.to_answer(outcome, reply.attempt_id, clocks.monotonic())
            tag = ((headers.OUTCOME, "ran"),) if isinstance(outcome, outcomes.Ran) else ()
            return answer._replace(headers=(*answer.headers, *tag, attempt_header))
        case verdict:
            return outcomes.Answer(200, ((headers.OUTCOME, verdict.tag), attempt_header), b"")


def _decode_reply(
    response: aiohttp.ClientResponse, body: bytes, clocks: instants.Clocks
) -> messages.Reply:
    attempt_id = response.headers.get(headers.ATTEMPT_ID)
    if attempt_id is None or response.status not in outcomes.FINAL_STATUSES:
        raise messages.ReplyLost(f"answer with status {response.status} has no verdict")
    tag = response.headers.get(headers.OUTCOME, "")
    verdict = _VERDICTS.get(tag) or messages.Resolved(_decode_outcome(tag, response, body, clocks))
    return messages.Reply(attempt_id, verdict)


def _decode_outcome(
    tag: str, response: aiohttp.ClientResponse, body: bytes, clocks: instants.Clocks
) -> outcomes.Outcome:
    reason = response.headers.get(headers.REASON, "")
    match tag:
        case "ran":
            received = headers.from_bytes(response.raw_headers)
            kept_headers = headers.end_to_end(received)
            return outcomes.Ran(outcomes.Answer(response.status, kept_headers, body))
        case "not_run":
            retry_after_s = response.headers.get("retry-after")
            retry_at = None if retry_after_s is None else clocks.monotonic() + int(retry_after_s)
            return outcomes.NotRun(reasons.Refusal(reason), retry_at)
        case _:
            return outcomes.Unknown(reasons.Uncertainty(reason))
