"""Replays the load of many workspaces with quotas in virtual time, under three mechanisms.

`python -m goldcrestgrade_testing.quota_replay` prints a table for the design note. The transfer of
tokens is the code of the product, whose messages pass through a simulated network.
"""

from __future__ import annotations

import asyncio
import bisect
import collections
import dataclasses
import itertools
import random
import sys
import types
import typing

from goldcrestgrade import counters, instants, outcomes, routes
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.quota import exchange, members, messages, terms
from goldcrestgrade_node.mesh.state import directory
from goldcrestgrade_testing import virtual_time

RULES = terms.Rules(window_s=5.0, overage=0.1, slack=20.0)

HEADER_BYTES = 330
"""Bytes of the request line and headers of a message and its answer."""

SHARE_REPORT_S = 1.0
"""Time between the reports of a node whose share follows its demand."""

EQUAL_PART = 0.2
"""Part of the flow that is shared equally where shares follow demand, so that none is 0."""


class Scenario(typing.NamedTuple):
    """A load with its faults; times in seconds."""

    nodes: int = 91
    regions: int = 2
    workspaces: int = 87
    skew: float = 1.2
    requests_per_s: float = 421.0
    quota_ratio: float = 1.18
    """Rate of each quota as a multiple of the usual load; the largest is about 138."""
    hot_factor: float = 7.5
    hot: tuple[float, float] = (4.0, 17.0)
    """When the largest workspace sends `hot_factor` times its usual load."""
    cut_off: float = 0.15
    """Share of the nodes that are partitioned from the others, and the same share is frozen."""
    fault: tuple[float, float] = (6.0, 14.0)
    restarts: tuple[float, ...] = (5.0, 7.0, 9.0, 13.0, 15.0)
    lowered_at: float = 10.0
    """When the rate and burst of the largest workspace are halved."""
    kill_at: float = 0.0
    """When the accounting node of the largest workspace in the first region dies; 0 if never."""
    seconds: float = 22.0
    one_way_s: float = 0.0009
    between_regions_s: float = 0.008
    entry_skew: float = 1.0
    """Skew of the nodes at which the requests of one workspace arrive."""


class Arrival(typing.NamedTuple):
    """A request of a client."""

    at: float
    workspace: str
    node: int


@dataclasses.dataclass
class Observed:
    """What a replay observed."""

    charged: dict[str, list[float]]
    """Instants of charged requests by workspace."""
    arrived: dict[str, list[float]]
    messages: list[float]
    bytes: int = 0
    withdrawn: list[tuple[float, str, float]] = dataclasses.field(default_factory=list)
    """Instant, accounting node and tokens of each answer that brought some."""


class Result(typing.NamedTuple):
    """Figures of one mechanism."""

    worst_ratio: float
    """Largest number of requests in a window, as a multiple of what is allowed."""
    lost_share: float
    """Requests that a central token bucket would have admitted and that were refused."""
    messages_per_s: float
    bytes_per_s: float


def weights(count: int, skew: float) -> list[float]:
    """Return the shares of `count` parties whose sizes are skewed."""
    sizes = [1 / rank**skew for rank in range(1, count + 1)]
    return [size / sum(sizes) for size in sizes]


def usual_rates(scenario: Scenario) -> dict[str, float]:
    """Return the usual requests a second by workspace."""
    shares = weights(scenario.workspaces, scenario.skew)
    return {f"w{n}": scenario.requests_per_s * share for n, share in enumerate(shares)}


def arrivals(scenario: Scenario, rng: random.Random) -> list[Arrival]:
    """Return all requests in the order of their arrival."""
    drawn = []
    for name, rate in usual_rates(scenario).items():
        order = rng.sample(range(scenario.nodes), scenario.nodes)
        node_weights = list(itertools.accumulate(weights(scenario.nodes, scenario.entry_skew)))
        at = 0.0
        while at < scenario.seconds:
            is_hot = name == "w0" and scenario.hot[0] <= at < scenario.hot[1]
            at += rng.expovariate(rate * (scenario.hot_factor if is_hot else 1.0))
            node = order[min(bisect.bisect(node_weights, rng.random()), scenario.nodes - 1)]
            drawn.append(Arrival(at, name, node))
    return sorted(drawn)


