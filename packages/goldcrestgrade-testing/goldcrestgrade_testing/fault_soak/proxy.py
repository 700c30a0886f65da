"""TCP proxy on loopback: delays, holds back or slows down data, and resets connections."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

HOST = "127.0.0.1"

MAX_CHUNK_BYTES = 65536
"""Largest number of bytes that are forwarded at once."""


RATE_LIMITED_CHUNK_BYTES = 8192
"""Largest number of bytes forwarded at once on a link with a rate, so that connections share it."""


class Mode(enum.StrEnum):
    """What the proxy does with the bytes that it receives."""

    PASS = "pass"
    DELAY = "delay"
    """Each chunk is forwarded after a delay, in both directions."""
    HOLD_REQUESTS = "hold_requests"
    """Nothing is forwarded to the server until the mode changes."""
    HOLD_ANSWERS = "hold_answers"
    """Nothing is forwarded to the client until the mode changes."""
    HOLD_ALL = "hold_all"


HELD_DIRECTIONS = {
    Mode.HOLD_REQUESTS: frozenset({"requests"}),
    Mode.HOLD_ANSWERS: frozenset({"answers"}),
    Mode.HOLD_ALL: frozenset({"requests", "answers"}),
}
"""Directions in which a mode forwards nothing."""


class Proxy:
    """Forwards connections from its own port to `target_port`; owned by one event loop."""

    def __init__(self, target_port: int, answer_rate: float | None = None) -> None:
        self.target_port = target_port
        self.answer_rate = answer_rate
        """Bytes a second that all connections together carry to clients; none if unlimited."""
        self.carried_bytes = 0
        """Bytes that the link has carried to clients since it has a rate."""
        self.answers_free_at = 0.0
        """Instant at which the link has carried the bytes that were accepted for clients."""
        self.port = 0
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, or after `stop` on the same one again."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Apply `mode` to all connections from now on; `delay_s` is used by `Mode.DELAY`."""
        self.mode, self.delay_s = mode, delay_s
        self.changed.set()
        self.changed = asyncio.Event()

    def reset_all(self) -> None:
        """Reset all connections on both sides."""
        for writer in list(self.writers):
            reset(writer)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            # The server refused the connection, so the client's connection ends at once.
            writer.transport.abort()
            return
        self.writers |= {writer, server_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump("requests", reader, server_writer))
                group.create_task(self._pump("answers", server_reader, writer))
        except* OSError:
            # One side was reset: the other must see a reset too, not an orderly close.
            reset(writer)
            reset(server_writer)
        finally:
            self.writers -= {writer, server_writer}
            writer.transport.abort()
            server_writer.transport.abort()

    async def _pump(
        self, direction: str, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        limited = direction == "answers" and self.answer_rate is not None
        chunk_bytes = RATE_LIMITED_CHUNK_BYTES if limited else MAX_CHUNK_BYTES
        while data := await source.read(chunk_bytes):
            if limited:
                await self._carry(len(data))
            if self.mode == Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            while direction in HELD_DIRECTIONS.get(self.mode, frozenset()):
                await self.changed.wait()
            sink.write(data)
            await sink.drain()
        if sink.can_write_eof():
            sink.write_eof()

    async def _carry(self, size: int) -> None:
        """Wait until the link has carried `size` bytes behind those of the other connections."""
        assert self.answer_rate is not None
        now = asyncio.get_running_loop().time()
        self.carried_bytes += size
        self.answers_free_at = max(now, self.answers_free_at) + size / self.answer_rate
        await asyncio.sleep(self.answers_free_at - now)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset, by a linger time of 0."""
    connection: socket.socket | None = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
