"""Instances that a node knows of."""

from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import directory, replica

PLACE = directory.Place("khomas-a", "khomas")


def row(name, port=1, started_ms=1, serving=True):
    return directory.InstanceRow(name, "h", port, PLACE, "s", serving, started_ms)


def change(name, version, found):
    value = None if found is None else directory.encode(found)
    return tables.Change(replica.MESH, directory.INSTANCE_PREFIX + name, version, value)


def test_row_goes_through_its_encoding():
    assert directory.decode("a", directory.encode(row("a"))) == row("a")


def test_row_of_another_writer_names_no_instance():
    known = directory.Directory()
    for value in ({}, {"host": 7}, {**directory.encode(row("a")), "port": "80"}):
        known.take(tables.Change(replica.MESH, directory.INSTANCE_PREFIX + "a", 1, value))
    assert known.by_id == {}


def test_evidence_ends_with_a_restart_of_the_node():
    known = directory.Directory()
    known.take(change("a", 1, row("a")))
    known.unreached(known.by_id["a"], 0.0)
    known.take(change("a", 2, row("a", serving=False)))
    assert known.by_id["a"].failures == 1
    assert known.of_service("s") == []
    known.take(change("a", 3, row("a", started_ms=2)))
    assert known.by_id["a"].failures == 0
    assert len(known.of_service("s")) == 1


def test_later_instance_at_an_address_replaces_the_former():
    known = directory.Directory()
    known.take(change("former", 1, row("former")))
    known.take(change("later", 2, row("later")))
    assert list(known.by_id) == ["later"]


def test_instance_that_is_not_reached_is_left_alone_for_longer_each_time():
    known = directory.Directory()
    known.take(change("a", 1, row("a")))
    instance = known.by_id["a"]
    pauses = []
    for _ in range(6):
        known.unreached(instance, 0.0)
        pauses.append(instance.unreached_until)
    assert pauses == sorted(pauses)
    assert pauses[-1] == directory.BACKOFF_LIMIT_S
    known.reached(instance)
    assert instance.failures == 0
