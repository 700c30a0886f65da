"""Nodes that follow a store which comes back from copies of its past, compared with a model.

Hypothesis draws series of commits, lost answers, forgotten histories and returns from a copy. The
nodes' real replicas, feeds, registrations and restorations run in virtual time against a model of
the store, which knows what it holds.
"""

import asyncio
import random

import hypothesis
from hypothesis import strategies

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import directory, registration, replica, restoration, watch
from goldcrestgrade_testing import virtual_time

LOCATIONS = {
    "n1": directory.Location("khomas-a", "khomas"),
    "n2": directory.Location("khomas-a", "khomas"),
    "n3": directory.Location("oshana-a", "oshana"),
}

RETURN_BOUND_S = 2.0
"""Documented time after the store's return within which all own rows are back."""

SETTLE_S = 1.5
"""Time after which changes have arrived everywhere, once no fault is left."""


class ModelStore:
    """Rows, history and copies of the store; gives out versions again after a return."""

    def __init__(self):
        self.era = 1
        self.version = 0
        self.rows = {}
        self.history = []
        self.forgotten_to = 0
        self.copies = [(0, {})]
        self.away = False
        self.changed = asyncio.Event()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def commit(self, writes):
        self.version += 1
        for write in writes:
            position = tables.Position(self.era, self.version)
            if write.value is None:
                self.rows.pop((write.table, write.key), None)
            else:
                self.rows[write.table, write.key] = tables.Row(
                    write.table, write.key, position, write.value
                )
            self.history.append(tables.Change(write.table, write.key, position, write.value))
        self.copies.append((self.version, dict(self.rows)))
        self.wake()

    def restore(self, lost_commits):
        """Come back without the last commits; the rows that are left are of the new era."""
        self.era += 1
        del self.copies[max(1, len(self.copies) - lost_commits) :]
        self.version, rows = self.copies[-1]
        self.rows = {
            row_key: row._replace(position=row.position._replace(era=self.era))
            for row_key, row in rows.items()
        }
        self.history = [
            change._replace(position=change.position._replace(era=self.era))
            for change in self.history
            if change.position.version <= self.version
        ]
        self.wake()

    def configuration(self):
        row = self.rows.get((replica.CONFIGURATION, replica.CURRENT))
        return 0 if row is None else row.value["version"]


class Client:
    """A node's client of the model store, as the adapter is: it knows eras only from answers."""

    def __init__(self, store):
        self.store = store
        self.era = 0
        self.listeners = []
        self.answers_to_lose = 0

    def on_era(self, listener):
        self.listeners.append(listener)

    def _observe(self):
        if self.store.era > self.era:
            self.era = self.store.era
            for listener in self.listeners:
                listener(self.era)

    async def transact(self, transaction):
        if any(
            c.position != tables.ABSENT and c.position.era < self.era
            for c in transaction.conditions
        ):
            return tables.Rejected("earlier era")
        await asyncio.sleep(0.004)
        if self.store.away:
            return tables.Rejected("away")
        failures = []
        for condition in transaction.conditions:
            row = self.store.rows.get((condition.table, condition.key))
            if (0 if row is None else row.position.version) != condition.position.version:
                failures.append(tables.Failure(condition, row))
        if not failures:
            self.store.commit(transaction.writes)
        position = tables.Position(self.store.era, self.store.version)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return tables.Unanswered("lost")
        self._observe()
        return tables.Conflicted(tuple(failures)) if failures else tables.Committed(position)

    async def snapshot(self, table, _transfer_s):
        await asyncio.sleep(0.004)
        if self.store.away:
            raise tables.ReadError("away")
        self._observe()
        rows = [tables.Change(*row) for row in self.store.rows.values() if row.table == table]
        return tables.Changes(tuple(rows), tables.Position(self.store.era, self.store.version))

    async def changes(self, table, after, wait_s, _transfer_s):
        await asyncio.sleep(0.004)
        era = self.store.era
        try:
            async with asyncio.timeout(wait_s):
                while (
                    not self.store.away and era == self.store.era and not self._found(table, after)
                ):
                    await self.store.changed.wait()
        except TimeoutError:
            pass
        if self.store.away or era != self.store.era:
            raise tables.ReadError("connection lost")
        self._observe()
        gone = not self.store.forgotten_to <= after.version <= self.store.version
        if after.era != self.store.era or gone:
            raise tables.HistoryGone("gone")
        found = tuple(self._found(table, after))
        return tables.Changes(found, tables.Position(self.store.era, self.store.version))

    def _found(self, table, after):
        return [
            change
            for change in self.store.history
            if change.table == table and change.position.version > after.version
        ]


