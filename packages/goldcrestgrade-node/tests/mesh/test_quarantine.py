"""Quarantine of requests that crash endpoints."""

import asyncio
import random

import pytest

from goldcrestgrade import counters, instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import quarantine, replica, trials
from goldcrestgrade_testing import virtual_time


def row(digest, endpoint, expires_at=100.0):
    key = f"{quarantine.KEY_PREFIX}{digest}/{endpoint}"
    return tables.Change(replica.MESH, key, tables.Position(1, 1), {"until": expires_at})


def make_quarantine(clocks, store=None):
    rows = replica.Replica(lambda _: True, clocks)
    return quarantine.Quarantine(store, rows, lambda: 1, clocks, counters.Counts(), None)


async def test_request_is_quarantined_after_crashes_of_three_endpoints_reported_by_any_node():
    known_crashes = make_quarantine(instants.Clocks(lambda: 0.0, lambda: 0.0))
    for endpoint in ("a", "b"):
        known_crashes.apply_change(row("d", endpoint))
    assert not known_crashes.is_quarantined("d")
    known_crashes.record_crash("d", "c")
    assert known_crashes.is_quarantined("d")
    assert not known_crashes.is_quarantined("other")


async def test_crash_counts_once_however_often_it_is_reported():
    known_crashes = make_quarantine(instants.Clocks(lambda: 0.0, lambda: 0.0))
    for _ in range(5):
        known_crashes.apply_change(row("d", "a"))
    assert not known_crashes.is_quarantined("d")


async def test_answered_request_is_not_quarantined_and_crashes_expire():
    now = [0.0]
    known_crashes = make_quarantine(instants.Clocks(lambda: 0.0, lambda: now[0]))
    for endpoint in "abc":
        known_crashes.apply_change(row("d", endpoint))
        known_crashes.apply_change(row("e", endpoint))
    known_crashes.record_answer("d")
    assert not known_crashes.is_quarantined("d")
    assert known_crashes.is_quarantined("e")
    now[0] = 100.0
    assert not known_crashes.is_quarantined("e")


@pytest.mark.parametrize("expires_at", ["soon", None, True, [], 1_000.0, 10**18, 2**64 - 1, 1e308])
async def test_malformed_crash_row_is_ignored(expires_at):
    """Guards against rows by which a request would be refused for good."""
    known_crashes = make_quarantine(instants.Clocks(lambda: 0.0, lambda: 0.0))
    known_crashes.apply_change(row("d", "a", expires_at=expires_at))
    assert not known_crashes.crashes


class Store:
    """A store whose rows all nodes of a test get at once."""

    def __init__(self):
        self.rows, self.nodes, self.version = {}, [], 0

    def add_node(self, seed):
        clocks = instants.loop_clocks(1.7e9)
        rows = replica.Replica(lambda change: self.apply(node, change), clocks)
        rows.positions[replica.MESH] = tables.Position(1, 0)
        rng = random.Random(seed)
        counts = counters.Counts()
        node = quarantine.Quarantine(self, rows, lambda: len(self.nodes), clocks, counts, rng)
        self.nodes.append(node)
        for change in self.rows.values():
            rows.apply_change(change)
        return node, asyncio.create_task(node.run())

    @staticmethod
    def apply(node, change):
        is_trial = change.key.startswith(trials.KEY_PREFIX)
        (node.trials if is_trial else node).apply_change(change)
        return True

    async def transact(self, transaction):
        await asyncio.sleep(0.005)
        for table, key, position in transaction.conditions:
            known = self.rows.get(key)
            if (tables.ABSENT if known is None else known.position) != position:
                condition = tables.Condition(table, key, position)
                return tables.Conflicted((tables.Failure(condition, known),))
        self.version += 1
        position = tables.Position(1, self.version)
        for table, key, value in transaction.writes:
            change = tables.Change(table, key, position, value)
            self.rows[key] = change
            if value is None:
                del self.rows[key]
            for node in self.nodes:
                node.trials.replica.apply_change(change)
        return tables.Committed(position)


NODES = 6

