"""Load reports that nodes pass on to each other."""

import pytest

from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.entry import load_hints
from goldcrestgrade_node.mesh.state import directory
from goldcrestgrade_node.mesh.transport import loads

NOW = 100.0
SLOW = loads.Load(3, 0, 6, 7.0)
IDLE = loads.Load(0, 0, 6, 1.0)


def instance(name, region="khomas", load=IDLE, age_s=0.1):
    row = directory.InstanceRow(
        name, "h", 1, directory.Location(f"{region}-a", region), "archive", True, 1
    )
    return directory.Instance(row, tables.Position(1, 1), load=load, load_at=NOW - age_s)


def test_only_the_latest_reports_of_other_instances_in_the_region_are_passed_on():
    """Guards against traffic that grows with the fleet, and against reports of a former state."""
    known = [instance(f"n{number}", age_s=0.01 * number) for number in range(9)]
    others = [instance("far", "oshana"), instance("old", age_s=0.3), instance("none", load=None)]
    hints = load_hints.latest([*others, *known], "n0", "khomas", NOW)
    assert [hint.node_id for hint in hints] == ["n1", "n2", "n3", "n4"]


def test_hints_survive_encoding_and_malformed_ones_are_left_out():
    hint = load_hints.Hint("n1", SLOW, 0.12)
    text = load_hints.encode([hint])
    assert load_hints.decode(text) == [hint]
    malformed = text[:-1] + ',["n2","x",5],["n3","1,0,6,100",-1],7,["n4"]]'
    assert load_hints.decode(malformed) == [hint]


@pytest.mark.parametrize("text", ["", "{}", "[", "7", "null"])
def test_malformed_header_holds_no_hints(text):
    assert load_hints.decode(text) == []


@pytest.mark.parametrize(
    ("name", "known_age_s", "taken"), [("n1", 5.0, True), ("n1", 0.05, False), ("own", 5.0, False)]
)
def test_hint_replaces_an_older_report_only_and_never_that_of_the_own_endpoint(
    name, known_age_s, taken
):
    """Guards against a former state that overtakes the present one on a longer way."""
    known = instance(name, age_s=known_age_s)
    known.in_flight = 2
    load_hints.apply([load_hints.Hint(name, SLOW, 0.1)], {name: known}, "own", NOW)
    assert (known.load == SLOW) == taken
    if taken:
        assert (known.load_at, known.in_flight_at_load) == (pytest.approx(NOW - 0.1), 2)


def test_hint_on_an_unknown_instance_is_ignored():
    load_hints.apply([load_hints.Hint("gone", SLOW, 0.1)], {}, "own", NOW)
