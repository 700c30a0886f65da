"""Cancellation of work whose caller has gone away."""

from __future__ import annotations

import asyncio

from goldcrestgrade_node import asgi

WATCH_AFTER_S = 0.05
"""Age at which a call is worth a task that watches its caller."""


class Watch:
    """Cancels a task when the caller that it works for disconnects."""

    def __init__(self, receive: asgi.Receive, worker: asyncio.Task[None]) -> None:
        self.receive = receive
        self.worker = worker
        self.disconnected = False
        self.watcher: asyncio.Task[None] | None = None
        self.timer = asyncio.get_running_loop().call_later(WATCH_AFTER_S, self.start)

    def start(self) -> None:
        """Begin to watch."""
        self.watcher = asyncio.create_task(self.watch())

    async def watch(self) -> None:
        """Cancel the worker once the caller has disconnected."""
        await asgi.wait_disconnected(self.receive)
        self.disconnected = True
        self.worker.cancel()

    def stop(self) -> None:
        """Leave the worker alone from now on."""
        self.timer.cancel()
        if self.watcher is not None:
            self.watcher.cancel()
