"""HTTP client sessions in which aiohttp neither resends requests nor changes their headers."""

from __future__ import annotations

import typing

import aiohttp
import multidict


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
    if keepalive_s == 0:
        return aiohttp.TCPConnector(limit=0, force_close=True, resolver=NoResolver())
    return aiohttp.TCPConnector(limit=0, keepalive_timeout=keepalive_s, resolver=NoResolver())


def authority(host: str, port: int) -> str:
    """Return `host` and `port` as in a URL, an IPv6 address in brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def open_session(max_connections: int, keepalive_s: float) -> aiohttp.ClientSession:
    """Return a session that sends each request once and unchanged.

    It stores no cookies, does not decompress bodies, adds no headers of its own and keeps at most
    `max_connections` open; a connection that is idle for `keepalive_s` seconds is closed. With a
    `keepalive_s` of 0 each connection serves one request.
    """
    connector = (
        aiohttp.TCPConnector(limit=max_connections, force_close=True, use_dns_cache=False)
        if keepalive_s == 0
        else aiohttp.TCPConnector(
            limit=max_connections, keepalive_timeout=keepalive_s, use_dns_cache=False
        )
    )
    session = aiohttp.ClientSession(
        connector=connector,
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
