"""Pooled connections to one address; the most recently used one is reused first."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import typing

import aiohttp
from aiohttp import connector

from goldcrestgrade import headers, http_client, instants
from goldcrestgrade_node import closing
from goldcrestgrade_node.attempts import exchanges, pools

CONNECT_TIMEOUT_S = 0.4
"""Longest wait for a new connection, several round trips between regions."""

TCP_USER_TIMEOUT_MS = 1200
"""Time after which unacknowledged bytes break a connection.

Below the 3 s within which nodes are required to recover from a lost connection, so that a dead one
is noticed in time.
"""

TCP_KEEPALIVE_IDLE_S = 1
"""Idle time before the first keepalive probe, and time between probes."""

TCP_KEEPALIVE_PROBES = 2
"""Unanswered keepalive probes after which the connection breaks."""

DEFAULT_KEEPALIVE_S = 8.0
"""Time for which an idle connection may be reused if the server states no limit of its own."""

MAX_RECEIVED_BYTES = exchanges.MAX_UNSTREAMED_BYTES + (4 << 20)
"""Most bytes of an answer with its framing; a parser takes some of that without passing it on."""

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Bytes that the kernel holds of one connection before they are read; it doubles the figure.

Many requests are under way at once, and such bytes count towards the memory of the process.
"""

READ_BYTES = 64 * 1024
"""Number of bytes read at once from a connection that was reset."""

TCP_NOTSENT_LOWAT = 25
"""Socket option of Linux that limits the bytes that the kernel takes ahead of sending them."""

KEEPALIVE_MARGIN_S = 1.0
"""Time before the server's own limit at which an idle connection is no longer used."""


class ConnectTimeout(TimeoutError):
    """Nothing answered a connection attempt within `CONNECT_TIMEOUT_S`."""


class Protocol(http_client.GuardedProtocol):
    """Client side of a connection that drops answers to other requests and detects resets."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, MAX_RECEIVED_BYTES, None, RECEIVE_BUFFER_BYTES)
        self.echo_header = ""
        self.attempt_id: str | None = None
        """Id that the next answer must echo, if it echoes any."""
        self.skipped = 0
        """Answers to other requests that were dropped."""
        self.discarded_bytes = 0
        """Bytes of the bodies of these answers; their connection serves no further request."""
        self.idle_since: instants.Instant = 0.0
        self.keepalive_s = DEFAULT_KEEPALIVE_S
        self.used = False
        """Whether the connection has served a request before."""

    async def read(self) -> typing.Any:
        """Return the head and the body of the next answer that belongs to the current request."""
        while True:
            message, payload = await super().read()
            echoed = message.headers.get(self.echo_header)
            if self.attempt_id is None or echoed is None:
                return message, payload
            if headers.to_latin1(echoed) == self.attempt_id:
                return message, payload
            self.skipped += 1
            self.force_close()
            await self._discard(payload)

    async def _discard(self, payload: aiohttp.StreamReader) -> None:
        """Read the body of a dropped answer in parts; raises `ClientPayloadError` beyond the limit.

        Such a body may have no end, and such answers may come again and again.
        """
        while part := await payload.readany():
            self.discarded_bytes += len(part)
            if self.discarded_bytes > exchanges.MAX_BUFFERED_BYTES:
                raise aiohttp.ClientPayloadError("answer to another request is too large")

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that a reset cut short, even one without a length."""
        if isinstance(exc, ConnectionError):
            self._read_before_reset()
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"))
        super().connection_lost(exc)

    def _read_before_reset(self) -> None:
        """Parse what the kernel has received before a write failed.

        An endpoint that answers early and closes the connection resets it. The event loop then
        reads no more, although the answer is there.
        """
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return
        received = 0
        with contextlib.suppress(OSError), socket.socket(fileno=os.dup(sock.fileno())) as copy:
            while received <= exchanges.MAX_BUFFERED_BYTES and (data := copy.recv(READ_BYTES)):
                received += len(data)
                self.data_received(data)

    def limit_unsent_bytes(self, limit_bytes: int) -> None:
        """Have the process and the kernel each hold at most `limit_bytes` that are not yet sent.

        What was written is then a measure of what the other side may have.
        """
        if self.transport is None:
            return
        self.transport.set_write_buffer_limits(limit_bytes)
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, limit_bytes)

    def unacknowledged_bytes(self) -> int:
        """Return how many written bytes the other side's kernel has not acknowledged."""
        return 0 if self.transport is None else closing.unacknowledged_bytes(self.transport)


