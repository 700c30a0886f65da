"""Bound on what any policy can serve in time: one queue with perfect knowledge and no hops."""

from __future__ import annotations

import asyncio
import collections
import heapq

from goldcrestgrade_testing import virtual_time
from goldcrestgrade_testing.fleet_model import fleet, workload

SCAN_S = 0.005
"""Time between two scans of the queues for requests that an endpoint can serve in time now."""


class Oracle:
    """Starts requests by their latency target wherever they end in time, and drops all others."""

    def __init__(self, load: workload.Workload) -> None:
        self.load = load
        services = sorted({kind.service for kind in load.kinds})
        count = load.endpoints.number
        self.endpoints = {
            service: [
                fleet.Endpoint(load.endpoints, index * count + number, load.seed)
                for number in range(count)
            ]
            for index, service in enumerate(services)
        }
        self.queues: dict[str, list[tuple[float, int, workload.Arrival]]] = {
            service: [] for service in services
        }
        self.tasks: set[asyncio.Task[None]] = set()
        self.started: collections.Counter[fleet.Endpoint] = collections.Counter()
        """Requests that the current scan has started."""
        self.results: list[fleet.Result] = []

    async def run(self, endpoint: fleet.Endpoint, arrival: workload.Arrival) -> None:
        """Run a request at an endpoint; a call takes its work at a normal pace and no slot."""
        call_s = next((k.work_s for k in self.load.kinds if k.name == arrival.kind.calls), 0.0)
        restarted = self.restarted_at()
        await endpoint.run(arrival.work_s, lambda: asyncio.sleep(call_s * arrival.kind.call_share))
        in_time = self.now() + workload.CLIENT_S <= arrival.at + arrival.kind.target_s
        if in_time and restarted == self.restarted_at():
            self.results.append(fleet.Result(arrival.kind, arrival.at, "in_time"))

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def restarted_at(self) -> float:
        """Return when the endpoints started, or 0 before their loss."""
        back_at = self.load.restart_at + workload.RESTART_S
        return back_at if self.now() >= back_at else 0.0

    def scan(self) -> None:
        """Start queued requests while endpoints would serve them in time."""
        if self.load.restart_at <= self.now() < self.load.restart_at + workload.RESTART_S:
            return
        knee = max(1, int(self.load.endpoints.knee * self.load.endpoints.slots))
        self.started.clear()
        for service, queue in self.queues.items():
            for endpoint in self.endpoints[service]:
                endpoint.up_at = self.restarted_at() or -self.load.endpoints.cold_s
            free = sorted((e for e in self.endpoints[service] if e.running < knee), key=_pace)
            while queue and free:
                target_at, _, arrival = heapq.heappop(queue)
                if self.now() + arrival.work_s > target_at:
                    continue
                if self.now() + arrival.work_s * free[0].pace() > target_at:
                    heapq.heappush(queue, (target_at, id(arrival), arrival))
                    break
                self.tasks.add(asyncio.create_task(self.run(free[0], arrival)))
                self.started[free[0]] += 1
                free = [e for e in free if e.running + self.started[e] < knee]

    async def play(self) -> list[fleet.Result]:
        """Play the day and return the requests that were served in time."""
        pending = workload.arrivals(self.load)[::-1]
        while pending or any(self.queues.values()):
            while pending and pending[-1].at + workload.CLIENT_S <= self.now():
                arrival = pending.pop()
                target_at = arrival.at + arrival.kind.target_s - workload.CLIENT_S
                heapq.heappush(self.queues[arrival.kind.service], (target_at, id(arrival), arrival))
            self.scan()
            await asyncio.sleep(SCAN_S)
        await asyncio.gather(*self.tasks)
        return self.results


def _pace(endpoint: fleet.Endpoint) -> float:
    return endpoint.pace()


def play(load: workload.Workload) -> list[fleet.Result]:
    """Return the requests that are served in time with perfect knowledge."""

    async def run() -> list[fleet.Result]:
        return await Oracle(load).play()

    return virtual_time.run(run())
