"""Time until a configuration is known everywhere while sources are cut off or stand still."""

import asyncio
import itertools
import random
import sys
import typing

import pytest

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import directory, replica, watch
from goldcrestgrade_testing import virtual_time

CONFIG_APPLY_S = 2.0
"""Documented time within which a configuration is in force."""

CONTACT_S = 3.0
"""Documented time without a fault after which time bounds hold for an instance again."""

STORE_LATENCY_S = 0.012
RELAY_LATENCY_S = 0.003

CONNECT_TIMEOUT_S = 0.4
"""Time after which a request to a silent store fails, in addition to its wait for changes."""

LOCATIONS = {
    f"{domain}-{number}": directory.Location(domain, domain.partition("-")[0])
    for domain, count in (("east-a", 4), ("east-b", 3), ("west-a", 3), ("west-b", 3))
    for number in range(1, count + 1)
}


def instance_row(node_id):
    """Return the row of a node, at an address of its own."""
    port = 1 + list(LOCATIONS).index(node_id)
    return directory.InstanceRow(node_id, "10.0.0.1", port, LOCATIONS[node_id], "s", True, 1)


class Silence(typing.NamedTuple):
    """A time in which a node reaches neither the store nor, if it is frozen, other nodes."""

    node_id: str
    begin: float
    end: float
    frozen: bool


class Store:
    """A store that keeps one configuration and a row for each node."""

    def __init__(self):
        self.version = 1
        self.acknowledged_at = {}
        self.changed = asyncio.Event()
        self.configuration = tables.Change(
            replica.CONFIGURATION, replica.CURRENT, tables.Position(0, 1), {"version": 1}
        )
        self.instances = [
            tables.Change(
                replica.MESH,
                directory.INSTANCE_PREFIX + node_id,
                tables.Position(0, 1),
                directory.encode(instance_row(node_id)),
            )
            for node_id in LOCATIONS
        ]

    def commit(self):
        self.version += 1
        position = tables.Position(0, self.version)
        self.configuration = self.configuration._replace(
            position=position, value={"version": self.version}
        )
        self.acknowledged_at[self.version] = asyncio.get_running_loop().time()
        self.changed.set()
        self.changed = asyncio.Event()

    def changes_since(self, table, after):
        rows = [self.configuration] if table == replica.CONFIGURATION else self.instances
        return tuple(row for row in rows if row.position > after)


class Client:
    """A node's client of the store, whose connections are silent at times."""

    def __init__(self, fleet, node_id):
        self.fleet = fleet
        self.node_id = node_id

    def on_era(self, _listener):
        """Ignore the listener, since the store has one era."""

    async def snapshot(self, table, transfer_s):
        return await self.changes(table, tables.START, 0.0, transfer_s)

    async def changes(self, table, after, wait_s, _transfer_s):
        store = self.fleet.store
        self.fleet.asked_store_at.append((self.node_id, asyncio.get_running_loop().time()))
        async with self.fleet.exchange({self.node_id}, False, wait_s + CONNECT_TIMEOUT_S):
            await asyncio.sleep(STORE_LATENCY_S)
            deadline = asyncio.get_running_loop().time() + wait_s
            while not (found := store.changes_since(table, after)):
                try:
                    async with asyncio.timeout_at(deadline):
                        await store.changed.wait()
                except TimeoutError:
                    break
            return tables.Changes(found, tables.Position(0, store.version))


class Exchange:
    """Turns an exchange that a silence touches into a time-out of its whole length."""

    def __init__(self, fleet, node_ids, between_nodes, timeout_s):
        self.fleet = fleet
        self.node_ids = node_ids
        self.between_nodes = between_nodes
        self.timeout_s = timeout_s

    async def __aenter__(self):
        self.began_at = asyncio.get_running_loop().time()

    async def __aexit__(self, *_error):
        now = asyncio.get_running_loop().time()
        if any(
            silence.node_id in self.node_ids
            and silence.begin <= now
            and silence.end >= self.began_at
            and (silence.frozen or not self.between_nodes)
            for silence in self.fleet.silences
        ):
            await asyncio.sleep(self.began_at + self.timeout_s - now)
            raise watch.PeerError("silent") if self.between_nodes else tables.ReadError("silent")


