"""Round trips that relayed requests show, and what they change."""

import random

import pytest

from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.entry import distances, placement
from goldcrestgrade_node.mesh.state import directory
from goldcrestgrade_node.mesh.transport import loads, requests

OWN = directory.Location("accra-a", "accra")
FAR = directory.Location("tamale-a", "tamale")
NOW = 100.0


def instance(place, load=None):
    row = directory.InstanceRow(place.failure_domain, "10.0.0.1", 1, place, "s", True, 1)
    return directory.Instance(row, tables.Position(1, 1), load=load, load_at=NOW)


def known(round_trip_s, place=FAR):
    round_trips = distances.RoundTrips()
    round_trips.record(place, 0.3 + round_trip_s, 0.3, NOW)
    return round_trips


def test_queues_on_the_way_do_not_count():
    round_trips = known(0.04)
    round_trips.record(FAR, 0.9, 0.3, NOW + 1)
    assert round_trips.known_s(FAR) == pytest.approx(0.04)


def test_longer_way_counts_once_the_shorter_one_is_forgotten():
    round_trips = known(0.04)
    for second in range(1, 25):
        round_trips.record(FAR, 0.2, 0.1, NOW + second)
    assert round_trips.known_s(FAR) == pytest.approx(0.1)


def test_domain_without_requests_is_as_far_as_its_region():
    round_trips = known(0.04)
    assert round_trips.known_s(FAR._replace(failure_domain="tamale-b")) == pytest.approx(0.04)
    assert round_trips.known_s(OWN) is None


@pytest.mark.parametrize(("elapsed_s", "served_s"), [(0.1, 0.2), (9.0, 0.1)])
def test_implausible_sample_is_ignored(elapsed_s, served_s):
    round_trips = distances.RoundTrips()
    round_trips.record(FAR, elapsed_s, served_s, NOW)
    assert round_trips.known_s(FAR) is None


@pytest.mark.parametrize(
    ("one_way_s", "target_s", "expected"),
    [(0.002, 0.2, FAR), (0.008, 0.2, FAR), (0.02, 0.2, FAR), (0.08, 0.2, OWN), (0.08, 0.5, FAR)],
)
def test_other_region_helps_only_if_the_way_leaves_time_for_the_request(
    one_way_s, target_s, expected
):
    requirements = placement.Requirements(NOW + target_s, NOW + 1.5, 0.1, known(2 * one_way_s))
    full = instance(OWN, loads.Load(4, 40, 4, 1.0))
    choice = placement.choose(OWN, [full, instance(FAR)], (), requirements, NOW, random.Random(1))
    assert choice.instance.row.place == expected


def test_assumed_round_trip_sent_a_request_to_a_region_that_is_too_far():
    requirements = placement.Requirements(NOW + 0.2, NOW + 1.5, 0.1)
    full = instance(OWN, loads.Load(4, 40, 4, 1.0))
    choice = placement.choose(OWN, [full, instance(FAR)], (), requirements, NOW, random.Random(1))
    assert choice.instance.row.place == FAR


def test_other_node_is_told_the_time_without_the_way():
    message = requests.Message("GET", "/", "h", (), b"")
    call = requests.Call(
        "try", "r", "s", False, 1, "c", *message, target_at=NOW + 0.4, deadline=NOW + 1.0
    )
    text = requests.encode(call._replace(round_trip_s=0.04), NOW)
    relayed = requests.decode(text, "try", message, NOW + 0.02)
    assert relayed.target_at == pytest.approx(NOW + 0.38)
    assert relayed.deadline == pytest.approx(NOW + 0.98)
