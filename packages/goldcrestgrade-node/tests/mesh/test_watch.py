"""Sources of the shared rows: peers and the store."""

import random

import orjson
import pytest

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import directory, replica, watch

LOCATION = directory.Location("khomas-a", "khomas")


class Store:
    """A store that answers, or fails while `fails` is set."""

    def __init__(self):
        self.fails = False
        self.version = 1

    async def snapshot(self, table):
        return await self.changes(table, 0, 0.0)

    async def changes(self, _table, _after, _wait_s):
        if self.fails:
            raise tables.ReadError("refused")
        return tables.Changes((), self.version)


def add(instances, name, version, location=LOCATION):
    row = directory.InstanceRow(name, "h", version, location, "s", True, 1)
    key = directory.INSTANCE_PREFIX + name
    instances.apply_change(tables.Change(replica.MESH, key, version, directory.encode(row)))


@pytest.fixture
async def sync():
    clocks = instants.system_clocks()
    instances = directory.Directory()
    local_replica = replica.Replica(lambda _: None)
    return watch.Sync(
        "n2", LOCATION, local_replica, instances, Store(), None, clocks, random.Random(1)
    )


async def test_reachable_node_with_the_lowest_id_in_the_failure_domain_is_the_source_of_the_others(
    sync,
):
    assert sync._source() is None
    add(sync.instances, "n3", 1)
    add(sync.instances, "n0", 2, directory.Location("khomas-b", "khomas"))
    assert sync._source() is None
    add(sync.instances, "n1", 3)
    assert sync._source().row.node_id == "n1"
    sync.instances.by_id["n1"].failures = 1
    assert sync._source() is None


async def test_node_is_not_connected_from_its_first_store_failure_until_the_store_answers(sync):
    sync.watches_store = True
    await sync._read_all()
    assert sync.is_connected()
    sync.store.fails = True
    await sync._watch_store()
    assert not sync.is_connected()
    answer = orjson.loads(await sync.answer_poll(dict.fromkeys(replica.TABLES, 0), 0.0))
    assert answer["connected"] is False
    sync.store.fails = False
    await sync._watch_store()
    assert sync.is_connected()


async def test_node_that_follows_a_peer_is_not_connected(sync):
    await sync._read_all()
    sync.watches_store = False
    assert not sync.is_connected()


async def test_answer_to_a_poll_names_the_node_and_contains_the_missing_changes(sync):
    change = tables.Change(replica.MESH, "k", 5, {"a": 1})
    sync.replica.apply_changes(replica.MESH, tables.Changes((change,), 5))
    answer = orjson.loads(await sync.answer_poll(dict.fromkeys(replica.TABLES, 4), 0.5))
    assert answer["node_id"] == "n2"
    assert watch.decode(replica.MESH, answer[replica.MESH]) == tables.Changes((change,), 5)
