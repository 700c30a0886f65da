"""Sending of one request on one connection, and reading of its answer."""

from __future__ import annotations

import asyncio
import typing

import aiohttp
import aiohttp.payload
import yarl

from goldcrestgrade import answer_memory, headers, http_client, instants, outcomes, reasons
from goldcrestgrade_node import asgi
from goldcrestgrade_node.attempts import pools

MAX_BUFFERED_BYTES = 1 << 20
"""Largest streamable answer that is read completely before its first byte is passed on."""

MAX_UNSTREAMED_BYTES = 8 << 20
"""Largest answer that is accepted if it may not be streamed."""

MAX_HEADER_BYTES = 16 * 1024
"""Largest status line or header of an answer."""

MAX_HEADERS = 128
"""Largest number of headers of an answer."""


class InvalidAnswer(Exception):
    """What was received is not a valid answer to the request."""

    def __init__(self, reason: reasons.Uncertainty) -> None:
        super().__init__(reason)
        self.reason = reason


class PreparedRequest(typing.NamedTuple):
    """A request in the form in which it is sent to one endpoint."""

    method: str
    target: str
    fields: list[tuple[str, str]]
    body: bytes
    attempt_id: str
    streamed: bool
    """Whether a large answer may be passed on before it has been read completely."""
    echo_required: bool = False
    """Whether an answer must repeat the attempt's id, as answers of nodes do."""
    echo_header: str = headers.ATTEMPT_ID
    """Header in which an answer repeats the attempt's id."""
    host: str | None = None
    """Host header, if it differs from the address to which the request is sent."""
    unframed_allowed: bool = False
    """Whether the close of the connection may mark the end of an answer."""


