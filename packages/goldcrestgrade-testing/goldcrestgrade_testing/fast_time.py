"""Virtual time for long runs: an event loop whose selector advances a clock in place of waiting.

`virtual_time` is meant for tests. Its bookkeeping costs too much for runs of many thousand calls.
"""

from __future__ import annotations

import asyncio
import collections.abc
import selectors
import typing

T = typing.TypeVar("T")


class Deadlock(Exception):
    """Every task waits and no timer is set."""


class Selector(selectors.SelectSelector):
    """A selector that never waits and moves its clock by the time asked for."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by `timeout`; raises `Deadlock` where nothing would end the wait."""
        if timeout is None:
            raise Deadlock
        self.now += max(0.0, timeout)
        return []


class Loop(asyncio.SelectorEventLoop):
    """An event loop on the clock of its selector; it serves timers and no sockets."""

    def __init__(self) -> None:
        self.clock = Selector()
        super().__init__(self.clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.clock.now


def run(main: collections.abc.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Return the result of `main`, run in virtual time from 0."""
    results: list[T] = []

    async def store_result() -> None:
        results.append(await main)

    # The runner prints the result of its task into an error that it drops; a large one costs much.
    with asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(store_result())
    return results[0]
