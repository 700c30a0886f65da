"""Clients that exceed every limit, as a process of its own.

All clients send at once what their kind names, up to an amount or until nothing more is taken. The
process then writes a line to standard output, and keeps the connections open until its standard
input is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import sys
import typing

HOST = "127.0.0.1"

BLOCK_BYTES = 64 * 1024
"""Bytes that are written at once."""

MAX_SENT_BYTES = 1 << 20
"""Bytes after which a client stops sending."""

BLOCKED_S = 1.0
"""Time after which a client stops sending if nothing more is taken."""

CONNECT_TIMEOUT_S = 5.0
"""Timeout of a connection attempt."""

TRICKLE_INTERVAL_S = 0.1
"""Time between two bytes that a client sends or reads slowly."""

RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of clients that read slowly or not at all."""


class Kind(typing.NamedTuple):
    """What a client sends and reads."""

    first: bytes
    """What it sends once, after its connection was opened."""
    repeated: bytes = b""
    """What it sends again and again."""
    sent_bytes: int = MAX_SENT_BYTES
    """Bytes after which it stops sending."""
    trickled: bytes = b""
    """What it sends byte by byte after that, again and again, on a new connection if required."""
    reads: bool = False
    """Whether it reads a byte at a time after that."""


def _repeated(part: bytes, size: int = BLOCK_BYTES) -> bytes:
    return part * max(1, size // len(part))


def _get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: letters.example\r\nx-attempt-id: a\r\n\r\n".encode()


LINE = b"GET /archive/x HTTP/1.1\r\n"
CHUNKED = (
    b"POST /archive/x HTTP/1.1\r\nhost: letters.example\r\nx-attempt-id: a\r\n"
    b"transfer-encoding: chunked\r\n\r\n1\r\nx\r\n"
)
HELD_BYTES = 60_000
"""Size of parts that stay below a limit of 64 KB, so that their sum counts."""

KINDS: typing.Mapping[str, Kind] = {
    "target without end": Kind(b"GET /", b"x" * BLOCK_BYTES),
    "header without end": Kind(LINE + b"x: ", b"x" * BLOCK_BYTES),
    "headers without end": Kind(LINE, _repeated(b"x-name: " + b"y" * 88 + b"\r\n")),
    "short headers without end": Kind(LINE, _repeated(b"a:\r\n")),
    "held headers": Kind(LINE, _repeated(b"x-name: " + b"y" * 88 + b"\r\n", 1024), HELD_BYTES),
    "held short headers": Kind(LINE, _repeated(b"a:\r\n", 1024), HELD_BYTES),
    "head over the limit": Kind(
        LINE + b"host: letters.example\r\n" + _repeated(b"a:\r\n", 200_000) + b"\r\n"
    ),
    "empty lines": Kind(b"", _repeated(b"\r\n")),
    "trailers without end": Kind(CHUNKED + b"0\r\n", _repeated(b"a:\r\n")),
    "held trailers": Kind(CHUNKED + b"0\r\n", _repeated(b"a:\r\n", 1024), HELD_BYTES),
    "tiny chunks": Kind(CHUNKED, _repeated(b"1\r\nx\r\n")),
    "requests ahead": Kind(b"", _repeated(_get("/archive/x"))),
    "refusals ahead": Kind(b"", _repeated(_get("/nowhere"))),
    "answer read slowly": Kind(_get("/archive/x"), reads=True),
    "answers ahead read slowly": Kind(b"", _repeated(_get("/archive/x")), reads=True),
    "idle connections": Kind(b"", trickled=b""),
    "trickled head": Kind(LINE, trickled=b"x-name: value\r\n"),
    "trickled empty lines": Kind(b"", trickled=b"\r\n"),
    "trickled body": Kind(
        b"POST /archive/x HTTP/1.1\r\nhost: letters.example\r\nx-attempt-id: a\r\n"
        b"content-length: 60000\r\n\r\n",
        trickled=b"x",
    ),
    "metrics ahead": Kind(b"", _repeated(b"GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n")),
    "records ahead": Kind(b"", _repeated(b"GET /recent HTTP/1.1\r\nhost: h\r\n\r\n")),
}
"""Kinds of clients by name."""


async def _connect(port: int) -> socket.socket:
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    except (OSError, TimeoutError):
        sock.close()
        raise
    return sock


async def _send(sock: socket.socket, kind: Kind) -> None:
    """Send up to the amount of `kind`, or until the connection is closed or nothing is taken."""
    loop = asyncio.get_running_loop()
    sent = 0
    for block in itertools.chain([kind.first], itertools.repeat(kind.repeated)):
        with contextlib.suppress(BlockingIOError):
            if sock.recv(1, socket.MSG_PEEK) == b"":
                return
        async with asyncio.timeout(BLOCKED_S):
            await loop.sock_sendall(sock, block)
        sent += len(block)
        if not kind.repeated or sent + len(kind.repeated) > kind.sent_bytes:
            return


async def _trickle(sock: socket.socket, kind: Kind) -> None:
    """Send or read one byte after the other until the connection is closed."""
    loop = asyncio.get_running_loop()
    for byte in itertools.cycle(kind.trickled or b" "):
        if kind.trickled:
            await loop.sock_sendall(sock, bytes([byte]))
        if kind.reads and not await loop.sock_recv(sock, 1):
            return
        with contextlib.suppress(BlockingIOError):
            if sock.recv(1, socket.MSG_PEEK) == b"":
                return
        await asyncio.sleep(TRICKLE_INTERVAL_S)


async def _run_client(port: int, kind: Kind, sent: asyncio.Event) -> None:
    """Send what `kind` names, then keep the connection; open another one for a trickle."""
    while True:
        with contextlib.suppress(OSError, TimeoutError), await _connect(port) as sock:
            with contextlib.suppress(TimeoutError):
                await _send(sock, kind)
            sent.set()
            if not kind.trickled and not kind.reads:
                await asyncio.Event().wait()
            await _trickle(sock, kind)
        sent.set()
        if not kind.trickled:
            await asyncio.Event().wait()
        await asyncio.sleep(TRICKLE_INTERVAL_S)


async def _run(port: int, kind: Kind, number: int) -> None:
    events = [asyncio.Event() for _ in range(number)]
    clients = [asyncio.create_task(_run_client(port, kind, event)) for event in events]
    await asyncio.gather(*(event.wait() for event in events))
    print("sent", flush=True)
    await asyncio.to_thread(sys.stdin.read)
    for client in clients:
        client.cancel()


if __name__ == "__main__":
    asyncio.run(_run(int(sys.argv[1]), KINDS[sys.argv[2]], int(sys.argv[3])))
