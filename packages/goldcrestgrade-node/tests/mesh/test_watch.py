"""Sources of the shared rows: peers and the store."""

import asyncio
import contextlib
import random

import orjson
import pytest

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import directory, replica, watch
from goldcrestgrade_testing import virtual_time

LOCATION = directory.Location("khomas-a", "khomas")

SILENCE_S = watch.RESPONSE_MARGIN_S
"""Time after which a poll without a wait of a silent peer fails."""


class Store:
    """A store that answers, or fails while `fails` is set."""

    def __init__(self):
        self.fails = False
        self.position = tables.Position(1, 1)
        self.snapshots = 0

    def on_era(self, _listener):
        """Ignore the listener."""

    async def snapshot(self, table, _transfer_s):
        self.snapshots += 1
        return await self.changes(table, self.position, 0.0, 0.0)

    async def changes(self, _table, after, _wait_s, _transfer_s):
        if self.fails:
            raise tables.ReadError("refused")
        if after.era != self.position.era:
            raise tables.HistoryGone("another era")
        return tables.Changes((), self.position)


def add(instances, name, version, location=LOCATION):
    row = directory.InstanceRow(name, "10.0.0.1", version, location, "s", True, 1)
    key = directory.INSTANCE_PREFIX + name
    position = tables.Position(1, version)
    instances.apply_change(tables.Change(replica.MESH, key, position, directory.encode(row)))


def make_sync(own_id="n2", location=LOCATION):
    clocks = instants.system_clocks()
    local_replica = replica.Replica(lambda _: True, clocks)
    return watch.Sync(
        own_id,
        location,
        local_replica,
        directory.Directory(),
        Store(),
        None,
        clocks,
        random.Random(1),
    )


@pytest.fixture
async def sync():
    return make_sync()


async def test_peers_of_the_failure_domain_with_lower_ids_are_the_sources_of_a_node(sync):
    assert sync._lower_peers() == []
    add(sync.instances, "n3", 1)
    add(sync.instances, "n0", 2, directory.Location("khomas-b", "khomas"))
    assert sync._lower_peers() == []
    add(sync.instances, "n1", 3)
    assert [peer.row.node_id for peer in sync._lower_peers()] == ["n1"]
    sync.instances.by_id["n1"].failures = 1
    assert sync._lower_peers() == []


async def test_node_is_not_connected_from_its_first_store_failure_until_the_store_answers(sync):
    sync.watches_store = True
    await sync._read_all()
    assert sync.is_connected()
    sync.store.fails = True
    await sync._watch_store()
    assert not sync.is_connected()
    answer = watch.parse_answer(await sync.answer_poll(sync.replica.positions, 0.0))
    assert answer["connected"] is False
    sync.store.fails = False
    await sync._watch_store()
    assert sync.is_connected()


async def test_watcher_backs_off_after_any_number_of_failures(sync, monkeypatch):
    """Guards against a process that ends after some 20 minutes without the store."""
    monkeypatch.setattr(watch, "BACKOFF_LIMIT_S", 0.01)
    sync.failures = 2000
    async with asyncio.timeout(1.0):
        await sync._back_off()


async def test_node_that_follows_a_peer_is_connected_while_its_source_is(sync):
    await sync._read_all()
    add(sync.instances, "n1", 1)
    peers = Peers({"n1": True})
    sync._poll_peer = peers.poll
    await sync._search()
    assert sync.source_id == "n1" and sync.is_connected()
    source = sync.instances.by_id["n1"]
    assert await sync._watch_peer(source)
    peers.connected["n1"] = False
    assert not await sync._watch_peer(source)
    sync._leave_source()
    assert not sync.is_connected()


async def test_first_node_of_a_failure_domain_follows_that_of_an_earlier_one_in_its_region():
    sync = make_sync("n5", directory.Location("khomas-c", "khomas"))
    for number, (name, domain, region) in enumerate(
        (
            ("n1", "khomas-a", "khomas"),
            ("n2", "khomas-a", "khomas"),
            ("n3", "khomas-b", "khomas"),
            ("n4", "khomas-d", "khomas"),
            ("n0", "oshana-a", "oshana"),
        ),
        1,
    ):
        add(sync.instances, name, number, directory.Location(domain, region))
    assert [peer.row.node_id for peer in sync._region_peers()] == ["n1", "n3"]
    assert sync.is_first_in_failure_domain()
    sync._poll_peer = Peers({"n1": False, "n3": True}).poll
    await sync._search_region()
    assert sync.source_id == "n3"
    assert sync.is_connected() and not sync.watches_store


async def test_first_node_of_a_failure_domain_that_loses_its_source_watches_the_store_at_once():
    sync = make_sync("n5", directory.Location("khomas-b", "khomas"))
    add(sync.instances, "n1", 1)
    sync._poll_peer = Peers({"n1": True}).poll
    await sync._read_all()
    sync.complete.set()
    running = asyncio.create_task(sync.run())
    await asyncio.sleep(0.1)
    assert sync.source_id == "n1"
    sync._poll_peer = Peers({}).poll
    # The poll that was open, one that fails, and a moment for the store to answer.
    await asyncio.sleep(watch.PEER_LONG_POLL_S + SILENCE_S + 0.2)
    assert sync.watches_store and sync.is_connected()
    running.cancel()


