"""Connection pools of endpoints, each with a limit on its requests in flight."""

from __future__ import annotations

import asyncio
import collections
import typing
import weakref

import aiohttp
from aiohttp import client_proto, connector

from goldcrestgrade import http_client, instants
from goldcrestgrade_node.attempts import silence

CONNECT_TIMEOUT_S = 0.25
"""Longest wait for a new connection to an endpoint."""

CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
"""Limits only the opening of a connection; the exchange itself has a deadline."""

KEEPALIVE_S = 4.0
"""Time after which an idle connection is closed; servers drop idle connections after 5 s."""


class OpenConnection(typing.NamedTuple):
    """A connection that is ready for one request."""

    connection: connector.Connection
    protocol: client_proto.ResponseHandler
    reused: bool
    """Whether the connection has served a request before."""


class Slots:
    """An adjustable limit on the requests in flight; waiters get free slots in order of arrival."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.taken = 0
        self.waiters: collections.deque[asyncio.Future[None]] = collections.deque()

    async def take(self) -> None:
        """Take a slot, waiting until one is free."""
        if self.taken < self.limit and not self.waiters:
            self.taken += 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.free()
            raise

    def free(self) -> None:
        """Release a slot."""
        self.taken -= 1
        self.wake_waiters()

    def resize(self, limit: int) -> None:
        """Set the limit; slots above a lowered limit are released as their requests end."""
        self.limit = limit
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Give free slots to waiters, in order of arrival."""
        while self.waiters and self.taken < self.limit:
            waiter = self.waiters.popleft()
            if not waiter.done():
                self.taken += 1
                waiter.set_result(None)


class Pool:
    """The connections to one endpoint; owned by the node's event loop."""

    def __init__(self, host: str, port: int, limit: int) -> None:
        self.authority = http_client.authority(host, port)
        self.origin = f"http://{self.authority}"
        self.slots = Slots(limit)
        self.connector = http_client.open_connector(KEEPALIVE_S)
        self.used_protocols: weakref.WeakSet[client_proto.ResponseHandler] = weakref.WeakSet()
        self.last_used: instants.Instant = 0.0
        self.slowest_answer_s = 0.0
        """Longest recent time until an answer began; see `silence.updated_slowest_s`."""

    async def open(self, request: aiohttp.ClientRequest) -> OpenConnection:
        """Return a connection for `request`, a pooled one if a usable one is idle."""
        while True:
            connection = await self.connector.connect(request, [], CONNECT_TIMEOUT)
            protocol = connection.protocol
            if protocol is None or protocol.should_close:
                # Bytes that arrived after an answer belong to no request of this node.
                connection.close()
                continue
            reused = protocol in self.used_protocols
            self.used_protocols.add(protocol)
            return OpenConnection(connection, protocol, reused)

    def record_latency(self, latency_s: float) -> None:
        """Record the time until an answer began."""
        self.slowest_answer_s = silence.updated_slowest_s(self.slowest_answer_s, latency_s)

    def close_idle(self, before: instants.Instant) -> int:
        """Close the idle connections last used before `before`; return their number."""
        # aiohttp has no method that closes only idle connections; its pool skips closed ones.
        stale = [
            protocol
            for idle in self.connector._conns.values()
            for protocol, released_at in idle
            if released_at < before and protocol.is_connected()
        ]
        for protocol in stale:
            protocol.close()
        return len(stale)

    async def close(self) -> None:
        """Close all connections."""
        await self.connector.close()


async def open_unpooled(
    connections: aiohttp.BaseConnector, request: aiohttp.ClientRequest
) -> OpenConnection:
    """Return a new connection from `connections`, a connector that reuses none."""
    connection = await connections.connect(request, [], CONNECT_TIMEOUT)
    assert connection.protocol is not None
    return OpenConnection(connection, connection.protocol, reused=False)
