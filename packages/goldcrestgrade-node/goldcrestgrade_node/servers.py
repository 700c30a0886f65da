"""HTTP servers of a node, on the stock event loop and without signal handlers of their own."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import uvicorn

from goldcrestgrade import settings

KEEPALIVE_S = 30
"""Time after which an idle connection is closed."""

BACKLOG = 512
"""Connections that wait to be accepted."""


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
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEPALIVE_S,
            backlog=BACKLOG,
        )
    )
