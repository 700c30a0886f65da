"""Replica of the shared tables."""

import pytest

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import replica

ERA = 3


class Setup:
    """A replica, the changes that it passed on, and its clock."""

    def __init__(self):
        self.now = 0.0
        self.received = []
        self.replica = replica.Replica(
            self.apply, instants.Clocks(lambda: self.now, lambda: self.now)
        )
        self.replica.apply_snapshot(replica.MESH, changes(version=0))

    def apply(self, change):
        self.received.append(change)
        return True

    def values(self):
        return {
            row.key: row.value["v"] for row in self.replica.rows.values() if row.value is not None
        }


@pytest.fixture
async def setup():
    return Setup()


def change(key, version, value=True, era=ERA):
    position = tables.Position(era, version)
    return tables.Change(replica.MESH, key, position, {"v": version} if value else None)


def changes(*rows, version=None, era=ERA):
    latest = max((row.position.version for row in rows), default=0)
    return tables.Changes(rows, tables.Position(era, latest if version is None else version))


async def test_row_at_the_latest_position_is_kept_in_any_order(setup):
    for version in (5, 3, 5):
        setup.replica.apply_changes(replica.MESH, changes(change("a", version)))
    assert [row.position.version for row in setup.received] == [5]
    assert setup.replica.positions[replica.MESH] == tables.Position(ERA, 5)


async def test_rows_missing_from_a_snapshot_become_tombstones(setup):
    copy = setup.replica
    copy.apply_changes(replica.MESH, changes(change("a", 1), change("b", 2), change("late", 9)))
    copy.apply_snapshot(replica.MESH, changes(change("a", 1), version=8))
    assert copy.rows[replica.MESH, "b"].value is None
    assert setup.values() == {"a": 1, "late": 9}


async def test_changes_since_a_position_include_removals(setup):
    copy = setup.replica
    copy.apply_changes(
        replica.MESH, changes(change("a", 1), change("b", 2), change("c", 3, value=False))
    )
    since = copy.changes_since(replica.MESH, tables.Position(ERA, 1))
    assert [row.key for row in since.changes] == ["b", "c"]
    assert copy.has_changes_since({replica.MESH: tables.Position(ERA, 2)})
    assert not copy.has_changes_since({replica.MESH: tables.Position(ERA, 3)})
    assert copy.has_changes_since({replica.MESH: tables.Position(ERA - 1, 3)})


async def test_oldest_tombstones_are_evicted_beyond_the_limit(setup):
    copy = setup.replica
    rows = [change(str(n), n + 1, value=False) for n in range(replica.MAX_TOMBSTONES + 10)]
    copy.apply_changes(replica.MESH, changes(*rows))
    assert len(copy.rows) == replica.MAX_TOMBSTONES
    assert (replica.MESH, "0") not in copy.rows


async def test_changes_of_another_era_have_no_effect(setup):
    setup.replica.apply_changes(replica.MESH, changes(change("a", 5)))
    for era in (ERA - 1, ERA + 1):
        received = changes(change("a", 9, era=era), era=era)
        assert setup.replica.apply_changes(replica.MESH, received) == 0
    setup.replica.apply_snapshot(replica.MESH, changes(version=9, era=ERA - 1))
    assert setup.values() == {"a": 5}


async def test_rewritten_row_with_a_lower_version_replaces_the_lost_one(setup):
    setup.replica.apply_changes(replica.MESH, changes(change("a", 50)))
    setup.replica.apply_snapshot(replica.MESH, changes(version=10, era=ERA + 1))
    assert setup.values() == {"a": 50}
    setup.replica.apply_changes(replica.MESH, changes(change("a", 11, era=ERA + 1), era=ERA + 1))
    assert setup.values() == {"a": 11}
    assert not setup.replica.is_lost(replica.MESH, "a")