def table(scenario: Scenario, lowered: bool) -> routes.RouteTable:
    """Return the quotas, after that of the largest workspace was lowered or before."""
    factor = {"w0": 0.5 if lowered else 1.0}
    rates = {
        name: scenario.quota_ratio * rate * factor.get(name, 1.0)
        for name, rate in usual_rates(scenario).items()
    }
    workspaces = {name: routes.Workspace(name, (), 1, rate, rate) for name, rate in rates.items()}
    return routes.RouteTable(1, routes.Limits(), {}, {}, types.MappingProxyType(workspaces))


class Network:
    """Delays of messages, and the nodes that are cut off or frozen at an instant."""

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        self.scenario = scenario
        count = int(scenario.cut_off * scenario.nodes)
        chosen = rng.sample(range(scenario.nodes), 2 * count)
        self.partitioned = set(chosen[:count])
        self.frozen = set(chosen[count:])
        self.dead: set[int] = set()

    def in_fault(self, now: float) -> bool:
        """Return whether the partition and the freeze last at an instant."""
        return self.scenario.fault[0] <= now < self.scenario.fault[1]

    def region(self, node: int) -> int:
        """Return the region of a node."""
        return node % self.scenario.regions

    def is_frozen(self, node: int, now: float) -> bool:
        """Return whether a node stands still."""
        return node in self.frozen and self.in_fault(now)

    def is_lost(self, source: int, target: int, now: float) -> bool:
        """Return whether a message does not arrive."""
        split = (source in self.partitioned) != (target in self.partitioned)
        return target in self.dead or (split and self.in_fault(now))

    def delay_s(self, source: int, target: int) -> float:
        """Return the one-way latency between two nodes."""
        same = self.region(source) == self.region(target)
        return self.scenario.one_way_s if same else self.scenario.between_regions_s

    def postponed(self, arrival: Arrival) -> Arrival:
        """Return an arrival at a frozen node as the node reads it, soon after it runs again."""
        if not self.is_frozen(arrival.node, arrival.at):
            return arrival
        begin, end = self.scenario.fault
        return arrival._replace(at=end + 0.1 * (arrival.at - begin) / (end - begin))

    async def until_awake(self, node: int) -> None:
        """Wait until a node is not frozen."""
        now = asyncio.get_running_loop().time()
        if self.is_frozen(node, now):
            await asyncio.sleep(self.scenario.fault[1] - now)


class Mechanism(typing.Protocol):
    """Decides whether a request of a workspace may run at a node."""

    async def admit(self, node: int, workspace: str) -> bool:
        """Return whether a request may run."""

    def restart(self, node: int) -> None:
        """Lose the state of a node."""

    def configure(self, node: int, quotas: routes.RouteTable) -> None:
        """Put a configuration in force at a node."""


