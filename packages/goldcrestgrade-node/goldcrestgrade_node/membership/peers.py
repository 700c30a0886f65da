"""Requests to peers over HTTP with JSON."""

from __future__ import annotations

import typing
import zlib

import aiohttp

from goldcrestgrade import headers

REQUEST_TIMEOUT_S = 1.5
"""Timeout of a request to a peer, from connecting to the end of the reply."""

CONNECT_TIMEOUT_S = 0.5
"""Timeout of connecting to a peer."""

MAX_REPLY_BYTES = 4 << 20
"""Limit on the size of a reply, and of a sheet after decompression."""


class PeerError(Exception):
    """A peer did not reply to a request, or its reply is invalid."""


class SheetCopy(typing.NamedTuple):
    """A sheet that a peer sent, decompressed."""

    version: int
    body: bytes


class Peers(typing.Protocol):
    """Transport of requests from a node to its peers."""

    async def post(self, url: str, path: str, body: bytes) -> bytes:
        """Return the reply to `body`; raises `PeerError`."""
        ...

    async def fetch_sheet(self, url: str) -> SheetCopy:
        """Return the sheet that a peer has in force; raises `PeerError`."""
        ...


class HttpPeers:
    """Transport over HTTP through `session`."""

    def __init__(self, session: aiohttp.ClientSession, shared_key: str) -> None:
        self.session = session
        self.headers = {headers.CONTROL_KEY: shared_key, "accept-encoding": "deflate"}
        self.timeout = aiohttp.ClientTimeout(
            total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )

    async def post(self, url: str, path: str, body: bytes) -> bytes:
        """Return the reply to `body`; raises `PeerError`."""
        reply, _ = await self._exchange("POST", url + path, body)
        return reply

    async def fetch_sheet(self, url: str) -> SheetCopy:
        """Return the sheet that a peer has in force; raises `PeerError`."""
        compressed, version = await self._exchange("GET", f"{url}/v1/sheet", None)
        if version is None or not version.isdecimal():
            raise PeerError(f"sheet from {url} has no valid version: {version!r}")
        return SheetCopy(int(version), decompress_sheet(compressed))

    async def _exchange(
        self, method: str, url: str, body: bytes | None
    ) -> tuple[bytes, str | None]:
        try:
            async with self.session.request(
                method,
                url,
                data=body,
                headers=self.headers,
                timeout=self.timeout,
                allow_redirects=False,
            ) as response:
                reply = await response.content.read(MAX_REPLY_BYTES)
                while not response.content.at_eof() and len(reply) < MAX_REPLY_BYTES:
                    reply += await response.content.read(MAX_REPLY_BYTES - len(reply))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PeerError(repr(error)) from error
        if response.status != 200 or len(reply) >= MAX_REPLY_BYTES:
            raise PeerError(
                f"{url} answered with status {response.status} and {len(reply)} bytes "
                f"(limit {MAX_REPLY_BYTES})"
            )
        return reply, response.headers.get(headers.SHEET_VERSION)


def decompress_sheet(compressed: bytes) -> bytes:
    """Return the bytes of a sheet that was compressed with zlib; raises `PeerError`."""
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(compressed, MAX_REPLY_BYTES)
    except zlib.error as error:
        raise PeerError(f"sheet of {len(compressed)} bytes cannot be decompressed") from error
    if not inflater.eof:
        raise PeerError(f"sheet is truncated, or larger than {MAX_REPLY_BYTES} bytes")
    return body
