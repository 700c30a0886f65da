"""Admission of requests to the endpoint on this node's instance.

Load pattern: the endpoint becomes slow or full within milliseconds. All of its requests pass
through this node, which therefore rejects a request that would be answered too late before the
endpoint has received it; the entry node may then send it to another instance at once. Queued
requests start by priority, short ones before long ones of the same priority, and otherwise in order
of arrival. If the endpoint names a rate limit, requests also wait for it, or are rejected.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
import math
import typing

from goldcrestgrade import instants
from goldcrestgrade_node.mesh.endpoint import concurrency, rates
from goldcrestgrade_node.mesh.transport import loads

log = logging.getLogger(__name__)

MIN_SERVICE_TIME_S = 0.001
"""Shortest service time that is assumed; the resolution of the endpoints' clocks."""

INITIAL_SERVICE_TIME_S = 0.1
"""Service time that is assumed before the first request has completed."""

SERVICE_TIME_MARGIN = 1.3
"""Factor on the expected service time within which most requests complete."""

MAX_SAMPLE_RATIO = 3.0
"""Multiple of the service time estimate at which samples are capped.

Longer ones include a degraded period that no pace report has shown.
"""

SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new sample in the moving averages of the service time."""

MAX_PACE_AGE_S = 0.5
"""Staleness limit of a report of the endpoint's pace."""

STALL_THRESHOLD = 6.0
"""Number of overdue completions from which the endpoint counts as stalled.

Completions come at random times; one gap in several hundred is this long by chance.
"""

STALLED_PACE = 4.0
"""Pace that an endpoint is assumed to have once it counts as stalled.

It grows with the number of overdue completions, until a health check reports the pace.
"""

STALL_REVIEW_INTERVAL_S = 0.08
"""Time between two evaluations of the queue of a stalled endpoint."""

DEGRADED_PACE = 1.5
"""Pace from which an endpoint counts as degraded."""

MAX_NORMAL_PACE = 1.2
"""Pace up to which an endpoint counts as normal, and ratio up to which two paces are equal."""

MAX_IN_FLIGHT_CHANGE = 1
"""Largest change in the number of in-flight requests during a request that is a slowdown sample."""

MIN_LIMIT_INTERVAL_S = 1.0
"""Shortest time between changes of the concurrency limit; several times a usual service time."""

UNCONTENDED_SHARE = 0.6
"""Share of the slots up to which requests are assumed not to slow each other down."""

MAX_SAMPLE_PACE = 3.0
"""Largest pace at which a request updates its service time estimate.

Endpoints have a pace of 2 while they warm up.
"""

MAX_ADMISSION_PACE_AGE_S = 0.1
"""Age of the last pace report from which a request waits for a new one before it is evaluated.

Endpoints change their pace several times a second, and it applies to a request as it starts.
"""

PACE_CHECK_AGE_S = 0.08
"""Age of a pace report from which a health check is worth its cost while requests depend on it."""

SHORT_REQUEST_SHARE = 0.6
"""Share of the mean service time of all requests up to which a request counts as short."""

DEADLINE_SHARE = 0.9
"""Share of the time to its deadline within which a short request must be expected to end."""

LATE_QUEUE_FACTOR = 0.0
"""Longest queue ahead of a late request that is admitted, in multiples of the limit."""

MIN_RETRY_DELAY_S = 0.02
"""Shortest time after which a rejected request may be retried at this node."""

MAX_RATE_RETRY_DELAY_S = 2.0
"""Longest time after which a request that the rate limit rejects may be retried.

The limit may rise or end at any time.
"""

DEGRADED_RETRY_DELAY_S = 0.1
"""The same while the endpoint is degraded; a fraction of the usual length of a degraded period."""


class Request(typing.NamedTuple):
    """A request that asks for admission."""

    route_key: str
    """Service and route; each such key has its own service time estimate."""
    priority: int
    target_at: instants.Instant
    deadline: instants.Instant
    late_allowed: bool
    """Whether it may be admitted although it is expected to miss its latency target."""


class Rejected(typing.NamedTuple):
    """The request was rejected before it started."""

    reason: str
    retry_at: instants.Instant


class LoadSnapshot(typing.NamedTuple):
    """Load of the endpoint as it was known when a request started."""

    load: loads.Load
    pace_age_s: float
    """Age of the pace in `load`."""

    def log_fields(self) -> dict[str, str | float]:
        """Return the fields of a log line."""
        return {"load": loads.encode(self.load), "pace_age_s": round(self.pace_age_s, 3)}