class Transfer:
    """The product: tokens are transferred between nodes."""

    def __init__(self, network: Network, observed: Observed, seed: int) -> None:
        self.network = network
        self.observed = observed
        self.loop = asyncio.get_running_loop()
        self.clocks = instants.Clocks(self.loop.time, self.loop.time)
        self.seed = seed
        self.tables = [table(network.scenario, False)] * network.scenario.nodes
        self.nodes = [self._start(n) for n in range(network.scenario.nodes)]
        for quotas in self.nodes:
            # The fleet has run for long.
            quotas.fleet.refresh(0.0)
            quotas.fleet.accrues_from = -instants.NEVER
            quotas.ledger.known_from = dict.fromkeys(quotas.ledger.quotas, -instants.NEVER)

    def _start(self, node: int) -> exchange.Quotas:
        known = directory.Directory()
        for other in range(self.network.scenario.nodes):
            name = f"n{other:04d}"
            place = directory.Location("d", f"r{self.network.region(other)}")
            row = directory.InstanceRow(name, "10.0.0.1", other, place, "s", True, 1)
            known.by_id[name] = directory.Instance(row, tables.parse_position("1.1"))
        name = f"n{node:04d}"
        fleet = members.Members(name, 2, known, lambda: self._age_s(node), self.clocks)
        quotas = exchange.Quotas(
            exchange.Site(name, f"r{self.network.region(node)}"),
            RULES,
            known,
            fleet,
            self._post(node),
            self.clocks,
            counters.Counts(),
            random.Random(self.seed * 10_000 + node),
        )
        quotas.apply(self.tables[node], RULES)
        return quotas

    def _age_s(self, node: int) -> float:
        now = self.loop.time()
        cut_off = self.network.in_fault(now) and node in self.network.partitioned
        return now - self.network.scenario.fault[0] if cut_off else 0.5

    def _post(self, source: int) -> exchange.Post:
        async def post(node_id: str, body: bytes) -> bytes:
            target = int(node_id[1:])
            self.observed.messages.append(self.loop.time())
            self.observed.bytes += HEADER_BYTES + len(body)
            if target in self.network.dead:
                await asyncio.sleep(2 * self.network.delay_s(source, target))
                raise exchange.Unanswered("refused")
            try:
                async with asyncio.timeout(exchange.TIMEOUT_S):
                    answer = await self._deliver(source, target, body)
            except TimeoutError:
                raise exchange.Unanswered("timed out") from None
            self.observed.bytes += len(answer)
            self._record(node_id, body, answer)
            return answer

        return post

    async def _deliver(self, source: int, target: int, body: bytes) -> bytes:
        delay_s = self.network.delay_s(source, target)
        await asyncio.sleep(delay_s)
        if self.network.is_lost(source, target, self.loop.time()):
            await asyncio.sleep(3600)
        await self.network.until_awake(target)
        answer = await self.nodes[target].answer(body)
        await asyncio.sleep(delay_s)
        return answer

    def _record(self, node_id: str, body: bytes, answer: bytes) -> None:
        if messages.decode_ask(body).kind is messages.Kind.WITHDRAW:
            offer = messages.decode_answer(answer).get("w0")
            if offer is not None:
                tokens = sum(tokens for _, tokens in offer.lots)
                self.observed.withdrawn.append((self.loop.time(), node_id, tokens))

    async def admit(self, node: int, workspace: str) -> bool:
        """Return whether a request may run."""
        return not isinstance(await self.nodes[node].charge(workspace), outcomes.NotRun)

    def restart(self, node: int) -> None:
        """Lose the state of a node."""
        self.nodes[node] = self._start(node)

    def configure(self, node: int, quotas: routes.RouteTable) -> None:
        """Put a configuration in force at a node."""
        self.tables[node] = quotas
        self.nodes[node].apply(quotas, RULES)

    async def tick(self) -> None:
        """Run the periodic work of all nodes, until cancelled."""
        while True:
            await asyncio.sleep(exchange.TICK_S)
            for quotas in self.nodes:
                quotas.tick()


