"""HTTP servers of a node, on the stock event loop and without signal handlers of their own."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import uvicorn
from uvicorn.protocols.http import httptools_impl

from goldcrestgrade import settings

KEEPALIVE_S = 30
"""Time after which an idle connection is closed."""

BACKLOG = 512
"""Connections that wait to be accepted."""


MAX_HEAD_BYTES = 64 * 1024
"""Largest size of a request's first line and headers."""


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP connection that is closed when the head of a request is too large."""

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


def create(app: typing.Any, address: settings.Address) -> Server:
    """Return a server of `app` at `address`."""
    return Server(
        uvicorn.Config(
            app,
            host=address["host"],
            port=address["port"],
            loop="asyncio",
            http=BoundedProtocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEPALIVE_S,
            backlog=BACKLOG,
        )
    )
