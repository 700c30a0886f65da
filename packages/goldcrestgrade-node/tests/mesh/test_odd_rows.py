"""Rows of another writer, each field at the extremes of its type, in all parts that read rows."""

import random

from goldcrestgrade import counters, instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.endpoint import endpoints
from goldcrestgrade_node.mesh.state import (
    departures,
    directory,
    evacuations,
    quarantine,
    registration,
    replica,
    restoration,
    trials,
    watch,
)

OWN_ROW = directory.InstanceRow(
    "own", "10.0.0.1", 80, directory.Location("khomas-a", "khomas"), "archive", True, 1
)

NUMBERS = (0, -1, 1, 2**63, 2**64 - 1, -(2**63), 1e308, -1e308, 5e-324, 0.5)
TEXTS = ("", "x", "x" * 300, "\0\n", "10.0.0.1", "10.0.0.2", "khomas-a")
VALUES = (None, True, False, *NUMBERS, *TEXTS, [], [[1]], {}, {"a": 1}, {"failure_domain": 1})
FIELDS = (*directory.encode(OWN_ROW), "until", "endpoint_id", "born_ms", "recorded_ms", "node_id")
FIELDS += ("claimed", "next_at")
KEYS = (
    *("", "odd", "instance", "instance/", "instance/own", "instance/a", "instance/a/b"),
    *("instance/" + "x" * 191, "suspect/", "suspect/d", "suspect/d/e", "suspect/d/e/f"),
    *("trial/", "trial/d", "endpoint/", "endpoint/own", "endpoint/a"),
    *("departure/", "departure/own", "departure/a", "evacuation/", "evacuation/khomas-a"),
)

STEPS = 30_000


class Store:
    """A store that writes nothing."""


class Node:
    """The parts of a node that read shared rows."""

    def __init__(self, rng):
        clocks = instants.loop_clocks(1.7e9)
        configured = endpoints.ConfiguredEndpoint("10.0.0.1:81", "archive", "khomas-a")
        self.own = endpoints.OwnEndpoint(configured, clocks, lambda: None)
        self.instances = directory.Directory()
        self.evacuations = evacuations.Evacuations(clocks, counters.Counts())
        self.replica = replica.Replica(self.apply, clocks)
        common = self.replica, Store()
        self.quarantine = quarantine.Quarantine(
            Store(), self.replica, lambda: 1, clocks, counters.Counts(), rng
        )
        self.registration = registration.Registration(OWN_ROW, *common, clocks, rng)
        self.departures = departures.Departures("own", self.own, *common, lambda: True, clocks, rng)

    def apply(self, change):
        if change.key.startswith(evacuations.KEY_PREFIX):
            self.evacuations.apply_change(change)
        elif change.key.startswith(quarantine.KEY_PREFIX):
            self.quarantine.apply_change(change)
        elif change.key.startswith(trials.KEY_PREFIX):
            self.quarantine.trials.apply_change(change)
        elif change.key == self.registration.endpoint_key:
            found = change.value and registration.decode_endpoint(change.value)
            if found:
                self.own.restore_service(*found)
            self.registration.on_own_row_change(change)
        elif change.key.startswith(departures.KEY_PREFIX):
            self.departures.apply_change(change)
        elif change.key.startswith(directory.INSTANCE_PREFIX):
            self.instances.apply_change(change)
            if change.key == self.registration.key:
                self.registration.on_own_row_change(change)
            else:
                self.registration.on_other_row_change(change)
        return True

    def use_rows(self):
        """Do what a node does with rows when it polls, writes, and restores lost rows."""
        for table in replica.TABLES:
            document = watch.encode(self.replica.changes_since(table, tables.START))
            watch.decode(table, document)
        self.registration._superseded_rows()
        self.departures._old_keys()
        self.quarantine._expired_deletions()
        restoration.lost_rows_of(self.replica, "khomas-a")
        restoration.lost_shared_rows(self.replica)


def drawn_value(rng):
    value = {} if rng.random() < 0.5 else directory.encode(OWN_ROW)
    for _ in range(rng.randint(0, 3)):
        value[rng.choice(FIELDS)] = rng.choice(VALUES)
    return None if rng.random() < 0.1 else value


async def test_odd_rows_raise_nothing_and_leave_only_instances_that_can_be_reached():
    """Guards against a process that ends by itself since a part of it can't read a row."""
    rng = random.Random(1)
    node = Node(rng)
    for step in range(STEPS):
        table = rng.choice(replica.TABLES)
        era = node.replica.positions[table].era
        if rng.random() < 0.002:
            position = tables.Position(era + 1, step)
            node.replica.apply_snapshot(table, tables.Changes((), position))
        else:
            position = tables.Position(era, step)
            change = tables.Change(table, rng.choice(KEYS), position, drawn_value(rng))
            node.replica.apply_changes(table, tables.Changes((change,), position))
        if step % 100 == 0:
            node.use_rows()
            if rng.random() < 0.2:
                node.replica.drop_lost_rows()
        assert node.own.departed.get("x", 0) <= 1000 * (1.7e9 + 3600)
    for instance in node.instances.by_id.values():
        assert instance.row.node_id and instance.row.host in ("10.0.0.1", "10.0.0.2")
        assert 0 < instance.row.port < 65536
