"""Order of the requests that wait for the own endpoint.

They start by priority, and short ones before long ones of the same priority. Among these,
start-time fair queueing decides between workspaces, and arrival within a workspace.
Requests without a workspace are one class, which like one workspace starts in order of arrival.

Load pattern: one workspace sends several times its usual load, and its requests fill the queue. The
queue holds some dozen requests, so the order is computed when it is needed. Only the work that has
started is remembered, which a request that ends in the queue does not change.
"""

from __future__ import annotations

import asyncio
import collections
import heapq
import typing

from goldcrestgrade import instants
from goldcrestgrade_node.mesh.endpoint import decision

MAX_FINISH_TAGS = 2048
"""Workspaces of one lane whose started work is remembered; beyond it the least half is forgotten.

Several times the number of requests that an endpoint starts while its queue is never empty.
"""

Admitted = asyncio.Future[decision.Rejected | None]
"""Set once a request starts (`None`) or is rejected."""

Lane = tuple[int, bool]
"""Priority, and whether requests are long; earlier lanes start before later ones."""


class QueuedRequest(typing.NamedTuple):
    """A queued request; ordered by priority, short before long, and arrival."""

    priority: int
    long: bool
    """Short requests start before long ones of the same priority."""
    arrival: int
    request: decision.Request
    admitted: Admitted
    service_time_s: float
    """Expected service time at its arrival, by which it counts in the share of its workspace."""
    arrived_at: instants.Instant

    @property
    def lane(self) -> Lane:
        """Return the lane in which it waits."""
        return self.priority, self.long


class VirtualTime:
    """Work that the workspaces of one lane have started while requests were queued, in seconds."""

    def __init__(self) -> None:
        self.now_s = 0.0
        """Start tag of the last request that started."""
        self.finish_tags_s: dict[str, float] = {}
        """Finish tag of the last started request of each workspace, if beyond `now_s`."""

    def start_tag_s(self, workspace: str) -> float:
        """Return the start tag of the next request of a workspace."""
        return max(self.now_s, self.finish_tags_s.get(workspace, 0.0))

    def record_start(self, workspace: str, service_time_s: float) -> None:
        """Count a request that starts."""
        self.now_s = self.start_tag_s(workspace)
        self.finish_tags_s[workspace] = self.now_s + service_time_s
        if len(self.finish_tags_s) > MAX_FINISH_TAGS:
            beyond = ((name, tag) for name, tag in self.finish_tags_s.items() if tag > self.now_s)
            kept = heapq.nlargest(MAX_FINISH_TAGS // 2, beyond, key=lambda entry: entry[1])
            self.finish_tags_s = dict(kept)


VirtualTimes = typing.Mapping[Lane, VirtualTime]

IsLate = typing.Callable[[QueuedRequest, int], bool]
"""Returns whether a request would end too late behind a number of others."""


def was_started(admitted: Admitted) -> bool:
    """Return whether a request was started before its timeout or cancellation was handled."""
    return admitted.done() and not admitted.cancelled() and admitted.result() is None


def waiting(queue: list[QueuedRequest]) -> list[QueuedRequest]:
    """Return the heap of the requests in `queue` that still wait."""
    remaining = [queued for queued in queue if not queued.admitted.done()]
    heapq.heapify(remaining)
    return remaining


def count_ahead(queue: list[QueuedRequest], priority: int, long: bool) -> int:
    """Return how many requests start before a new one of the only workspace."""
    return sum(queued.lane <= (priority, long) for queued in queue)


def count_ahead_of_new(
    queue: typing.Iterable[QueuedRequest], lane: Lane, virtual_times: VirtualTimes
) -> int:
    """Return how many requests start before one of a workspace that has none in the queue."""
    time = virtual_times.get(lane, VirtualTime())
    in_lane = {queued.request.workspace for queued in queue if queued.lane == lane}
    heads = sum(time.start_tag_s(workspace) <= time.now_s for workspace in in_lane)
    return heads + sum(queued.lane < lane for queued in queue)


def excess_s(queue: typing.Iterable[QueuedRequest], priority: int, workspace: str) -> float:
    """Return the queued work of a workspace beyond an equal share of that of its priority."""
    shares_s: dict[str, float] = collections.defaultdict(float)
    for queued in queue:
        if queued.priority == priority:
            shares_s[queued.request.workspace] += queued.service_time_s
    return max(0.0, shares_s[workspace] - sum(shares_s.values()) / len(shares_s))


def is_shared(queue: typing.Iterable[QueuedRequest], workspace: str) -> bool:
    """Return whether requests of other workspaces than `workspace` wait."""
    return any(queued.request.workspace != workspace for queued in queue)


def in_order(
    queue: typing.Iterable[QueuedRequest], virtual_times: VirtualTimes
) -> list[QueuedRequest]:
    """Return queued requests in the order in which they start."""
    tags_s: dict[tuple[Lane, str], float] = {}
    tagged = []
    for queued in sorted(queue):
        lane, workspace = queued.lane, queued.request.workspace
        tag_s = tags_s.get((lane, workspace))
        if tag_s is None:
            time = virtual_times.get(lane)
            tag_s = 0.0 if time is None else time.start_tag_s(workspace)
        tags_s[lane, workspace] = tag_s + queued.service_time_s
        tagged.append((lane, tag_s, queued.arrival, queued))
    return [queued for *_, queued in sorted(tagged)]


def evictions(ordered: typing.Sequence[QueuedRequest], is_late: IsLate) -> list[QueuedRequest]:
    """Return the requests to reject so that the others end in time.

    For a request that would be late, the workspace with the largest share of the queue in its
    priority gives up its last ones ahead of it. The late request itself is rejected if its own
    workspace has the largest share, or if nothing that others give up would help it.
    """
    kept = list(ordered)
    evicted: list[QueuedRequest] = []
    index = 0
    while index < len(kept):
        late = kept[index]
        if not is_late(late, index):
            index += 1
            continue
        victims = _victims(kept, index, is_late)
        evicted += victims
        dropped = {victim.arrival for victim in victims}
        index -= sum(queued.arrival in dropped for queued in kept[:index])
        kept = [queued for queued in kept if queued.arrival not in dropped]
    return evicted


def _victims(
    kept: typing.Sequence[QueuedRequest], index: int, is_late: IsLate
) -> list[QueuedRequest]:
    late = kept[index]
    shares_s: dict[str, float] = collections.defaultdict(float)
    ahead: dict[str, list[QueuedRequest]] = collections.defaultdict(list)
    for position, queued in enumerate(kept):
        if queued.priority == late.priority:
            shares_s[queued.request.workspace] += queued.service_time_s
            if position < index:
                ahead[queued.request.workspace].append(queued)
    own = late.request.workspace
    ahead[own].append(late)
    victims: list[QueuedRequest] = []
    while is_late(late, index - len(victims)):
        # The own workspace comes last among equals, so that equal shares do not replace each other.
        largest = max(
            (name for name in ahead if ahead[name]), key=lambda n: (shares_s[n], n == own)
        )
        if largest == own:
            return [late]
        victim = ahead[largest].pop()
        shares_s[largest] -= victim.service_time_s
        victims.append(victim)
    return victims
