"""Client of the object store over HTTP."""

from __future__ import annotations

import aiohttp

from goldcrestgrade.storage import tables

REQUEST_TIMEOUT_S = 5.0
"""Timeout of a request to the object store."""


class HttpObjects:
    """An object store at `base_url`, reached through `session`."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self.session = session
        self.base_url = base_url
        self.timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)

    async def put(self, name: str, body: bytes) -> None:
        """Write an object; raises `ObjectError`."""
        status, _ = await self._exchange("PUT", name, body)
        if status != 204:
            raise tables.ObjectError(f"write of object {name} answered with status {status}")

    async def get(self, name: str) -> bytes | None:
        """Return an object, or `None` if it does not exist; raises `ObjectError`."""
        status, body = await self._exchange("GET", name, None)
        if status not in (200, 404):
            raise tables.ObjectError(f"read of object {name} answered with status {status}")
        return body if status == 200 else None

    async def _exchange(self, method: str, name: str, body: bytes | None) -> tuple[int, bytes]:
        url = f"{self.base_url}/v1/objects/{name}"
        try:
            async with self.session.request(
                method, url, data=body, timeout=self.timeout, allow_redirects=False
            ) as response:
                return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            raise tables.ObjectError(repr(error)) from error