RECOVERY_S = 15.0
"""Time after the last fault within which requests are served again."""


def play(request_runs, seconds, kill_at=None):
    """Return when attempts of a quarantined request ran, and whether it was served at the end.

    One request after the other arrives at each node. `request_runs` tells whether an endpoint
    answers it or crashes. All nodes are killed at `kill_at` and lose what they know.
    """
    store = Store()
    ran_at = []

    async def scenario():
        started = [store.add_node(seed) for seed in range(NODES)]
        for name in "abc":
            store.nodes[0].record_crash("d", name)
        await asyncio.sleep(0.2)
        is_killed = False
        while (now := asyncio.get_running_loop().time()) < seconds:
            if kill_at is not None and now >= kill_at and not is_killed:
                is_killed = True
                for _, task in started:
                    task.cancel()
                store.nodes.clear()
                started = [store.add_node(seed) for seed in range(NODES)]
            for node in list(store.nodes):
                if node.is_quarantined("d") and not node.trials.take("d"):
                    node.trials.request("d")
                    continue
                ran_at.append(now)
                if request_runs:
                    node.record_answer("d")
                else:
                    node.record_crash("d", f"e{len(ran_at)}")
            await asyncio.sleep(0.05)
        for _, task in started:
            task.cancel()
        return [node.is_quarantined("d") for node in store.nodes]

    return ran_at, virtual_time.run(scenario())


@pytest.mark.parametrize("kill_at", [None, 0.2, 0.5, 3.0])
def test_poison_request_runs_no_more_than_its_trials_also_after_a_kill_of_all_nodes(kill_at):
    """Guards against trials that each node, or each process, counts for itself."""
    ran_at, quarantined = play(False, 60.0, kill_at)
    assert len(ran_at) <= trials.MAX_TRIALS
    assert quarantined == [True] * NODES


@pytest.mark.parametrize("kill_at", [None, 0.2, 0.5, 3.0])
def test_harmless_request_runs_again_at_all_nodes_after_one_trial(kill_at):
    """Guards against a quarantine that no answer can end, since all nodes refuse the request."""
    ran_at, quarantined = play(True, RECOVERY_S + 1.0, kill_at)
    assert quarantined == [False] * NODES
    assert len([at for at in ran_at if at > RECOVERY_S]) > 10 * NODES


def test_answer_at_one_node_ends_the_quarantine_at_all():
    """Guards against an answer that only the process knows that saw it."""
    store = Store()

    async def scenario():
        started = [store.add_node(seed) for seed in range(NODES)]
        for name in "abc":
            store.nodes[0].record_crash("d", name)
        await asyncio.sleep(0.2)
        store.nodes[3].record_answer("d")
        await asyncio.sleep(0.5)
        later, task = store.add_node(9)
        known = [node.is_quarantined("d") for node in store.nodes]
        for one in (task, *(task for _, task in started)):
            one.cancel()
        return known, later.crashes

    known, crashes = virtual_time.run(scenario())
    assert known == [False] * (NODES + 1)
    assert not crashes


def test_crash_after_an_answer_still_counts():
    store = Store()

    async def scenario():
        node, task = store.add_node(1)
        node.record_crash("d", "a")
        await asyncio.sleep(0.2)
        node.record_answer("d")
        node.record_crash("d", "b")
        await asyncio.sleep(0.5)
        task.cancel()
        return node.crashes

    assert list(virtual_time.run(scenario())["d"]) == ["b"]


def test_trials_of_a_request_are_removed_with_its_expired_crashes():
    now = [0.0]
    known_crashes = make_quarantine(instants.Clocks(lambda: 0.0, lambda: now[0]))
    known_crashes.apply_change(row("d", "a"))
    value = {"claimed": 1, "next_at": 8.0, "until": 120.0}
    key = trials.KEY_PREFIX + "d"
    known_crashes.trials.apply_change(
        tables.Change(replica.MESH, key, tables.Position(1, 2), value)
    )
    now[0] = 110.0
    assert [write.key for write in known_crashes._expired_deletions()] == ["suspect/d/a", key]
