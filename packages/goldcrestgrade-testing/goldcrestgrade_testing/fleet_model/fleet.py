"""Nodes, endpoints, links and clients of the modelled fleet.

Dispatch, placement, admission, limits and retry budgets are the code of the product. The model has
links with a fixed delay. A client retries once, after the delay in `Retry-After`, but waits for a
third of its remaining time at most.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import random
import typing

from goldcrestgrade import counters, instants, outcomes, reasons, routes
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.endpoint import admission, coldness, health
from goldcrestgrade_node.mesh.entry import dispatch, retry_budget, returning
from goldcrestgrade_node.mesh.state import directory, replica
from goldcrestgrade_node.mesh.transport import loads, requests
from goldcrestgrade_testing import virtual_time
from goldcrestgrade_testing.fleet_model import workload as workloads

HEALTH_CHECK_S = 0.006
"""Time that an endpoint takes to answer a health check."""

BUDGET = retry_budget.Terms(0.2, 60.0, 10.0)

ATTEMPTS = 2
"""Endpoints that one attempt of a client may be sent to."""

RETRY_SHARE = 1 / 3
"""Longest wait for `Retry-After` that clients accept, as a share of their remaining time."""

COLD_PACE = 2.0

COLD_END_MARGIN_S = 0.005
"""Delay of the health check after a cold time."""

WARM_UP_OVERAGE, WARM_UP_SLACK = 1.5, 8.0
"""Factor on the warm-up rate, and further requests, that an endpoint tolerates in a second."""


class Lost(Exception):
    """The node or the endpoint was lost while it had the request."""


@dataclasses.dataclass
class Result:
    """How the request of one client ended."""

    kind: workloads.Kind
    at: float
    """When its first attempt was sent."""
    how: str = "failed"
    """One of `in_time`, `late`, `refused` and `failed`."""
    refusals: int = 0


class Endpoint:
    """The endpoint of one instance, whose pace applies to a request as it starts."""

    def __init__(self, terms: workloads.Endpoints, number: int, seed: int) -> None:
        self.terms = terms
        self.running = 0
        self.up_at = -terms.cold_s
        self.starts_by_level: collections.Counter[int] = collections.Counter()
        """Number of requests that started, by how many then ran, themselves included."""
        rng = random.Random(f"{seed} {number}")
        periods = int(2 * workloads.DURATION_S / terms.degraded_s)
        self.degraded = [rng.random() < terms.degraded_share for _ in range(periods)]

    def pace(self) -> float:
        """Return the time that work takes now, relative to normal."""
        now = asyncio.get_running_loop().time()
        period = int(now / self.terms.degraded_s) % len(self.degraded)
        pace = self.terms.degraded_pace if self.degraded[period] else 1.0
        return pace * (COLD_PACE if self.cold_left_s() else 1.0)

    def cold_left_s(self) -> float:
        """Return the seconds for which the endpoint stays cold."""
        now = asyncio.get_running_loop().time()
        return max(0.0, self.up_at + self.terms.cold_s - now)

    def contention(self) -> float:
        """Return the factor on the time of a request that is the last one to start."""
        beyond = self.running > self.terms.knee * self.terms.slots
        return self.terms.contention if beyond else 1.0

    async def run(
        self, work_s: float, call: typing.Callable[[], typing.Awaitable[None]] | None
    ) -> None:
        """Work for `work_s` at the pace of now, and make a call halfway."""
        self.running += 1
        self.starts_by_level[self.running] += 1
        try:
            took_s = work_s * self.pace() * self.contention()
            if call is None:
                await asyncio.sleep(took_s)
                return
            await asyncio.sleep(took_s / 2)
            await call()
            await asyncio.sleep(took_s / 2)
        finally:
            self.running -= 1


class Node:
    """One instance: its entry, its admission and its endpoint."""

    def __init__(self, fleet: Fleet, row: directory.InstanceRow, number: int) -> None:
        self.fleet = fleet
        self.row = row
        self.number = number
        self.endpoint = Endpoint(fleet.workload.endpoints, number, fleet.workload.seed)
        self.up = True
        self.start()

    def start(self) -> None:
        """Start with no knowledge but the rows of the other instances."""
        clocks = self.fleet.clocks
        self.controller = admission.AdmissionController(clocks)
        self.controller.set_slots(self.fleet.workload.endpoints.slots)
        self.checked: asyncio.Task[None] | None = None
        self.usual_timeouts = returning.UsualTimeouts()
        self.instances = directory.Directory()
        for row in self.fleet.rows:
            self.instances.apply_change(
                tables.Change(
                    replica.MESH,
                    directory.INSTANCE_PREFIX + row.node_id,
                    tables.Position(1, row.port),
                    directory.encode(row),
                )
            )
        self.dispatcher = dispatch.Dispatcher(
            self.row.place,
            self.instances,
            self.send,
            BUDGET,
            clocks,
            counters.Counts(),
            random.Random(f"{self.fleet.workload.seed} {self.row.node_id}"),
        )
        self.dispatcher.offers.own_id = self.row.node_id
        self.dispatcher.offers.own_load = self.controller.load
        if self.endpoint.terms.warm_up_rate:
            self.dispatcher.offers.find_service = self.fleet.find_service
            self.start_warm_up(self.controller.rate.coldness)

    def start_warm_up(self, cold: coldness.Coldness) -> None:
        """Connect the warm-up of the endpoint, as the node of the product does."""
        cold.on_doubt = self.request_check
        cold.on_warm = self.controller.start_queued
        cold.on_cold = self.check_when_warm
        service = self.fleet.services[self.row.service]
        cold.set_terms(coldness.terms(service, WARM_UP_OVERAGE, WARM_UP_SLACK))

    def check_when_warm(self, until: float) -> None:
        """Ask the endpoint for its state once its cold time has ended."""
        loop = asyncio.get_running_loop()
        loop.call_at(until + COLD_END_MARGIN_S, self.request_check)

    def request_check(self) -> None:
        """Ask the endpoint for its state unless that is under way or known."""
        known_cold = self.controller.rate.coldness.is_known_cold()
        if self.up and not known_cold and (self.checked is None or self.checked.done()):
            self.checked = asyncio.get_running_loop().create_task(self.check())

    async def check(self) -> None:
        """Ask the endpoint for its pace."""
        cold = self.controller.rate.coldness
        begun = cold.begin_check()
        await asyncio.sleep(HEALTH_CHECK_S)
        self.report()
        cold.record_check(begun, self.endpoint.cold_left_s())

    def report(self) -> None:
        """Apply the load that the endpoint reports with each of its answers."""
        self.controller.apply_load_report(
            loads.Load(self.endpoint.running, 0, self.endpoint.terms.slots, self.endpoint.pace())
        )

    async def send(
        self, instance: directory.Instance, call: requests.Call
    ) -> requests.Served | None:
        """Pass a request on to the node of an instance."""
        other = self.fleet.nodes[instance.row.node_id]
        one_way_s = self.fleet.delay_s(self.row.place, instance.row.place)
        remote = other is not self
        self.fleet.count_hop(self.row.place, instance.row.place)
        if not other.up:
            await asyncio.sleep(2 * one_way_s)
            return None
        await asyncio.sleep(one_way_s + remote * self.fleet.workload.hop_s)
        received = self.fleet.clocks.monotonic()
        served = await (other.serve_relayed(call) if remote else other.serve(call))
        now = self.fleet.clocks.monotonic()
        await asyncio.sleep(one_way_s + remote * self.fleet.workload.hop_s)
        return served._replace(served_s=now - received) if remote else served

    async def serve_relayed(self, call: requests.Call) -> requests.Served:
        """Serve a request of another node, and forward it if it may and is rejected here."""
        served = await self.serve(call)
        return await self.dispatcher.forward(call, served) if call.forward_allowed else served

    async def serve(self, call: requests.Call) -> requests.Served:
        """Admit a request and have the endpoint run it, as `local.LocalRunner` does."""
        controller, lives = self.controller, self.endpoint.up_at
        if not self.up:
            raise Lost
        if controller.is_pace_outdated() or controller.rate.coldness.is_check_awaited():
            self.request_check()
            if self.checked is not None:
                await asyncio.wait({self.checked}, timeout=health.MAX_PACE_WAIT_S)
        elif controller.is_health_check_due():
            self.request_check()
        rejected = await controller.admit(call.admission_request())
        if rejected is not None:
            reason = reasons.Refusal(rejected.reason)
            refused = outcomes.NotRun(reason, rejected.retry_at)
            return requests.Served(refused, controller.load(), False)
        try:
            status = await self._run(call, controller)
        finally:
            controller.release()
        if lives != self.endpoint.up_at or not self.up:
            raise Lost
        outcome: outcomes.Outcome = outcomes.Ran(outcomes.Answer(status, (), b""))
        if self.fleet.rng.random() < self.fleet.workload.lost_share:
            outcome = outcomes.Unknown(reasons.Uncertainty.ANSWER_INVALID)
        return requests.Served(outcome, controller.load(), True)

    async def _run(self, call: requests.Call, controller: admission.AdmissionController) -> int:
        if call.deadline <= self.fleet.clocks.monotonic():
            return 504
        kind, work_s = self.fleet.work[call.attempt_id]
        started, at_start = self.fleet.clocks.monotonic(), controller.load_snapshot()
        answered: list[bool] = []

        async def make_call() -> None:
            answered.append(await self.fleet.call(self, self.fleet.kinds[kind.calls], call))

        calls = kind.calls and self.fleet.rng.random() < kind.call_share
        await self.endpoint.run(work_s, make_call if calls else None)
        self.report()
        if not all(answered):
            return 500
        controller.record_service_time(
            call.route_key, self.fleet.clocks.monotonic() - started, at_start
        )
        return 200


class Fleet:
    """All instances and clients of one day."""

    def __init__(self, workload: workloads.Workload) -> None:
        self.workload = workload
        self.rng = random.Random(workload.seed)
        self.clocks = instants.loop_clocks()
        self.kinds = {kind.name: kind for kind in workload.kinds}
        self.results: list[Result] = []
        self.work: dict[str, tuple[workloads.Kind, float]] = {}
        """Kind and service time of each attempt."""
        self.ids = itertools.count()
        self.hops: collections.Counter[str] = collections.Counter()
        self.call_failures = 0
        services = sorted({kind.service for kind in workload.kinds})
        self.services = {
            name: routes.Service(
                name,
                "/healthz",
                9,
                workload.endpoints.cold_s,
                workload.endpoints.warm_up_rate,
            )
            for name in services
        }
        places = [
            (service, directory.Location(*workloads.DOMAINS[number % len(workloads.DOMAINS)]))
            for service in services
            for number in range(workload.endpoints.number)
        ]
        self.rows = [
            directory.InstanceRow(f"n{number:02}", "10.0.0.1", number + 1, place, service, True, 1)
            for number, (service, place) in enumerate(places)
        ]
        self.nodes = {row.node_id: Node(self, row, number) for number, row in enumerate(self.rows)}

    def find_service(self, name: str) -> routes.Service:
        """Return a service with the warm-up rate that its endpoints may get."""
        service = self.services[name]
        rate = coldness.sustained_rate(service, WARM_UP_OVERAGE)
        return service._replace(warm_up_rate=rate)

    def delay_s(self, here: directory.Location, there: directory.Location) -> float:
        """Return the time that a message takes from one place to another."""
        if here.region != there.region:
            return self.workload.region_s
        return 0.0002 if here == there else self.workload.domain_s

    def count_hop(self, here: directory.Location, there: directory.Location) -> None:
        """Count an attempt of a node, within its region or to another one."""
        self.hops["other_region" if here.region != there.region else "same_region"] += 1

    def request(
        self, kind: workloads.Kind, work_s: float, node: Node, left_s: float
    ) -> requests.Call:
        """Return a request that `node` receives and whose sender waits `left_s`."""
        attempt_id, now = str(next(self.ids)), self.clocks.monotonic()
        elapsed_s = node.usual_timeouts.elapsed_s(kind.name, round(left_s, 3))
        self.work[attempt_id] = kind, work_s
        return requests.Call(
            attempt_id, kind.name, kind.service, kind.run_once, kind.priority, node.row.service,
            "GET", "/", "", (), b"", now + kind.target_s - elapsed_s, now + left_s,
            allowed_regions=kind.regions,
        )  # fmt: skip

    async def call(self, node: Node, kind: workloads.Kind, parent: requests.Call) -> bool:
        """Make a call on behalf of a request that runs; return whether it was answered."""
        left_s = min(kind.timeout_s, parent.deadline - self.clocks.monotonic())
        call = self.request(kind, kind.work_s, node, left_s)
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                outcome = await node.dispatcher.run(call, ATTEMPTS)
        except (TimeoutError, Lost):
            outcome = outcomes.Unknown(reasons.Uncertainty.TIMED_OUT)
        answered = isinstance(outcome, outcomes.Ran) and outcome.answer.status == 200
        self.call_failures += not answered
        return answered

    async def client(self, arrival: workloads.Arrival) -> None:
        """Send a request, and once more if it was refused or failed and may be repeated."""
        await asyncio.sleep(arrival.at)
        kind = arrival.kind
        result = Result(kind, arrival.at)
        self.results.append(result)
        nodes = [
            node
            for node in self.nodes.values()
            if node.row.place.failure_domain == workloads.DOMAINS[arrival.domain][0]
        ]
        deadline = arrival.at + kind.timeout_s
        for _ in range(4 if arrival.impatient else 2):
            node = self.rng.choice(nodes)
            retry_s = await self.attempt(node, arrival, result, deadline)
            left_s = deadline - self.clocks.monotonic()
            if retry_s is None or left_s <= 0:
                return
            await asyncio.sleep(0.0 if arrival.impatient else min(retry_s, RETRY_SHARE * left_s))

    async def attempt(
        self, node: Node, arrival: workloads.Arrival, result: Result, deadline: float
    ) -> float | None:
        """Send one attempt; return the time after which the client returns, none if it doesn't."""
        kind = arrival.kind
        await asyncio.sleep(workloads.CLIENT_S)
        left_s = deadline - self.clocks.monotonic() - workloads.CLIENT_S
        try:
            if not node.up:
                raise Lost
            async with asyncio.timeout(max(0.0, left_s)):
                call = self.request(kind, arrival.work_s, node, left_s)
                outcome = await node.dispatcher.run(call, ATTEMPTS)
        except (TimeoutError, Lost):
            result.how = "failed"
            return None if kind.run_once else 0.0
        await asyncio.sleep(workloads.CLIENT_S)
        now = self.clocks.monotonic()
        match outcome:
            case outcomes.Ran(answer=answer) if answer.status == 200:
                result.how = "in_time" if now <= arrival.at + kind.target_s else "late"
                return None
            case outcomes.NotRun(retry_at=retry_at):
                result.how = "refused"
                result.refusals += 1
                return max(0.0, (retry_at or now) - now)
            case _:
                result.how = "failed"
                return None if kind.run_once else 0.0

    async def restart(self) -> None:
        """Lose all nodes and endpoints, and start them again."""
        if self.workload.restart_at > workloads.DURATION_S:
            return
        await asyncio.sleep(self.workload.restart_at)
        for node in self.nodes.values():
            node.up = False
        await asyncio.sleep(workloads.RESTART_S)
        for node in self.nodes.values():
            node.endpoint.up_at = self.clocks.monotonic()
        await asyncio.gather(*map(self._start, self.nodes.values()))

    async def _start(self, node: Node) -> None:
        """Start a node after a part of the longest time of a start."""
        await asyncio.sleep(self.workload.start_s * random.Random(node.number).uniform(0.2, 1.0))
        node.up = True
        node.start()

    async def play(self) -> None:
        """Play the day until all requests have ended."""
        await asyncio.gather(
            self.restart(), *(self.client(one) for one in workloads.arrivals(self.workload))
        )


def play(workload: workloads.Workload) -> Fleet:
    """Play a day in virtual time and return the fleet with its results."""

    async def run() -> Fleet:
        fleet = Fleet(workload)
        await fleet.play()
        return fleet

    return virtual_time.run(run())
