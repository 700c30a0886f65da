"""Admission of requests to the endpoint on this node's instance.

Load pattern: the endpoint becomes slow or full within milliseconds. All of its requests pass
through this node, which therefore rejects a request that would be answered too late before the
endpoint has received it; the entry node may then send it to another instance at once. The
controller here owns the state; `estimates` says when requests end, `queueing` in which order they
start, and `decision` whether they may. If the endpoint names a rate limit, requests also wait for
it, or are rejected.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
import math
import typing

from goldcrestgrade import instants
from goldcrestgrade_node.mesh.endpoint import (
    concurrency,
    decision,
    estimates,
    queueing,
    slowdowns,
    start_limits,
)
from goldcrestgrade_node.mesh.transport import loads

log = logging.getLogger(__name__)

STALL_REVIEW_INTERVAL_S = 0.08
"""Time between two evaluations of the queue of a stalled endpoint."""

MAX_ADMISSION_PACE_AGE_S = 0.1
"""Age of the last pace report from which a request waits for a new one before it is evaluated.

Endpoints change their pace several times a second, and it applies to a request as it starts.
"""

MAX_COLD_PACE_AGE_S = 0.3
"""The same while the endpoint is known to be cold.

Each health check takes a token of the warm-up rate, but a request that begins at an endpoint which
is cold and degraded holds its slot for seconds.
"""

PACE_CHECK_AGE_S = 0.08
"""Age of a pace report from which a health check is worth its cost while requests depend on it."""


STEADY_PACE_S = 10.0
"""Time without a degraded pace after which an endpoint with a warm-up is not asked for its pace.

