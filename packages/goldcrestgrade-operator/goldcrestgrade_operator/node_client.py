"""Client of the control addresses of nodes."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import aiohttp
import pydantic

from goldcrestgrade import control_messages, exceptions, headers, http_client
from goldcrestgrade_operator import options, platforms

REQUEST_TIMEOUT_S = 5.0
"""Longest wait for the answer of a node."""

T = typing.TypeVar("T")

_ADOPTION_ADAPTER: pydantic.TypeAdapter[control_messages.AdoptionDocument] = pydantic.TypeAdapter(
    control_messages.AdoptionDocument
)
_DRAIN_ADAPTER: pydantic.TypeAdapter[control_messages.DrainDocument] = pydantic.TypeAdapter(
    control_messages.DrainDocument
)
_STATUS_ADAPTER: pydantic.TypeAdapter[control_messages.StatusDocument] = pydantic.TypeAdapter(
    control_messages.StatusDocument
)


class NodeClient:
    """Sends requests to nodes and authenticates them with the shared key."""

    def __init__(self, session: aiohttp.ClientSession, shared_key: str) -> None:
        self.session = session
        self.shared_key = shared_key

    async def status(self, url: str) -> control_messages.StatusDocument:
        """Return the status document of the node at `url`; raises `UserError`."""
        return await self._get_document(f"{url}/v1/status", _STATUS_ADAPTER)

    async def sheet_version(self, url: str) -> int:
        """Return the sheet version that the node at `url` has in force; raises `UserError`."""
        return (await self._get_document(f"{url}/v1/adoption", _ADOPTION_ADAPTER))["sheet_version"]

    async def push_sheet(self, url: str, version: int, body: bytes) -> None:
        """Send the accepted sheet in `body` to the node at `url`; raises `UserError`."""
        extra_headers = {headers.SHEET_VERSION: str(version)}
        await self._request("PUT", f"{url}/v1/sheet", extra_headers, body)

    async def drain(self, url: str) -> None:
        """Make the node at `url` drain its endpoint; raises `UserError`."""
        await self._request("POST", f"{url}/v1/drain")

    async def drain_progress(self, url: str) -> control_messages.DrainDocument:
        """Return the progress of the drain at the node at `url`; raises `UserError`."""
        return await self._get_document(f"{url}/v1/drain", _DRAIN_ADAPTER)

    async def _get_document(self, url: str, adapter: pydantic.TypeAdapter[T]) -> T:
        body = await self._request("GET", url)
        try:
            return adapter.validate_json(body)
        except pydantic.ValidationError as error:
            raise exceptions.UserError(
                f"{url}: the answer is not a valid document of a node"
            ) from error

    async def _request(
        self,
        method: str,
        url: str,
        extra_headers: typing.Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> bytes:
        try:
            async with self.session.request(
                method,
                url,
                headers={**(extra_headers or {}), headers.CONTROL_KEY: self.shared_key},
                data=body,
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                response_body = await response.read()
                status = response.status
        except TimeoutError as error:
            raise exceptions.UserError(
                f"{url}: no answer within {REQUEST_TIMEOUT_S:g} s"
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise exceptions.UserError(f"{url}: the node is unreachable: {error}") from error
        if status == 401:
            raise exceptions.UserError(f"{url}: the node rejected the shared key")
        if status >= 300:
            raise exceptions.UserError(f"{url}: the node answered with status {status}")
        return response_body


@contextlib.asynccontextmanager
async def connect(opts: options.Options) -> collections.abc.AsyncIterator[NodeClient]:
    """Yield a client that uses the shared key of `opts`; raises `UserError` without a key."""
    key = options.shared_key(opts)
    async with http_client.open_session(
        platforms.MAX_CONNECTIONS, platforms.KEEPALIVE_TIMEOUT_S
    ) as session:
        yield NodeClient(session, key)