class UnlimitedSlots:
    """Replaces `pools.Slots` if another part of the node limits the requests."""

    async def take(self) -> None:
        """Return at once, since no slots are counted."""

    def free(self) -> None:
        """Do nothing, since no slots are counted."""


class ConnectionPool:
    """Connections to one address; owned by the event loop of the node."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self.authority = http_client.authority(host, self.port)
        self.idle: list[Protocol] = []
        self.opened_count = 0
        """Connections opened so far."""
        self.loop = asyncio.get_running_loop()
        self.force_close = False
        self.connecting: set[asyncio.Timeout] = set()
        """Time-outs of the connection attempts under way."""

    def with_max_idle(self, max_idle_s: float) -> PoolView:
        """Return a view of the pool that reuses no connection idle for longer than `max_idle_s`."""
        return PoolView(self, max_idle_s)

    async def open(self, max_idle_s: float) -> pools.OpenConnection:
        """Return a connection that is ready for one request; raises `OSError`."""
        protocol = self._pop_idle(max_idle_s)
        if protocol is None:
            protocol = await self._connect()
        reused, protocol.used = protocol.used, True
        protocol.begin_request()
        connection = connector.Connection(
            typing.cast(connector.BaseConnector, self),
            typing.cast(typing.Any, None),
            protocol,
            self.loop,
        )
        return pools.OpenConnection(connection, protocol, reused)

    def close_idle(self) -> int:
        """Close all idle connections and return their number."""
        idle, self.idle = self.idle, []
        for protocol in idle:
            protocol.close()
        return len(idle)

    def abandon_connecting(self) -> int:
        """End all connection attempts under way with `TimeoutError` and return their number."""
        pending = [timeout for timeout in self.connecting if not timeout.expired()]
        for timeout in pending:
            self.connecting.discard(timeout)
            timeout.reschedule(self.loop.time())
        return len(pending)

    def _pop_idle(self, max_idle_s: float) -> Protocol | None:
        now = self.loop.time()
        while self.idle:
            protocol = self.idle.pop()
            unusable = protocol.should_close or not protocol.is_connected()
            if unusable or now - protocol.idle_since > protocol.keepalive_s:
                protocol.close()
            elif now - protocol.idle_since <= max_idle_s:
                return protocol
            else:
                # All others have been idle for even longer.
                self.idle.append(protocol)
                return None
        return None

    async def _connect(self) -> Protocol:
        timeout = asyncio.timeout(CONNECT_TIMEOUT_S)
        self.connecting.add(timeout)
        try:
            async with timeout:
                transport, protocol = await self.loop.create_connection(
                    lambda: Protocol(self.loop), self.host, self.port
                )
        except TimeoutError as error:
            if timeout.expired() and timeout in self.connecting:
                raise ConnectTimeout from error
            raise
        finally:
            self.connecting.discard(timeout)
        self.opened_count += 1
        set_tcp_timeouts(transport.get_extra_info("socket"))
        return protocol

    def _release(
        self,
        _key: typing.Any,
        protocol: Protocol,
        *,
        should_close: bool = False,
    ) -> None:
        # aiohttp calls this method of a connector to return a connection to the pool.
        if should_close or protocol.should_close or not protocol.is_connected():
            protocol.close()
            return
        now = self.loop.time()
        protocol.idle_since = now
        protocol.end_request()
        while self.idle and now - self.idle[0].idle_since > self.idle[0].keepalive_s:
            self.idle.pop(0).close()
        self.idle.append(protocol)


class PoolView(typing.NamedTuple):
    """A pool as `exchanges.Exchange` uses it, with a limit on the idle time of connections."""

    pool: ConnectionPool
    max_idle_s: float
    slots: typing.Any = UnlimitedSlots()

    @property
    def authority(self) -> str:
        """Host and port as in a URL."""
        return self.pool.authority

    @property
    def origin(self) -> str:
        """URL without a path."""
        return f"http://{self.pool.authority}"

    async def open(self, _request: aiohttp.ClientRequest) -> pools.OpenConnection:
        """Return a connection that is ready for one request; raises `OSError`."""
        return await self.pool.open(self.max_idle_s)


def set_tcp_timeouts(sock: socket.socket | None) -> None:
    """Have the kernel break a connection whose other side no longer responds."""
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