class Shares:
    """Each node has a token bucket with a share of the quota, equal or by demand."""

    def __init__(self, network: Network, observed: Observed, by_demand: bool) -> None:
        self.network = network
        self.observed = observed
        self.by_demand = by_demand
        self.loop = asyncio.get_running_loop()
        count = network.scenario.nodes
        self.quotas = [table(network.scenario, False).workspaces] * count
        self.shares: dict[tuple[int, str], float] = {}
        self.levels: dict[tuple[int, str], tuple[float, float]] = {}
        self.demand: collections.Counter[tuple[int, str]] = collections.Counter()

    async def admit(self, node: int, workspace: str) -> bool:
        """Return whether a request may run."""
        self.demand[node, workspace] += 1
        quota, now = self.quotas[node][workspace], self.loop.time()
        share = self.shares.get((node, workspace), 1 / self.network.scenario.nodes)
        capacity = max(1.0, quota.burst * share)
        level, at = self.levels.get((node, workspace), (capacity, now))
        level = min(capacity, level + quota.rate * share * (now - at))
        admitted = level >= 1
        self.levels[node, workspace] = (level - admitted, now)
        return admitted

    def restart(self, node: int) -> None:
        """Lose the state of a node."""
        for key in [key for key in self.levels if key[0] == node]:
            del self.levels[key]

    def configure(self, node: int, quotas: routes.RouteTable) -> None:
        """Put a configuration in force at a node."""
        self.quotas[node] = quotas.workspaces

    async def tick(self) -> None:
        """Have the first reachable node set the shares from the reports of all, until cancelled.

        A node that is cut off keeps its share, as it can't tell what the others do.
        """
        count = self.network.scenario.nodes
        while True:
            await asyncio.sleep(SHARE_REPORT_S)
            if not self.by_demand:
                continue
            now = self.loop.time()
            away = self.network.partitioned | self.network.frozen
            reporting = [n for n in range(count) if not (self.network.in_fault(now) and n in away)]
            totals: collections.Counter[str] = collections.Counter()
            for (node, name), requests in self.demand.items():
                if node in reporting:
                    totals[name] += requests
            for (node, name), requests in self.demand.items():
                if node in reporting:
                    by_demand = (1 - EQUAL_PART) * requests / totals[name]
                    self.shares[node, name] = EQUAL_PART / count + by_demand
            for key in [key for key in self.shares if key not in self.demand]:
                if key[0] in reporting:
                    self.shares[key] = EQUAL_PART / count
            self.observed.messages.extend([now] * len(reporting))
            reports = sum(node in reporting for node, _ in self.demand)
            self.observed.bytes += HEADER_BYTES * len(reporting) + 30 * reports
            self.demand.clear()


MECHANISMS = ("equal shares", "shares that follow demand", "transfer of tokens")


async def replay(scenario: Scenario, mechanism: str, seed: int) -> Observed:
    """Replay a load under a mechanism."""
    rng = random.Random(seed)
    network = Network(scenario, rng)
    observed = Observed(collections.defaultdict(list), collections.defaultdict(list), [])
    made: Transfer | Shares
    if mechanism == "transfer of tokens":
        made = Transfer(network, observed, seed)
    else:
        made = Shares(network, observed, mechanism == "shares that follow demand")
    loop = asyncio.get_running_loop()

    async def request(arrival: Arrival) -> None:
        if arrival.node in network.dead:
            return
        arrived_at = loop.time()
        observed.arrived[arrival.workspace].append(arrived_at)
        if await made.admit(arrival.node, arrival.workspace):
            observed.charged[arrival.workspace].append(loop.time())

    async def configure(node: int, delay_s: float) -> None:
        await asyncio.sleep(scenario.lowered_at + delay_s)
        if network.in_fault(loop.time()) and node in network.partitioned | network.frozen:
            await asyncio.sleep(scenario.fault[1] - loop.time() + delay_s)
        made.configure(node, table(scenario, True))

    async def restart(at: float, node: int) -> None:
        await asyncio.sleep(at)
        made.restart(node)

    async def kill() -> None:
        await asyncio.sleep(scenario.kill_at)
        latest = [
            name for _, name, _ in observed.withdrawn if int(name[1:]) % scenario.regions == 0
        ]
        network.dead.add(int(latest[-1][1:]))

    background = [asyncio.create_task(made.tick())]
    background += [
        asyncio.create_task(configure(node, rng.uniform(0.05, 1.0)))
        for node in range(scenario.nodes)
    ]
    background += [
        asyncio.create_task(restart(at, rng.randrange(scenario.nodes))) for at in scenario.restarts
    ]
    if scenario.kill_at:
        background.append(asyncio.create_task(kill()))
    running: set[asyncio.Task[None]] = set()
    for arrival in sorted(map(network.postponed, arrivals(scenario, rng))):
        await asyncio.sleep(max(0.0, arrival.at - loop.time()))
        task = asyncio.create_task(request(arrival))
        # The loop in virtual time goes through all tasks that exist, also through ended ones.
        running.add(task)
        task.add_done_callback(running.discard)
    await asyncio.gather(*running)
    for task in background:
        task.cancel()
    return observed