class QueuedRequest(typing.NamedTuple):
    """A queued request; ordered by priority, short before long, and arrival."""

    priority: int
    long: bool
    """Short requests start before long ones of the same priority."""
    arrival: int
    request: Request
    admitted: asyncio.Future[Rejected | None]


class Estimate(typing.NamedTuple):
    """When a request is expected to start and to end, in seconds from now."""

    start_s: float
    mean_end_s: float
    end_s: float
    """Time within which it most likely ends."""


def expected_pace(reported: float, age_s: float) -> float:
    """Return the pace to expect `age_s` after the endpoint reported the pace `reported`."""
    return 1 + (reported - 1) * max(0.0, 1 - age_s / MAX_PACE_AGE_S)


def estimate(
    in_flight: int,
    ahead: int,
    slots: int,
    mean_service_time_s: float,
    service_time_s: float,
    pace: float,
) -> Estimate:
    """Return when a request is expected to start and to end behind `ahead` queued ones."""
    completions_needed = max(0, in_flight + ahead + 1 - slots)
    start_s = completions_needed * mean_service_time_s * pace / max(1, slots)
    expected_run_s = service_time_s * pace
    return Estimate(
        start_s, start_s + expected_run_s, start_s + expected_run_s * SERVICE_TIME_MARGIN
    )


def _was_started(admitted: asyncio.Future[Rejected | None]) -> bool:
    """Return whether a request was started before its timeout or cancellation was handled."""
    return admitted.done() and not admitted.cancelled() and admitted.result() is None


