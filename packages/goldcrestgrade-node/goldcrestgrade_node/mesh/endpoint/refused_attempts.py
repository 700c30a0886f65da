"""Run-once attempts that the own endpoint has refused, which are not sent to it again.

Nodes forward requests within a region, so an attempt may reach the same endpoint twice. A faulty
endpoint may repeat an earlier answer on a kept connection. A repeated refusal echoes the id that
the answer to the second try has too, so the client would be told that its request has not run while
the endpoint works on it.
"""

from __future__ import annotations

import itertools

from goldcrestgrade import instants


class RefusedAttempts:
    """Refused attempts until their deadlines; owned by the event loop of the node."""

    def __init__(self, clocks: instants.Clocks) -> None:
        self.clocks = clocks
        self.deadlines: dict[str, instants.Instant] = {}
        """Deadlines by the ids of the attempts, in the order of the refusals."""

    def record(self, attempt_id: str, deadline: instants.Instant) -> None:
        """Record that the endpoint has refused an attempt, and drop those past their deadline."""
        now = self.clocks.monotonic()
        passed = itertools.takewhile(lambda refused: refused[1] <= now, self.deadlines.items())
        for passed_id, _ in list(passed):
            del self.deadlines[passed_id]
        self.deadlines[attempt_id] = deadline

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self.deadlines
