"""Choice of the instance that a request is sent to."""

import random

from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.entry import placement
from goldcrestgrade_node.mesh.state import directory
from goldcrestgrade_node.mesh.transport import loads

OWN = directory.Location("khomas-a", "khomas")
NEXT_DOMAIN = directory.Location("khomas-b", "khomas")
FAR = directory.Location("oshana-a", "oshana")
NOW = 100.0
REQUIREMENTS = placement.Requirements(NOW + 0.4, NOW + 0.8, 0.1)


def instance(place, name=None, load=None, age_s=0.0):
    row = directory.InstanceRow(
        name or place.failure_domain, "10.0.0.1", 1, place, "archive", True, 1
    )
    return directory.Instance(row, tables.Position(1, 1), load=load, load_at=NOW - age_s)


def chosen(*instances, requirements=REQUIREMENTS):
    choice = placement.choose(OWN, instances, (), requirements, NOW, random.Random(1))
    return None if choice is None else choice.instance.row.place


def test_own_failure_domain_is_chosen_while_it_is_expected_in_time():
    assert chosen(instance(FAR), instance(NEXT_DOMAIN), instance(OWN)) == OWN


def test_degraded_instance_is_skipped_for_another_failure_domain_of_the_region():
    degraded = instance(OWN, load=loads.Load(1, 0, 9, 7.0))
    assert chosen(degraded, instance(NEXT_DOMAIN), instance(FAR)) == NEXT_DOMAIN


def test_stale_report_of_a_degraded_pace_is_ignored():
    degraded = instance(OWN, load=loads.Load(1, 0, 9, 7.0), age_s=placement.MAX_LOAD_AGE_S)
    assert chosen(degraded, instance(NEXT_DOMAIN)) == OWN


def test_other_region_is_chosen_only_when_the_own_region_would_be_late():
    full = loads.Load(9, 40, 9, 1.0)
    near = [instance(OWN, load=full), instance(NEXT_DOMAIN, load=full)]
    assert chosen(*near, instance(FAR)) == FAR
    assert chosen(near[0], instance(NEXT_DOMAIN), instance(FAR)) == NEXT_DOMAIN


def test_endpoint_beside_the_node_comes_first_while_it_has_room():
    """Guards against a hop to another endpoint while the state of the own one is known exactly."""
    own = instance(OWN, "own", load=loads.Load(3, 0, 4, 1.0))
    other = instance(OWN, "other", load=loads.Load(0, 0, 9, 1.0))
    requirements = REQUIREMENTS._replace(own_id="own")

    def choose():
        return placement.choose(OWN, [own, other], (), requirements, NOW, random.Random(1))

    assert choose().instance is own
    own.load = loads.Load(3, 1, 4, 1.0)
    assert choose().instance is other
    own.load = loads.Load(0, 0, 4, 1.5)
    assert choose().instance is other


def test_lowest_expected_latency_is_chosen_when_all_would_be_late():
    slow, slower = loads.Load(9, 40, 9, 1.0), loads.Load(9, 90, 9, 1.0)
    choice = placement.choose(
        OWN,
        [instance(OWN, load=slower), instance(NEXT_DOMAIN, load=slow)],
        (),
        REQUIREMENTS,
        NOW,
        random.Random(1),
    )
    assert choice.instance.row.place == NEXT_DOMAIN
    assert not choice.in_time


def test_instance_in_backoff_or_unreachable_is_not_chosen():
    backed_off, unreachable = instance(OWN), instance(NEXT_DOMAIN)
    backed_off.backoff_until = NOW + 0.1
    unreachable.failures = 1
    assert chosen(backed_off, unreachable) is None


def test_in_flight_requests_of_this_node_count_in_full_with_a_stale_report():
    busy = instance(OWN, load=loads.Load(0, 0, 9, 1.0), age_s=5.0)
    busy.in_flight = 60
    assert chosen(busy, instance(NEXT_DOMAIN)) == NEXT_DOMAIN


def test_late_request_goes_to_another_region_only_if_the_own_region_has_no_reachable_instance():
    slow, slower = loads.Load(9, 40, 9, 1.0), loads.Load(9, 90, 9, 1.0)
    near, far = instance(NEXT_DOMAIN, load=slower), instance(FAR, load=slow)
    assert chosen(near, far) == NEXT_DOMAIN
    near.backoff_until = NOW + 0.1
    assert chosen(near, far) is None
    near.failures = 1
    assert chosen(near, far) == FAR
    assert chosen(far) == FAR


def test_late_request_goes_to_another_region_while_all_nodes_of_the_own_one_are_stopping():
    """Guards against a refusal at once although an endpoint in another region would answer."""
    slow = loads.Load(9, 40, 9, 1.0)
    near, far = instance(NEXT_DOMAIN), instance(FAR, load=slow)
    near.backoff_until = near.unavailable_until = NOW + 0.05
    assert chosen(near, far) == FAR
    near.unavailable_until = NOW
    assert chosen(near, far) is None


def test_large_body_is_sent_over_a_thin_link_only_if_it_is_in_time_there():
    """Guards against an upload that takes longer on the way than its latency target allows."""
    thin = instance(OWN)
    thin.row = thin.row._replace(link_mbps=5.0)
    near = [thin, instance(NEXT_DOMAIN)]
    large = REQUIREMENTS._replace(body_bytes=360_000, own_id="n0")
    assert chosen(*near, requirements=large) == NEXT_DOMAIN
    assert chosen(*near, requirements=large._replace(body_bytes=60_000)) == OWN
    assert chosen(*near, requirements=REQUIREMENTS) == OWN


def test_node_with_a_thin_link_keeps_a_large_body_at_its_own_endpoint():
    """Guards against a transfer that the own instance does not need."""
    busy = instance(OWN, name="n0", load=loads.Load(9, 4, 9, 1.0))
    large = REQUIREMENTS._replace(body_bytes=360_000, own_id="n0", link_mbps=5.0)
    assert chosen(busy, instance(NEXT_DOMAIN), requirements=large) == OWN