def worst_ratio(scenario: Scenario, observed: Observed) -> float:
    """Return the largest number of requests in a window as a multiple of what is allowed.

    The lower quota counts in windows that begin once it is in force at all nodes.
    """
    before, after = (table(scenario, lowered).workspaces for lowered in (False, True))
    in_force_at = max(scenario.lowered_at, scenario.fault[1]) + 1.0
    worst = 0.0
    for name, at in observed.charged.items():
        at = sorted(at)
        for last, end in enumerate(at):
            begin = end - RULES.window_s
            quota = (after if begin >= in_force_at else before)[name]
            counted = last + 1 - bisect.bisect_right(at, begin)
            worst = max(worst, counted / terms.allowed(quota.rate, quota.burst, RULES))
    return worst


def lost_share(scenario: Scenario, observed: Observed) -> float:
    """Return the share refused of what a central token bucket would have admitted."""
    before, after = (table(scenario, lowered).workspaces for lowered in (False, True))
    ideal = lost = 0
    for name, arrived in observed.arrived.items():
        level, at, admitted = before[name].burst, 0.0, 0
        for now in sorted(arrived):
            quota = (after if now >= scenario.lowered_at else before)[name]
            level, at = min(quota.burst, level + quota.rate * (now - at)), now
            if level >= 1:
                level, admitted = level - 1, admitted + 1
        ideal += admitted
        lost += max(0, admitted - len(observed.charged[name]))
    return lost / ideal


def measure(scenario: Scenario, mechanism: str, seed: int) -> Result:
    """Return the figures of a mechanism under a load."""
    observed = virtual_time.run(replay(scenario, mechanism, seed))
    return Result(
        worst_ratio(scenario, observed),
        lost_share(scenario, observed),
        len(observed.messages) / scenario.seconds,
        observed.bytes / scenario.seconds,
    )


def takeover_s(seed: int) -> float:
    """Return the time from the death of an accounting node until the next one passes on tokens."""
    scenario = Scenario(restarts=(), cut_off=0.0, lowered_at=21.0, kill_at=8.0, seconds=10.0)
    observed = virtual_time.run(replay(scenario, "transfer of tokens", seed))
    regions = scenario.regions
    before = [n for at, n, _ in observed.withdrawn if at < 8.0 and int(n[1:]) % regions == 0]
    return next(
        at - 8.0
        for at, name, tokens in observed.withdrawn
        if at > 8.0 and name != before[-1] and int(name[1:]) % regions == 0 and tokens >= 1
    )


def main() -> None:
    """Print the table for seeds 1 to 3, or those in the arguments."""
    seeds = [int(text) for text in sys.argv[1:]] or [1, 2, 3]
    print(
        "| mechanism | seed | worst window / bound | refused below the quota | messages/s | kB/s |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for mechanism, seed in itertools.product(MECHANISMS, seeds):
        result = measure(Scenario(), mechanism, seed)
        print(
            f"| {mechanism} | {seed} | {result.worst_ratio:.3f} | {result.lost_share:.2%} | "
            f"{result.messages_per_s:.0f} | {result.bytes_per_s / 1000:.1f} |",
            flush=True,
        )
    print("takeover_s", [round(takeover_s(seed), 3) for seed in seeds])


if __name__ == "__main__":
    main()
