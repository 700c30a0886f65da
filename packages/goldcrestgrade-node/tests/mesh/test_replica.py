"""The node's copy of the shared tables."""

from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import replica


def change(key, version, value=True):
    return tables.Change(replica.MESH, key, version, {"v": version} if value else None)


def told(*changes, version=None):
    return tables.Changes(changes, version or max((c.version for c in changes), default=0))


def test_of_two_states_of_a_row_the_later_one_counts_in_any_order():
    seen = []
    copy = replica.Replica(seen.append)
    copy.take(replica.MESH, told(change("a", 5)))
    copy.take(replica.MESH, told(change("a", 3)))
    copy.take(replica.MESH, told(change("a", 5)))
    assert [found.version for found in seen] == [5]
    assert copy.versions[replica.MESH] == 5


def test_rows_that_a_snapshot_lacks_were_removed():
    seen = []
    copy = replica.Replica(seen.append)
    copy.take(replica.MESH, told(change("a", 1), change("b", 2), change("late", 9)))
    copy.take_snapshot(replica.MESH, told(change("a", 1), version=8))
    assert copy.rows[replica.MESH, "b"].value is None
    assert copy.rows[replica.MESH, "a"].value == {"v": 1}
    assert copy.rows[replica.MESH, "late"].value == {"v": 9}


def test_follower_hears_what_is_new_to_it_removals_included():
    copy = replica.Replica(lambda _: None)
    copy.take(replica.MESH, told(change("a", 1), change("b", 2), change("c", 3, value=False)))
    since = copy.since(replica.MESH, 1)
    assert [found.key for found in since.changes] == ["b", "c"]
    assert copy.has_news({replica.MESH: 2})
    assert not copy.has_news({replica.MESH: 3})


def test_removed_rows_are_forgotten_beyond_a_bound():
    copy = replica.Replica(lambda _: None)
    rows = [change(str(n), n + 1, value=False) for n in range(replica.MAX_REMOVED + 10)]
    copy.take(replica.MESH, told(*rows))
    assert len(copy.rows) == replica.MAX_REMOVED
    assert (replica.MESH, "0") not in copy.rows