class AdmissionController:
    """In-flight and queued requests of the own endpoint; owned by the node's event loop."""

    def __init__(self, clocks: instants.Clocks) -> None:
        self.clocks = clocks
        self.slots = 1
        self.rate = rates.RateLimiter(clocks)
        self.slowdowns = concurrency.Slowdowns()
        self.limit = 1
        """Concurrency limit: the slots, or fewer if the endpoint then completes more requests."""
        self.limit_fixed_until: instants.Instant = 0.0
        """Samples do not change the limit before then, so that the concurrency stays constant."""
        self.in_flight = 0
        self.held = 0
        """Slots in `in_flight` of admitted requests whose body has not been received yet."""
        self.queue: list[QueuedRequest] = []
        self.arrivals = itertools.count()
        self.service_times_s: dict[str, float] = {}
        self.uncontended_at: dict[str, instants.Instant] = {}
        """End of the last request of each route key that ran with few others in flight."""
        self.mean_service_time_s = INITIAL_SERVICE_TIME_S
        self.pace = loads.NORMAL_PACE
        self.pace_reported_at: instants.Instant = -instants.NEVER
        self.reports_pace = True
        """Whether the endpoint reports its pace; assumed until a health check shows otherwise."""
        self.progress_at: instants.Instant = 0.0
        """When the endpoint last became busy or completed a request."""
        self.stall_review: asyncio.TimerHandle | None = None
        """Next check whether the endpoint stalls, while requests are queued."""
        self.next_start: asyncio.TimerHandle | None = None
        """When the rate limit next lets a queued request start."""

    def load(self) -> loads.Load:
        """Return the load that is reported to other nodes."""
        slots = self.limit
        if self.rate.rate is not None:
            # By Little's law, as many requests as this keep the endpoint at its rate.
            slots = min(slots, max(1, math.ceil(self.rate.rate * self.mean_service_time_s)))
        return loads.Load(self.in_flight, len(self.queue), slots, self.current_pace())

    def load_snapshot(self) -> LoadSnapshot:
        """Return the current load, with the pace as reported instead of the one to expect now."""
        age_s = self.clocks.monotonic() - self.pace_reported_at
        load = self.load()._replace(running=self.at_endpoint, pace=self.pace)
        return LoadSnapshot(load, min(age_s, 999.0))

    @property
    def at_endpoint(self) -> int:
        """Number of requests that the endpoint works on, without those that wait for a body."""
        return self.in_flight - self.held

    def current_pace(self) -> float:
        """Return the pace to expect now.

        The reported pace tends to normal as the report ages; a stalled endpoint has at least
        `STALLED_PACE`.
        """
        age_s = self.clocks.monotonic() - self.pace_reported_at
        expected = expected_pace(self.pace, age_s)
        if not self.is_stalled():
            return expected
        return max(expected, STALLED_PACE * self._overdue_completions() / STALL_THRESHOLD)

    def is_stalled(self) -> bool:
        """Return whether `STALL_THRESHOLD` completions are overdue since the last progress."""
        return self._overdue_completions() >= STALL_THRESHOLD

    def _overdue_completions(self) -> float:
        """Return how many completions were to be expected since the last progress.

        A pace report counts as progress too.
        """
        since_progress_s = self.clocks.monotonic() - max(self.progress_at, self.pace_reported_at)
        return since_progress_s * self.at_endpoint / self.mean_service_time_s

    def is_health_check_due(self) -> bool:
        """Return whether requests are evaluated by a degraded pace whose report is old."""
        stale = self.clocks.monotonic() - self.pace_reported_at >= PACE_CHECK_AGE_S
        return stale and self.current_pace() >= DEGRADED_PACE

    def is_pace_outdated(self) -> bool:
        """Return whether a request should wait for a new report of the pace.

        Load pattern: the endpoint gets so few requests that its pace changes between two reports,
        as in a large fleet. A request that it starts while degraded takes several times as long.
        """
        if not self.reports_pace or not self._may_start():
            # A request that is queued is evaluated again after an answer, which reports the pace.
            return False
        return self.clocks.monotonic() - self.pace_reported_at >= MAX_ADMISSION_PACE_AGE_S

    async def admit(self, request: Request) -> Rejected | None:
        """Wait until the request may start; return a rejection if it may not."""
        rejected = self._evaluate(request)
        if rejected is not None:
            return rejected
        if self._may_start() and not self.queue:
            self._start()
            return None
        admitted: asyncio.Future[Rejected | None] = asyncio.get_running_loop().create_future()
        long = not self._is_short(request)
        queued = QueuedRequest(request.priority, long, next(self.arrivals), request, admitted)
        heapq.heappush(self.queue, queued)
        self._schedule_stall_review()
        self._schedule_start()
        try:
            async with asyncio.timeout(self._latest_start(request) - self.clocks.monotonic()):
                return await admitted
        except TimeoutError:
            if _was_started(admitted):
                return None
            return self._reject(MIN_RETRY_DELAY_S, self.rate.wait_s())
        except asyncio.CancelledError:
            if _was_started(admitted):
                self.release()
            raise

    def _latest_start(self, request: Request) -> instants.Instant:
        """Return the latest start at which a queued request can still end in time."""
        service_time_s = self._service_time_s(request)
        return min(
            request.deadline,
            max(self.clocks.monotonic(), self._latest_end(request) - service_time_s),
        )

    def _service_time_s(self, request: Request) -> float:
        return self.service_times_s.get(request.route_key, self.mean_service_time_s)

    def _is_short(self, request: Request) -> bool:
        """Return whether a request is so short that it is admitted even if it will be late.

        Endpoints send each other such requests, and a rejection wastes the work of the sender.
        """
        return self._service_time_s(request) <= SHORT_REQUEST_SHARE * self.mean_service_time_s

    def _latest_end(self, request: Request) -> instants.Instant:
        """Return the instant by which a request must be expected to end to be admitted."""
        if not self._is_short(request):
            return request.target_at
        now = self.clocks.monotonic()
        return max(request.target_at, now + DEADLINE_SHARE * (request.deadline - now))

    def _may_start(self) -> bool:
        """Return whether the concurrency limit and the rate limit let one more request start."""
        return self.in_flight < self.limit and self.rate.wait_s() == 0

    def _start(self) -> None:
        if self.at_endpoint == 0:
            self.progress_at = self.clocks.monotonic()
        self.in_flight += 1
        self.rate.acquire()

    def release(self, completed: bool = True) -> None:
        """Release the slot of a request that ended, and start queued requests."""
        self.in_flight -= 1
        if completed:
            self.progress_at = self.clocks.monotonic()
        self.start_queued()

    def begin_hold(self) -> None:
        """Record that an admitted request waits for its body.

        The endpoint does not work on it, so the wait is neither service time nor a missing
        completion.
        """
        self.held += 1

    def end_hold(self) -> None:
        """Record that an admitted request no longer waits for its body."""
        if self.at_endpoint == 0:
            self.progress_at = self.clocks.monotonic()
        self.held -= 1

    def record_service_time(self, route_key: str, elapsed_s: float, at_start: LoadSnapshot) -> None:
        """Record that a request took the endpoint `elapsed_s`.

        `at_start` is the load when the request started.
        """
        now = self.clocks.monotonic()
        pace_at_start = expected_pace(at_start.load.pace, at_start.pace_age_s)
        pace_now = expected_pace(self.pace, now - self.pace_reported_at)
        if max(pace_at_start, pace_now) > MAX_NORMAL_PACE * min(pace_at_start, pace_now):
            # A degraded period began or ended meanwhile, so the sample describes neither state.
            return
        if route_key in self.service_times_s and pace_now > MAX_SAMPLE_PACE:
            # The endpoint may have been normal for a while between two degraded periods.
            return
        in_flight_at_start, in_flight = at_start.load.running, self.at_endpoint
        sample_s = elapsed_s / pace_now
        estimate_s = self.service_times_s.get(route_key, sample_s)
        sample_s = min(sample_s, MAX_SAMPLE_RATIO * estimate_s)
        if (
            self._was_normal(at_start)
            and abs(in_flight - in_flight_at_start) <= MAX_IN_FLIGHT_CHANGE
        ):
            self.slowdowns.record(in_flight, sample_s / max(estimate_s, MIN_SERVICE_TIME_S), now)
            if now >= self.limit_fixed_until:
                self._update_limit()
        if max(in_flight_at_start, in_flight) <= UNCONTENDED_SHARE * self.slots:
            self.uncontended_at[route_key] = now
        # A sample under contention includes the slowdown, so it counts only if the route key has no
        # recent sample without contention.
        uncontended_at = self.uncontended_at.get(route_key, -math.inf)
        if uncontended_at == now or now - uncontended_at >= concurrency.DECAY_TIME_S:
            self.service_times_s[route_key] = estimate_s + SERVICE_TIME_WEIGHT * (
                sample_s - estimate_s
            )
        self.mean_service_time_s += SERVICE_TIME_WEIGHT * (
            self.service_times_s[route_key] - self.mean_service_time_s
        )

    def _slowdown(self, in_flight: int) -> float:
        """Return the expected slowdown with `in_flight` requests at the endpoint."""
        if in_flight <= UNCONTENDED_SHARE * self.slots:
            return 1.0
        return self.slowdowns.expected(in_flight, self.clocks.monotonic())

    def _was_normal(self, at_start: LoadSnapshot) -> bool:
        """Return whether the endpoint was known to be normal when a request started and ended."""
        is_fresh = at_start.pace_age_s < MAX_PACE_AGE_S
        return is_fresh and max(at_start.load.pace, self.pace) <= MAX_NORMAL_PACE

    def _update_limit(self) -> None:
        now = self.clocks.monotonic()
        self.limit_fixed_until = now + MIN_LIMIT_INTERVAL_S
        limit = self.slowdowns.limit(self.slots, now)
        if limit == self.limit:
            return
        log.info(
            "requests at once changed",
            extra={"limit": limit, "before": self.limit, "slots": self.slots},
        )
        self.limit = limit
        self.start_queued()

    def record_missing_load(self) -> None:
        """Record that the endpoint answered a health check without a load report."""
        self.reports_pace = False

    def apply_load_report(self, load: loads.Load) -> None:
        """Apply a load report, and reject queued requests that a higher pace makes late."""
        self.reports_pace = True
        degraded = load.pace >= DEGRADED_PACE and load.pace > self.current_pace()
        self.pace, self.pace_reported_at = load.pace, self.clocks.monotonic()
        if load.slots != self.slots:
            self.set_slots(load.slots)
        if degraded:
            self._reevaluate_queue()

    def set_rate_limit(self, rate: float | None) -> None:
        """Set the endpoint's rate limit in requests a second; none if it names no limit."""
        if self.rate.set_rate(rate):
            self._reevaluate_queue()
            self.start_queued()

    def set_slots(self, slots: int) -> None:
        """Set the endpoint's number of slots, and update the concurrency limit."""
        self.slots = max(1, slots)
        self._update_limit()
        self.start_queued()

    def _schedule_stall_review(self) -> None:
        """Schedule a check for the instant at which the endpoint counts as stalled.

        Load pattern: the endpoint stops completing requests and reports nothing. Queued requests
        that can no longer end in time are rejected when the gap shows it, not at their target.
        """
        if self.stall_review is not None or not self.queue:
            return
        missing = STALL_THRESHOLD - self._overdue_completions()
        wait_s = missing * self.mean_service_time_s / max(1, self.at_endpoint)
        self.stall_review = asyncio.get_running_loop().call_later(
            max(STALL_REVIEW_INTERVAL_S, wait_s), self._review_stall
        )

    def _review_stall(self) -> None:
        self.stall_review = None
        if self.is_stalled():
            self._reevaluate_queue()
        self._schedule_stall_review()

    def _reevaluate_queue(self) -> None:
        """Reject queued requests that can no longer end in time behind those that stay queued."""
        queue, self.queue = sorted(self.queue), []
        for queued in queue:
            rejected = self._rejection(queued.request, len(self.queue))
            if rejected is None:
                self.queue.append(queued)
            else:
                self._resolve(queued, rejected)

    def reject_queued(self, reason: str) -> None:
        """Reject all queued requests with `reason`."""
        queue, self.queue = self.queue, []
        for queued in queue:
            self._resolve(queued, Rejected(reason, self.clocks.monotonic()))

    def start_queued(self) -> None:
        """Start queued requests up to the limits, and reject those that would end too late."""
        while self.queue and self._may_start():
            queued = heapq.heappop(self.queue)
            if queued.admitted.done():
                continue
            rejected = self._rejection(queued.request, 0)
            if rejected is None:
                self._start()
            self._resolve(queued, rejected)
        self._schedule_start()

    def _schedule_start(self) -> None:
        """Start queued requests again once the rate limit allows it."""
        if self.next_start is not None:
            self.next_start.cancel()
            self.next_start = None
        wait_s = self.rate.wait_s()
        if self.queue and wait_s > 0:
            loop = asyncio.get_running_loop()
            self.next_start = loop.call_later(wait_s, self.start_queued)

    def _evaluate(self, request: Request) -> Rejected | None:
        self.queue = [queued for queued in self.queue if not queued.admitted.done()]
        heapq.heapify(self.queue)
        rank = request.priority, not self._is_short(request)
        ahead = sum((queued.priority, queued.long) <= rank for queued in self.queue)
        return self._rejection(request, ahead)

    def _rejection(self, request: Request, ahead: int) -> Rejected | None:
        now = self.clocks.monotonic()
        pace = self.current_pace()
        rate_wait_s = self.rate.wait_s(ahead)
        idle = self.in_flight == 0 and not self.queue
        if idle and pace < DEGRADED_PACE and rate_wait_s == 0:
            # The estimates may be wrong, and only a request that runs can correct them.
            return None
        slowdown = self._slowdown(min(self.in_flight + 1, self.limit))
        service_time_s = self._service_time_s(request)
        expected = estimate(
            self.in_flight,
            ahead,
            self.limit,
            self.mean_service_time_s,
            service_time_s,
            pace * slowdown,
        )
        rate_delay_s = max(0.0, rate_wait_s - expected.start_s)
        in_time = now + expected.end_s + rate_delay_s <= self._latest_end(request)
        if in_time or (
            request.late_allowed
            and rate_wait_s == 0
            and now + expected.mean_end_s <= request.deadline
            and ahead <= LATE_QUEUE_FACTOR * self.limit
            and self.in_flight < self.limit
        ):
            return None
        retry_delay_s = DEGRADED_RETRY_DELAY_S if pace >= DEGRADED_PACE else MIN_RETRY_DELAY_S
        return self._reject(max(retry_delay_s, expected.start_s), rate_wait_s)

    def _reject(self, retry_delay_s: float, rate_wait_s: float) -> Rejected:
        """Return a rejection for the later of two reasons, each with the seconds until it ends."""
        now = self.clocks.monotonic()
        if rate_wait_s <= retry_delay_s:
            return Rejected("saturated", now + retry_delay_s)
        return Rejected("rate_limited", now + min(rate_wait_s, MAX_RATE_RETRY_DELAY_S))

    def _resolve(self, queued: QueuedRequest, result: Rejected | None) -> None:
        if not queued.admitted.done():
            queued.admitted.set_result(result)
        elif result is None:
            self.in_flight -= 1
