"""Runs coroutines in virtual time: sleeps take no real time and the order is always the same."""

from __future__ import annotations

import asyncio
import typing

import looptime

T = typing.TypeVar("T")

NOOP_CYCLES = 1
"""Iterations of the event loop without ready callbacks before its time advances."""


def run(main: typing.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Return the result of `main`, run on a new event loop whose time starts at 0."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(main)


def new_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop in virtual time."""
    return typing.cast(
        asyncio.AbstractEventLoop, looptime.new_event_loop(start=0.0, noop_cycles=NOOP_CYCLES)
    )
