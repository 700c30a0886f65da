"""Pauses in loops whose steps may end at once, whatever the store, peers or other writers do.

Such a loop would otherwise leave the process no time, or fill the store with requests.
"""

from __future__ import annotations

import asyncio

from goldcrestgrade import instants


class Pacer:
    """Allows steps at a mean interval, and some of them without a pause; owned by one task."""

    def __init__(self, clocks: instants.Clocks, interval_s: float, burst_s: float) -> None:
        self.clocks = clocks
        self.interval_s = interval_s
        self.burst_s = burst_s
        """Time whose steps may follow each other without a pause."""
        self.next_at: instants.Instant = -instants.NEVER

    async def pause(self) -> None:
        """Wait until the next step may begin; return without a switch of tasks if that is now."""
        now = self.clocks.monotonic()
        self.next_at = max(self.next_at, now - self.burst_s) + self.interval_s
        if self.next_at > now:
            await asyncio.sleep(self.next_at - now)
