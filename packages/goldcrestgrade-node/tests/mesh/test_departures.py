"""Departures of endpoints that outlast the process of their node."""

import asyncio
import random

import pytest

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.endpoint import endpoints
from goldcrestgrade_node.mesh.state import departures, replica
from goldcrestgrade_testing import virtual_time

CONFIGURED = endpoints.ConfiguredEndpoint("10.0.0.1:80", "archive", "khomas-a")
BORN_MS = 5_000


class Store:
    """A store of departure rows that does not answer at times."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.failures = 0

    async def transact(self, transaction):
        await asyncio.sleep(0.01)
        if self.failures:
            self.failures -= 1
            return tables.Unanswered("lost")
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (tables.ABSENT if row is None else row.position) != condition.position:
                return tables.Conflicted((tables.Failure(condition, row),))
        self.version += 1
        position = tables.Position(0, self.version)
        for write in transaction.writes:
            self.rows.pop(write.key, None)
            if write.value is not None:
                self.rows[write.key] = tables.Row(write.table, write.key, position, write.value)
        return tables.Committed(position)


class Node:
    """A process of node n1, which has read the rows that the store has at its start."""

    def __init__(self, store, is_first_node=True):
        clocks = instants.loop_clocks()
        self.own = endpoints.OwnEndpoint(CONFIGURED, clocks, lambda: None)
        self.replica = replica.Replica(self.on_row, clocks)
        self.departures = departures.Departures(
            "n1",
            self.own,
            self.replica,
            store,
            lambda: is_first_node,
            clocks,
            random.Random(1),
        )
        rows = tuple(tables.Change(*row) for row in store.rows.values())
        position = tables.Position(0, store.version)
        self.replica.apply_snapshot(replica.MESH, tables.Changes(rows, position))
        self.task = asyncio.create_task(self.departures.run())

    def on_row(self, change):
        self.departures.apply_change(change)
        return True


def heartbeat(endpoint_id="i-1", born_ms=BORN_MS, sequence=3):
    return endpoints.Heartbeat(
        endpoint_id, born_ms, sequence, "10.0.0.1:80", "archive", "khomas-a", 4, False, 0.0
    )


def play(scenario):
    return virtual_time.run(scenario())


@pytest.mark.parametrize("known", [True, False])
def test_late_heartbeat_does_not_bring_back_an_endpoint_that_left_before_a_restart(known):
    async def scenario():
        store = Store()
        first = Node(store)
        if known:
            first.own.apply_heartbeat(heartbeat())
        await first.departures.record("i-1", BORN_MS)
        first.task.cancel()
        second = Node(store)
        assert second.own.apply_heartbeat(heartbeat()) == "departed"
        second.own.apply_health_check("i-1", 4, healthy=True)
        assert second.own.usable() is None
        assert second.own.apply_heartbeat(heartbeat(born_ms=BORN_MS + 1)) == "first"
        assert second.own.usable() is not None

    play(scenario)


def test_heartbeat_that_came_before_the_rows_were_read_is_undone():
    async def scenario():
        store = Store()
        await Node(store).departures.record("i-1", BORN_MS)
        second = Node(Store())
        second.own.apply_heartbeat(heartbeat())
        second.departures.apply_change(tables.Change(*store.rows["departure/n1"]))
        assert second.own.usable() is None
        second.own.apply_heartbeat(heartbeat("i-2", BORN_MS + 9))
        second.departures.apply_change(tables.Change(*store.rows["departure/n1"]))
        assert second.own.usable().endpoint_id == "i-2"

    play(scenario)


def test_departure_is_confirmed_once_the_store_has_it_or_after_a_time():
    async def scenario():
        store = Store()
        node = Node(store)
        await node.departures.record("i-1", BORN_MS)
        assert store.rows["departure/n1"].value["born_ms"] == BORN_MS
        store.failures = 4
        began = asyncio.get_running_loop().time()
        await node.departures.record("i-2", BORN_MS + 1)
        waited_s = asyncio.get_running_loop().time() - began
        assert waited_s <= departures.MAX_CONFIRMATION_DELAY_S + 0.01
        assert node.own.departed["i-2"] == BORN_MS + 1
        await asyncio.sleep(10.0)
        assert store.rows["departure/n1"].value["endpoint_id"] == "i-2"

    play(scenario)


def test_departure_is_written_after_more_failures_than_a_backoff_can_double():
    """Guards against a process that ends after some 20 minutes without the store."""

    async def scenario():
        store = Store()
        node = Node(store)
        store.failures = 1100
        await node.departures.record("i-1", BORN_MS)
        while store.failures and not node.task.done():
            await asyncio.sleep(departures.BACKOFF_LIMIT_S)
        await asyncio.sleep(departures.BACKOFF_LIMIT_S + 0.1)
        assert store.rows["departure/n1"].value["endpoint_id"] == "i-1"

    play(scenario)


@pytest.mark.parametrize("is_first_node", [True, False])
def test_first_node_removes_old_rows(is_first_node):
    async def scenario():
        store = Store()
        await Node(store, is_first_node).departures.record("i-1", BORN_MS)
        await asyncio.sleep(departures.LIFETIME_S - 1.0)
        assert "departure/n1" in store.rows
        await asyncio.sleep(2 * departures.REMOVAL_INTERVAL_S)
        assert ("departure/n1" in store.rows) != is_first_node

    play(scenario)


@pytest.mark.parametrize(
    "value",
    [
        {},
        {"endpoint_id": 5, "born_ms": 5},
        {"endpoint_id": "i-1"},
        {"endpoint_id": "i-1", "born_ms": 10**18},
        {"endpoint_id": "i-1", "born_ms": 2**64 - 1},
    ],
)
def test_malformed_row_is_ignored(value):
    async def scenario():
        node = Node(Store())
        position = tables.Position(0, 1)
        node.departures.apply_change(tables.Change(replica.MESH, "departure/n1", position, value))
        assert not node.own.departed

    play(scenario)


@pytest.mark.parametrize("recorded_ms", ["yesterday", 10**18, -(2**63), 1e308, True, None])
def test_row_without_a_readable_time_is_removed(recorded_ms):
    async def scenario():
        store = Store()
        position = tables.Position(0, 1)
        store.version = 1
        value = {"recorded_ms": recorded_ms}
        store.rows["departure/n9"] = tables.Row(replica.MESH, "departure/n9", position, value)
        Node(store)
        await asyncio.sleep(departures.LIFETIME_S + 2 * departures.REMOVAL_INTERVAL_S)
        assert store.rows == {}

    play(scenario)
