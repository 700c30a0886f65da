"""Runs one policy through one scenario in virtual time, with the node's own request path."""

from __future__ import annotations

import asyncio
import collections
import random
import typing

from goldcrestgrade import counters, instants, outcomes, records, sheet
from goldcrestgrade_node import requests
from goldcrestgrade_node.entry import calls
from goldcrestgrade_node.routing import choice, endpoint_stats, views
from goldcrestgrade_testing import fast_time, sample_records
from goldcrestgrade_testing.bench import arrivals, endpoints, network, policies, scenarios

REQUEST_TIMEOUT_S = 5.0
"""Timeout of each request."""

KIND = sheet.Kind("GET /*", run_once=False, timeout_s=REQUEST_TIMEOUT_S)

REMOVAL_DELAY_S = 5.0
"""Time after which the membership drops endpoints that have become unreachable."""


class FinishedRequest(typing.NamedTuple):
    """How one request ended."""

    at_s: float
    """When the request arrived."""
    latency_s: float
    outcome: outcomes.Outcome


class RunResult(typing.NamedTuple):
    """What was recorded in one run of one policy."""

    finished: list[FinishedRequest]
    counts: counters.Counts
    attempts: list[int]
    """Attempts sent to each endpoint since `MEASURED_FROM_S`."""
    executions: int
    cross_region_bytes: int


class Experiment:
    """The nodes and endpoints of one run; owned by its event loop."""

    def __init__(
        self,
        deployment: scenarios.Deployment,
        scenario: scenarios.Scenario,
        planned: list[arrivals.Arrival],
        policy: str,
        seed: int,
    ) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.planned = planned
        self.counts = counters.Counts()
        self.endpoints = [
            endpoints.Endpoint(
                placement, deployment.slots, scenario, random.Random(f"{seed}-{index}")
            )
            for index, placement in enumerate(deployment.endpoints)
        ]
        service_time_factors = {
            arrival.request_id: arrival.service_time_factor for arrival in planned
        }
        self.links = [
            [
                network.Link(
                    endpoint,
                    network.delay_s(deployment, placement, endpoint.placement),
                    placement.region != endpoint.placement.region,
                    service_time_factors,
                )
                for endpoint in self.endpoints
            ]
            for placement in deployment.nodes
        ]
        self.views = [views.Views(asyncio.get_running_loop().time) for _ in deployment.nodes]
        self.nodes = [self._node(index, policy, seed) for index in range(len(deployment.nodes))]
        self.finished: list[FinishedRequest] = []

    async def run(self) -> RunResult:
        """Send every planned request at its time and return what was recorded."""
        present = len(self.endpoints) - int(self.scenario.cold_start)
        self._update_views(range(present))
        loop = asyncio.get_running_loop()
        loop.call_at(scenarios.FAULT_AT_S, self._begin_fault)
        attempts_before: list[int] = []
        loop.call_at(scenarios.MEASURED_FROM_S, lambda: attempts_before.extend(self._attempts()))
        async with asyncio.TaskGroup() as group:
            for arrival in self.planned:
                await asyncio.sleep(arrival.at_s - loop.time())
                group.create_task(self._send_request(arrival))
        return RunResult(
            self.finished,
            self.counts,
            [
                total - before
                for total, before in zip(self._attempts(), attempts_before, strict=True)
            ],
            sum(endpoint.executions for endpoint in self.endpoints),
            sum(link.cross_region_bytes for links in self.links for link in links),
        )

    def _node(self, index: int, policy: str, seed: int) -> calls.Calls:
        placement = self.deployment.nodes[index]
        links = self.links[index]
        return calls.Calls(
            choice.Locality(placement.region, placement.failure_domain),
            self.views[index],
            lambda attempt: links[attempt.port - 1].send(attempt),
            _no_relay,
            instants.loop_clocks(),
            self.counts,
            random.Random(f"{seed}-node-{index}"),
            self._policy(policy),
        )

    def _policy(self, name: str) -> calls.Policy:
        policy = policies.POLICIES[name]()
        if name != policies.INFORMED:
            return policy

        def choose(
            view: views.ServiceView,
            origin: choice.Locality,
            tried: typing.Collection[str],
            now: instants.Instant,
            rng: random.Random,
        ) -> choice.Decision:
            for endpoint in view.endpoints.values():
                in_flight = self.endpoints[endpoint.port - 1].in_flight
                endpoint.others_load = max(0, in_flight - endpoint.in_flight)
                endpoint.reported_at = now
            return policy.choose(view, origin, tried, now, rng)

        return policy._replace(choose=choose)

    async def _send_request(self, arrival: arrivals.Arrival) -> None:
        loop = asyncio.get_running_loop()
        request = requests.Request(
            request_id=arrival.request_id,
            service=self.deployment.service,
            kind=KIND,
            method="GET",
            target=f"/{arrival.request_id}",
            headers=(),
            body=b"",
            idempotency_key=None,
            deadline=arrival.at_s + REQUEST_TIMEOUT_S,
            retries_allowed=True,
        )
        outcome = await self.nodes[arrival.entry_node_index].run(request)
        self.finished.append(FinishedRequest(arrival.at_s, loop.time() - arrival.at_s, outcome))

    def _attempts(self) -> list[int]:
        totals: collections.Counter[int] = collections.Counter()
        for links in self.links:
            totals.update({index: link.attempts for index, link in enumerate(links)})
        return [totals[index] for index in range(len(self.endpoints))]

    def _update_views(self, present: typing.Iterable[int]) -> None:
        live = [self._record(index) for index in present]
        regions = collections.Counter(placement.region for placement in self.deployment.nodes)
        for service_views, placement in zip(self.views, self.deployment.nodes, strict=True):
            service_views.share_link(regions[placement.region])
            service_views.update(self.deployment.service, live)

    def _begin_fault(self) -> None:
        scenario = self.scenario
        first = self.endpoints[0]
        first.straggler_factor = scenario.straggler_factor
        first.failing = scenario.failing
        if scenario.silent:
            for links in self.links:
                links[0].silence()
        if scenario.lying:
            first.lying = True
            first.reduce_slots()
        if scenario.cold_start:
            self.endpoints[-1].cold_since = scenarios.FAULT_AT_S
            self._update_views(range(len(self.endpoints)))
        if scenario.region_gone:
            self._lose_region(first.placement.region)

    def _lose_region(self, region: str) -> None:
        for endpoint in self.endpoints:
            endpoint.unreachable = endpoint.placement.region == region
        remaining = [i for i, endpoint in enumerate(self.endpoints) if not endpoint.unreachable]
        asyncio.get_running_loop().call_later(REMOVAL_DELAY_S, self._update_views, remaining)

    def _record(self, index: int) -> records.NodeRecord:
        placement = self.endpoints[index].placement
        return sample_records.ready(
            f"upstream-{index}",
            self.deployment.service,
            placement.region,
            placement.failure_domain,
            port=index + 1,
            slots=self.deployment.slots,
        )


async def _no_relay(
    _request: requests.Request, _endpoint: endpoint_stats.EndpointStats
) -> outcomes.Outcome:
    raise NotImplementedError


def run(
    deployment: scenarios.Deployment,
    scenario: scenarios.Scenario,
    planned: list[arrivals.Arrival],
    policy: str,
    seed: int,
) -> RunResult:
    """Return what was recorded while `policy` served the planned requests."""

    async def main() -> RunResult:
        return await Experiment(deployment, scenario, planned, policy, seed).run()

    return fast_time.run(main())
