"""Simulated fleet: the membership and configuration tasks of many nodes in one process.

The tasks and messages are those of real nodes; requests between them pass through `Network`.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
import typing

import pydantic

from goldcrestgrade import counters, instants, records, sheet
from goldcrestgrade_node.configuration import adoption
from goldcrestgrade_node.membership import (
    discovery,
    exchange,
    members,
    messages,
    peers,
    selection,
)
from goldcrestgrade_operator.sheets import acceptance
from goldcrestgrade_testing import memory_platform

EPOCH = 1_700_000_000.0
"""Wall-clock time at which the event loop's time starts, in seconds since 1970."""

LOCAL_DELAY_S = 0.0005
REGION_DELAY_S = 0.008
"""One-way delays within a region and between regions."""

CONNECT_TIMEOUT_S = 0.5
"""Time after which a request to an unreachable node fails."""

MESSAGE_OVERHEAD_BYTES = 430
"""Header bytes of a request and its reply together: HTTP, and TCP and IP of four packets."""

T = typing.TypeVar("T")


class Traffic:
    """Requests that one node sent, and bytes that it sent and received."""

    def __init__(self) -> None:
        self.requests = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.cross_region_bytes = 0


class Network:
    """Simulated network between the nodes of a fleet, with faults that a test sets."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        """Running nodes by URL."""
        self.drops_requests: typing.Callable[[Node, Node], bool] = lambda _a, _b: False
        """Returns whether requests from the first node to the second are lost."""

    async def connect(self, source: Node, url: str) -> Node:
        """Return the node at `url` after the delay of a round trip; raises `PeerError`."""
        target = self.nodes.get(url)
        if target is None or target.paused or source.paused or self.drops_requests(source, target):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise peers.PeerError("timeout")
        delay_s = LOCAL_DELAY_S if target.region == source.region else REGION_DELAY_S
        await asyncio.sleep(2 * delay_s)
        return target

    def record_traffic(self, source: Node, target: Node, request: bytes, reply: bytes) -> None:
        """Count the bytes of a request and its reply at both nodes."""
        size = len(request) + len(reply) + MESSAGE_OVERHEAD_BYTES
        source.traffic.requests += 1
        source.traffic.sent_bytes += len(request) + MESSAGE_OVERHEAD_BYTES // 2
        source.traffic.received_bytes += len(reply) + MESSAGE_OVERHEAD_BYTES // 2
        target.traffic.sent_bytes += len(reply) + MESSAGE_OVERHEAD_BYTES // 2
        target.traffic.received_bytes += len(request) + MESSAGE_OVERHEAD_BYTES // 2
        if source.region != target.region:
            source.traffic.cross_region_bytes += size


class NetworkPeers:
    """Sends the requests of one node to its peers over the simulated network."""

    def __init__(self, source: Node, network: Network) -> None:
        self.source = source
        self.network = network

    async def post(self, url: str, path: str, body: bytes) -> bytes:
        """Return the reply of the peer at `url` to `body`; raises `PeerError`."""
        target = await self.network.connect(self.source, url)
        reply = await target.serve(path, body)
        self.network.record_traffic(self.source, target, body, reply)
        return reply

    async def fetch_sheet(self, url: str) -> peers.SheetCopy:
        """Return the sheet that a peer has in force; raises `PeerError`."""
        target = await self.network.connect(self.source, url)
        if target.sheets.in_force is None:
            raise peers.PeerError("no sheet")
        packed = target.sheets.compressed()
        self.network.record_traffic(self.source, target, b"", packed)
        return peers.SheetCopy(target.sheets.version, peers.decompress_sheet(packed))


class InstanceSpec(typing.NamedTuple):
    """Id, location and host of a node, and the service of its endpoint."""

    node_id: str
    region: str
    failure_domain: str
    service: str
    host: str


class AdoptionEvent(typing.NamedTuple):
    """A sheet version that came into force at a node."""

    at: instants.Instant
    node_id: str
    version: int


class Node:
    """The membership and configuration tasks of one node."""

    def __init__(
        self,
        instance: InstanceSpec,
        platform: memory_platform.MemoryTables,
        objects: memory_platform.MemoryObjects,
        network: Network,
        seeds: typing.Sequence[str],
        rng: random.Random,
    ) -> None:
        self.instance = instance
        self.region = instance.region
        self.clocks = instants.loop_clocks(EPOCH)
        self.counts = counters.Counts()
        self.traffic = Traffic()
        self.network = network
        self.paused = False
        self.tasks: list[asyncio.Task[None]] = []
        self.adoptions: list[AdoptionEvent] = []
        self.state = records.EndpointState.ABSENT
        self.own = members.OwnRecord(
            members.first_record(
                instance.node_id,
                instance.region,
                instance.failure_domain,
                instance.host,
                80,
                int(self.clocks.wall() * 1000),
            ),
            self.clocks,
        )
        self.known = members.Members(self.clocks)
        remote = NetworkPeers(self, network)
        self.sheets = adoption.Adoption(
            platform,
            objects,
            remote,
            self._adopt,
            lambda: selection.polls_frequently(self.exchange.view()),
            self.clocks,
            self.counts,
            rng,
        )
        self.exchange = exchange.Exchange(
            self.own,
            self.known,
            remote,
            exchange.Hooks(
                services_changed=lambda _services: None,
                sheet_version=lambda: self.sheets.version,
                newer_sheet_found=self.sheets.record_peer_version,
                is_busy=lambda: False,
            ),
            self.clocks,
            self.counts,
            rng,
        )
        self.discovery = discovery.Discovery(
            lambda: self.own.record, seeds, platform, self.exchange.join, self.clocks, rng
        )

    @property
    def url(self) -> str:
        """URL of the node's control address."""
        return records.control_url(self.own.record)

    def start(self) -> None:
        """Announce the endpoint as ready and start the tasks."""
        self.network.nodes[self.url] = self
        self.announce_state(records.EndpointState.READY)
        self.resume()

    def resume(self) -> None:
        """Start the tasks, for the first time or after a pause."""
        self.paused = False
        self.tasks = [
            asyncio.create_task(task)
            for task in (
                self.exchange.gossip_forever(),
                self.exchange.push_forever(),
                self.exchange.tick_forever(),
                self.discovery.run(),
                self.sheets.poll_forever(self.discovery.joined),
                self.sheets.fetch_forever(),
            )
        ]

    def pause(self) -> None:
        """Stop the tasks and keep the state, as a suspended process does."""
        self.paused = True
        for task in self.tasks:
            task.cancel()

    def kill(self) -> None:
        """Stop the node without notifying its peers."""
        self.pause()
        self.network.nodes.pop(self.url, None)

    async def leave(self) -> None:
        """Drain the endpoint, announce that the node has left, and stop it."""
        self.announce_state(records.EndpointState.DRAINING)
        await self.exchange.push_own_entry()
        await asyncio.sleep(2.0)
        self.announce_state(records.EndpointState.LEFT)
        await self.exchange.push_own_entry()
        await self.discovery.leave()
        self.kill()

    def announce_state(self, state: records.EndpointState) -> None:
        """Announce a new state of the endpoint to the peers."""
        self.state = state
        endpoint = endpoint_of(self.instance)
        self.exchange.announce(self.own.revise(state, endpoint, self.sheets.version))

    async def serve(self, path: str, body: bytes) -> bytes:
        """Return the reply to a peer's request; raises `PeerError` if the request is invalid."""
        try:
            match path:
                case exchange.EXCHANGE_PATH:
                    received = messages.EXCHANGE.validate_json(body)
                    return messages.EXCHANGE_REPLY.dump_json(self.exchange.receive(received))
                case exchange.RECONCILE_PATH:
                    reconcile_request = messages.RECONCILE.validate_json(body)
                    return messages.RECONCILE_REPLY.dump_json(
                        self.exchange.reconcile(reconcile_request)
                    )
                case _:
                    probe = messages.PROBE.validate_json(body)
                    return messages.PROBE_REPLY.dump_json(await self.exchange.probe(probe))
        except pydantic.ValidationError as error:
            raise peers.PeerError("status 400") from error

    def _adopt(self, adopted: sheet.Sheet) -> None:
        self.adoptions.append(
            AdoptionEvent(self.clocks.monotonic(), self.instance.node_id, adopted.version)
        )
        self.exchange.push_sheet_version()


