"""The task that keeps the row of an instance in the store."""

import asyncio
import random

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import directory, registration, replica
from goldcrestgrade_testing import virtual_time

ROW = directory.InstanceRow(
    "own", "10.0.0.1", 80, directory.Location("khomas-a", "khomas"), "archive", True, 1
)

SECONDS = 10.0


class Store:
    """A store beside which another writer replaces each row as soon as it is written."""

    def __init__(self):
        self.writes = 0
        self.version = 0
        self.on_replaced = None

    async def transact(self, _transaction):
        await asyncio.sleep(0.001)
        self.writes += 1
        self.version += 2
        asyncio.get_running_loop().call_soon(self.on_replaced, self.version)
        return tables.Committed(tables.Position(0, self.version - 1))


def test_writer_that_replaces_a_row_again_and_again_is_answered_at_a_bounded_rate():
    """Guards against writes without a pause, for example of two nodes with one address."""
    store = Store()

    async def scenario():
        clocks = instants.loop_clocks()
        rows = replica.Replica(lambda change: own.on_own_row_change(change) or True, clocks)
        own = registration.Registration(ROW, rows, store, clocks, random.Random(1))

        def replace(version):
            key, position = own.key, tables.Position(0, version)
            rows.apply_change(tables.Change(replica.MESH, key, position, {"odd": version}))

        store.on_replaced = replace
        running = asyncio.create_task(own.run())
        await asyncio.sleep(SECONDS)
        running.cancel()

    virtual_time.run(scenario())
    bound = (SECONDS + registration.WRITE_BURST_S) / registration.WRITE_INTERVAL_S + 1
    assert 10 < store.writes <= bound


def test_row_is_written_after_more_failures_than_a_backoff_can_double():
    """Guards against a process that ends after some 20 minutes without the store."""
    store = Store()
    failures = 1100
    left = failures
    commit = store.transact

    async def transact(transaction):
        nonlocal left
        left -= 1
        return tables.Rejected("busy") if left >= 0 else await commit(transaction)

    store.transact = transact
    store.on_replaced = lambda _: None

    async def scenario():
        clocks = instants.loop_clocks()
        rows = replica.Replica(lambda _: True, clocks)
        own = registration.Registration(ROW, rows, store, clocks, random.Random(1))
        running = asyncio.create_task(own.run())
        await asyncio.sleep((failures + 10) * registration.BACKOFF_LIMIT_S)
        assert not running.done()
        running.cancel()

    virtual_time.run(scenario())
    assert store.writes == 1
