"""The endpoint beside a node: heartbeats, leaves and health checks."""

import pytest

from goldcrestgrade import instants
from goldcrestgrade_node.mesh import endpoints

OWN = endpoints.Own("10.0.0.1:80", "archive", "khomas-a")


def heartbeat(endpoint_id="a", born_ms=100, sequence=1, **changes):
    values = {"slots": 9, "draining": False, "warm_in_s": 0.0, **OWN._asdict(), **changes}
    return endpoints.Heartbeat(
        endpoint_id=endpoint_id, born_ms=born_ms, sequence=sequence, **values
    )


@pytest.fixture
def own():
    clocks = instants.Clocks(lambda: 0.0, lambda: 1.0)
    return endpoints.OwnEndpoint(OWN, clocks, lambda: None)


def test_first_heartbeat_makes_the_endpoint_usable(own):
    assert own.heartbeat(heartbeat()) == "first"
    assert own.usable().endpoint_id == "a"


def test_draining_endpoint_takes_no_new_work(own):
    own.heartbeat(heartbeat())
    own.heartbeat(heartbeat(sequence=2, draining=True))
    assert own.usable() is None


def test_late_heartbeat_with_a_lower_sequence_does_not_undo_a_drain(own):
    own.heartbeat(heartbeat(sequence=3, draining=True))
    assert own.heartbeat(heartbeat(sequence=2)) == "stale"
    assert own.usable() is None


def test_heartbeat_of_an_earlier_incarnation_at_the_address_is_stale(own):
    own.heartbeat(heartbeat("b", born_ms=200))
    assert own.heartbeat(heartbeat("a", born_ms=100, sequence=99)) == "stale"
    assert own.usable().endpoint_id == "b"


def test_same_id_with_a_later_start_replaces_the_earlier_incarnation(own):
    own.heartbeat(heartbeat(born_ms=100, sequence=50))
    own.leave("a", 100)
    assert own.heartbeat(heartbeat(born_ms=200, sequence=1)) == "first"
    assert own.usable().born_ms == 200


def test_heartbeat_that_was_under_way_when_its_endpoint_left_is_ignored(own):
    own.heartbeat(heartbeat(sequence=1))
    own.leave("a", None)
    assert own.heartbeat(heartbeat(sequence=2)) == "departed"
    assert own.usable() is None


def test_late_leave_of_an_earlier_incarnation_keeps_the_present_one(own):
    own.heartbeat(heartbeat(born_ms=200))
    assert own.leave("a", 100) == "stale"
    assert own.usable() is not None


def test_health_check_does_not_bring_back_an_endpoint_that_left(own):
    own.heartbeat(heartbeat())
    own.leave("a", 100)
    own.found("a", 9, healthy=True)
    assert own.usable() is None


def test_unhealthy_endpoint_found_by_a_health_check_is_not_used(own):
    own.found("a", 9, healthy=False)
    assert own.usable() is None


def test_health_check_before_the_first_heartbeat_makes_the_endpoint_usable(own):
    own.found("a", 9, healthy=True)
    assert own.usable().slots == 9
    assert own.heartbeat(heartbeat("b", sequence=7)) == "stale"
    assert own.heartbeat(heartbeat("a")) == "taken"


@pytest.mark.parametrize(
    "changes", [{"address": "10.0.0.9:80"}, {"service": "x"}, {"failure_domain": "x"}]
)
def test_heartbeat_of_a_foreign_endpoint_names_none_to_use(own, changes):
    assert own.heartbeat(heartbeat(**changes)) == "foreign"
    assert own.usable() is None


def test_endpoint_that_refuses_connections_is_used_again_after_a_sign_of_life(own):
    own.heartbeat(heartbeat())
    own.refused()
    assert own.usable() is None
    own.heartbeat(heartbeat(sequence=2))
    assert own.usable() is not None


def test_late_heartbeat_after_a_leave_that_a_restarted_node_heard_first_is_ignored(own):
    assert own.leave("a", None) == "unknown"
    assert own.heartbeat(heartbeat(born_ms=100, sequence=24)) == "departed"
    assert own.usable() is None
    assert own.heartbeat(heartbeat(born_ms=1500, sequence=1)) == "first"
