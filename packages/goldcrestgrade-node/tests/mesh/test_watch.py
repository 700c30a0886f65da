"""Sources of the shared rows."""

import random

import orjson
import pytest

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import directory, replica, watch

PLACE = directory.Location("khomas-a", "khomas")


class Store:
    """A store that answers or fails as a test says."""

    def __init__(self):
        self.fails = False
        self.version = 1

    async def snapshot(self, table):
        return await self.changes(table, 0, 0.0)

    async def changes(self, _table, _after, _wait_s):
        if self.fails:
            raise tables.ReadError("refused")
        return tables.Changes((), self.version)


def add(known, name, version, place=PLACE):
    row = directory.InstanceRow(name, "h", version, place, "s", True, 1)
    key = directory.INSTANCE_PREFIX + name
    known.apply_change(tables.Change(replica.MESH, key, version, directory.encode(row)))


@pytest.fixture
async def sync():
    clocks = instants.system_clocks()
    known = directory.Directory()
    copy = replica.Replica(lambda _: None)
    return watch.Sync("n2", PLACE, copy, known, Store(), None, clocks, random.Random(1))


async def test_first_live_node_of_a_failure_domain_watches_and_the_others_follow_it(sync):
    assert sync._source() is None
    add(sync.known, "n3", 1)
    add(sync.known, "n0", 2, directory.Location("khomas-b", "khomas"))
    assert sync._source() is None
    add(sync.known, "n1", 3)
    assert sync._source().row.node_id == "n1"
    sync.known.by_id["n1"].failures = 1
    assert sync._source() is None


async def test_node_that_lost_the_store_is_no_source_from_its_first_failure_on(sync):
    sync.watches_store = True
    await sync._read_all()
    assert sync.connected()
    sync.store.fails = True
    await sync._watch_store()
    assert not sync.connected()
    answer = orjson.loads(await sync.answer(dict.fromkeys(replica.TABLES, 0), 0.0))
    assert answer["connected"] is False
    sync.store.fails = False
    await sync._watch_store()
    assert sync.connected()


async def test_node_that_follows_is_no_source(sync):
    await sync._read_all()
    sync.watches_store = False
    assert not sync.connected()


async def test_answer_names_the_node_and_holds_what_the_asker_lacks(sync):
    change = tables.Change(replica.MESH, "k", 5, {"a": 1})
    sync.copy.take(replica.MESH, tables.Changes((change,), 5))
    answer = orjson.loads(await sync.answer(dict.fromkeys(replica.TABLES, 4), 0.5))
    assert answer["node_id"] == "n2"
    assert watch.decode(replica.MESH, answer[replica.MESH]) == tables.Changes((change,), 5)
