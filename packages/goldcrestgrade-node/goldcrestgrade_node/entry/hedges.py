"""Hedges: second attempts, begun while the first takes long."""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade import instants
from goldcrestgrade_node.attempts import results, retries
from goldcrestgrade_node.routing import hedging

AttemptTask = asyncio.Task[results.AttemptResult]

BeginHedge = typing.Callable[[bool], "AttemptTask | None"]
"""Begins a second attempt; its argument says whether the first is late.

Returns None if there is no budget for it or no endpoint to send it to.
"""


class Hedge:
    """A second attempt, begun when it is due; its success ends the timeout scope of the first."""

    def __init__(self, begin: BeginHedge, scope: asyncio.Timeout, due: instants.Instant) -> None:
        self.begin = begin
        self.scope = scope
        self.task: AttemptTask | None = None
        self.loop = asyncio.get_running_loop()
        self.closed = False
        self.timer: asyncio.TimerHandle | None = None
        if due != instants.NEVER:
            delay_s = due - self.loop.time()
            self.timer = self.loop.call_later(delay_s, self._due, False, delay_s)

    def close(self) -> None:
        """Begin no attempt and end no scope from now on."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()

    def _due(self, late: bool, delay_s: float) -> None:
        self.task = self.begin(late)
        if self.task is not None:
            self.task.add_done_callback(self._ended)
        elif not late:
            late_s = hedging.late_after_s(delay_s)
            self.timer = self.loop.call_later(late_s, self._due, True, delay_s)

    def _ended(self, task: AttemptTask) -> None:
        if not self.closed and not task.cancelled() and is_good(task.result()):
            self.scope.reschedule(self.loop.time())


def is_good(result: results.AttemptResult) -> bool:
    """Return whether `result` may be returned to the client at once."""
    return not retries.is_failure(result)
