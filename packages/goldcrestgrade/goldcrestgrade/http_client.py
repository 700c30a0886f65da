"""HTTP client sessions in which aiohttp neither resends requests nor changes their headers.

Their connections receive no more than the answers to their requests. A faulty server may send bytes
without end, also after a complete answer, when nobody reads the connection.
"""

from __future__ import annotations

import asyncio
import functools
import typing

import aiohttp
import multidict
from aiohttp import client_proto, connector

MAX_ANSWER_BYTES = 32 << 20
"""Most bytes of an answer with its framing, if its reader states no other limit."""


class GuardedProtocol(client_proto.ResponseHandler):
    """Client side of a connection that is aborted by bytes that belong to no answer."""

    def __init__(self, loop: asyncio.AbstractEventLoop, max_answer_bytes: float) -> None:
        super().__init__(loop)
        self.max_answer_bytes = max_answer_bytes
        self.idle = False
        """Whether the connection is in a pool and belongs to no request."""
        self.received_bytes = 0
        """Bytes that have come since the current request got the connection."""

    def begin_request(self) -> None:
        """Expect the answer to a new request."""
        self.idle, self.received_bytes = False, 0

    def data_received(self, data: bytes) -> None:
        """Parse bytes; abort the connection while it is idle, or beyond the limit.

        A late copy of an answer would otherwise be parsed as the answer to the next request. A part
        of its head shows nowhere else.
        """
        self.received_bytes += len(data)
        if (self.idle and data) or self.received_bytes > self.max_answer_bytes:
            self.force_close()
            if self.transport is not None:
                typing.cast(asyncio.WriteTransport, self.transport).abort()
            return
        super().data_received(data)


class GuardedConnector(aiohttp.TCPConnector):
    """Connector whose connections are guarded."""

    def __init__(self, max_answer_bytes: float, **options: typing.Any) -> None:
        super().__init__(**options)
        factory = functools.partial(GuardedProtocol, self._loop, max_answer_bytes)
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
        typing.cast(GuardedProtocol, protocol).idle = True
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
    max_connections: int, keepalive_s: float, max_answer_bytes: int = MAX_ANSWER_BYTES
) -> aiohttp.ClientSession:
    """Return a session that sends each request once and unchanged.

    It stores no cookies, does not decompress bodies, adds no headers of its own and keeps at most
    `max_connections` open; a connection that is idle for `keepalive_s` seconds is closed. With a
    `keepalive_s` of 0 each connection serves one request. An answer of more than `max_answer_bytes`
    bytes breaks its connection.
    """
    reuse: dict[str, typing.Any] = (
        {"force_close": True} if keepalive_s == 0 else {"keepalive_timeout": keepalive_s}
    )
    session = aiohttp.ClientSession(
        connector=GuardedConnector(
            max_answer_bytes, limit=max_connections, use_dns_cache=False, **reuse
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
