"""Stand-in for an endpoint that answers with arbitrary bytes, for tests of socket failures."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import httptools

HOST = "127.0.0.1"

MAX_READ_BYTES = 65536
"""Largest number of bytes of one read from a connection."""


class RawRequest(typing.NamedTuple):
    """A received request."""

    connection: int
    """Number of its connection; the first is 1."""
    method: str
    target: str
    fields: list[tuple[str, str]]
    body: bytes

    def field(self, name: str) -> str | None:
        """Return the value of the first header `name` (in lower case), or none if it is absent."""
        return next((value for key, value in self.fields if key == name), None)


Respond = typing.Callable[[RawRequest, asyncio.StreamWriter], typing.Awaitable[None]]
"""Answers one request or leaves it unanswered; it may close the connection."""


class RawEndpoint:
    """Records connections and requests and answers by `respond`; owned by its event loop."""

    def __init__(self, respond: Respond) -> None:
        self.respond = respond
        self.port = 0
        self.connections = 0
        self.open_connections: set[int] = set()
        """Numbers of the open connections."""
        self.max_open_connections = 0
        self.requests: list[RawRequest] = []

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle the requests of one connection until either side closes it."""
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
    """Serve an endpoint on a free port until the context ends."""
    endpoint = RawEndpoint(respond)
    server = await asyncio.start_server(endpoint.serve_connection, HOST, 0)
    endpoint.port = server.sockets[0].getsockname()[1]
    try:
        yield endpoint
    finally:
        server.close()


def answer(body: bytes = b"", status: str = "200 OK", fields: str = "") -> bytes:
    """Return a complete answer; `fields` are further header lines, each ending in CRLF."""
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{fields}\r\n"
    return head.encode() + body


async def write_endlessly(writer: asyncio.StreamWriter, data: bytes) -> int:
    """Write `data` again and again until the other side closes; return the bytes written."""
    written = 0
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(data)
            written += len(data)
            await writer.drain()
    return written


class _RequestParser:
    """Parses the requests of one connection; the `on_` methods are callbacks of the parser."""

    def __init__(self, connection: int) -> None:
        self.connection = connection
        self.parser = httptools.HttpRequestParser(self)
        self.complete: list[RawRequest] = []
        self.on_message_begin()

    def feed(self, data: bytes) -> list[RawRequest]:
        """Parse `data` and return the requests that it completes."""
        self.parser.feed_data(data)
        complete, self.complete = self.complete, []
        return complete

    def on_message_begin(self) -> None:
        """Begin a new request."""
        self.target = ""
        self.fields: list[tuple[str, str]] = []
        self.body = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header, with its name in lower case."""
        text = value.decode("utf-8", "surrogateescape")
        self.fields.append((name.decode("latin-1").lower(), text))

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Add the complete request to those that `feed` returns."""
        method = self.parser.get_method().decode()
        request = RawRequest(self.connection, method, self.target, self.fields, self.body)
        self.complete.append(request)
