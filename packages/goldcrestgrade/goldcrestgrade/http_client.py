"""The HTTP client sessions of goldcrestgrade, with the library's own retries and rewrites off."""

from __future__ import annotations

import aiohttp


def open_session(connections: int, keepalive_s: float) -> aiohttp.ClientSession:
    """Return a session that sends each request once, as it is.

    It keeps no cookies, decodes no bodies, adds no headers of its own and holds at most
    `connections` open at once; one unused for `keepalive_s` seconds is closed.
    """
    connector = aiohttp.TCPConnector(
        limit=connections, keepalive_timeout=keepalive_s, use_dns_cache=False
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
    # aiohttp resends idempotent methods on a reused connection that drops; a PUT or DELETE that
    # must run once would then run twice.
    session._retry_connection = False
