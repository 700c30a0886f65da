"""Replica of the shared tables."""

from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import replica


def change(key, version, value=True):
    return tables.Change(replica.MESH, key, version, {"v": version} if value else None)


def changes(*rows, version=None):
    return tables.Changes(rows, version or max((row.version for row in rows), default=0))


def test_row_with_the_highest_version_is_kept_in_any_order():
    received = []
    copy = replica.Replica(received.append)
    copy.apply_changes(replica.MESH, changes(change("a", 5)))
    copy.apply_changes(replica.MESH, changes(change("a", 3)))
    copy.apply_changes(replica.MESH, changes(change("a", 5)))
    assert [row.version for row in received] == [5]
    assert copy.versions[replica.MESH] == 5


def test_rows_missing_from_a_snapshot_become_tombstones():
    received = []
    copy = replica.Replica(received.append)
    copy.apply_changes(replica.MESH, changes(change("a", 1), change("b", 2), change("late", 9)))
    copy.apply_snapshot(replica.MESH, changes(change("a", 1), version=8))
    assert copy.rows[replica.MESH, "b"].value is None
    assert copy.rows[replica.MESH, "a"].value == {"v": 1}
    assert copy.rows[replica.MESH, "late"].value == {"v": 9}


def test_changes_since_a_version_include_removals():
    copy = replica.Replica(lambda _: None)
    copy.apply_changes(
        replica.MESH, changes(change("a", 1), change("b", 2), change("c", 3, value=False))
    )
    since = copy.changes_since(replica.MESH, 1)
    assert [row.key for row in since.changes] == ["b", "c"]
    assert copy.has_changes_since({replica.MESH: 2})
    assert not copy.has_changes_since({replica.MESH: 3})


def test_oldest_tombstones_are_evicted_beyond_the_limit():
    copy = replica.Replica(lambda _: None)
    rows = [change(str(n), n + 1, value=False) for n in range(replica.MAX_TOMBSTONES + 10)]
    copy.apply_changes(replica.MESH, changes(*rows))
    assert len(copy.rows) == replica.MAX_TOMBSTONES
    assert (replica.MESH, "0") not in copy.rows
