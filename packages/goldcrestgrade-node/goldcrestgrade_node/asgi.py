"""Helpers for ASGI applications without a framework."""

from __future__ import annotations

import typing

from goldcrestgrade import headers, outcomes

Scope = typing.MutableMapping[str, typing.Any]
"""ASGI connection scope."""

Receive = typing.Callable[[], typing.Awaitable[typing.MutableMapping[str, typing.Any]]]
"""ASGI receive channel."""

Send = typing.Callable[[typing.MutableMapping[str, typing.Any]], typing.Awaitable[None]]
"""ASGI send channel."""

App = typing.Callable[[Scope, Receive, Send], typing.Awaitable[None]]
"""ASGI application."""

MAX_BODY_BYTES = 1 << 20
"""Largest body of a request."""


END_CONNECTION = "goldcrestgrade.end_connection"
"""Key in the scope of a pipelined request for an `EndConnection`."""

SATURATED = "goldcrestgrade.saturated"
"""Key in the scope of a request that the application is to refuse, as too many are under way."""

EndConnection = typing.Callable[[], bool]
"""Ends a connection after the answers to the requests that were started on it.

Returns whether the answer to this request is the last one, which has to say so.
"""

PART_BYTES = 64 * 1024
"""Size of the parts in which a large body is sent."""

BODYLESS_STATUSES = frozenset({204, 304})
"""Statuses of answers that have neither a body nor a `content-length`."""

_REQUEST_ID = headers.REQUEST_ID.encode()


class Disconnected(Exception):
    """The client disconnected before its request was complete."""


async def read_body(receive: Receive, limit: int = MAX_BODY_BYTES) -> bytes | None:
    """Return the body of a request, or None above `limit` bytes; raises `Disconnected`."""
    message = await receive()
    if message["type"] == "http.request" and not message.get("more_body"):
        body: bytes = message.get("body", b"")
        return body if len(body) <= limit else None
    # Parts may be of one byte, each of which would take some forty as an object.
    received = bytearray()
    while True:
        if message["type"] == "http.disconnect":
            raise Disconnected
        received += message.get("body", b"")
        if len(received) > limit:
            return None
        if not message.get("more_body"):
            return bytes(received)
        message = await receive()


def headers_of(scope: Scope) -> outcomes.Headers:
    """Return the headers of a request as text; raises `UnicodeDecodeError`."""
    return tuple((name.decode("ascii"), value.decode("utf-8")) for name, value in scope["headers"])


def has_body(fields: typing.Mapping[bytes, bytes]) -> bool:
    """Return whether a request with these headers has a body."""
    return b"transfer-encoding" in fields or fields.get(b"content-length", b"0") != b"0"


def target_of(scope: Scope) -> str:
    """Return the path and query of a request as the client sent them."""
    path: str = scope["raw_path"].decode("latin-1")
    query: bytes = scope["query_string"]
    return f"{path}?{query.decode('latin-1')}" if query else path


async def wait_disconnected(receive: Receive) -> None:
    """Wait until the client of a request has disconnected."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def send_answer(
    send: Send, answer: outcomes.Answer, request_id: str, close: bool = False
) -> None:
    """Send an answer; with `close`, ask the client to open a new connection.

    Raises `AnswerCut` if a streamed answer ends early. The server then closes the connection,
    which shows the client that the answer is incomplete.
    """
    fields = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in answer.headers]
    fields += _framing(answer)
    fields.append((_REQUEST_ID, request_id.encode()))
    if close:
        fields.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": answer.status, "headers": fields})
    if answer.rest is None:
        await send({"type": "http.response.body", "body": answer.body})
    else:
        await _send_streamed(send, answer.body, answer.rest)


async def send_plain(send: Send, answer: outcomes.Answer, close: bool) -> None:
    """Send a complete answer without a request id; with `close`, ask for a new connection.

    A large body is sent in parts, each of which waits until the client has read those before it.
    """
    fields = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in answer.headers]
    fields += _framing(answer)
    if close:
        fields.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": answer.status, "headers": fields})
    body = answer.body
    for start in range(0, len(body), PART_BYTES):
        part = body[start : start + PART_BYTES]
        more = start + PART_BYTES < len(body)
        await send({"type": "http.response.body", "body": part, "more_body": more})
    if not body:
        await send({"type": "http.response.body", "body": b""})


def _framing(answer: outcomes.Answer) -> list[tuple[bytes, bytes]]:
    """Return the `content-length` header to add to `answer`, if its length is known."""
    has_length = any(name == "content-length" for name, _ in answer.headers)
    if has_length or answer.status in BODYLESS_STATUSES:
        return []
    if answer.rest is None:
        return [(b"content-length", b"%d" % len(answer.body))]
    return [] if answer.rest.length is None else [(b"content-length", b"%d" % answer.rest.length)]


async def _send_streamed(send: Send, first: bytes, rest: outcomes.Rest) -> None:
    try:
        part = first
        while part:
            await send({"type": "http.response.body", "body": part, "more_body": True})
            part = await rest.read()
        await send({"type": "http.response.body", "body": b""})
    finally:
        rest.close()
