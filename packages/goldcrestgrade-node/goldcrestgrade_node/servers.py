"""HTTP servers of a node, on the stock event loop and without signal handlers of their own."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import typing

import uvicorn
from uvicorn.protocols.http import httptools_impl

if typing.TYPE_CHECKING:
    from goldcrestgrade import settings

KEEPALIVE_S = 30
"""Time after which an idle connection is closed."""

BACKLOG = 512
"""Connections that wait to be accepted."""


MAX_HEAD_BYTES = 64 * 1024
"""Largest size of a request's first line and headers."""


INTERIM_ANSWER_PREFIX = b"HTTP/1.1 100 "
"""Start of an interim answer, which must not wait."""


class AnswerWriter:
    """Writes the head of an answer together with the first part of its body, in one segment."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.head = b""
        self.head_written = False

    def write(self, data: bytes) -> None:
        """Keep the head, write all else."""
        if self.head_written or data.startswith(INTERIM_ANSWER_PREFIX):
            self.transport.write(data)
        elif self.head:
            self.head_written = True
            self.transport.write(self.head + data)
        else:
            self.head = data

    def close(self) -> None:
        """Close the connection, after a head that is still kept."""
        if self.head and not self.head_written:
            self.transport.write(self.head)
        self.transport.close()

    def is_closing(self) -> bool:
        """Tell whether the connection closes."""
        return self.transport.is_closing()


class NodeProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP connection that bounds the heads of requests and joins the writes of answers."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.head_bytes = 0
        """Bytes received since the last complete head."""

    def data_received(self, data: bytes) -> None:
        """Parse `data`, which may hold parts of several requests."""
        self.head_bytes += len(data)
        super().data_received(data)
        if self.head_bytes > MAX_HEAD_BYTES and not self.transport.is_closing():
            self.send_400_response("Request head too large.")

    def on_headers_complete(self) -> None:
        """Take in a whole head."""
        self.head_bytes = 0
        super().on_headers_complete()
        if self.cycle is not None and self.scope["method"] != "HEAD":
            self.cycle.transport = typing.cast(asyncio.Transport, AnswerWriter(self.transport))

    def on_body(self, body: bytes) -> None:
        """Take in a part of a body."""
        self.head_bytes = 0
        super().on_body(body)


class Server(uvicorn.Server):
    """A server whose process handles signals itself."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        """Leave the signal handlers as they are."""
        yield


def create(
    app: typing.Any,
    address: settings.Address,
    protocol: type[asyncio.Protocol] = NodeProtocol,
    keepalive_s: int = KEEPALIVE_S,
) -> Server:
    """Return a server of `app` at `address` that closes connections idle for `keepalive_s`."""
    return Server(
        uvicorn.Config(
            app,
            host=address["host"],
            port=address["port"],
            loop="asyncio",
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=keepalive_s,
            backlog=BACKLOG,
        )
    )