async def test_answer_to_a_poll_names_the_node_and_contains_the_missing_changes(sync):
    await sync._read_all()
    position = tables.Position(1, 5)
    change = tables.Change(replica.MESH, "k", position, {"a": 1})
    sync.replica.apply_changes(replica.MESH, tables.Changes((change,), position))
    after = dict.fromkeys(replica.TABLES, tables.Position(1, 4))
    answer = watch.parse_answer(await sync.answer_poll(after, 0.5))
    assert answer["node_id"] == "n2"
    decoded = watch.decode(replica.MESH, answer[replica.MESH])
    assert decoded == tables.Changes((change,), position)


async def test_peer_learns_at_once_that_the_node_lost_the_store(sync):
    sync.watches_store = True
    await sync._read_all()
    poll = asyncio.create_task(sync.answer_poll(sync.replica.positions, watch.PEER_LONG_POLL_S))
    await asyncio.sleep(0.05)
    sync._store_failed(tables.ReadError("refused"))
    async with asyncio.timeout(0.2):
        answer = watch.parse_answer(await poll)
    assert answer["connected"] is False


async def test_new_era_that_a_peer_knows_makes_a_watcher_read_all_rows(sync):
    sync.watches_store = True
    await sync._read_all()
    read_before = sync.store.snapshots
    sync.store.position = tables.Position(2, 1)
    sync.observe_era(2)
    await sync._watch_store()
    assert sync.store.snapshots == read_before + len(replica.TABLES)
    assert {position.era for position in sync.replica.positions.values()} == {2}


class Peers:
    """Answers of peers by id; the others are silent."""

    def __init__(self, connected):
        self.connected = connected

    async def poll(self, peer, wait_s):
        if peer.row.node_id not in self.connected:
            await asyncio.sleep(wait_s + SILENCE_S)
            raise watch.PeerError("silent")
        await asyncio.sleep(min(wait_s, 0.05))
        return self.connected[peer.row.node_id]


async def searched(own_id, lower, connected):
    """Return a node after its search among the peers `lower`, and how long the search took."""
    sync = make_sync(own_id)
    for number, name in enumerate(lower, 1):
        add(sync.instances, name, number)
    sync._poll_peer = Peers(connected).poll
    started = sync.clocks.monotonic()
    await sync._search()
    return sync, sync.clocks.monotonic() - started


NAMES = [f"n{number:02}" for number in range(25)]
"""Nodes of a failure domain, the lowest first."""


async def test_source_is_found_in_time_if_a_third_of_the_failure_domain_is_silent():
    connected = {name: name == NAMES[8] for name in NAMES[8:]}
    sync, took_s = await searched("n99", NAMES, connected)
    assert sync.source_id == NAMES[8]
    assert not sync.watches_store
    # The long poll of the lost source comes before this, and the bound of a configuration is 3 s.
    assert took_s < 3.0 - watch.PEER_LONG_POLL_S - watch.RESPONSE_MARGIN_S


async def test_lowest_node_that_is_left_watches_the_store_in_time():
    sync, took_s = await searched("n99", NAMES[:8], {})
    assert sync.watches_store
    assert took_s < 3.0 - watch.PEER_LONG_POLL_S - watch.RESPONSE_MARGIN_S


async def test_few_nodes_try_a_store_that_no_peer_reaches_and_more_do_later():
    tries = [
        [rank for rank in range(25) if watch.watches_itself(rank, search_round)]
        for search_round in range(6)
    ]
    assert [len(ranks) for ranks in tries] == [1, 2, 4, 8, 16, 25]
    sync, took_s = await searched("n99", NAMES[:5], dict.fromkeys(NAMES, False))
    assert sync.watches_store
    assert took_s >= 3 * watch.SEARCH_INTERVAL_S


async def test_watcher_whose_lower_peers_lost_the_store_keeps_watching():
    sync = make_sync("n99")
    add(sync.instances, "n1", 1)
    sync._poll_peer = Peers({"n1": False}).poll
    sync.watches_store = True
    await sync._search()
    assert sync.watches_store
    assert sync._lower_peers() == []


async def test_starting_node_asks_peers_of_other_failure_domains_if_its_own_are_silent():
    """Guards against an evacuation that a restored store has lost, and only live peers know."""
    sync = make_sync("n9")
    sync.store.position = position = tables.Position(2, 3)
    sync.observe_era(2)
    for number, name in enumerate(NAMES[:4], 1):
        other = directory.Location("khomas-b", "khomas")
        add(sync.instances, name, number, LOCATION if number < 4 else other)
    row = tables.Change(replica.CONFIGURATION, replica.CURRENT, position, {"version": 3})
    key = "evacuation/khomas-b"
    lost = tables.Change(replica.CONFIGURATION, key, tables.Position(1, 9), {})
    asked = []

    async def poll(peer, _wait_s):
        asked.append(peer.row.node_id)
        if peer.row.place == LOCATION:
            raise watch.PeerError("silent")
        sync.replica.apply_snapshot(replica.CONFIGURATION, tables.Changes((row, lost), position))
        sync._record_current(sync.clocks.monotonic())
        return True

    sync._poll_peer = poll
    await sync._load()
    assert len(set(asked)) == 3 and asked[-1] == NAMES[3]
    assert (replica.CONFIGURATION, key) in sync.replica.rows


