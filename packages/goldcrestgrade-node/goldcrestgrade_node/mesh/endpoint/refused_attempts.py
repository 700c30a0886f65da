"""Run-once attempts that the own endpoint has refused, which are not offered to it again.

Nodes forward requests within a region, so that an attempt may come back to an endpoint that refused
it. A faulty endpoint may write that refusal once more, and it echoes the same id as the answer to
the later try: the node would say that the attempt has not run while the endpoint works on it.
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
        """Record that the endpoint has refused an attempt, which may come again until `deadline`.

        Earlier refusals are forgotten once their deadline has passed.
        """
        now = self.clocks.monotonic()
        passed = itertools.takewhile(lambda refused: refused[1] <= now, self.deadlines.items())
        for passed_id, _ in list(passed):
            del self.deadlines[passed_id]
        self.deadlines[attempt_id] = deadline

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self.deadlines
