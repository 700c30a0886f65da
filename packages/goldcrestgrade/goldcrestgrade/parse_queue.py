"""Turns in which received bytes are parsed, so that no connection holds the event loop.

Load pattern: a faulty peer sends bytes without end on many connections, in tiny chunks, interim
answers or requests. Parsing them as they are received would hold the event loop for seconds.
"""

from __future__ import annotations

import asyncio
import collections
import time
import typing
import weakref

SLICE_BYTES = 4096
"""Most bytes that are parsed without a look at the time.

Such a slice holds some 200 interim answers or 700 chunks, which take milliseconds to parse.
"""

TURN_S = 0.002
"""Time that the parsing of large amounts may take before other tasks get a turn."""


class Parsing(typing.Protocol):
    """A connection with received bytes that are still to be parsed."""

    queued: bool
    """Whether the connection is in the queue."""

    def parse_slice(self) -> bool:
        """Parse the next slice, and return whether another one may follow."""


class ParseQueue:
    """Connections with received bytes that are still to be parsed, each in turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: collections.deque[Parsing] = collections.deque()
        self.scheduled = False
        """Whether the next turn is due."""

    def add(self, protocol: Parsing) -> None:
        """Add a connection, unless it is waiting already."""
        if protocol.queued:
            return
        protocol.queued = True
        self.waiting.append(protocol)
        self._schedule()

    def _schedule(self) -> None:
        if self.waiting and not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self.scheduled = False
        end = time.perf_counter() + TURN_S
        try:
            while self.waiting and time.perf_counter() < end:
                protocol = self.waiting.popleft()
                protocol.queued = False
                if protocol.parse_slice():
                    self.add(protocol)
        finally:
            self._schedule()


_QUEUES: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, ParseQueue] = (
    weakref.WeakKeyDictionary()
)


def of(loop: asyncio.AbstractEventLoop) -> ParseQueue:
    """Return the queue of an event loop."""
    queue = _QUEUES.get(loop)
    if queue is None:
        queue = _QUEUES[loop] = ParseQueue(loop)
    return queue