class Fleet:
    """Nodes that follow one store; owned by one event loop in virtual time."""

    def __init__(self, silences, seed):
        self.store = Store()
        self.silences = silences
        self.asked_store_at = []
        """Node and instant of each request to the store."""
        self.known_at = {}
        """Instant at which each node first knew each version."""
        self.nodes = {node_id: self._sync(node_id, seed) for node_id in LOCATIONS}

    def exchange(self, node_ids, between_nodes, timeout_s):
        return Exchange(self, node_ids, between_nodes, timeout_s)

    def _sync(self, node_id, seed):
        clocks = instants.loop_clocks()
        instances = directory.Directory()

        def apply(change):
            if change.table == replica.MESH:
                instances.apply_change(change)
            else:
                for version in range(1, change.value["version"] + 1):
                    self.known_at.setdefault((node_id, version), clocks.monotonic())
            return True

        sync = watch.Sync(
            node_id,
            LOCATIONS[node_id],
            replica.Replica(apply, clocks),
            instances,
            Client(self, node_id),
            None,
            clocks,
            random.Random(f"{seed} {node_id}"),
        )

        async def fetch_changes(peer, wait_s):
            peer_id = peer.row.node_id
            timeout_s = wait_s + watch.RESPONSE_MARGIN_S
            async with self.exchange({node_id, peer_id}, True, timeout_s):
                await asyncio.sleep(RELAY_LATENCY_S)
                return await self.nodes[peer_id].answer_poll(dict(sync.replica.positions), wait_s)

        sync._fetch_changes = fetch_changes
        return sync

    async def run(self, commits_at):
        tasks = [task for sync in self.nodes.values() for task in (sync.run(), sync.keep_current())]
        started = [asyncio.create_task(task) for task in tasks]
        for at in commits_at:
            await asyncio.sleep(at - asyncio.get_running_loop().time())
            self.store.commit()
        calm_at = max([*commits_at, *(silence.end for silence in self.silences)])
        end_at = calm_at + CONTACT_S + CONFIG_APPLY_S
        await asyncio.sleep(end_at - asyncio.get_running_loop().time())
        for task in started:
            task.cancel()

    def late(self):
        """Return each node and version that the node lacked while it had to know it."""
        return [
            f"{node_id} had version {version} "
            f"{self.known_at.get((node_id, version), instants.NEVER) - acknowledged_at:.3f} s after"
            for node_id, (version, acknowledged_at) in itertools.product(
                self.nodes, self.store.acknowledged_at.items()
            )
            if self._was_owed(node_id, version, acknowledged_at)
        ]

    def _was_owed(self, node_id, version, acknowledged_at):
        owed_at = acknowledged_at + CONFIG_APPLY_S
        for silence in sorted(s for s in self.silences if s.node_id == node_id):
            if silence.begin <= owed_at <= silence.end + CONTACT_S:
                owed_at = silence.end + CONTACT_S
        return self.known_at.get((node_id, version), instants.NEVER) > owed_at


def play(silences, commits_at, seed=1):
    async def main():
        fleet = Fleet(silences, seed)
        await fleet.run(commits_at)
        return fleet

    return virtual_time.run(main())


def test_configuration_reaches_all_nodes_of_a_calm_fleet_at_once():
    fleet = play([], [10.0, 10.5, 14.0])
    delays = [
        known_at - fleet.store.acknowledged_at[version]
        for (_, version), known_at in fleet.known_at.items()
        if version > 1
    ]
    assert len(delays) == 3 * len(LOCATIONS)
    assert max(delays) < 0.1


def test_only_one_node_of_each_region_asks_the_store_in_a_calm_fleet():
    fleet = play([], [30.0])
    asking = {node_id for node_id, at in fleet.asked_store_at if at > 5.0}
    assert asking == {"east-a-1", "west-a-1"}


@pytest.mark.parametrize("frozen", [False, True])
@pytest.mark.parametrize(
    "silent",
    [("east-a-1",), ("east-a-1", "east-b-1"), ("east-a-1", "east-a-2", "east-b-1", "east-b-2")],
)
def test_configuration_is_in_force_in_time_behind_silent_sources(silent, frozen):
    late = {}
    for phase in range(24):
        begin = 10.0 + 0.1 * phase
        silences = [Silence(node_id, begin, begin + 4.0, frozen) for node_id in silent]
        if found := play(silences, [begin + 0.05]).late():
            late[round(begin, 1)] = found
    assert late == {}