Each health check takes a token of the warm-up rate. With a check whenever the last report is 0.1 s
old, 6 requests a second of 0.1 s each cost one for every two requests.
"""


class AdmissionController:
    """In-flight and queued requests of the own endpoint; owned by the node's event loop."""

    def __init__(self, clocks: instants.Clocks) -> None:
        self.clocks = clocks
        self.slots = 1
        self.rate = start_limits.StartLimits(clocks)
        self.slowdowns = slowdowns.Slowdowns()
        self.search = concurrency.LimitSearch(clocks.monotonic())
        self.in_flight = 0
        self.held = 0
        """Slots in `in_flight` of admitted requests whose body has not been received yet."""
        self.queue: list[queueing.QueuedRequest] = []
        self.arrivals = itertools.count()
        self.virtual_times: dict[queueing.Lane, queueing.VirtualTime] = {}
        """Shares of the workspaces while several of them have queued requests."""
        self.service_times_s: dict[str, float] = {}
        self.uncontended_at: dict[str, instants.Instant] = {}
        """End of the last request of each route key that ran with few others in flight."""
        self.mean_service_time_s = estimates.INITIAL_SERVICE_TIME_S
        self.pace = loads.NORMAL_PACE
        self.pace_reported_at: instants.Instant = -instants.NEVER
        self.reports_pace = True
        """Whether the endpoint reports its pace; assumed until a health check shows otherwise."""
        self.degraded_at = clocks.monotonic()
        """When a degraded pace was last reported, or this controller began."""
        self.progress_at: instants.Instant = 0.0
        """When the endpoint last became busy or completed a request."""
        self.stall_review: asyncio.TimerHandle | None = None
        """Next check whether the endpoint stalls, while requests are queued."""
        self.next_start: asyncio.TimerHandle | None = None
        """When the rate limit next lets a queued request start."""

    def load(self) -> loads.Load:
        """Return the load that is reported to other nodes."""
        slots, pace = self.limit, self.current_pace()
        rate = self.rate.lowest()
        if rate is not None:
            # By Little's law, as many requests as this keep the endpoint at its rate.
            slots = min(slots, max(1, math.ceil(rate * self.mean_service_time_s * pace)))
        return loads.Load(self.in_flight, len(self.queue), slots, pace)

    def load_snapshot(self) -> estimates.LoadSnapshot:
        """Return the current load, with the pace as reported instead of the one to expect now."""
        age_s = self.clocks.monotonic() - self.pace_reported_at
        load = self.load()._replace(running=self.at_endpoint, pace=self.pace)
        return estimates.LoadSnapshot(load, min(age_s, 999.0))

    @property
    def limit(self) -> int:
        """Concurrency limit: the slots, or fewer if the endpoint then completes more requests."""
        return self.search.limit

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
        expected = estimates.expected_pace(self.pace, age_s)
        return estimates.stalled_pace(expected, self._overdue_completions())

    def is_stalled(self) -> bool:
        """Return whether `STALL_THRESHOLD` completions are overdue since the last progress."""
        return self._overdue_completions() >= estimates.STALL_THRESHOLD

    def _overdue_completions(self) -> float:
        """Return how many completions were to be expected since the last progress.

        A pace report counts as progress too.
        """
        since_progress_s = self.clocks.monotonic() - max(self.progress_at, self.pace_reported_at)
        return since_progress_s * self.at_endpoint / self.mean_service_time_s

    def is_health_check_due(self) -> bool:
        """Return whether requests are evaluated by a degraded pace whose report is old."""
        stale = self.clocks.monotonic() - self.pace_reported_at >= PACE_CHECK_AGE_S
        return stale and self.current_pace() >= estimates.DEGRADED_PACE

    def is_pace_outdated(self) -> bool:
        """Return whether a request should wait for a new report of the pace.

        Load pattern: the endpoint gets so few requests that its pace changes between two reports,
        as in a large fleet. A request that it starts while degraded takes several times as long.
        """
        if not self.reports_pace or self._is_pace_steady() or not self._may_start():
            # A request that is queued is evaluated again after an answer, which reports the pace.
            return False
        is_cold = self.rate.coldness.is_known_cold()
        max_age_s = MAX_COLD_PACE_AGE_S if is_cold else MAX_ADMISSION_PACE_AGE_S
        return self.clocks.monotonic() - self.pace_reported_at >= max_age_s

    def _is_pace_steady(self) -> bool:
        """Return whether a new report of the pace isn't worth a token of the warm-up rate."""
        steady_s = self.clocks.monotonic() - self.degraded_at
        return self.rate.coldness.terms is not None and steady_s >= STEADY_PACE_S

    async def admit(self, request: decision.Request) -> decision.Rejected | None:
        """Wait until the request may start; return a rejection if it may not."""
        if not self.queue and self._may_start() and self._rejection(request, 0) is None:
            # Nothing that concerns the queue has to be known of this request.
            self._start()
            return None
        admitted: queueing.Admitted = asyncio.get_running_loop().create_future()
        queued = queueing.QueuedRequest(
            request.priority,
            not self._is_short(request),
            next(self.arrivals),
            request,
            admitted,
            self._service_time_s(request),
            self.clocks.monotonic(),
        )
        rejected = self._evaluate(queued)
        if rejected is not None:
            return rejected
        if self._may_start() and not self.queue:
            self._start()
            return None
        heapq.heappush(self.queue, queued)
        self._schedule_stall_review()
        self._schedule_start()
        try:
            async with asyncio.timeout(self._latest_start(request) - self.clocks.monotonic()):
                return await admitted
        except TimeoutError:
            if queueing.was_started(admitted):
                return None
            now, rate_wait_s = self.clocks.monotonic(), self.rate.wait_s()
            rejected = decision.rejected(
                now, decision.MIN_RETRY_DELAY_S, rate_wait_s, self.rate.reason()
            )
            self.queue = queueing.waiting(self.queue)
            return self._explained(queued, rejected, self.queue)
        except asyncio.CancelledError:
            if queueing.was_started(admitted):
                self.release()
            raise

    def _latest_start(self, request: decision.Request) -> instants.Instant:
        return decision.latest_start(
            request,
            self._service_time_s(request),
            self._is_short(request),
            self.clocks.monotonic(),
        )

    def _service_time_s(self, request: decision.Request) -> float:
        return self.service_times_s.get(request.route_key, self.mean_service_time_s)

    def _is_short(self, request: decision.Request) -> bool:
        return decision.is_short(self._service_time_s(request), self.mean_service_time_s)

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
        self.rate.coldness.held = self.held

    def end_hold(self) -> None:
        """Record that an admitted request no longer waits for its body."""
        if self.at_endpoint == 0:
            self.progress_at = self.clocks.monotonic()
        self.held -= 1
        self.rate.coldness.held = self.held

    def record_service_time(
        self, route_key: str, elapsed_s: float, at_start: estimates.LoadSnapshot
    ) -> None:
        """Record that a request took the endpoint `elapsed_s`.

        `at_start` is the load when the request started.
        """
        now = self.clocks.monotonic()
        self.search.end_overdue_trial(now)
        pace_at_start = estimates.expected_pace(at_start.load.pace, at_start.pace_age_s)
        pace_now = estimates.expected_pace(self.pace, now - self.pace_reported_at)
        if not estimates.is_comparable(pace_at_start, pace_now):
            return
        if route_key in self.service_times_s and pace_now > estimates.MAX_SAMPLE_PACE:
            # The endpoint may have been normal for a while between two degraded periods.
            return
        in_flight_at_start, in_flight = at_start.load.running, self.at_endpoint
        sample_s = elapsed_s / pace_now
        estimate_s = self.service_times_s.get(route_key, sample_s)
        sample_s = min(sample_s, estimates.MAX_SAMPLE_RATIO * estimate_s)
        if (
            at_start.pace_age_s < estimates.MAX_PACE_AGE_S
            and abs(in_flight - in_flight_at_start) <= estimates.MAX_IN_FLIGHT_CHANGE
        ):
            if estimates.was_normal(at_start, self.pace):
                slowdown = sample_s / max(estimate_s, estimates.MIN_SERVICE_TIME_S)
                self.slowdowns.record(in_flight, slowdown, now)
            self._search_limit(route_key, max(in_flight_at_start, in_flight), sample_s)
        if max(in_flight_at_start, in_flight) <= estimates.UNCONTENDED_SHARE * self.slots:
            self.uncontended_at[route_key] = now
        # A sample under contention includes the slowdown, so it counts only if the route key has no
        # recent sample without contention.
        uncontended_at = self.uncontended_at.get(route_key, -math.inf)
        if uncontended_at == now or now - uncontended_at >= slowdowns.DECAY_TIME_S:
            self.service_times_s[route_key] = estimates.updated(estimate_s, sample_s)
        self.mean_service_time_s = estimates.updated(
            self.mean_service_time_s, self.service_times_s[route_key]
        )

    def _slowdown(self, in_flight: int) -> float:
        """Return the expected slowdown with `in_flight` requests at the endpoint."""
        if in_flight <= estimates.UNCONTENDED_SHARE * self.slots:
            return 1.0
        return self.slowdowns.expected(in_flight, self.clocks.monotonic())

    def _search_limit(self, route_key: str, in_flight: int, service_time_s: float) -> None:
        now, before = self.clocks.monotonic(), self.limit
        slowdown = self._known_slowdown(route_key, in_flight)
        self.search.record(route_key, in_flight, service_time_s, now, slowdown)
        if self.limit != before:
            log.info(
                "requests at once changed",
                extra={"limit": self.limit, "before": before, "slots": self.slots},
            )

    def _known_slowdown(self, route_key: str, in_flight: int) -> float:
        """Return the slowdown relative to recent requests without contention, or infinity."""
        now = self.clocks.monotonic()
        uncontended_at = self.uncontended_at.get(route_key, -math.inf)
        if (
            now - uncontended_at >= slowdowns.DECAY_TIME_S
            or self.slowdowns.weight(in_flight, now) < concurrency.TRIAL_SAMPLES
        ):
            return math.inf
        return self.slowdowns.expected(in_flight, now)

    def record_missing_load(self) -> None:
        """Record that the endpoint answered a health check without a load report."""
        self.reports_pace = False

    def apply_load_report(self, load: loads.Load) -> None:
        """Apply a load report, and reject queued requests that a higher pace makes late."""
        self.reports_pace = True
        degraded = load.pace >= estimates.DEGRADED_PACE and load.pace > self.current_pace()
        self.pace, self.pace_reported_at = load.pace, self.clocks.monotonic()
        if load.pace >= estimates.DEGRADED_PACE:
            self.degraded_at = self.pace_reported_at
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
        """Set the endpoint's number of slots, and begin the search for its concurrency limit."""
        self.slots = max(1, slots)
        self.search.set_slots(self.slots, self.clocks.monotonic())
        self.start_queued()

    def _schedule_stall_review(self) -> None:
        """Schedule a check for the instant at which the endpoint counts as stalled.

        Load pattern: the endpoint stops completing requests and reports nothing. Queued requests
        that can no longer end in time are rejected when the gap shows it, not at their target.
        """
        if self.stall_review is not None or not self.queue:
            return
        missing = estimates.STALL_THRESHOLD - self._overdue_completions()
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
        self.queue = queueing.waiting(self.queue)
        if self._is_shared():
            for queued, rejected in self._evictions(self.queue, margin_for=None):
                self._resolve(queued, rejected)
            self.queue = queueing.waiting(self.queue)
            return
        queue, self.queue = sorted(self.queue), []
        for queued in queue:
            late = self._rejection(queued.request, len(self.queue))
            if late is None:
                self.queue.append(queued)
            else:
                self._resolve(queued, late)

    def reject_queued(self, reason: str) -> None:
        """Reject all queued requests with `reason`."""
        queue, self.queue = self.queue, []
        for queued in queue:
            self._resolve(queued, decision.Rejected(reason, self.clocks.monotonic()))

    def start_queued(self) -> None:
        """Start queued requests up to the limits, and reject those that would end too late."""
        while self.queue and self._may_start():
            queued = self._pop_queued()
            if queued.admitted.done():
                continue
            rejected = self._rejection(queued.request, 0)
            if rejected is None:
                self._start()
                self._record_start(queued)
            else:
                rejected = self._explained(queued, rejected, self.queue)
            self._resolve(queued, rejected)
        self._schedule_start()

    def _is_shared(self) -> bool:
        """Return whether requests of several workspaces are queued."""
        return bool(self.queue) and queueing.is_shared(self.queue, self.queue[0].request.workspace)

    def _pop_queued(self) -> queueing.QueuedRequest:
        """Remove and return the queued request that starts next."""
        if self._is_shared():
            self.queue = queueing.waiting(self.queue) or self.queue
            next_ = queueing.in_order(self.queue, self.virtual_times)[0]
            self.queue.remove(next_)
            heapq.heapify(self.queue)
            return next_
        self.virtual_times.clear()
        return heapq.heappop(self.queue)

    def _record_start(self, queued: queueing.QueuedRequest) -> None:
        """Count a started request in the share of its workspace while others wait."""
        if queueing.is_shared(self.queue, queued.request.workspace):
            virtual_time = self.virtual_times.setdefault(queued.lane, queueing.VirtualTime())
            virtual_time.record_start(queued.request.workspace, queued.service_time_s)

    def _schedule_start(self) -> None:
        """Start queued requests again once the rate limit allows it."""
        if self.next_start is not None:
            self.next_start.cancel()
            self.next_start = None
        wait_s = self.rate.wait_s()
        if self.queue and wait_s > 0:
            loop = asyncio.get_running_loop()
            self.next_start = loop.call_later(wait_s, self.start_queued)

    def _evaluate(self, arriving: queueing.QueuedRequest) -> decision.Rejected | None:
        """Return why an arriving request is rejected; reject queued ones that give way to it."""
        self.queue = queueing.waiting(self.queue)
        request = arriving.request
        if not queueing.is_shared(self.queue, request.workspace):
            ahead = queueing.count_ahead(self.queue, arriving.priority, arriving.long)
            rejected = self._rejection(request, ahead)
            return rejected and self._explained(arriving, rejected, self.queue)
        evicted = self._evictions([*self.queue, arriving], margin_for=arriving)
        for queued, rejected in evicted:
            if queued is not arriving:
                self._resolve(queued, rejected)
        self.queue = queueing.waiting(self.queue)
        return next((rejected for queued, rejected in evicted if queued is arriving), None)

    def _evictions(
        self,
        queue: typing.Sequence[queueing.QueuedRequest],
        margin_for: queueing.QueuedRequest | None,
    ) -> list[tuple[queueing.QueuedRequest, decision.Rejected]]:
        """Return the requests of several workspaces to reject so that the others end in time.

        Only `margin_for`, or each request if it is none, is given a margin on its service time.
        """
        state = self._state()

        def is_late(queued: queueing.QueuedRequest, ahead: int) -> bool:
            with_margin = margin_for is None or queued is margin_for
            return self._rejection(queued.request, ahead, state, not with_margin) is not None

        ordered = queueing.in_order(queue, self.virtual_times)
        return [
            (
                queued,
                self._explained(
                    queued,
                    self._rejection(queued.request, len(queue) - 1, state)
                    or decision.rejected(state.now, decision.MIN_RETRY_DELAY_S, 0.0),
                    queue,
                ),
            )
            for queued in queueing.evictions(ordered, is_late)
        ]

    def _explained(
        self,
        queued: queueing.QueuedRequest,
        rejected: decision.Rejected,
        queue: typing.Sequence[queueing.QueuedRequest],
    ) -> decision.Rejected:
        """Return a rejection with its reason: the share of the workspace, or the whole load.

        It is the share if a request of a workspace without queued ones would have been admitted.
        """
        workspace = queued.request.workspace
        if not workspace and not queueing.is_shared(queue, workspace):
            return rejected
        alone = not any(
            other.request.workspace == workspace for other in queue if other is not queued
        )
        ahead = queueing.count_ahead_of_new(queue, queued.lane, self.virtual_times)
        state = self._state()
        renewed = decision.renewed(queued.request, queued.arrived_at, state.now)
        if alone or self._rejection(renewed, ahead, state) is not None:
            return rejected
        excess_s = queueing.excess_s(queue, queued.priority, workspace)
        return decision.beyond_share(rejected, excess_s, state)

    def _state(self) -> decision.State:
        return decision.State(
            now=self.clocks.monotonic(),
            in_flight=self.in_flight,
            queued=len(self.queue),
            limit=self.limit,
            pace=self.current_pace(),
            slowdown=self._slowdown(min(self.in_flight + 1, self.limit)),
            mean_service_time_s=self.mean_service_time_s,
            limit_reason=self.rate.reason(),
        )

    def _rejection(
        self,
        request: decision.Request,
        ahead: int,
        state: decision.State | None = None,
        queued: bool = False,
    ) -> decision.Rejected | None:
        return decision.rejection(
            state or self._state(),
            request,
            self._service_time_s(request),
            ahead,
            self.rate.wait_s(ahead),
            queued,
        )

    def _resolve(self, queued: queueing.QueuedRequest, result: decision.Rejected | None) -> None:
        if not queued.admitted.done():
            queued.admitted.set_result(result)
        elif result is None:
            self.in_flight -= 1
