"""Planned stops of a service's endpoints, one by one, while the other nodes send it requests."""

from __future__ import annotations

import asyncio
import random

import pytest

from goldcrestgrade import records
from goldcrestgrade_node.endpoint import lifecycle
from goldcrestgrade_testing import fleet, virtual_time

TICK_S = 0.1
ANNOUNCE_INTERVAL_S = 0.5
REQUESTS_PER_S = 20.0
"""Requests per second of each node."""


class Endpoint:
    """An endpoint at a node of the fleet, whose requests take up to four seconds."""

    def __init__(self, node: fleet.Node) -> None:
        self.node = node
        self.calls: set[asyncio.Task[None]] = set()
        self.up = True
        self.own = lifecycle.Lifecycle(node.clocks, lambda: node.announce_state(self.own.state))
        self.tasks = [
            asyncio.create_task(self._announce_forever()),
            asyncio.create_task(self._advance_forever()),
        ]

    async def serve(self, duration_s: float) -> None:
        task = asyncio.current_task()
        self.calls.add(task)
        try:
            await asyncio.sleep(duration_s)
        finally:
            self.calls.discard(task)

    async def stop(self) -> None:
        """Stop as the node does on SIGTERM, but without a drain timeout."""
        self.own.stop()
        while self.own.state != records.EndpointState.LEFT:
            await asyncio.sleep(TICK_S)
        await self.node.exchange.push_own_entry()
        self.up = False
        for task in [*self.calls, *self.tasks]:
            task.cancel()
        self.node.kill()

    async def _announce_forever(self) -> None:
        while True:
            endpoint = fleet.endpoint_of(self.node.instance)
            self.own.announce({**endpoint, "in_flight": len(self.calls)})
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _advance_forever(self) -> None:
        while True:
            self.own.advance(claimed=0)
            await asyncio.sleep(TICK_S)


class Clients:
    """Sends requests from every node to endpoints that are ready according to its records."""

    def __init__(self, endpoints: dict[str, Endpoint], seed: int) -> None:
        self.endpoints = endpoints
        self.rng = random.Random(seed)
        self.answered = 0
        self.cut_off = 0

    async def send_request(self, entry_node: fleet.Node, service: str) -> None:
        ready = entry_node.known.ready(service)
        target = self.endpoints[self.rng.choice(ready)["node_id"]]
        await asyncio.sleep(0.001)
        task = asyncio.create_task(target.serve(self.rng.expovariate(1.0) % 4.0))
        await asyncio.wait([task])
        completed = target.up and not task.cancelled()
        self.answered += completed
        self.cut_off += not completed

    async def run(self, entry_nodes: list[fleet.Node], service: str) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self.send_request(self.rng.choice(entry_nodes), service))
                await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S * len(entry_nodes)))


@pytest.mark.parametrize("seed", (1, 2))
def test_drain_of_all_but_one_endpoint_cuts_off_no_request(seed: int):
    async def scenario() -> None:
        running = fleet.Fleet(fleet.Shape(nodes=16, services=2), seed)
        await running.start()
        serving = [n for n in running.nodes if n.instance.service == "service-000"]
        entry_nodes = [n for n in running.nodes if n not in serving]
        endpoints = {n.instance.node_id: Endpoint(n) for n in serving}
        clients = Clients(endpoints, seed)
        load = asyncio.create_task(clients.run(entry_nodes, "service-000"))
        await asyncio.sleep(5.0)
        for endpoint in list(endpoints.values())[:-1]:
            await endpoint.stop()
            await asyncio.sleep(1.0)
        load.cancel()
        await asyncio.wait([load])
        assert clients.cut_off == 0
        assert clients.answered > 1000
        running.stop()

    virtual_time.run(scenario())
