"""Memory for the answers that one process receives, over all of its connections.

Load pattern: a faulty server sends bytes without end to many requests at once. Each answer stays
below its own limit, but all of them together exceed the memory of the process.
"""

from __future__ import annotations

import asyncio
import collections
import typing

SMALL_ANSWER_BYTES = 16 * 1024
"""Size up to which an answer is not counted, so that small ones never wait for large ones."""

SHARED_BYTES = 16 << 20
"""Bytes of large answers that one process holds at once."""

RESERVED_BYTES = 8 << 20
"""Further bytes for the one answer that has waited longest, so that it can be completed."""


class AnswerMemory:
    """Bytes of answers that one process holds; owned by its event loop.

    An answer that finds no memory waits, and its connection isn't read meanwhile. The first to wait
    may use the reserve until it is complete. It is as large as the largest answer, so that answers
    which are incomplete never keep each other waiting for good.
    """

    def __init__(
        self,
        shared_bytes: int = SHARED_BYTES,
        reserved_bytes: int = RESERVED_BYTES,
        on_wait: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self.on_wait = on_wait
        """Called when an answer begins to wait."""
        self.shared_bytes = shared_bytes
        self.reserved_bytes = reserved_bytes
        self.held_bytes = 0
        self.first: Reservation | None = None
        """The answer that may use the reserve."""
        self.waiting: collections.deque[tuple[Reservation, int, asyncio.Future[None]]] = (
            collections.deque()
        )

    def try_reserve(self, reservation: Reservation, answer_bytes: int) -> bool:
        """Reserve memory for more bytes of an answer; return whether there is enough."""
        limit = self.shared_bytes
        if reservation is self.first:
            limit += self.reserved_bytes
        if self.held_bytes + answer_bytes > limit:
            return False
        self.held_bytes += answer_bytes
        return True

    async def reserve(self, reservation: Reservation, answer_bytes: int) -> None:
        """Reserve memory for more bytes of an answer; wait until there is enough."""
        is_in_turn = not self.waiting or reservation is self.first
        if is_in_turn and self.try_reserve(reservation, answer_bytes):
            return
        future = asyncio.get_running_loop().create_future()
        entry = (reservation, answer_bytes, future)
        self.waiting.append(entry)
        self.on_wait()
        self._grant()
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.held_bytes -= answer_bytes
            else:
                self.waiting.remove(entry)
            self.release(reservation, 0)
            raise

    def release(self, reservation: Reservation, answer_bytes: int) -> None:
        """Release memory of an answer, which is complete or has ended."""
        self.held_bytes -= answer_bytes
        self.end_turn(reservation)

    def end_turn(self, reservation: Reservation) -> None:
        """Let the next answer use the reserve, as this one needs no more memory."""
        if self.first is reservation:
            self.first = None
        self._grant()

    def _grant(self) -> None:
        """Grant what answers wait for, in order; the first may use the reserve."""
        if self.first is None and self.waiting:
            self.first = self.waiting[0][0]
        is_full = False
        for entry in list(self.waiting):
            reservation, answer_bytes, future = entry
            # One that was cancelled is removed by its task, which has not run yet.
            if future.done() or (is_full and reservation is not self.first):
                continue
            if self.try_reserve(reservation, answer_bytes):
                self.waiting.remove(entry)
                future.set_result(None)
            else:
                is_full = True


class Reservation:
    """Memory reserved for one answer until it was written to whoever asked for it."""

    def __init__(self, memory: AnswerMemory) -> None:
        self.memory = memory
        self.counted_bytes = 0
        """Bytes that are reserved; all beyond `SMALL_ANSWER_BYTES`."""
        self.closed = False
        """Whether nobody waits for the answer any more."""

    async def grow_to(self, answer_bytes: int) -> None:
        """Reserve memory for `answer_bytes` in all; wait until there is enough."""
        missing = answer_bytes - SMALL_ANSWER_BYTES - self.counted_bytes
        if missing <= 0:
            return
        await self.memory.reserve(self, missing)
        self.counted_bytes += missing

    def complete(self) -> None:
        """Record that the answer needs no more memory than it has."""
        if self.closed:
            self.release()
        else:
            self.memory.end_turn(self)

    def release(self) -> None:
        """Release the memory; may be called again."""
        counted, self.counted_bytes = self.counted_bytes, 0
        self.memory.release(self, counted)

    def close(self) -> None:
        """Release the memory, and what a task that goes on reserves once it has the answer."""
        self.closed = True
        self.release()