class Shape(typing.NamedTuple):
    """Numbers of nodes, regions, failure domains and services of a fleet."""

    nodes: int
    regions: int = 2
    domains_per_region: int = 2
    services: int = 3


def endpoint_of(instance: InstanceSpec) -> records.EndpointDocument:
    """Return the announcement of the endpoint on `instance`."""
    return records.EndpointDocument(
        service=instance.service, host=instance.host, port=81, slots=10, connections=220
    )


def shape_of(nodes: int) -> Shape:
    """Return the shape of a fleet of this number of nodes.

    At 1,700 nodes it approximates the target of 6 regions, 22 failure domains and 270 services: it
    has 24 failure domains, an equal number in each region.
    """
    regions = 2 if nodes < 128 else 6
    domains = 2 if nodes < 128 else 4
    return Shape(nodes, regions, domains, max(3, nodes * 270 // 1700))


def instance_specs(shape: Shape) -> list[InstanceSpec]:
    """Return the instances of a fleet, spread evenly over failure domains and services."""
    region_domain_pairs = itertools.product(range(shape.regions), range(shape.domains_per_region))
    domains = [
        (f"region-{region}", f"region-{region}-{domain}") for region, domain in region_domain_pairs
    ]
    return [
        InstanceSpec(
            f"node-{number:04d}",
            *domains[number % len(domains)],
            f"service-{(number // len(domains)) % shape.services:03d}",
            f"10.0.{number // 250}.{number % 250 + 1}",
        )
        for number in range(shape.nodes)
    ]


class Fleet:
    """Nodes, their network and their platform; owned by its event loop."""

    def __init__(self, shape: Shape, seed: int, seeds: typing.Sequence[str] = ()) -> None:
        self.rng = random.Random(seed)
        self.network = Network()
        self.faults = memory_platform.Faults()
        self.tables = memory_platform.MemoryTables(self.faults)
        self.objects = memory_platform.MemoryObjects(self.faults)
        self.seeds = seeds
        self.nodes: list[Node] = []
        self.instances = instance_specs(shape)

    def add(self, instance: InstanceSpec) -> Node:
        """Start the node of `instance`."""
        node = Node(
            instance,
            self.tables,
            self.objects,
            self.network,
            self.seeds,
            random.Random(self.rng.getrandbits(64)),
        )
        self.nodes.append(node)
        node.start()
        return node

    async def start(self, spread_s: float = 5.0) -> None:
        """Start all nodes, evenly over `spread_s` seconds, and wait until each knows all others.

        Raises `TimeoutError`.
        """
        for instance in self.instances:
            self.add(instance)
            await asyncio.sleep(spread_s / len(self.instances))
        await self.wait_until(self.has_converged, 120.0)

    async def replace(self, node: Node) -> None:
        """Let `node` leave, and start a replacement with a new id and host."""
        await node.leave()
        name, host = f"{node.instance.node_id}-new", node.instance.host.replace("10.0", "10.1")
        self.add(node.instance._replace(node_id=name, host=host))

    def running_nodes(self) -> list[Node]:
        """Return the nodes that have neither left nor been killed, paused ones included."""
        return [node for node in self.nodes if self.network.nodes.get(node.url) is node]

    def has_converged(self) -> bool:
        """Return whether each running node knows exactly the running nodes."""
        running = self.running_nodes()
        ids = {node.instance.node_id for node in running}
        return all({r["node_id"] for r in node.known.alive()} == ids for node in running)

    def is_in_force_everywhere(self, version: int) -> bool:
        """Return whether every running node has `version` in force."""
        return all(node.sheets.version == version for node in self.running_nodes())

    async def wait_until(self, condition: typing.Callable[[], bool], timeout_s: float) -> float:
        """Wait until `condition` is true and return the seconds waited; raises `TimeoutError`."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not condition():
            if loop.time() > started + timeout_s:
                raise TimeoutError
            await asyncio.sleep(0.05)
        return loop.time() - started

    async def accept(self, document: sheet.SheetDocument) -> int:
        """Accept a sheet as an operator does, and return its version."""
        head = await acceptance.read_head(self.tables)
        result = await acceptance.accept(self.tables, self.objects, document, head, "operator")
        assert isinstance(result, acceptance.Accepted)
        return result.version

    def version_regressions(self) -> int:
        """Return how often a node adopted a version that was not higher than its previous one."""
        return sum(
            later.version <= earlier.version
            for node in self.nodes
            for earlier, later in itertools.pairwise(node.adoptions)
        )

    def event_counts(self) -> collections.Counter[str]:
        """Return the sum of the event counts of all nodes."""
        total: collections.Counter[str] = collections.Counter()
        for node in self.nodes:
            total.update(node.counts.events)
        return total

    def stop(self) -> None:
        """Kill every running node."""
        for node in self.running_nodes():
            node.kill()


def sheet_document(day: str, services: int = 3, kinds: int = 3) -> sheet.SheetDocument:
    """Return a sheet of the first `services` services, each with `kinds` (at most 4) kinds."""
    return sheet.SheetDocument(
        day=day,
        services=[
            sheet.ServiceDocument(
                name=f"service-{number:03d}",
                regions=["region-0", "region-1"],
                kinds=[
                    sheet.KindDocument(
                        method=method, path=f"/{path}/*", run_once=method == "POST", timeout_s=5.0
                    )
                    for method, path in itertools.islice(
                        itertools.product(("GET", "POST"), ("letters", "returns")), kinds
                    )
                ],
            )
            for number in range(services)
        ],
    )
