from __future__ import annotations

from goldcrestgrade import records
from goldcrestgrade_node.routing import choice, evidence, feedback, views

CALLER = choice.Caller("khomas", "khomas-a")
NOW = 10.0


def make_record(index: int) -> records.NodeRecord:
    return records.NodeRecord(
        node_id=f"node-{index}",
        incarnation=1,
        revision=1,
        region="khomas",
        failure_domain="khomas-a",
        control_host="127.0.0.1",
        control_port=1,
        state=records.EndpointState.READY,
        endpoint=records.EndpointDocument(
            service="archive", host="127.0.0.1", port=2, slots=10, connections=220
        ),
        sheet_version=1,
        expires_at=100.0,
    )


def test_few_attempts_cancelled_on_silent_connections_do_not_eject_their_endpoint():
    view = views.Views(lambda: NOW).of("archive")
    view.update([make_record(index) for index in range(4)], NOW)
    for endpoint in view.endpoints.values():
        evidence.note_latency(endpoint, 0.02, 0.0, NOW)
    first = view.endpoints["node-0"]
    attempts = [feedback.start(view, first, CALLER, NOW) for _ in range(5)]
    for started in attempts:
        feedback.cancel(view, first, started, NOW + 1.0)
    assert not view.ejected
    assert first.in_flight == 0
    assert first.latency_s > 0.02
