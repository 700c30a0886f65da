"""Admission of requests to the endpoint beside this node.

Load pattern: the endpoint turns slow or full within milliseconds. This node sees all of its work,
so a request that would come too late is sent back before the endpoint has seen it; it may then go
elsewhere at once. Waiting requests start by rank, and among equals the one that came first.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
import math
import typing

from goldcrestgrade import instants
from goldcrestgrade_node.mesh import concurrency, loads

log = logging.getLogger(__name__)

MIN_TYPICAL_S = 0.001
"""Shortest time that a request is taken to need, the resolution of the endpoints' clocks."""

TYPICAL_START_S = 0.1
"""Time that a request is taken to need before the first one has ended."""

SPREAD = 1.3
"""Time that is allowed for a request, in multiples of the mean; most end within it."""

TYPICAL_LIMIT = 3.0
"""Largest sample, in multiples of the mean; longer ones hold a disturbance that nobody told of."""

TYPICAL_WEIGHT = 0.1
"""Weight of a new sample in the moving mean of the time that requests need."""

PACE_HOLD_S = 0.5
"""Age at which a report of the endpoint's pace tells nothing any more."""

SILENT_ENDS = 6.0
"""Requests that should have ended since the last sign of the endpoint for it to count as slowed.

Ends come at random times; so many are missed by chance once in several hundred times.
"""

SILENT_PACE = 4.0
"""Pace that a silent endpoint is taken to have until a health check tells it."""

DISTURBED_PACE = 1.5
"""Pace from which an endpoint counts as disturbed."""

CALM_PACE = 1.2
"""Pace up to which an endpoint counts as undisturbed, and ratio up to which two are the same."""

LEVEL_CHANGE = 1
"""Largest change in the number that run, from begin to end of a request that tells of it."""

LIMIT_HOLD_S = 1.0
"""Shortest time between changes of the limit, several times that of a usual request."""

FREE_SHARE = 0.6
"""Share of the slots up to which requests are taken not to slow each other down."""

STEADY_PACE = 3.0
"""Pace up to which the time of a request tells of its usual time; endpoints warm up at twice."""

CHECK_AGE_S = 0.08
"""Age of the pace from which a health check is worth its price while it decides on requests."""

SHORT_SHARE = 0.6
"""Share of the mean time of all requests up to which a request counts as short."""

DEADLINE_SHARE = 0.9
"""Share of the time to the deadline in which a short request must be expected to end."""

LATE_QUEUE_FACTOR = 0.0
"""Waiting requests, in multiples of the slots, beside which a late request is still taken."""

RETRY_FLOOR_S = 0.02
"""Shortest time after which a request that was sent back may be tried here again."""


RETRY_DISTURBED_S = 0.1
"""The same while the endpoint is disturbed, a part of the time that disturbances last."""


class Ticket(typing.NamedTuple):
    """A request that asks for admission."""

    name: str
    """Route, by which the time that it needs is remembered."""
    priority: int
    target_at: instants.Instant
    deadline: instants.Instant
    late_allowed: bool
    """Whether it may be taken although it is expected to miss its target."""


class Rejected(typing.NamedTuple):
    """The request was sent back before it started."""

    reason: str
    retry_at: instants.Instant


class Judgement(typing.NamedTuple):
    """What the gate knew when it admitted a request."""

    load: loads.Load
    pace_age_s: float
    """Age of the pace in the load."""

    def fields(self) -> dict[str, str | float]:
        """Return what a log line tells of it."""
        return {"load": loads.encode(self.load), "pace_age_s": round(self.pace_age_s, 3)}


class Waiter(typing.NamedTuple):
    """A request that waits; ordered by rank and arrival."""

    priority: int
    long: bool
    """Short requests start before long ones of the same rank."""
    number: int
    ticket: Ticket
    admitted: asyncio.Future[Rejected | None]


class Estimate(typing.NamedTuple):
    """When a request is expected to start and to end."""

    start_s: float
    mean_end_s: float
    end_s: float
    """Time within which it most likely ends."""


def expected_pace(told: float, age_s: float) -> float:
    """Return the pace to expect `age_s` after the endpoint told of `told`."""
    return 1 + (told - 1) * max(0.0, 1 - age_s / PACE_HOLD_S)


def estimate(
    running: int, ahead: int, slots: int, typical_s: float, needs_s: float, pace: float
) -> Estimate:
    """Return the expected wait and end of a request behind `ahead` others."""
    excess = max(0, running + ahead + 1 - slots)
    start_s = excess * typical_s * pace / max(1, slots)
    runs_s = needs_s * pace
    return Estimate(start_s, start_s + runs_s, start_s + runs_s * SPREAD)


def _started(admitted: asyncio.Future[Rejected | None]) -> bool:
    """Tell whether a request was started while its wait ended."""
    return admitted.done() and not admitted.cancelled() and admitted.result() is None


