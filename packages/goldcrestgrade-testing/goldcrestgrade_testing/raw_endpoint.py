"""Stand-in of an endpoint that answers with any bytes, for tests of what goes wrong on sockets."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import httptools

HOST = "127.0.0.1"

MAX_READ_BYTES = 65536
"""Largest part of a request that is read at once."""


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
        self.open_connections: set[int] = set()
        """Numbers of the connections that are open."""
        self.max_open_connections = 0
        self.requests: list[RawRequest] = []

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection until either side closes it."""
        self.connections += 1
        number = self.connections
        self.open_connections.add(number)
        self.max_open_connections = max(self.max_open_connections, len(self.open_connections))
        parser = _RequestParser(number)
        try:
            while not writer.is_closing() and (data := await reader.read(MAX_READ_BYTES)):
                for request in parser.feed(data):
                    self.requests.append(request)
                    await self.respond(request, writer)
        except ConnectionError:
            pass
        finally:
            self.open_connections.discard(number)
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


class _RequestParser:
    """Collects the requests of one connection from the callbacks of the parser."""

    def __init__(self, connection: int) -> None:
        self.connection = connection
        self.parser = httptools.HttpRequestParser(self)
        self.complete: list[RawRequest] = []
        self.on_message_begin()

    def feed(self, data: bytes) -> list[RawRequest]:
        """Return the requests that `data` completes."""
        self.parser.feed_data(data)
        complete, self.complete = self.complete, []
        return complete

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.target = ""
        self.fields: list[tuple[str, str]] = []
        self.body = b""

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target."""
        self.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self.fields.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """End a request."""
        method = self.parser.get_method().decode()
        request = RawRequest(self.connection, method, self.target, self.fields, self.body)
        self.complete.append(request)