def draw(rng):
    """Return overlapping series of silences, and the instants of changes."""
    silences = []
    for at in itertools.accumulate(rng.uniform(0.5, 4.0) for _ in range(10)):
        frozen, length_s = rng.random() < 0.5, rng.uniform(0.2, 5.0)
        share = rng.choice((0.1, 0.3, 0.5))
        silences += [
            Silence(node_id, 8.0 + at, 8.0 + at + length_s, frozen)
            for node_id in LOCATIONS
            if rng.random() < share
        ]
    changes = itertools.accumulate(rng.uniform(0.05, 2.0) for _ in range(30))
    return silences, [8.0 + at for at in changes]


@pytest.mark.parametrize("seed", range(30))
def test_undisturbed_node_has_each_configuration_in_time_under_random_silences(seed):
    silences, commits_at = draw(random.Random(seed))
    assert play(silences, commits_at, seed).late() == []


MAX_STRETCH_S = 5.0
"""Documented time by which the bound of a configuration grows for nodes that the store denies."""


def test_configuration_reaches_a_region_whose_nodes_are_all_denied_by_the_store():
    denied = [node_id for node_id in LOCATIONS if node_id.startswith("west")]
    fleet = play([Silence(node_id, 10.0, 22.0, False) for node_id in denied], [11.0])
    bound = 11.0 + CONFIG_APPLY_S + MAX_STRETCH_S
    late = [node_id for node_id in denied if fleet.known_at[node_id, 2] > bound]
    assert late == []


class ThinLinkClient(Client):
    """Reads of the configuration share a link between the regions; the store stands in the east."""

    LINK_SHARE_PER_S = 2.0
    """Configurations that the link carries in a second."""
    STEP_S = 0.01
    reading = 0

    async def changes(self, table, after, wait_s, transfer_s):
        received = await super().changes(table, after, wait_s, transfer_s)
        is_read = table == replica.CONFIGURATION and received.changes
        if is_read and self.node_id.startswith("west"):
            await self._transfer(transfer_s)
        return received

    async def _transfer(self, transfer_s):
        left, until = 1.0, asyncio.get_running_loop().time() + transfer_s
        ThinLinkClient.reading += 1
        try:
            while left > 0:
                await asyncio.sleep(self.STEP_S)
                left -= self.LINK_SHARE_PER_S * self.STEP_S / ThinLinkClient.reading
                if asyncio.get_running_loop().time() > until:
                    raise tables.ReadCut("slow")
        finally:
            ThinLinkClient.reading -= 1


def play_on_thin_link(silences, commits_at):
    async def main():
        fleet = Fleet(silences, 1)
        for node_id, sync in fleet.nodes.items():
            sync.store = ThinLinkClient(fleet, node_id)
        await fleet.run(commits_at)
        return fleet

    return virtual_time.run(main())


def test_region_that_starts_at_once_reads_a_large_configuration_over_a_thin_link():
    """Guards against nodes that all read it at the same time."""
    fleet = play_on_thin_link([], [5.0])
    known_at = {node_id: fleet.known_at.get((node_id, 1)) for node_id in LOCATIONS}
    assert None not in known_at.values()
    assert max(known_at.values()) < CONFIG_APPLY_S


@pytest.mark.parametrize("phase", range(8))
def test_slow_reads_of_a_configuration_end_while_the_store_also_answers_for_other_rows(phase):
    """Guards against polls that are cut off each time, which leave a node outdated for good."""
    commits_at = [10.0 + 0.1 * phase + 2.5 * number for number in range(4)]
    assert play_on_thin_link([], commits_at).late() == []


def test_region_that_regains_the_store_reads_a_large_configuration_over_a_thin_link():
    """Guards against slow reads by all nodes at the same time, which fill the link."""
    cut = [Silence(node_id, 10.0, 14.0, True) for node_id in LOCATIONS if "west" in node_id]
    assert play_on_thin_link(cut, [11.0]).late() == []


LARGE_REGIONS = {
    f"{domain}-{number}": directory.Location(domain, domain.partition("-")[0])
    for domain, count in (("east-a", 23), ("east-b", 20), ("west-a", 32), ("west-b", 16))
    for number in range(1, count + 1)
}


