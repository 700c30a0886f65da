"""Helpers for bare ASGI applications."""

from __future__ import annotations

import typing

from goldcrestgrade import headers, outcomes

Scope = typing.MutableMapping[str, typing.Any]
"""ASGI connection scope."""

Receive = typing.Callable[[], typing.Awaitable[typing.MutableMapping[str, typing.Any]]]
"""ASGI receive channel."""

Send = typing.Callable[[typing.MutableMapping[str, typing.Any]], typing.Awaitable[None]]
"""ASGI send channel."""

MAX_BODY_BYTES = 1 << 20
"""Largest body of a request."""


class Disconnected(Exception):
    """The sender went away before its request was whole."""


async def read_body(receive: Receive) -> bytes | None:
    """Return the body of a request, or none where it is too large; raises `Disconnected`."""
    message = await receive()
    if message["type"] == "http.request" and not message.get("more_body"):
        body: bytes = message.get("body", b"")
        return body if len(body) <= MAX_BODY_BYTES else None
    parts: list[bytes] = []
    size = 0
    while True:
        if message["type"] == "http.disconnect":
            raise Disconnected
        size += len(message.get("body", b""))
        if size > MAX_BODY_BYTES:
            return None
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)
        message = await receive()


def headers_of(scope: Scope) -> outcomes.Headers:
    """Return the headers of a request as text."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in scope["headers"]
    )


def target_of(scope: Scope) -> str:
    """Return path and query of a request as they were sent."""
    path: str = scope["raw_path"].decode("latin-1")
    query: bytes = scope["query_string"]
    return f"{path}?{query.decode('latin-1')}" if query else path


async def send_answer(
    send: Send, answer: outcomes.Answer, request_id: str, close: bool = False
) -> None:
    """Send a whole answer; with `close`, ask the receiver to connect anew."""
    fields = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
        if name != "content-length"
    ]
    fields.append((b"content-length", str(len(answer.body)).encode()))
    fields.append((headers.REQUEST_ID.encode(), request_id.encode()))
    if close:
        fields.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": answer.status, "headers": fields})
    await send({"type": "http.response.body", "body": answer.body})
