"""Simulated endpoint in memory: slots, a queue, a service time and faults."""

from __future__ import annotations

import asyncio
import bisect
import collections
import math
import random

from goldcrestgrade import outcomes, reasons
from goldcrestgrade_node.attempts import results
from goldcrestgrade_testing.bench import scenarios

SERVICE_TIME_S = 0.02
"""Median time for which a request occupies a slot."""

ENDPOINT_SIGMA = 0.3
"""Standard deviation of the logarithm of the endpoint's own variation of the service time."""

QUEUE_PER_SLOT = 2
"""Largest number of queued requests per slot; the endpoint sheds requests beyond it."""

STALL_DURATION_S = 0.005
"""Duration of a stall that a noisy neighbour causes."""

STALL_INTERVAL_S = 0.5
"""Mean time between the starts of two stalls."""

COLD_FACTOR = 5.0
"""Factor on the service time of an endpoint that has just started."""

WARM_UP_S = 3.0
"""Time in which the service time of a cold endpoint falls linearly to that of the others."""

LYING_SLOTS_SHARE = 1 / 3
"""Share of its nominal slots that an endpoint really has in the scenario `lying`."""

FAILURE_RESPONSE_S = 0.0002
"""Time after which a failing endpoint answers with status 500."""


class Endpoint:
    """One simulated endpoint; owned by the event loop of the run."""

    def __init__(
        self,
        placement: scenarios.Placement,
        slots: int,
        scenario: scenarios.Scenario,
        rng: random.Random,
    ) -> None:
        self.placement = placement
        self.slots = slots
        self.semaphore = asyncio.Semaphore(slots)
        self.rng = rng
        self.report_delay_s = scenario.report_delay_s
        self.in_flight = 0
        self.executions = 0
        self.straggler_factor = 1.0
        self.failing = False
        self.unreachable = False
        self.lying = False
        self.cold_since: float | None = None
        self.stalls = _stalls(rng, scenario.duration_s)
        self.load_history: collections.deque[tuple[float, int]] = collections.deque([(0.0, 0)])

    def reduce_slots(self) -> None:
        """Reduce the slots to `LYING_SLOTS_SHARE` of their nominal number, but to at least one."""
        self.semaphore = asyncio.Semaphore(max(1, int(self.slots * LYING_SLOTS_SHARE)))

    async def serve(self, service_time_factor: float) -> results.AttemptResult:
        """Serve a request whose service time grows in proportion to `service_time_factor`."""
        if self.failing:
            await asyncio.sleep(FAILURE_RESPONSE_S)
            return results.Answered(outcomes.Answer(500, (), b""), self.load())
        if self.in_flight >= self.slots * (1 + QUEUE_PER_SLOT):
            return results.Shed(self.load())
        self._change_in_flight(1)
        try:
            async with self.semaphore:
                self.executions += 1
                await asyncio.sleep(self._service_time_s(service_time_factor))
        finally:
            self._change_in_flight(-1)
        if self.unreachable:
            return results.Broken(reasons.Uncertainty.ANSWER_LOST)
        return results.Answered(outcomes.Answer(200, (), b""), self.load())

    def load(self) -> int:
        """Return the load that the endpoint reports.

        It is the number of in-flight requests `report_delay_s` ago, or 0 while `lying` is set.
        """
        if self.lying:
            return 0
        then = asyncio.get_running_loop().time() - self.report_delay_s
        while len(self.load_history) > 1 and self.load_history[1][0] <= then:
            self.load_history.popleft()
        return self.load_history[0][1]

    def _change_in_flight(self, change: int) -> None:
        self.in_flight += change
        self.load_history.append((asyncio.get_running_loop().time(), self.in_flight))
        if not self.report_delay_s:
            self.load_history.popleft()

    def _service_time_s(self, service_time_factor: float) -> float:
        now = asyncio.get_running_loop().time()
        noise = self.rng.lognormvariate(0.0, ENDPOINT_SIGMA)
        service_s = (
            SERVICE_TIME_S
            * service_time_factor
            * noise
            * self.straggler_factor
            * self._cold_factor(now)
        )
        first = bisect.bisect_left(self.stalls, now)
        return service_s + STALL_DURATION_S * (
            bisect.bisect_right(self.stalls, now + service_s) - first
        )

    def _cold_factor(self, now: float) -> float:
        if self.cold_since is None:
            return 1.0
        warmth = min(1.0, (now - self.cold_since) / WARM_UP_S)
        return COLD_FACTOR + (1.0 - COLD_FACTOR) * warmth


def _stalls(rng: random.Random, duration_s: float) -> list[float]:
    starts: list[float] = []
    at = rng.expovariate(1 / STALL_INTERVAL_S)
    while at < duration_s:
        starts.append(at)
        at += rng.expovariate(1 / STALL_INTERVAL_S)
    return starts


def mean_service_time_s(request_sigma: float) -> float:
    """Return the mean time that a request occupies a slot, stalls included.

    `request_sigma` is the standard deviation of the logarithm of the service time factors.
    """
    noise = math.exp((request_sigma**2 + ENDPOINT_SIGMA**2) / 2)
    return SERVICE_TIME_S * noise * (1 + STALL_DURATION_S / STALL_INTERVAL_S)
