"""Runs a fleet under a plan of faults while clients send requests, and returns their history."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import typing

from goldcrestgrade_testing.fault_soak import checks, history, injection, plan
from goldcrestgrade_testing.fleet_platform import endpoint, fleet

REGIONS = {"khomas-a": "khomas", "khomas-b": "khomas", "oshana-a": "oshana"}
"""Region of each failure domain."""

SERVICES = ("archive", "corrections")

CLIENTS = 8
"""Number of clients of the smallest fleet; each sends one request at a time."""

MAX_CLIENTS = 24
"""Largest number of clients; more would stall the soak, which also runs all endpoints."""


def placements(size: int) -> dict[str, fleet.Placement]:
    """Return placements by instance name: `size` instances of each service in each domain."""
    return {
        f"{domain}-{number}": fleet.Placement(domain, region, service)
        for domain, region in REGIONS.items()
        for number, service in enumerate(SERVICES * size, 1)
    }


PLACEMENTS = placements(1)
"""Placements of the smallest fleet."""

ROTATING_SHARE = 0.25
"""Share of the requests whose key may have been withdrawn."""

HOT_CLIENTS = 6
"""Number of clients of a hot workspace."""

HOT_PAUSE_S = 0.08
"""Pause of such a client; some 40 requests a second in all, which the endpoints can serve."""

MAX_POPULAR_CALLERS = 6
"""Largest number of instances whose clients request one path at once."""

POPULAR_CLIENTS = 2
"""Number of such clients at each of them."""

PAUSE_S = 0.02
"""Pause of a client between an answer and its next request."""

SERVICE_TIME_S = 0.05
"""Time that an endpoint at normal pace works on a request."""

WARM_UP = endpoint.WarmUp(seconds=2.0, rate=6.0)
"""Warm-up of all services. Cold endpoints don't crash, so that a check can count their requests."""

RECOVERY_TIMEOUT_S = 15.0
"""Documented time within which all instances serve again after the last fault."""

CHECK_INTERVAL_S = 0.05
"""Time between two checks for recovery, and between two checks for stalls of the soak."""

STALL_THRESHOLD_S = 0.15
"""Delay of a check from which the soak process counts as stalled.

The checks add stalls to their time bounds, so that a delay of the soak is no violation.
"""


