"""Serves an ASGI application of this process on a free port, and sends it raw bytes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import typing

from goldcrestgrade_node import servers

HOST = "127.0.0.1"


@contextlib.asynccontextmanager
async def serving(app: typing.Any) -> typing.AsyncIterator[int]:
    """Serve `app` on a free port, which the context yields, until the context ends."""
    with socket.socket() as listening:
        listening.bind((HOST, 0))
        server = servers.create(app, {"host": HOST, "port": 0})
        running = asyncio.create_task(server.serve(sockets=[listening]))
        try:
            while not server.started:
                await asyncio.sleep(0.01)
            yield listening.getsockname()[1]
        finally:
            server.should_exit = True
            server.force_exit = True
            await running


async def exchange(port: int, sent: bytes) -> bytes:
    """Send `sent` on a new connection; return what arrives until the server closes it.

    Raises `TimeoutError` after 10 s.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(sent)
        return await asyncio.wait_for(reader.read(), 10.0)
    finally:
        writer.close()
