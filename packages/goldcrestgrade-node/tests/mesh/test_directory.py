"""Instances that a node knows, and their failures."""

import pytest

from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import directory, replica
from goldcrestgrade_node.mesh.transport import signals

LOCATION = directory.Location("khomas-a", "khomas")


def row(name, port=1, started_ms=1, serving=True):
    return directory.InstanceRow(name, "10.0.0.1", port, LOCATION, "s", serving, started_ms)


def change(name, version, instance_row):
    value = None if instance_row is None else directory.encode(instance_row)
    position = tables.Position(1, version)
    return tables.Change(replica.MESH, directory.INSTANCE_PREFIX + name, position, value)


def test_row_survives_encoding_and_decoding():
    assert directory.decode("a", directory.encode(row("a"))) == row("a")


def test_malformed_rows_are_ignored():
    known = directory.Directory()
    for value in ({}, {"host": 7}, {**directory.encode(row("a")), "port": "80"}):
        position = tables.Position(1, 1)
        known.apply_change(
            tables.Change(replica.MESH, directory.INSTANCE_PREFIX + "a", position, value)
        )
    assert known.by_id == {}


def test_instance_whose_row_became_malformed_stays_and_can_be_removed_at_its_position():
    """Guards against a row that is never removed, since its condition can't hold."""
    known = directory.Directory()
    known.apply_change(change("a", 1, row("a")))
    key, position = directory.INSTANCE_PREFIX + "a", tables.Position(1, 2)
    known.apply_change(tables.Change(replica.MESH, key, position, {}))
    assert known.by_id["a"].row == row("a")
    assert known.by_id["a"].position == position


@pytest.mark.parametrize(
    "address",
    [
        {"port": 70_000},
        {"port": 0},
        {"port": -1},
        {"port": 2**64 - 1},
        {"port": 80.0},
        {"port": True},
        {"host": ""},
        {"host": "odd.example"},
        {"host": "10.0.0.1:80"},
        {"host": "10.0.0.256"},
        {"host": "a" * 70 + ".example"},
        {"host": "::1"},
        {"host": "10.0.0.1\n"},
    ],
    ids=str,
)
def test_row_with_an_address_to_which_no_connection_can_be_opened_is_ignored(address):
    assert directory.decode("a", {**directory.encode(row("a")), **address}) is None


def test_row_without_an_id_is_ignored():
    known = directory.Directory()
    known.apply_change(change("", 1, row("")))
    assert known.by_id == {}


def test_restart_of_a_node_resets_its_failures():
    known = directory.Directory()
    known.apply_change(change("a", 1, row("a")))
    known.record_unreachable(known.by_id["a"], 0.0)
    known.apply_change(change("a", 2, row("a", serving=False)))
    assert known.by_id["a"].failures == 1
    assert known.of_service("s") == []
    known.apply_change(change("a", 3, row("a", started_ms=2)))
    assert known.by_id["a"].failures == 0
    assert len(known.of_service("s")) == 1


def test_instance_that_is_never_reached_is_probed_for_good():
    """Guards against a process that ends after 1,025 failures of one peer."""
    known = directory.Directory()
    known.apply_change(change("a", 1, row("a")))
    for _ in range(1100):
        known.record_unreachable(known.by_id["a"], 5.0)
    assert known.by_id["a"].next_probe_at == 5.0 + directory.BACKOFF_LIMIT_S


def test_later_instance_at_an_address_replaces_the_earlier_one():
    known = directory.Directory()
    known.apply_change(change("earlier", 1, row("earlier")))
    known.apply_change(change("later", 2, row("later")))
    assert list(known.by_id) == ["later"]


def test_backoff_of_an_unreachable_instance_grows_up_to_its_limit():
    known = directory.Directory()
    known.apply_change(change("a", 1, row("a")))
    instance = known.by_id["a"]
    backoffs_s = []
    for _ in range(6):
        known.record_unreachable(instance, 0.0)
        backoffs_s.append(instance.next_probe_at)
    assert backoffs_s == sorted(backoffs_s)
    assert backoffs_s[-1] == directory.BACKOFF_LIMIT_S
    known.record_reachable(instance)
    assert instance.failures == 0


def test_report_on_an_endpoint_outlives_the_row_of_its_node():
    known = directory.Directory()
    limited = signals.Report("e1", signals.Signals(rate_limit=7.0))
    known.apply_change(change("a", 1, row("a")))
    known.record_report("a", limited)
    known.apply_change(change("a", 2, None))
    known.apply_change(change("a", 3, row("a", started_ms=2)))
    assert known.reports["a"] == limited
    known.record_report("a", signals.Report("e1", signals.NONE))
    assert "a" not in known.reports


def test_answer_that_was_overtaken_does_not_undo_that_an_endpoint_leaves():
    known = directory.Directory()
    leaving = signals.Report("e1", signals.Signals(leaving=True))
    known.record_report("a", leaving)
    known.record_report("a", signals.Report("", signals.NONE))
    assert known.reports["a"] == leaving
    known.record_report("a", signals.Report("e1", signals.Signals(rate_limit=3.0)))
    assert known.reports["a"].signals == signals.Signals(3.0, leaving=True)
    other = signals.Report("e2", signals.Signals(rate_limit=3.0))
    known.record_report("a", other)
    assert known.reports["a"] == other


def test_row_carries_the_link_only_if_it_is_known():
    """Guards against rows that nodes of an earlier build can't read, and rows of such builds."""
    plain = directory.InstanceRow("a", "10.0.0.1", 1, directory.Location("d", "r"), "s", True, 1)
    assert "link_mbps" not in directory.encode(plain)
    assert directory.decode("a", directory.encode(plain)) == plain
    thin = plain._replace(link_mbps=5.0)
    assert directory.decode("a", directory.encode(thin)) == thin
    assert directory.decode("a", {**directory.encode(plain), "link_mbps": "5"}) is None