class Gate:
    """The requests at the own endpoint; owned by the event loop of the node."""

    def __init__(self, clocks: instants.Clocks) -> None:
        self.clocks = clocks
        self.slots = 1
        self.slowdowns = concurrency.Slowdowns()
        self.limit = 1
        """Requests that may run at once; the slots, or fewer where those end more."""
        self.limit_until: instants.Instant = 0.0
        """Until when the limit stays, so that requests run beside the same number of others."""
        self.running = 0
        self.waiting: list[Waiter] = []
        self.numbers = itertools.count()
        self.typical_s: dict[str, float] = {}
        self.free_at: dict[str, instants.Instant] = {}
        """When a request of each route last ended that had run beside few others."""
        self.mean_s = TYPICAL_START_S
        self.pace = loads.NORMAL_PACE
        self.pace_at: instants.Instant = 0.0
        self.sign_at: instants.Instant = 0.0
        """When the endpoint last began to be idle or ended a request."""

    def load(self) -> loads.Load:
        """Return the load as other nodes are told."""
        return loads.Load(self.running, len(self.waiting), self.limit, self.current_pace())

    def judgement(self) -> Judgement:
        """Return what a request that starts now is judged by."""
        age_s = self.clocks.monotonic() - self.pace_at
        return Judgement(self.load()._replace(pace=self.pace), min(age_s, 999.0))

    def current_pace(self) -> float:
        """Return the pace, which tends to the usual one as its report ages."""
        age_s = self.clocks.monotonic() - self.pace_at
        told = expected_pace(self.pace, age_s)
        return max(told, SILENT_PACE) if self.silent() else told

    def silent(self) -> bool:
        """Tell whether fewer requests ended than should have since the last sign."""
        since_s = self.clocks.monotonic() - max(self.sign_at, self.pace_at)
        return since_s * self.running >= SILENT_ENDS * self.mean_s

    def check_due(self) -> bool:
        """Tell whether a health check would settle what requests are judged by."""
        stale = self.clocks.monotonic() - self.pace_at >= CHECK_AGE_S
        return stale and self.current_pace() >= DISTURBED_PACE

    async def enter(self, ticket: Ticket) -> Rejected | None:
        """Wait until the request may start; return a rejection where it may not."""
        rejected = self._judge(ticket)
        if rejected is not None:
            return rejected
        if self.running < self.limit and not self.waiting:
            self._start()
            return None
        admitted: asyncio.Future[Rejected | None] = asyncio.get_running_loop().create_future()
        long = not self._is_short(ticket)
        waiter = Waiter(ticket.priority, long, next(self.numbers), ticket, admitted)
        heapq.heappush(self.waiting, waiter)
        try:
            async with asyncio.timeout(self._latest_start(ticket) - self.clocks.monotonic()):
                return await admitted
        except TimeoutError:
            if _started(admitted):
                return None
            return Rejected("saturated", self.clocks.monotonic() + RETRY_FLOOR_S)
        except asyncio.CancelledError:
            if _started(admitted):
                self.leave()
            raise

    def _latest_start(self, ticket: Ticket) -> instants.Instant:
        """Return when a waiting request can no longer come in time."""
        needs_s = self._needs_s(ticket)
        return min(ticket.deadline, max(self.clocks.monotonic(), self._end_by(ticket) - needs_s))

    def _needs_s(self, ticket: Ticket) -> float:
        return self.typical_s.get(ticket.name, self.mean_s)

    def _is_short(self, ticket: Ticket) -> bool:
        """Tell whether a request takes so little room that it is worth an answer also when late.

        Endpoints call each other with such requests, and a refusal wastes the work of the caller.
        """
        return self._needs_s(ticket) <= SHORT_SHARE * self.mean_s

    def _end_by(self, ticket: Ticket) -> instants.Instant:
        """Return when a request must be expected to end to be taken."""
        if not self._is_short(ticket):
            return ticket.target_at
        now = self.clocks.monotonic()
        return max(ticket.target_at, now + DEADLINE_SHARE * (ticket.deadline - now))

    def _start(self) -> None:
        if self.running == 0:
            self.sign_at = self.clocks.monotonic()
        self.running += 1

    def leave(self) -> None:
        """Give back the place of a request that ended."""
        self.running -= 1
        self.sign_at = self.clocks.monotonic()
        self.serve()

    def note_time(self, name: str, took_s: float, judged_by: Judgement) -> None:
        """Take in the time that the endpoint took for a request that began at `judged_by`."""
        now = self.clocks.monotonic()
        began = expected_pace(judged_by.load.pace, judged_by.pace_age_s)
        ended = expected_pace(self.pace, now - self.pace_at)
        if max(began, ended) > CALM_PACE * min(began, ended):
            # A disturbance began or ended under way: the time tells of neither state.
            return
        if name in self.typical_s and ended > STEADY_PACE:
            # Between two disturbances there may have been an undisturbed time.
            return
        begun, beside = judged_by.load.running, self.running
        usual_s = took_s / ended
        known_s = self.typical_s.get(name, usual_s)
        usual_s = min(usual_s, TYPICAL_LIMIT * known_s)
        if self._calm(judged_by) and abs(beside - begun) <= LEVEL_CHANGE:
            self.slowdowns.record(beside, usual_s / max(known_s, MIN_TYPICAL_S), now)
            if now >= self.limit_until:
                self._set_limit()
        if max(begun, beside) <= FREE_SHARE * self.slots:
            self.free_at[name] = now
        # Where the usual time is known from quieter moments, this one tells of the crowd.
        free_at = self.free_at.get(name, -math.inf)
        if free_at == now or now - free_at >= concurrency.DECAY_TIME_S:
            self.typical_s[name] = known_s + TYPICAL_WEIGHT * (usual_s - known_s)
        self.mean_s += TYPICAL_WEIGHT * (self.typical_s[name] - self.mean_s)

    def _slowdown(self, running: int) -> float:
        """Return how much longer than usual requests take among `running`."""
        if running <= FREE_SHARE * self.slots:
            return 1.0
        return self.slowdowns.expected(running, self.clocks.monotonic())

    def _calm(self, judged_by: Judgement) -> bool:
        """Tell whether the endpoint was known to be undisturbed when a request began and ended."""
        known = judged_by.pace_age_s < PACE_HOLD_S
        return known and max(judged_by.load.pace, self.pace) <= CALM_PACE

    def _set_limit(self) -> None:
        now = self.clocks.monotonic()
        self.limit_until = now + LIMIT_HOLD_S
        limit = self.slowdowns.limit(self.slots, now)
        if limit == self.limit:
            return
        log.info(
            "requests at once changed",
            extra={"limit": limit, "before": self.limit, "slots": self.slots},
        )
        self.limit = limit
        self.serve()

    def note_load(self, load: loads.Load) -> None:
        """Take in what the endpoint reported."""
        worse = load.pace >= DISTURBED_PACE and load.pace > self.current_pace()
        self.pace, self.pace_at = load.pace, self.clocks.monotonic()
        if load.slots != self.slots:
            self.resize(load.slots)
        if worse:
            self._judge_waiting()

    def resize(self, slots: int) -> None:
        """Set the number of requests that may run at once."""
        self.slots = max(1, slots)
        self._set_limit()
        self.serve()

    def _judge_waiting(self) -> None:
        """Send back at once what can no longer start in time behind those before it."""
        waiting, self.waiting = sorted(self.waiting), []
        for waiter in waiting:
            rejected = self._too_late(waiter.ticket, len(self.waiting))
            if rejected is None:
                self.waiting.append(waiter)
            else:
                self._answer(waiter, rejected)

    def reject_waiting(self, reason: str) -> None:
        """Send back all requests that wait."""
        waiting, self.waiting = self.waiting, []
        for waiter in waiting:
            self._answer(waiter, Rejected(reason, self.clocks.monotonic()))

    def serve(self) -> None:
        """Start waiting requests while there is room, and send back those that are too late."""
        while self.waiting and self.running < self.limit:
            waiter = heapq.heappop(self.waiting)
            if waiter.admitted.done():
                continue
            rejected = self._too_late(waiter.ticket, 0)
            if rejected is None:
                self._start()
            self._answer(waiter, rejected)

    def _judge(self, ticket: Ticket) -> Rejected | None:
        self.waiting = [waiter for waiter in self.waiting if not waiter.admitted.done()]
        heapq.heapify(self.waiting)
        rank = ticket.priority, not self._is_short(ticket)
        ahead = sum((waiter.priority, waiter.long) <= rank for waiter in self.waiting)
        return self._too_late(ticket, ahead)

    def _too_late(self, ticket: Ticket, ahead: int) -> Rejected | None:
        now = self.clocks.monotonic()
        pace = self.current_pace()
        if self.running == 0 and not self.waiting and pace < DISTURBED_PACE:
            # What was learned may be wrong, and only a request that runs can tell.
            return None
        slowdown = self._slowdown(min(self.running + 1, self.limit))
        needs_s = self._needs_s(ticket)
        expected = estimate(self.running, ahead, self.limit, self.mean_s, needs_s, pace * slowdown)
        in_time = now + expected.end_s <= self._end_by(ticket)
        if in_time or (
            ticket.late_allowed
            and now + expected.mean_end_s <= ticket.deadline
            and ahead <= LATE_QUEUE_FACTOR * self.limit
            and self.running < self.limit
        ):
            return None
        floor_s = RETRY_DISTURBED_S if pace >= DISTURBED_PACE else RETRY_FLOOR_S
        return Rejected("saturated", now + max(floor_s, expected.start_s))

    def _answer(self, waiter: Waiter, result: Rejected | None) -> None:
        if not waiter.admitted.done():
            waiter.admitted.set_result(result)
        elif result is None:
            self.running -= 1
