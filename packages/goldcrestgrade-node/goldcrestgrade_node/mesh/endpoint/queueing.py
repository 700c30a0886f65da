"""Order of the requests that wait for the own endpoint.

They start by priority, short ones before long ones of the same priority, and otherwise in order of
arrival.
"""

from __future__ import annotations

import asyncio
import heapq
import typing

from goldcrestgrade_node.mesh.endpoint import decision

Admitted = asyncio.Future[decision.Rejected | None]
"""Set once a request starts (`None`) or is rejected."""


class QueuedRequest(typing.NamedTuple):
    """A queued request; ordered by priority, short before long, and arrival."""

    priority: int
    long: bool
    """Short requests start before long ones of the same priority."""
    arrival: int
    request: decision.Request
    admitted: Admitted


def was_started(admitted: Admitted) -> bool:
    """Return whether a request was started before its timeout or cancellation was handled."""
    return admitted.done() and not admitted.cancelled() and admitted.result() is None


def waiting(queue: list[QueuedRequest]) -> list[QueuedRequest]:
    """Return the heap of the requests in `queue` that still wait."""
    remaining = [queued for queued in queue if not queued.admitted.done()]
    heapq.heapify(remaining)
    return remaining


def count_ahead(queue: list[QueuedRequest], priority: int, long: bool) -> int:
    """Return how many requests start before a new one."""
    return sum((queued.priority, queued.long) <= (priority, long) for queued in queue)
