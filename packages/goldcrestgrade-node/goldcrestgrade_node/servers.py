"""HTTP servers of a node, on asyncio's event loop and without signal handlers of their own."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import socket
import sys
import typing

import httptools
import uvicorn
from uvicorn.protocols.http import flow_control, httptools_impl

from goldcrestgrade import headers, parse_queue
from goldcrestgrade_node import closing

if typing.TYPE_CHECKING:
    from goldcrestgrade import settings

KEEPALIVE_S = 30
"""Time after which an idle connection is closed."""

BACKLOG = 512
"""Largest number of connections that wait to be accepted."""


MAX_HEAD_BYTES = 64 * 1024
"""Largest size of the request line and headers."""


MAX_DISCARDED_BYTES = 1 << 20
"""Largest rest of a body that is read after the answer, so that its connection can be kept."""


MAX_AHEAD_BYTES = 64 * 1024
"""Bytes that were received and may not be parsed yet from which reading pauses.

Reading goes on until then, since a client that leaves is noticed only while its connection is read.
"""

MAX_UNREAD_BODY_BYTES = 64 * 1024
"""Bytes of a body that its application has not read from which no more of it is parsed."""

CHUNKED_SLICE_BYTES = 1024
"""Most bytes of a chunked body that are parsed at once.

Its end is found by the parser only, and requests that follow it in the slice are parsed with it.
"""

RECEIVE_BUFFER_BYTES = 32 * 1024
"""Bytes that the kernel holds of one connection before they are read; it doubles the figure."""

INTERIM_ANSWER_PREFIX = b"HTTP/1.1 100 "
"""Start of an interim answer, which is written without delay."""


class AnswerWriter:
    """Writes the head of an answer and the first part of its body together, in one segment."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.head = b""
        self.head_written = False

    def write(self, data: bytes) -> None:
        """Hold back the head until the first part of the body; write all else at once."""
        if self.head_written or data.startswith(INTERIM_ANSWER_PREFIX):
            self.transport.write(data)
        elif self.head:
            self.head_written = True
            self.transport.write(self.head + data)
        else:
            self.head = data

    def close(self) -> None:
        """Write a head that is still held back, then close the connection."""
        if self.head and not self.head_written:
            self.transport.write(self.head)
        self.transport.close()

    def is_closing(self) -> bool:
        """Return whether the connection is closing."""
        return self.transport.is_closing()


class ReadFlow(flow_control.FlowControl):
    """Flow control that leaves to its connection whether it is read."""

    def __init__(self, transport: asyncio.Transport, regulate: typing.Callable[[], None]) -> None:
        super().__init__(transport)
        self.regulate = regulate

    def pause_reading(self) -> None:
        """Do nothing, as the connection pauses by what it holds."""

    def resume_reading(self) -> None:
        """Go on, as the application may have read a part of a body."""
        self.regulate()


class NodeProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP connection with limited request heads, joined writes of answers and a staged close.

    A request is parsed once those before it allow it; until then, its bytes are kept as received.
    What is received is parsed in slices, so that no client holds the event loop.
    """

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.queue = parse_queue.of(self.loop)
        self.queued = False
        self.backlog = bytearray()
        """Bytes that were received and not parsed yet."""
        self.head_bytes = 0
        """Bytes parsed since the last complete head or part of a body."""
        self.body_left: int | None = 0
        """Bytes of the body that are still to be parsed; none if it is chunked."""
        self.discarded_bytes = 0
        """Bytes of a body that came after the answer to its request."""
        self.stall_check: asyncio.TimerHandle | None = None
        """Check of a client that is to read before more is written."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin a connection."""
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        staged = closing.StagedTransport(typing.cast(asyncio.Transport, transport), self.loop)
        self.staged = staged
        super().connection_made(typing.cast(asyncio.Transport, staged))
        self.flow = ReadFlow(typing.cast(asyncio.Transport, staged), self.regulate)

    def connection_lost(self, exc: Exception | None) -> None:
        """End a connection."""
        self.staged.stop()
        self.backlog.clear()
        if self.stall_check is not None:
            self.stall_check.cancel()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Wait for the client to read, as long as it acknowledges anything."""
        super().pause_writing()
        self._check_stall(sys.maxsize)

    def resume_writing(self) -> None:
        """Write on."""
        super().resume_writing()
        if self.stall_check is not None:
            self.stall_check.cancel()

    def _check_stall(self, before_bytes: int) -> None:
        unacknowledged = closing.unacknowledged_bytes(self.staged.transport)
        if unacknowledged >= before_bytes:
            # Its answer holds memory that others need.
            self.staged.abort()
            return
        self.stall_check = self.loop.call_later(closing.STALL_S, self._check_stall, unacknowledged)

    # Reading

    def data_received(self, data: bytes) -> None:
        """Parse the first slice of `data`, and keep the rest for later turns."""
        if self.is_ended():
            return
        self._unset_keepalive_if_required()
        if self.backlog:
            self.backlog += data
        else:
            parsed = self._parse(data)
            self.backlog += data[parsed:] if parsed else data
        self.regulate()

    def parse_slice(self) -> bool:
        """Parse the next slice of what was kept, and return whether another one may follow."""
        if self.backlog and not self.is_ended():
            parsed = self._parse(bytes(self.backlog[: parse_queue.SLICE_BYTES]))
            del self.backlog[:parsed]
            self.regulate()
        return bool(self.backlog) and self.may_parse()

    def regulate(self) -> None:
        """Have what was kept be parsed if it may be now; read more unless too much is kept."""
        if self.is_ended():
            self.backlog.clear()
        elif self.backlog and self.may_parse():
            self.queue.add(self)
        self.staged.set_reading(len(self.backlog) <= MAX_AHEAD_BYTES)

    def is_ended(self) -> bool:
        """Return whether what the client still sends is discarded."""
        return self.staged.is_closing()

    def may_parse(self) -> bool:
        """Return whether the next bytes may be parsed.

        The application has to read the body, and a request has to be answered before the next one.
        """
        if self.cycle is None or self.cycle.response_complete:
            return True
        return self.cycle.more_body and len(self.cycle.body) <= MAX_UNREAD_BODY_BYTES

    def _parse(self, data: bytes) -> int:
        """Parse the first slice of `data`, and return how much of it was parsed.

        The slice is parsed up to the end of a head or body at a time, as the next request may have
        to wait.
        """
        limit = min(len(data), parse_queue.SLICE_BYTES)
        start = 0
        try:
            while start < limit and not self.is_ended() and self.may_parse():
                end = self._part_end(data, start, limit)
                part = data[start:end]
                start = end
                self.head_bytes += len(part)
                while part:
                    part = self._feed(part)
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")
        if self.head_bytes > MAX_HEAD_BYTES and not self.is_ended():
            self.send_400_response("Request head too large.")
        return start

    def _part_end(self, data: bytes, start: int, limit: int) -> int:
        """Return where the part of a slice ends that begins at `start`."""
        if self.body_left is None:
            return min(limit, start + CHUNKED_SLICE_BYTES)
        if self.body_left:
            return min(limit, start + self.body_left)
        blank_lines = (data.find(line, start, limit) for line in (b"\n\r\n", b"\n\n"))
        return min((data.index(b"\n", at + 1) + 1 for at in blank_lines if at >= 0), default=limit)

    def _feed(self, data: bytes) -> bytes:
        """Parse bytes up to the end of a head with `Upgrade`, and return those that follow it."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._decline_upgrade()
            return data[upgrade.args[0] :]
        return b""

    def _decline_upgrade(self) -> None:
        """Parse the head without its offer of another protocol (RFC 9110, section 7.8).

        The parser takes what follows such a head for the other protocol, also the body.
        """
        method, version = self.parser.get_method(), self.parser.get_http_version()
        if method == b"CONNECT":
            raise httptools.HttpParserError("CONNECT is not supported")
        lines = [b"%s %s HTTP/%s" % (method, self.url, version.encode())]
        for name, value in self.headers:
            if name == b"connection":
                value = b",".join(
                    option
                    for option in value.split(b",")
                    if option.strip().lower() not in (b"upgrade", b"http2-settings")
                )
            if name not in (b"upgrade", b"http2-settings"):
                lines.append(name + b": " + value)
        self.parser = httptools.HttpRequestParser(self)
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self.parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the head; discard a trailer, as it may not be merged into the head."""
        if self.body_left is not None:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Begin the request of a complete head; join the writes of the answer, except to HEAD."""
        self.head_bytes = self.discarded_bytes = 0
        if self.parser.should_upgrade():
            return
        self.body_left = _body_bytes(self.headers)
        super().on_headers_complete()
        if self.cycle is not None and self.scope["method"] != "HEAD":
            self.cycle.transport = typing.cast(asyncio.Transport, AnswerWriter(self.transport))

    def on_message_complete(self) -> None:
        """End the request that was read, unless its head is to be parsed again."""
        if not self.parser.should_upgrade():
            self.body_left = 0
            super().on_message_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a body; it does not count towards the next head.

        After the answer, the rest of a body is discarded up to a limit, as it may have no end.
        """
        self.head_bytes = 0
        if self.body_left:
            self.body_left -= len(body)
        if self.cycle.response_complete:
            self.discarded_bytes += len(body)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.staged.close()
                return
        super().on_body(body)

    def send_400_response(self, msg: str) -> None:
        """Refuse what can't be parsed, and cancel a request whose body is part of it."""
        super().send_400_response(msg)
        if self.cycle is not None and self.cycle.more_body:
            self.cycle.disconnected = True
            self.cycle.message_event.set()

    def shutdown(self) -> None:
        """Close the connection after the answer to a request under way."""
        if self.cycle is None or self.cycle.response_complete:
            self.staged.close_idle()
        else:
            self.cycle.keep_alive = False

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection that has been idle for too long."""
        self.staged.close_idle()


def _body_bytes(fields: list[tuple[bytes, bytes]]) -> int | None:
    """Return the length of the body of a request, or none if it is chunked."""
    if any(name == b"transfer-encoding" for name, _ in fields):
        return None
    texts = (value.decode("latin-1") for name, value in fields if name == b"content-length")
    return headers.parse_count(next(texts, "0"))


class Server(uvicorn.Server):
    """A server that leaves signals to the handlers of its process."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        """Keep the signal handlers of the process, which uvicorn would replace."""
        yield

    def abort_connections(self) -> None:
        """Close all connections at once."""
        for connection in list(self.server_state.connections):
            if isinstance(connection, NodeProtocol):
                connection.staged.abort()


def create(
    app: typing.Any,
    address: settings.Address,
    protocol: type[asyncio.Protocol] = NodeProtocol,
    keepalive_s: int = KEEPALIVE_S,
) -> Server:
    """Return a server of `app` at `address` that closes connections idle for `keepalive_s`."""
    return Server(
        uvicorn.Config(
            app,
            host=address["host"],
            port=address["port"],
            loop="asyncio",
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=keepalive_s,
            backlog=BACKLOG,
        )
    )