# A node that is ready with what a peer knew 10 s ago would send requests to a failure domain that
# was evacuated meanwhile.
@pytest.mark.parametrize(("age_s", "snapshots"), [(0.0, 1), (10.0, len(replica.TABLES))])
async def test_starting_node_gets_the_configuration_from_a_peer_and_an_old_one_from_the_store(
    age_s, snapshots
):
    sync = make_sync("n5")
    add(sync.instances, "n1", 1)
    position = tables.Position(1, 7)
    row = tables.Change(replica.CONFIGURATION, replica.CURRENT, position, {"version": 3})

    async def poll(_peer, _wait_s):
        sync.replica.apply_snapshot(replica.CONFIGURATION, tables.Changes((row,), position))
        sync._record_current(sync.clocks.monotonic() - age_s)
        return True

    sync._poll_peer = poll
    await sync._load()
    assert sync.complete.is_set()
    assert sync.replica.rows[replica.CONFIGURATION, replica.CURRENT].value == {"version": 3}
    assert sync.store.snapshots == snapshots


async def test_starting_node_whose_peers_are_silent_reads_the_configuration_from_the_store():
    sync = make_sync("n5")
    add(sync.instances, "n1", 1)
    sync._poll_peer = Peers({}).poll
    await sync._load()
    assert sync.complete.is_set()
    assert sync.store.snapshots == len(replica.TABLES)


@pytest.mark.parametrize(("era", "asked"), [(1, []), (2, ["n1"])])
async def test_node_alone_in_its_domain_asks_others_what_the_store_may_have_lost(era, asked):
    """Guards against evacuations that only peers know once the store came back from a copy."""
    sync = make_sync("n5")
    add(sync.instances, "n1", 1, directory.Location("khomas-b", "khomas"))
    sync.known_era = era
    polled = []

    async def poll(peer, _wait_s):
        polled.append(peer.row.node_id)
        return True

    sync._poll_peer = poll
    await sync._load()
    assert polled == asked


async def test_changing_rows_are_polled_after_a_pause_and_the_configuration_at_once(sync):
    await sync._read_all()
    polled_at = {table: [] for table in replica.TABLES}

    async def changes(table, _after, _wait_s, _transfer_s):
        polled_at[table].append(sync.clocks.monotonic())
        return tables.Changes((), sync.store.position)

    sync.store.changes = changes
    for table in replica.TABLES:
        await sync._poll_table(table)
        await sync._poll_table(table)
    for table, (first, second) in polled_at.items():
        assert second - first >= watch.STORE_POLL_DELAYS_S[table]
    first, second = polled_at[replica.CONFIGURATION]
    assert second - first < watch.STORE_POLL_DELAYS_S[replica.MESH]


@pytest.mark.parametrize("wait_s", [0.0, watch.PEER_LONG_POLL_S], ids=["search", "long poll"])
def test_polls_of_a_peer_that_end_at_once_are_limited_in_rate(wait_s):
    """Guards against a loop that leaves the process no time, for example to stop."""
    polls = []

    async def poll(_peer, polled_s):
        polls.append(asyncio.get_running_loop().time())
        # Either the search finds no source, or the source is lost as soon as it is polled.
        return polled_s < wait_s

    async def follow():
        sync = make_sync()
        sync.clocks = sync.pacer.clocks = instants.loop_clocks()
        add(sync.instances, "n1", 1)
        sync.complete.set()
        sync._poll_peer = poll
        sync.store.fails = wait_s == 0.0
        running = asyncio.create_task(sync.run())
        await asyncio.sleep(4.0)
        running.cancel()

    virtual_time.run(follow())
    assert 0 < len(polls) < 2 * (4.0 + watch.ROUND_BURST_S) / watch.ROUND_INTERVAL_S


@pytest.mark.parametrize("change", [{"age_s": -1e9}, {"value": []}, {"value": "x"}, {"value": 7}])
async def test_odd_answer_of_a_peer_is_no_proof_of_a_present_configuration(sync, change):
    """Guards against a process that ends by a value, or never reads the store again."""
    add(sync.instances, "n1", 1)
    rows = [["instance/x", "1.2", change.get("value", {})]]
    table = {"position": "0.0", "rows": rows}
    status = {"node_id": "n1", "connected": True, "age_s": change.get("age_s", 0.0)}
    body = orjson.dumps(status) + b"\n" + orjson.dumps(dict.fromkeys(replica.TABLES, table))

    async def fetch(_peer, _wait_s):
        return body

    sync._fetch_changes = fetch
    with contextlib.suppress(watch.PeerError):
        await sync._poll_peer(sync.instances.by_id["n1"], 0.0)
    assert sync.current_at <= sync.clocks.monotonic()
