"""Cancellation of work whose client has disconnected."""

from __future__ import annotations

import asyncio

from goldcrestgrade_node import asgi

WATCH_AFTER_S = 0.05
"""Age at which a request gets a task that watches for a disconnect of its client."""


class Watch:
    """Cancels a task when the client that it works for disconnects."""

    def __init__(self, receive: asgi.Receive, worker: asyncio.Task[None]) -> None:
        self.receive = receive
        self.worker = worker
        self.disconnected = False
        self.watcher: asyncio.Task[None] | None = None
        self.timer = asyncio.get_running_loop().call_later(WATCH_AFTER_S, self.start)

    def start(self) -> None:
        """Start the task that watches for a disconnect."""
        self.watcher = asyncio.create_task(self.watch())

    async def watch(self) -> None:
        """Cancel the worker once the client has disconnected."""
        await asgi.wait_disconnected(self.receive)
        self.disconnected = True
        self.worker.cancel()

    def stop(self) -> None:
        """Stop watching; the worker is not cancelled any more."""
        self.timer.cancel()
        if self.watcher is not None:
            self.watcher.cancel()