class Soak:
    """One run of the soak; owned by one event loop."""

    def __init__(self, running_fleet: fleet.Fleet, rng: random.Random) -> None:
        self.fleet = running_fleet
        self.rng = rng
        self.requests: list[history.Request] = []
        self.injected_faults: list[history.InjectedFault] = []
        self.stalls: list[history.Span] = []
        self.finished = False

    async def play(self, faults: typing.Sequence[plan.Fault]) -> history.History:
        """Inject `faults` while clients send requests, wait for recovery and return the history."""
        size = len(self.fleet.instances) // len(PLACEMENTS)
        count = min(CLIENTS * size, MAX_CLIENTS)
        clients = [asyncio.create_task(self._run_client(number)) for number in range(count)]
        clients += [asyncio.create_task(self._run_hot_client()) for _ in range(HOT_CLIENTS)]
        # Requests are the same only if they have the same caller.
        callers = [i for i in self.fleet.instances if i.placement.service == max(SERVICES)]
        clients += [
            asyncio.create_task(self._run_popular_client(instance))
            for instance in callers[:MAX_POPULAR_CALLERS] * POPULAR_CLIENTS
        ]
        stall_recorder = asyncio.create_task(self._record_stalls())
        started = time.monotonic()
        try:
            await asyncio.gather(*(self._inject(fault, started) for fault in faults))
            recovered = await self._wait_recovered()
        finally:
            self.finished = True
            await asyncio.gather(*clients)
            stall_recorder.cancel()
        return self._history(recovered)

    async def _inject(self, fault: plan.Fault, started: float) -> None:
        await asyncio.sleep(max(0.0, started + fault.begin_s - time.monotonic()))
        name = (
            "" if fault.kind in plan.FLEET_WIDE_KINDS else self.fleet.instances[fault.instance].name
        )
        begin = time.monotonic()
        end_fault = await injection.inject(self.fleet, fault)
        await asyncio.sleep(max(0.0, started + fault.end_s - time.monotonic()))
        await end_fault()
        span = history.Span(begin, time.monotonic())
        self.injected_faults.append(history.InjectedFault(fault.kind, name, span))

    async def _run_client(self, number: int) -> None:
        for count in itertools.count():
            if self.finished:
                return
            instance = self.rng.choice(self.fleet.instances)
            run_once = (number + count) % 3 == 0
            routes = [prefix for prefix, _ in self.fleet.added_routes]
            path = f"/{self.rng.choice(SERVICES)}/{'file/' if run_once else ''}{count}"
            if routes and count % 7 == 0:
                path, run_once = f"{self.rng.choice(routes)}{count}", False
            await self._send_request(instance, path, run_once)
            await asyncio.sleep(PAUSE_S)

    async def _run_hot_client(self) -> None:
        for count in itertools.count():
            if self.finished:
                return
            if self.fleet.hot_count:
                instance = self.rng.choice(self.fleet.instances)
                path = f"/{self.rng.choice(SERVICES)}/hot-{count}"
                await self._send_request(instance, path, False, fleet.HOT_WORKSPACE)
            await asyncio.sleep(HOT_PAUSE_S)

    async def _run_popular_client(self, instance: fleet.Instance) -> None:
        while not self.finished:
            if self.fleet.popular_count:
                await self._send_request(instance, fleet.POPULAR_PATH, False)
            await asyncio.sleep(PAUSE_S)

    async def _send_request(
        self, instance: fleet.Instance, path: str, run_once: bool, workspace: str = ""
    ) -> None:
        node_pid = 0 if instance.process is None else instance.process.pid
        sent_at = time.monotonic()
        key = fleet.HOT_KEY if workspace else self._draw_key()
        answer = await self.fleet.call(instance, path, "POST" if run_once else "GET", key=key)
        is_own_answer = (
            answer.body == b"body of " + answer.attempt_id.encode()
            and answer.fields.get("x-attempt-id") == answer.attempt_id
            and answer.fields.get("x-upstream-signature", "").endswith(f".{answer.attempt_id}")
        )
        self.requests.append(
            history.Request(
                answer.attempt_id,
                instance.name,
                node_pid,
                path,
                run_once,
                sent_at,
                time.monotonic(),
                answer.status,
                is_own_answer,
                "retry-after" in answer.fields,
                answer.fields.get("x-upstream-signature", "").partition(".")[0],
                "server-limit" in answer.fields,
                "server-leaving" in answer.fields,
                workspace or self._workspace_of(key),
                key,
            )
        )

    def _workspace_of(self, key: str) -> str:
        steady = key == self.fleet.default_key
        return fleet.STEADY_WORKSPACE if steady else fleet.ROTATING_WORKSPACE

    def _draw_key(self) -> str:
        """Return the key of the next request, often one that is new or withdrawn."""
        assert self.fleet.default_key is not None
        if self.rng.random() >= ROTATING_SHARE:
            return self.fleet.default_key
        return self.rng.choice(self.fleet.keys[-2:]).text

    async def _record_stalls(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            if now - before > CHECK_INTERVAL_S + STALL_THRESHOLD_S:
                self.stalls.append(history.Span(before, now))

    async def _wait_recovered(self) -> dict[str, bool]:
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        paths = [f"/{service}/back" for service in SERVICES]
        if any(fault.kind == plan.POPULAR_KIND for fault in self.injected_faults):
            paths.append(fleet.POPULAR_PATH)
        pending = set(itertools.product([i.name for i in self.fleet.instances], paths))
        by_name = {instance.name: instance for instance in self.fleet.instances}
        while pending and time.monotonic() < deadline:
            for name, path in sorted(pending):
                answer = await self.fleet.call(by_name[name], path)
                if answer.status == 200:
                    pending.discard((name, path))
            await asyncio.sleep(CHECK_INTERVAL_S)
        not_served = {name for name, _ in pending}
        return {name: name not in not_served for name in by_name}

    def _evacuation(self, evacuation: fleet.Evacuation) -> history.Evacuation:
        domains = {i.name: i.placement.failure_domain for i in self.fleet.instances}
        all_endpoints = [*self.fleet.former_endpoints, *(i.endpoint for i in self.fleet.instances)]
        ended_at = time.monotonic() if evacuation.ended_at is None else evacuation.ended_at
        return history.Evacuation(
            frozenset(
                one.endpoint_id
                for one in all_endpoints
                if domains[one.instance] == evacuation.failure_domain
            ),
            history.Span(evacuation.started_at, ended_at),
        )

    def _history(self, recovered: dict[str, bool]) -> history.History:
        all_endpoints = [*self.fleet.former_endpoints, *(i.endpoint for i in self.fleet.instances)]
        return history.History(
            self.requests,
            [history.Run(*run) for one in all_endpoints for run in one.started_runs],
            [history.Route(*route, min(SERVICES)) for route in self.fleet.added_routes],
            {
                one.endpoint_id: one.drain_acknowledged_at
                for one in all_endpoints
                if one.drain_acknowledged_at is not None
            },
            self.injected_faults,
            self.stalls,
            recovered,
            [history.Arrival(*arrival) for one in all_endpoints for arrival in one.arrivals],
            {
                one.endpoint_id: [history.RateLimit(*change) for change in one.rate_limits]
                for one in all_endpoints
                if one.rate_limits
            },
            {one.endpoint_id: one.instance for one in all_endpoints},
            {one.endpoint_id: one.cold_arrivals for one in all_endpoints if one.cold_arrivals},
            [self._evacuation(one) for one in self.fleet.evacuations],
            {key.text: key.withdrawn_at for key in self.fleet.keys if key.withdrawn_at is not None},
            [pair for one in all_endpoints for pair in one.workspaces.items()],
            {one.endpoint_id: one.service for one in all_endpoints},
            {fleet.HOT_WORKSPACE: history.Quota(*fleet.HOT_QUOTA)},
        )


class Result(typing.NamedTuple):
    """Result of one run."""

    observed: history.History
    violations: list[str]
    logs: dict[str, str]
    """Log of each node, by instance name."""


async def run(seed: int, seconds: float, size: int = 1) -> Result:
    """Run the soak for `seconds` with the faults drawn from `seed`, on a fleet of `size`."""
    rng = random.Random(seed)
    faults = [
        fault for _ in range(size) for fault in plan.draw(rng, size * len(PLACEMENTS), seconds)
    ]
    faults += plan.draw_odd(random.Random(seed), size * len(PLACEMENTS), seconds)
    faults += plan.draw_reused(random.Random(seed), size * len(PLACEMENTS), seconds)
    faults += plan.draw_popular(random.Random(seed), size * len(PLACEMENTS), seconds)
    faults += plan.draw_abusive(random.Random(seed), size * len(PLACEMENTS), seconds)
    faults.sort(key=lambda fault: fault.begin_s)
    return await play(faults, rng, size=size)


async def play(
    faults: typing.Sequence[plan.Fault],
    rng: random.Random,
    start_command: fleet.StartCommand | None = None,
    size: int = 1,
) -> Result:
    """Run the soak with `faults` on a fleet of `size` whose nodes `start_command` starts.

    Raises `fleet.FleetNotReady` if the nodes do not serve before the first fault.
    """
    async with fleet.running(
        placements(size),
        SERVICE_TIME_S,
        proxied=True,
        start_command=start_command,
        warm_up=WARM_UP,
    ) as running_fleet:
        running_fleet.withdraw_key()
        # Until then, requests need no key, and endpoints get no workspace header.
        await running_fleet.wait_keys_required()
        observed = await Soak(running_fleet, rng).play(faults)
        logs = {
            instance.name: running_fleet.node_log(instance) for instance in running_fleet.instances
        }
    return Result(observed, checks.violations(observed), logs)
