from __future__ import annotations

from goldcrestgrade_node.routing import choice, endpoint_stats, feedback, views
from goldcrestgrade_testing import sample_records

LOCALITY = choice.Locality("khomas", "khomas-a")
NOW = 10.0


def test_few_attempts_cancelled_on_silent_connections_do_not_eject_their_endpoint():
    view = views.Views(lambda: NOW).of("archive")
    view.update([sample_records.ready(f"node-{index}") for index in range(4)], NOW)
    for endpoint in view.endpoints.values():
        endpoint_stats.record_latency(endpoint, 0.02, 0.0, NOW)
    first = view.endpoints["node-0"]
    attempts = [feedback.start(view, first, LOCALITY, NOW) for _ in range(5)]
    for started in attempts:
        feedback.cancel(view, first, started, NOW + 1.0)
    assert not view.ejected
    assert first.in_flight == 0
    assert first.latency_s > 0.02
