"""Virtual time for long runs: the selector of the event loop advances a clock instead of waiting.

`virtual_time` is meant for tests; its bookkeeping is too slow for runs of many thousand requests.
"""

from __future__ import annotations

import asyncio
import collections.abc
import selectors
import typing

T = typing.TypeVar("T")


class Deadlock(Exception):
    """All tasks wait and no timer is set, so that nothing can end the wait."""


class Selector(selectors.SelectSelector):
    """A selector that never waits; it advances its clock by the timeout of each call."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by `timeout` and return no events; raises `Deadlock` if it is None."""
        if timeout is None:
            raise Deadlock
        self.now += max(0.0, timeout)
        return []


class Loop(asyncio.SelectorEventLoop):
    """An event loop on the clock of its selector; it supports timers, but no sockets."""

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

    # When the runner restores the signal handler, the signal module formats the finished task with
    # its result into an error that it drops, which is slow for a large result. So the task returns
    # nothing.
    with asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(store_result())
    return results[0]
