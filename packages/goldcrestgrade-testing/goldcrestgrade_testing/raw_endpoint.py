"""Stand-in of an endpoint that answers with any bytes, for tests of what goes wrong on sockets."""

from __future__ import annotations

import asyncio
import contextlib
import typing

HOST = "127.0.0.1"


class RawRequest(typing.NamedTuple):
    """A request as it was received."""

    connection: int
    """Number of its connection, from 1."""
    method: str
    target: str
    fields: list[tuple[str, str]]
    body: bytes

    def field(self, name: str) -> str | None:
        """Return the first header called `name`."""
        return next((value for key, value in self.fields if key == name), None)


Respond = typing.Callable[[RawRequest, asyncio.StreamWriter], typing.Awaitable[None]]
"""Answers one request, or not; it may close the connection."""


class RawEndpoint:
    """What an endpoint received; owned by its event loop."""

    def __init__(self, respond: Respond) -> None:
        self.respond = respond
        self.port = 0
        self.connections = 0
        self.open: set[int] = set()
        """Numbers of the connections that are open."""
        self.most_open = 0
        self.requests: list[RawRequest] = []

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection until either side closes it."""
        self.connections += 1
        number = self.connections
        self.open.add(number)
        self.most_open = max(self.most_open, len(self.open))
        try:
            while not writer.is_closing():
                request = await _read_request(number, reader)
                self.requests.append(request)
                await self.respond(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open.discard(number)
            writer.close()


@contextlib.asynccontextmanager
async def serving(respond: Respond) -> typing.AsyncIterator[RawEndpoint]:
    """Serve an endpoint on a free port."""
    endpoint = RawEndpoint(respond)
    server = await asyncio.start_server(endpoint.serve_connection, HOST, 0)
    endpoint.port = server.sockets[0].getsockname()[1]
    try:
        yield endpoint
    finally:
        server.close()


def answer(body: bytes = b"", status: str = "200 OK", fields: str = "") -> bytes:
    """Return a whole answer; `fields` are further header lines, each with its line end."""
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{fields}\r\n"
    return head.encode() + body


async def _read_request(number: int, reader: asyncio.StreamReader) -> RawRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    method, target, _ = first.split(" ")
    fields = [(name.lower(), value.strip()) for name, _, value in (x.partition(":") for x in lines)]
    length = int(dict(fields).get("content-length", "0"))
    return RawRequest(number, method, target, fields, await reader.readexactly(length))