class Exchange:
    """A request and its answer on one connection; owned by the task that sends it."""

    def __init__(
        self,
        pool: pools.Pool,
        prepared: PreparedRequest,
        deadline: instants.Instant,
        may_send: typing.Callable[[], bool],
        payload: aiohttp.payload.Payload | None = None,
        memory: answer_memory.Reservation | None = None,
    ) -> None:
        self.memory = memory
        """Memory for the answer; without it, only the size of each answer is limited."""
        self.pool = pool
        self.prepared = prepared
        self.deadline = deadline
        self.may_send = may_send
        self.request = http_client.BareRequest(
            prepared.method,
            yarl.URL(pool.origin + prepared.target, encoded=True),
            headers=[("Host", prepared.host or pool.authority), *prepared.fields],
            data=payload or prepared.body or None,
            loop=asyncio.get_running_loop(),
        )
        self.opened: pools.OpenConnection | None = None
        self.response: aiohttp.ClientResponse | None = None
        self.has_slot = False
        self.sent = False
        """Whether a byte of the request may have been sent."""
        self.head_received = False
        """Whether the head of an answer was received."""

    @property
    def reused(self) -> bool:
        """Whether the connection had served a request before."""
        return self.opened is not None and self.opened.reused

    async def connect(self, unpooled: aiohttp.BaseConnector | None) -> None:
        """Acquire a slot and a connection.

        The connection is a new one from `unpooled` if given, otherwise one from the pool.
        """
        await self.pool.slots.take()
        self.has_slot = True
        self.opened = await (
            self.pool.open(self.request)
            if unpooled is None
            else pools.open_unpooled(unpooled, self.request)
        )

    async def send(self) -> aiohttp.ClientResponse:
        """Send the request and return the response once its head was received.

        Raises `TimeoutError` if the deadline has passed. It is checked right before the write,
        since the process may have been suspended while the connection was opened.
        """
        assert self.opened is not None
        self.opened.protocol.set_response_params(
            skip_payload=self.prepared.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
        )
        if not self.may_send():
            raise TimeoutError
        self.sent = True
        self.response = await self.request.send(self.opened.connection)
        await self.response.start(self.opened.connection)
        self.head_received = True
        return self.response

    async def answer(self, response: aiohttp.ClientResponse) -> outcomes.Answer:
        """Return the answer, complete or with a rest still to be read; raises `InvalidAnswer`."""
        fields = headers.from_bytes(response.raw_headers)
        by_name = dict(fields)
        self._check(response, by_name)
        passed_headers = headers.end_to_end(fields)
        length = _length(by_name)
        if self.prepared.method == "HEAD":
            declared = () if length is None else (("content-length", str(length)),)
            return outcomes.Answer(response.status, passed_headers + declared, b"")
        streamed = self._is_streamed(response)
        if not streamed and length is not None and length > MAX_UNSTREAMED_BYTES:
            raise InvalidAnswer(reasons.Uncertainty.ANSWER_TOO_LARGE)
        if self.memory is not None and length is not None and not streamed:
            await self.memory.grow_to(length)
        if length is not None and length <= MAX_BUFFERED_BYTES:
            return outcomes.Answer(response.status, passed_headers, await response.read())
        return await self._large_answer(response, passed_headers, length)

    def close(self, complete: bool = False) -> None:
        """Free the slot, and close the connection unless its answer is `complete`."""
        if not complete:
            self._close_connection()
        if self.has_slot:
            self.has_slot = False
            self.pool.slots.free()

    def _close_connection(self) -> None:
        if self.response is not None:
            self.response.close()
        if self.opened is not None:
            self.opened.connection.close()
            # After a complete answer, the connection is already back in the pool. It can't be
            # trusted, so its reuse is prevented.
            self.opened.protocol.close()

    def _check(self, response: aiohttp.ClientResponse, fields: dict[str, str]) -> None:
        echoed = fields.get(self.prepared.echo_header, "")
        if self.prepared.echo_required and not echoed:
            raise InvalidAnswer(reasons.Uncertainty.ANSWER_INVALID)
        if echoed and echoed != self.prepared.attempt_id:
            raise InvalidAnswer(reasons.Uncertainty.ANSWER_CROSSED)
        if response.status not in outcomes.FINAL_STATUSES:
            raise InvalidAnswer(reasons.Uncertainty.ANSWER_INVALID)
        bodyless = self.prepared.method == "HEAD" or response.status in asgi.BODYLESS_STATUSES
        framed = "content-length" in fields or "transfer-encoding" in fields
        if not (bodyless or framed or self.prepared.unframed_allowed):
            # The end of such an answer looks the same as a lost connection.
            raise InvalidAnswer(reasons.Uncertainty.ANSWER_INVALID)

    async def _large_answer(
        self, response: aiohttp.ClientResponse, passed_headers: headers.Fields, length: int | None
    ) -> outcomes.Answer:
        streamed = self._is_streamed(response)
        limit = MAX_BUFFERED_BYTES if streamed else MAX_UNSTREAMED_BYTES
        parts: list[bytes] = []
        size = 0
        while size <= limit:
            part = await response.content.readany()
            if not part:
                return outcomes.Answer(response.status, passed_headers, b"".join(parts))
            size += len(part)
            parts.append(part)
            if self.memory is not None and size <= limit:
                await self.memory.grow_to(size)
        if not streamed:
            raise InvalidAnswer(reasons.Uncertainty.ANSWER_TOO_LARGE)
        return outcomes.Answer(
            response.status, passed_headers, b"".join(parts), Rest(self, response, length)
        )

    def _is_streamed(self, response: aiohttp.ClientResponse) -> bool:
        return self.prepared.streamed and response.status < 500


class Rest:
    """The part of a large answer still to be read; it holds its connection until it is closed."""

    def __init__(
        self, exchange: Exchange, response: aiohttp.ClientResponse, length: int | None
    ) -> None:
        self.exchange = exchange
        self.response = response
        self.length = length
        loop = asyncio.get_running_loop()
        self.timer = loop.call_at(exchange.deadline, exchange.close)

    async def read(self) -> bytes:
        """Return the next part, empty at the end; raises `AnswerCut` if the connection fails."""
        try:
            async with asyncio.timeout_at(self.exchange.deadline):
                return await self.response.content.readany()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise outcomes.AnswerCut(str(error)) from error

    def close(self) -> None:
        """Discard what was not read, and free the connection."""
        self.timer.cancel()
        self.exchange.close(complete=self.response.content.at_eof())


def _length(fields: dict[str, str]) -> int | None:
    text = fields.get("content-length")
    if text is None or "transfer-encoding" in fields:
        return None
    return int(text)
