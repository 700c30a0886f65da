"""HTTP client sessions in which aiohttp neither resends requests nor changes their headers.

Their connections receive no more than the answers to their requests. A faulty server may send bytes
without end, also after a complete answer, when nobody reads the connection.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import socket
import typing

import aiohttp
import multidict
from aiohttp import client_proto, connector, http_exceptions

from goldcrestgrade import parse_queue

log = logging.getLogger(__name__)

MAX_ANSWER_BYTES = 32 << 20
"""Most bytes of an answer with its framing, if its reader states no other limit."""


MAX_ANSWERS = 32
"""Most interim answers and answers to other requests that come before the awaited one."""

MAX_OVERHEAD_BYTES = 64 * 1024
"""Most bytes of a head, and of the framing of a body beyond a multiple of its length."""

MAX_OVERHEAD_RATIO = 3
"""Bytes with their framing that may come for each byte of a body."""

RECEIVE_BUFFER_BYTES = 256 * 1024
"""Bytes that the kernel holds of one connection before they are read."""


class ReceivedBytes:
    """Sum of the bytes that several connections have received for answers under way."""

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0


class GuardedProtocol(client_proto.ResponseHandler):
    """Client side of a connection that is aborted by bytes that belong to no answer.

    What it receives is parsed in slices, so that no server holds the event loop.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_answer_bytes: float,
        received: ReceivedBytes | None = None,
        receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES,
    ) -> None:
        super().__init__(loop)
        self.max_answer_bytes = max_answer_bytes
        self.received = received or ReceivedBytes(float("inf"))
        self.receive_buffer_bytes = receive_buffer_bytes
        self.queue = parse_queue.of(loop)
        self.queued = False
        self.backlog = bytearray()
        """Bytes that were received and not parsed yet."""
        self.aborted = False
        self.idle = False
        """Whether the connection is in a pool and belongs to no request."""
        self.received_bytes = 0
        """Bytes that have come since the current request got the connection."""
        self.parsed_bytes = 0
        """Bytes that were parsed since the last head of an answer."""
        self.answers = 0
        """Heads of answers since the current request got the connection."""
        self.earlier_payload: aiohttp.StreamReader | None = None
        """Body of the answer to the request before."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what the kernel holds of the connection."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Parse what was received before the peer closed the connection."""
        while self.backlog and not self.aborted:
            self._parse_slice()
        self._release_received()
        super().connection_lost(exc)

    @property
    def should_close(self) -> bool:
        """Whether the connection can't be used for another request."""
        return bool(self.backlog) or super().should_close

    def close(self) -> None:
        """Close the connection, and fail an answer that is still being read."""
        self.backlog.clear()
        self._fail_payload("connection closed")
        super().close()

    def abort(self) -> None:
        """Close the connection at once, and fail an answer that is still being read."""
        self.backlog.clear()
        self._fail_payload("connection closed")
        super().abort()

    def _fail_payload(self, text: str) -> None:
        # Whoever reads on would get a `RuntimeError`, which stands for a defect of the program.
        payload = self._payload
        if payload is not None and not payload.is_eof() and payload.exception() is None:
            payload.set_exception(aiohttp.ClientPayloadError(text))

    def begin_request(self) -> None:
        """Expect the answer to a new request."""
        self._release_received()
        self.idle = False
        self.parsed_bytes = self.answers = 0
        self.earlier_payload = self._payload

    def end_request(self) -> None:
        """Expect nothing, as the connection is returned to its pool."""
        self._release_received()
        self.idle = True

    def _release_received(self) -> None:
        self.received.held_bytes -= self.received_bytes
        self.received_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parse bytes, a large amount in turns; abort the connection while idle or above a limit.

        A late copy of an answer would otherwise be parsed as the answer to the next request. A part
        of its head shows nowhere else.
        """
        if self.aborted:
            return
        if not data:
            # aiohttp has its parser go on with what it held back.
            super().data_received(data)
            return
        if (
            self.idle
            or self.received_bytes + len(data) > self.max_answer_bytes
            or self.received.held_bytes + len(data) > self.received.limit_bytes
        ):
            self._abort("more bytes than an answer may have")
            return
        self.received_bytes += len(data)
        self.received.held_bytes += len(data)
        if self.backlog or self._reading_paused or len(data) > parse_queue.SLICE_BYTES:
            self.backlog += data
            self._pause_transport_reading()
            self.queue.add(self)
        else:
            self._parse(data)

    def parse_slice(self) -> bool:
        """Parse the next slice, and return whether another one may follow."""
        if self.aborted or self._reading_paused or not self.backlog:
            return False
        self._parse_slice()
        if not self.backlog and not self._reading_paused:
            self._resume_transport_reading()
        return bool(self.backlog) and not self._reading_paused

    def _parse_slice(self) -> None:
        part = bytes(self.backlog[: parse_queue.SLICE_BYTES])
        del self.backlog[: parse_queue.SLICE_BYTES]
        self._parse(part)

    def _parse(self, part: bytes) -> None:
        payload = self._payload
        super().data_received(part)
        if self.exception() is not None:
            # The parser has failed and takes nothing more.
            self._abort("an answer that can't be parsed")
            return
        if self._payload is payload:
            self.parsed_bytes += len(part)
        body_bytes = 0
        if self._payload is not None and self._payload is not self.earlier_payload:
            body_bytes = self._payload.total_bytes
        if self.parsed_bytes > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * body_bytes:
            self._abort("too many bytes besides the body of an answer")

    def feed_data(self, data: typing.Any, size: int = 0) -> None:
        """Queue an answer with its head, up to a limit."""
        self.answers += 1
        self.parsed_bytes = 0
        if self.answers > MAX_ANSWERS:
            self._abort("too many answers")
        else:
            super().feed_data(data, size)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on with what was received and not parsed, then read on."""
        super().resume_reading(resume_parser)
        if self.backlog and not self._reading_paused:
            self.queue.add(self)

    def _resume_transport_reading(self) -> None:
        if not self.backlog:
            super()._resume_transport_reading()

    def _abort(self, text: str) -> None:
        """Close the connection at once, and fail the answer that it would have got."""
        if self.aborted:
            return
        self.aborted = True
        log.warning(
            "connection aborted",
            extra={
                "peer": None
                if self.transport is None
                else self.transport.get_extra_info("peername"),
                "error": text,
                "received_bytes": self.received_bytes,
                "answers": self.answers,
            },
        )
        self.backlog.clear()
        self.force_close()
        self._fail_payload(text)
        if not self.is_eof():
            self.set_exception(http_exceptions.BadHttpMessage(text))
        if self.transport is not None:
            typing.cast(asyncio.WriteTransport, self.transport).abort()