class Node:
    """The parts of a node that follow the store, with peers reached without a network."""

    def __init__(self, node_id, store, nodes):
        loop = asyncio.get_running_loop()
        clocks = instants.Clocks(loop.time, loop.time)
        rng = random.Random(node_id)
        self.client = Client(store)
        self.configurations = []
        self.instances = directory.Directory()
        self.replica = replica.Replica(self.apply, clocks)
        row = directory.InstanceRow(
            node_id, "10.0.0.1", int(node_id[1:]), LOCATIONS[node_id], "s", True, 1
        )
        self.registration = registration.Registration(row, self.replica, self.client, clocks, rng)
        self.sync = watch.Sync(
            node_id,
            LOCATIONS[node_id],
            self.replica,
            self.instances,
            self.client,
            None,
            clocks,
            rng,
        )
        self.sync._fetch_changes = self.fetch_changes
        self.restoration = restoration.Restoration(
            LOCATIONS[node_id].failure_domain,
            self.replica,
            self.client,
            self.sync.is_first_in_failure_domain,
            self.registration.check,
            clocks,
            rng,
        )
        self.nodes = nodes

    def apply(self, change):
        if change.table == replica.CONFIGURATION:
            version = 0 if change.value is None else change.value["version"]
            in_force = self.configurations[-1] if self.configurations else 0
            if version > in_force:
                self.configurations.append(version)
            return version >= in_force
        if change.key.startswith(directory.INSTANCE_PREFIX):
            self.instances.apply_change(change)
            if change.key == self.registration.key:
                self.registration.on_own_row_change(change)
        return True

    async def fetch_changes(self, peer, wait_s):
        await asyncio.sleep(0.002)
        other = self.nodes[peer.row.node_id].sync
        other.observe_era(self.sync.known_era)
        return await other.answer_poll(dict(self.replica.positions), wait_s)

    async def run(self):
        async with asyncio.TaskGroup() as group:
            group.create_task(self.sync.run())
            group.create_task(self.sync.keep_current())
            group.create_task(self.restoration.run())
            await self.sync.complete.wait()
            group.create_task(self.registration.run())

    def rows(self):
        """Return the values in use by table and key."""
        return {
            row_key: row.value
            for row_key, row in self.replica.rows.items()
            if row.value is not None
        }


class Course:
    """Plays drawn steps and checks the nodes after each return of the store."""

    def __init__(self):
        self.store = ModelStore()
        self.nodes = {}
        self.configuration = 0

    def write_configuration(self):
        value = {"version": self.configuration}
        self.store.commit([tables.Write(replica.CONFIGURATION, replica.CURRENT, value)])

    async def step(self, kind, name, number):
        node = self.nodes[name]
        match kind:
            case "configure":
                self.configuration += 1
                self.write_configuration()
            case "endpoint":
                desired = node.registration.desired
                node.registration.set_desired(desired._replace(serving=not desired.serving))
            case "shared":
                key = f"suspect/{number}/{name}"
                await node.client.transact(
                    tables.Transaction((), (tables.Write(replica.MESH, key, {"until": number}),))
                )
            case "lose":
                node.client.answers_to_lose = 1
            case "forget":
                self.store.history.clear()
                self.store.forgotten_to = self.store.version
            case "restore":
                await self.restore(number)
        await asyncio.sleep(number / 50)

    async def restore(self, number):
        self.store.away = True
        self.store.wake()
        await asyncio.sleep(number / 40)
        self.store.restore(number)
        self.store.forgotten_to = min(self.store.forgotten_to, self.store.version)
        self.store.away = False
        await asyncio.sleep(number / 100)
        self.write_configuration()

    async def check(self):
        await asyncio.sleep(RETURN_BOUND_S + SETTLE_S)
        stored = {row_key: row.value for row_key, row in self.store.rows.items()}
        for name, node in self.nodes.items():
            own_row = stored.get((replica.MESH, node.registration.key))
            assert own_row == directory.encode(node.registration.desired), name
            assert node.rows() == stored, name
            assert node.replica.lost_rows() == [], name
            assert node.configurations == sorted(set(node.configurations)), name
            assert node.configurations[-1] == self.configuration, name

    async def play(self, steps):
        self.configuration = 1
        self.write_configuration()
        for name in LOCATIONS:
            self.nodes[name] = Node(name, self.store, self.nodes)
        running = [asyncio.create_task(node.run()) for node in self.nodes.values()]
        await asyncio.sleep(1.0)
        for kind, name, number in steps:
            await self.step(kind, name, number)
        await self.check()
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["configure", "endpoint", "shared", "lose", "forget", "restore", "restore"]
        ),
        strategies.sampled_from(sorted(LOCATIONS)),
        strategies.integers(0, 20),
    ),
    min_size=1,
    max_size=12,
)


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(steps=STEPS)
def test_nodes_agree_with_the_store_soon_after_each_return_from_a_copy(steps):
    virtual_time.run(Course().play(steps))
