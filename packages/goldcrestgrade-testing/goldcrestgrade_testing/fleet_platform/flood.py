"""An endpoint with large answers, with or without an end, as a process of its own.

It answers health checks, or floods them as well. A thread for each connection writes as fast as the
node reads.
"""

from __future__ import annotations

import contextlib
import socket
import socketserver
import sys
import typing

BLOCK_BYTES = 64 * 1024
"""Bytes that are written at once."""

LENGTH = 8 << 20
"""Length that an answer states, the largest that nodes take."""


def _repeated(part: bytes) -> bytes:
    return part * max(1, BLOCK_BYTES // len(part))


FLOODS: typing.Mapping[str, tuple[bytes, bytes]] = {
    "length": (b"HTTP/1.1 200 OK\r\n{own}content-length: %d\r\n\r\n" % LENGTH, b"x" * BLOCK_BYTES),
    "huge length": (b"HTTP/1.1 200 OK\r\n{own}content-length: 9999999999\r\n\r\n", b"x" * 65536),
    "chunks": (
        b"HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * BLOCK_BYTES + b"\r\n",
    ),
    "to the close": (b"HTTP/1.1 200 OK\r\n{own}\r\n", b"x" * BLOCK_BYTES),
    "failure": (b"HTTP/1.1 500 Failed\r\n{own}\r\n", b"x" * BLOCK_BYTES),
    "junk": (b"", b"x" * BLOCK_BYTES),
    "early hints": (b"", _repeated(b"HTTP/1.1 103 Early Hints\r\n\r\n")),
    "continue": (b"", _repeated(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "tiny chunks": (
        b"HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n",
        _repeated(b"1\r\nx\r\n"),
    ),
    "other answers": (
        b"",
        _repeated(b"HTTP/1.1 200 OK\r\nx-attempt-id: other\r\ncontent-length: 1\r\n\r\nx"),
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        _repeated(b"x: a\r\n"),
    ),
}
"""First bytes of each kind of answer, and those that follow without end."""


SOUND_BYTES = 1 << 20
"""Size of the bodies of large answers that are whole."""

MEDIUM_BYTES = 60_000
"""Size of a body that a node writes at once."""

SOUND_CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"

SOUND: typing.Mapping[str, tuple[bytes, bytes]] = {
    "sound length": (
        b"HTTP/1.1 200 OK\r\n{own}content-length: %d\r\n\r\n" % SOUND_BYTES,
        b"x" * SOUND_BYTES,
    ),
    "sound chunks": (
        b"HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n",
        SOUND_CHUNK * (SOUND_BYTES // 1024) + b"0\r\n\r\n",
    ),
    "medium": (
        b"HTTP/1.1 200 OK\r\n{own}content-length: %d\r\n\r\n" % MEDIUM_BYTES,
        b"x" * MEDIUM_BYTES,
    ),
    "largest": (FLOODS["length"][0], b"x" * LENGTH),
}
"""Heads and bodies of large answers that are whole."""


def serve(port: int, endpoint_id: str, slots: int, kind: str, checks: str = "sound") -> None:
    """Listen at `port` until the process is ended; `checks` is `sound` or `flooded`."""
    first, repeated = FLOODS.get(kind) or SOUND[kind]

    class Handler(socketserver.BaseRequestHandler):
        def handle(self) -> None:
            received = b""
            with contextlib.suppress(OSError):
                while data := self.request.recv(BLOCK_BYTES):
                    received += data
                    while b"\r\n\r\n" in received:
                        head, _, received = received.partition(b"\r\n\r\n")
                        self.respond(head)

        def respond(self, head: bytes) -> None:
            fields = dict(
                line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
            )
            load = f"x-instance-id: {endpoint_id}\r\nx-upstream-load: 0,0,{slots},100\r\n".encode()
            if head.split()[1] == b"/healthz" and checks == "sound":
                self.request.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n" + load + b"\r\n")
                return
            attempt_id = fields.get(b"x-attempt-id", b"")
            own = b"x-attempt-id: %s\r\nx-upstream-signature: s\r\n%s" % (attempt_id, load)
            self.request.sendall(first.replace(b"{own}", own))
            self.request.sendall(repeated)
            while kind in FLOODS:
                self.request.sendall(repeated)

    class Server(socketserver.ThreadingTCPServer):
        allow_reuse_address = True
        daemon_threads = True
        request_queue_size = socket.SOMAXCONN

    with Server(("127.0.0.1", port), Handler) as server:
        server.serve_forever()


if __name__ == "__main__":
    serve(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), *sys.argv[4:])
