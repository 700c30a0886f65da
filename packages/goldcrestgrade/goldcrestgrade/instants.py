"""Instants, deadlines and the clocks that they refer to.

Inside a process a deadline is an `Instant` on the monotonic clock. Between processes, and in the
table service, it is a `WallInstant`; `Clocks` converts between the two.
"""

from __future__ import annotations

import asyncio
import time
import typing

Instant = float
"""Seconds on the monotonic clock of the event loop."""

WallInstant = float
"""Seconds since the Unix epoch."""

NEVER: Instant = float("inf")
"""A deadline that never passes."""

MAX_CLOCK_SKEW_S = 2.0
"""Largest difference allowed between the wall clocks of two instances."""

MAX_CLOCK_STEP_S = 60.0
"""Time by which a wall clock may be wrong for a while; one that is set steps by seconds."""


class Clocks(typing.NamedTuple):
    """The monotonic clock and the wall clock of a process."""

    monotonic: typing.Callable[[], Instant]
    wall: typing.Callable[[], WallInstant]

    def to_wall(self, deadline: Instant) -> WallInstant:
        """Return the wall instant of a monotonic `deadline`."""
        return self.wall() + (deadline - self.monotonic())

    def from_wall(self, deadline: WallInstant) -> Instant:
        """Return the monotonic instant of a wall `deadline`."""
        return self.monotonic() + (deadline - self.wall())


def system_clocks() -> Clocks:
    """Return the clock of the running event loop and the wall clock of this instance."""
    return Clocks(monotonic=asyncio.get_running_loop().time, wall=time.time)


def loop_clocks(epoch: WallInstant = 0.0) -> Clocks:
    """Return clocks that both follow the running event loop, the wall clock ahead by `epoch`."""
    loop = asyncio.get_running_loop()
    return Clocks(monotonic=loop.time, wall=lambda: loop.time() + epoch)
