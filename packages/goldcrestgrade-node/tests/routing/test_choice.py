from __future__ import annotations

import random

import pytest

from goldcrestgrade import reasons, records
from goldcrestgrade_node.routing import choice, ejection, endpoint_stats, views
from goldcrestgrade_testing import sample_records

LOCALITY = choice.Locality("khomas", "khomas-a")
NOW = 10.0


def make_record(node_id: str, region: str, domain: str) -> records.NodeRecord:
    return sample_records.ready(node_id, region=region, failure_domain=f"{region}-{domain}")


def make_view(near: int = 2, far: int = 2) -> views.ServiceView:
    view = views.Views(lambda: NOW).of("archive")
    origins = [("khomas", index) for index in range(near)] + [("oshana", i) for i in range(far)]
    view.update([make_record(f"{r}-{i}", r, "ab"[i % 2]) for r, i in origins], NOW)
    for endpoint in view.endpoints.values():
        endpoint_stats.record_latency(endpoint, 0.02, 0.0, NOW)
    return view


def choose(view: views.ServiceView, seed: int = 1, now: float = NOW) -> choice.Decision:
    ejection.readmit_due(view, now)
    return choice.choose(view, LOCALITY, (), now, random.Random(seed))


def chosen(view: views.ServiceView) -> set[str]:
    decisions = [choose(view, seed) for seed in range(40)]
    return {d.endpoint.node_id for d in decisions if isinstance(d, choice.SendTo)}


def fill(endpoint: endpoint_stats.EndpointStats, per_slot: float) -> None:
    endpoint.in_flight = round(endpoint.slots * per_slot)


def test_idle_endpoint_of_the_own_failure_domain_is_preferred():
    assert chosen(make_view()) == {"khomas-0"}


def test_calls_stay_in_the_region_while_an_endpoint_there_has_free_slots():
    view = make_view()
    fill(view.endpoints["khomas-0"], 3.0)
    assert chosen(view) == {"khomas-1"}


def test_calls_cross_regions_when_all_near_are_hot_and_a_far_one_is_cold():
    view = make_view()
    fill(view.endpoints["khomas-0"], 1.8)
    fill(view.endpoints["khomas-1"], 1.8)
    assert chosen(view) == {"oshana-0", "oshana-1"}


def test_calls_do_not_cross_regions_without_link_budget():
    view = make_view()
    fill(view.endpoints["khomas-0"], 1.8)
    fill(view.endpoints["khomas-1"], 1.8)
    view.link.set_rate(0.0)
    assert chosen(view) <= {"khomas-0", "khomas-1"}


def test_far_endpoint_serves_when_no_near_one_is_left():
    assert chosen(make_view(near=0)) == {"oshana-0", "oshana-1"}


def test_call_is_refused_with_a_retry_time_when_every_queue_is_long():
    view = make_view()
    for endpoint in view.endpoints.values():
        fill(endpoint, 3.0)
    decision = choose(view)
    assert decision == choice.Refuse(reasons.Refusal.SATURATED, NOW + choice.RETRY_AFTER_S)


def test_endpoint_that_reports_idle_but_answers_slowly_is_avoided():
    view = make_view()
    slow = view.endpoints["khomas-0"]
    for _ in range(10):
        endpoint_stats.record_load(slow, 0, NOW)
        endpoint_stats.record_latency(slow, 0.04, 0.02, NOW)
    assert chosen(view) == {"khomas-1"}


def test_reported_load_is_ignored_while_latencies_are_low():
    view = make_view()
    for endpoint in view.endpoints.values():
        endpoint_stats.record_load(endpoint, 1000, NOW)
    assert chosen(view) == {"khomas-0"}


def test_endpoint_that_shed_an_attempt_is_avoided_during_its_backoff():
    view = make_view()
    view.endpoints["khomas-0"].shed_until = NOW + 0.1
    assert chosen(view) == {"khomas-1"}


def test_new_endpoint_starts_with_a_small_share():
    view = make_view(near=1, far=0)
    known = [make_record("khomas-0", "khomas", "a"), make_record("khomas-9", "khomas", "a")]
    view.update(known, NOW)
    fill(view.endpoints["khomas-0"], 0.5)
    assert chosen(view) == {"khomas-0"}
    later = choice.choose(view, LOCALITY, (), NOW + endpoint_stats.SLOW_START_S, random.Random(1))
    assert isinstance(later, choice.SendTo)
    assert later.endpoint.node_id == "khomas-9"


def eject_all(view: views.ServiceView) -> None:
    for endpoint in view.endpoints.values():
        for _ in range(ejection.EJECTION_FAILURES):
            endpoint_stats.record_failure(endpoint, 0.001, 0.02, NOW)
            ejection.record_failure(view, endpoint, NOW)


def test_failing_endpoint_is_ejected_until_a_deadline_and_readmitted_with_one_attempt():
    view = make_view(near=3, far=0)
    first = view.endpoints["khomas-0"]
    for _ in range(ejection.EJECTION_FAILURES):
        endpoint_stats.record_failure(first, 0.001, 0.02, NOW)
        ejection.record_failure(view, first, NOW)
    assert "khomas-0" not in chosen(view)
    ejection.readmit_due(view, first.ejected_until)
    assert "khomas-0" in chosen(view)
    first.in_flight = 1
    for other in ("khomas-1", "khomas-2"):
        fill(view.endpoints[other], 0.5)
    assert "khomas-0" not in chosen(view)


def test_share_of_ejected_endpoints_is_capped():
    view = make_view()
    eject_all(view)
    assert len(view.ejected) == ejection.MAX_EJECTED_SHARE * len(view.endpoints)


def test_ejection_doubles_when_the_trial_fails():
    view = make_view()
    first = view.endpoints["khomas-0"]
    ejection.record_unreachable(view, first, NOW)
    until = first.ejected_until
    ejection.readmit_due(view, until)
    ejection.record_failure(view, first, until)
    assert first.ejected_until - until == pytest.approx(2 * (until - NOW))


def test_straggler_is_ejected():
    view = make_view()
    slow = view.endpoints["khomas-0"]
    for _ in range(10):
        endpoint_stats.record_latency(slow, 0.2, 0.02, NOW)
        ejection.record_latency(view, slow, 0.2, NOW)
    assert view.ejected == [slow]


def test_last_untried_endpoint_is_chosen_whatever_the_sample():
    view = make_view(near=12, far=0)
    tried = [f"khomas-{index}" for index in range(11)]
    found = {
        choice.choose(view, LOCALITY, tried, NOW, random.Random(seed)).endpoint.node_id
        for seed in range(50)
    }
    assert found == {"khomas-11"}