class GuardedConnector(aiohttp.TCPConnector):
    """Connector whose connections are guarded."""

    def __init__(
        self,
        max_answer_bytes: float,
        received: ReceivedBytes | None = None,
        **options: typing.Any,
    ) -> None:
        super().__init__(**options)
        factory = functools.partial(GuardedProtocol, self._loop, max_answer_bytes, received)
        self._factory = typing.cast(typing.Any, factory)

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[typing.Any],
        timeout: aiohttp.ClientTimeout,
    ) -> connector.Connection:
        """Return a connection for a request, a pooled one if there is any."""
        connection = await super().connect(req, traces, timeout)
        typing.cast(GuardedProtocol, connection.protocol).begin_request()
        return connection

    def _release(
        self, key: typing.Any, protocol: client_proto.ResponseHandler, *, should_close: bool = False
    ) -> None:
        typing.cast(GuardedProtocol, protocol).end_request()
        super()._release(key, protocol, should_close=should_close)


class BareRequest(aiohttp.ClientRequest):
    """A request with only the headers that it is given and the length of its body."""

    _skip_auto_headers = multidict.CIMultiDict({"Content-Type": None})

    body_written = True
    """Whether the body, if there is one, was passed to the connection as a whole."""

    def update_headers(self, headers: typing.Any) -> None:
        """Set `headers` unchanged; they include `Host`."""
        self.headers = multidict.CIMultiDict(headers)

    def update_auto_headers(self, skip_auto_headers: typing.Iterable[str] | None) -> None:
        """Add no headers."""

    async def write_bytes(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Write the body, and record that it was written."""
        self.body_written = False
        await super().write_bytes(*args, **kwargs)
        self.body_written = True


class NoResolver(aiohttp.abc.AbstractResolver):
    """Resolves no names: processes are addressed by IP address."""

    async def resolve(
        self, host: str, port: int = 0, family: int = 0
    ) -> typing.List[aiohttp.abc.ResolveResult]:  # noqa: UP006
        """Raise `OSError`."""
        raise OSError(f"{host} is not an IP address, and host names are not resolved")

    async def close(self) -> None:
        """Do nothing."""


def open_connector(keepalive_s: float) -> aiohttp.TCPConnector:
    """Return a connector for IP addresses, without a limit on the number of connections.

    It closes a connection that is idle for `keepalive_s` seconds; with a `keepalive_s` of 0 each
    connection serves one request.
    """
    no_limit = float("inf")
    if keepalive_s == 0:
        return GuardedConnector(no_limit, limit=0, force_close=True, resolver=NoResolver())
    return GuardedConnector(no_limit, limit=0, keepalive_timeout=keepalive_s, resolver=NoResolver())


def authority(host: str, port: int) -> str:
    """Return `host` and `port` as in a URL, an IPv6 address in brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def open_session(
    max_connections: int,
    keepalive_s: float,
    max_answer_bytes: int = MAX_ANSWER_BYTES,
    received: ReceivedBytes | None = None,
) -> aiohttp.ClientSession:
    """Return a session that sends each request once and unchanged.

    It stores no cookies, does not decompress bodies, adds no headers of its own and keeps at most
    `max_connections` open; a connection that is idle for `keepalive_s` seconds is closed. With a
    `keepalive_s` of 0 each connection serves one request. An answer of more than `max_answer_bytes`
    bytes breaks its connection, and so do further bytes if the limit of `received` is reached.
    """
    reuse: dict[str, typing.Any] = (
        {"force_close": True} if keepalive_s == 0 else {"keepalive_timeout": keepalive_s}
    )
    session = aiohttp.ClientSession(
        connector=GuardedConnector(
            max_answer_bytes, received, limit=max_connections, use_dns_cache=False, **reuse
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None),
        raise_for_status=False,
        trust_env=False,
    )
    _disable_resending(session)
    return session


def _disable_resending(session: aiohttp.ClientSession) -> None:
    # aiohttp resends requests with idempotent methods if a reused connection drops. A PUT or DELETE
    # that may run at most once could then run twice.
    session._retry_connection = False