async def test_rows_that_the_copy_has_are_not_lost(setup):
    setup.replica.apply_changes(replica.MESH, changes(change("a", 5), change("b", 50)))
    setup.replica.apply_snapshot(
        replica.MESH, changes(change("a", 5, era=ERA + 1), version=10, era=ERA + 1)
    )
    assert [row.key for row in setup.replica.lost_rows()] == ["b"]
    assert setup.replica.store_position(replica.MESH, "a") == tables.Position(ERA + 1, 5)
    assert setup.replica.store_position(replica.MESH, "b") == tables.ABSENT


async def test_lost_row_takes_its_older_state_in_the_store_once_its_time_is_over(setup):
    setup.replica.apply_changes(replica.MESH, changes(change("a", 50), change("b", 51)))
    copied = changes(change("a", 5, era=ERA + 1), version=10, era=ERA + 1)
    setup.replica.apply_snapshot(replica.MESH, copied)
    assert setup.values() == {"a": 50, "b": 51}
    assert setup.replica.store_position(replica.MESH, "a") == tables.Position(ERA + 1, 5)
    assert setup.replica.lost_rows_end_at == replica.LOST_ROW_LIFETIME_S
    setup.replica.drop_lost_rows()
    assert setup.values() == {"a": 5}
    assert setup.replica.lost_rows() == []


async def test_row_removed_after_the_copy_stays_removed_while_its_removal_is_lost(setup):
    setup.replica.apply_changes(replica.MESH, changes(change("a", 5)))
    setup.replica.apply_changes(replica.MESH, changes(change("a", 50, value=False)))
    copied = changes(change("a", 5, era=ERA + 1), version=10, era=ERA + 1)
    setup.replica.apply_snapshot(replica.MESH, copied)
    assert setup.values() == {}
    assert setup.replica.is_lost(replica.MESH, "a")
    setup.replica.drop_lost_rows()
    assert setup.values() == {"a": 5}


async def test_peer_of_an_earlier_era_gets_all_rows_of_the_store_but_no_lost_ones(setup):
    setup.replica.apply_changes(replica.MESH, changes(change("a", 5), change("b", 50)))
    copied = changes(change("a", 5, era=ERA + 1), version=10, era=ERA + 1)
    setup.replica.apply_snapshot(replica.MESH, copied)
    since = setup.replica.changes_since(replica.MESH, tables.Position(ERA, 50))
    assert [(row.key, row.position) for row in since.changes] == [
        ("a", tables.Position(ERA + 1, 5))
    ]
    assert since.position == tables.Position(ERA + 1, 10)


async def test_lost_configuration_stays_and_is_passed_on_until_it_is_written_again(setup):
    def configuration(version, era):
        position = tables.Position(era, version)
        row = tables.Change(replica.CONFIGURATION, replica.CURRENT, position, {"v": version})
        return tables.Changes((row,), position)

    copy = setup.replica
    copy.apply_snapshot(replica.CONFIGURATION, configuration(50, ERA))
    copy.listener = lambda received: received.value["v"] >= 50
    copy.apply_snapshot(replica.CONFIGURATION, configuration(5, ERA + 1))
    copy.drop_lost_rows()
    assert setup.values() == {replica.CURRENT: 50}
    passed_on = copy.changes_since(replica.CONFIGURATION, tables.Position(ERA + 1, 5))
    assert [row.value for row in passed_on.changes] == [{"v": 50}]

    starting = Setup()
    starting.replica.apply_snapshot(replica.CONFIGURATION, configuration(5, ERA + 1))
    starting.replica.apply_changes(replica.CONFIGURATION, passed_on)
    assert starting.values() == {replica.CURRENT: 50}
    written_again = tables.Position(ERA + 1, 12)
    for each in (copy, starting.replica):
        row = tables.Change(replica.CONFIGURATION, replica.CURRENT, written_again, {"v": 50})
        each.apply_changes(replica.CONFIGURATION, tables.Changes((row,), written_again))
        assert each.lost_rows() == []
