"""HTTP servers of a node, on asyncio's event loop and without signal handlers of their own."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import sys
import typing

import httptools
import uvicorn
from uvicorn.protocols.http import httptools_impl

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


class NodeProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP connection with limited request heads, joined writes of answers and a staged close."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.head_bytes = 0
        """Bytes received since the last complete head or part of a body."""
        self.discarded_bytes = 0
        """Bytes of a body that came after the answer to its request."""
        self.stall_check: asyncio.TimerHandle | None = None
        """Check of a client that is to read before more is written."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin a connection."""
        staged = closing.StagedTransport(typing.cast(asyncio.Transport, transport), self.loop)
        self.staged = staged
        super().connection_made(typing.cast(asyncio.Transport, staged))

    def connection_lost(self, exc: Exception | None) -> None:
        """End a connection."""
        self.staged.stop()
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

    def data_received(self, data: bytes) -> None:
        """Parse `data`, which may hold parts of several requests; answer 400 above the limit."""
        if self.staged.is_closing():
            return
        self.head_bytes += len(data)
        self._unset_keepalive_if_required()
        try:
            while data:
                data = self._feed(data)
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")
        if self.head_bytes > MAX_HEAD_BYTES and not self.transport.is_closing():
            self.send_400_response("Request head too large.")

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

    def on_headers_complete(self) -> None:
        """Begin the request of a complete head; join the writes of the answer, except to HEAD."""
        self.head_bytes = self.discarded_bytes = 0
        if self.parser.should_upgrade():
            return
        super().on_headers_complete()
        if self.cycle is not None and self.scope["method"] != "HEAD":
            self.cycle.transport = typing.cast(asyncio.Transport, AnswerWriter(self.transport))

    def on_message_complete(self) -> None:
        """End the request that was read, unless its head is to be parsed again."""
        if not self.parser.should_upgrade():
            super().on_message_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a body; it does not count towards the next head.

        After the answer, the rest of a body is discarded up to a limit, as it may have no end.
        """
        self.head_bytes = 0
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