class LossyClient(ThinLinkClient):
    """Reads over a thin link from a store that loses a part of its answers for a time."""

    NODE_SHARE_PER_S = 4.0
    """Configurations that the link of one node carries in a second."""
    LOST_SHARE, LOST_FROM, LOST_UNTIL = 0.35, 17.0, 21.5

    def __init__(self, fleet, node_id, link_share_per_s):
        super().__init__(fleet, node_id)
        self.LINK_SHARE_PER_S = link_share_per_s
        self.rng = random.Random(node_id)

    async def changes(self, table, after, wait_s, transfer_s):
        received = await Client.changes(self, table, after, wait_s, transfer_s)
        is_lossy = self.LOST_FROM <= asyncio.get_running_loop().time() < self.LOST_UNTIL
        if is_lossy and self.rng.random() < self.LOST_SHARE:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise tables.ReadError("lost")
        if table == replica.CONFIGURATION and received.changes and self.node_id.startswith("west"):
            await self._transfer(transfer_s)
        return received

    async def _transfer(self, transfer_s):
        left, until = 1.0, asyncio.get_running_loop().time() + transfer_s
        ThinLinkClient.reading += 1
        try:
            while left > 0:
                await asyncio.sleep(self.STEP_S)
                share = self.LINK_SHARE_PER_S / ThinLinkClient.reading
                left -= min(share, self.NODE_SHARE_PER_S) * self.STEP_S
                if asyncio.get_running_loop().time() > until:
                    raise tables.ReadCut("slow")
        finally:
            ThinLinkClient.reading -= 1


@pytest.mark.parametrize("link_share_per_s", [8.0, 12.0, 25.0])
def test_large_region_has_each_configuration_in_time_while_the_store_loses_answers(
    monkeypatch, link_share_per_s
):
    """Guards against nodes that all read the store at once, and fill the link with each version."""
    monkeypatch.setattr(sys.modules[__name__], "LOCATIONS", LARGE_REGIONS)

    async def main():
        fleet = Fleet([], 1)
        for node_id, sync in fleet.nodes.items():
            sync.store = LossyClient(fleet, node_id, link_share_per_s)
        await fleet.run([8.0 + 1.35 * number for number in range(19)])
        return fleet

    assert virtual_time.run(main()).late() == []


class NewFleet(Fleet):
    """A fleet without rows, whose nodes write theirs as `MeshNode` does."""

    ENDPOINT_KNOWN_AT = 2.5
    FIRST_CHECK_S = 0.05

    def __init__(self, seed, spread):
        super().__init__([], seed)
        self.store.instances = []
        self.written = 0
        if spread:
            for sync in self.nodes.values():
                sync.spread_start()

    async def register(self, sync):
        await sync.complete.wait()
        await asyncio.sleep(self.FIRST_CHECK_S)
        if sync.source_id is None:
            self.write_row(sync)
        await asyncio.sleep(self.ENDPOINT_KNOWN_AT - asyncio.get_running_loop().time())
        self.write_row(sync)

    def write_row(self, sync):
        self.written += 1
        self.store.version += 1
        row = instance_row(sync.own_id)
        key = directory.INSTANCE_PREFIX + sync.own_id
        position = tables.Position(0, self.store.version)
        self.store.instances.append(
            tables.Change(replica.MESH, key, position, directory.encode(row))
        )
        self.store.changed.set()
        self.store.changed = asyncio.Event()

    async def run(self, commits_at):
        registering = [asyncio.create_task(self.register(sync)) for sync in self.nodes.values()]
        await super().run(commits_at)
        await asyncio.gather(*registering)


def count_start_calls(seed, spread):
    async def main():
        fleet = NewFleet(seed, spread)
        await fleet.run([6.0])
        assert fleet.late() == []
        return fleet.written + sum(at < 3.0 for _, at in fleet.asked_store_at)

    return virtual_time.run(main())


LARGE_FLEET = {
    f"{domain}-{number}": directory.Location(domain, domain.partition("-")[0])
    for domain, number in itertools.product(("r1-a", "r2-a", "r1-b", "r2-b"), range(14))
}


@pytest.mark.parametrize("seed", range(2))
def test_spread_start_of_a_new_fleet_makes_a_third_fewer_calls_to_the_store(monkeypatch, seed):
    """Guards against nodes that all watch the store until they know of each other."""
    monkeypatch.setattr(sys.modules[__name__], "LOCATIONS", LARGE_FLEET)
    assert count_start_calls(seed, spread=True) < 0.67 * count_start_calls(seed, spread=False)
