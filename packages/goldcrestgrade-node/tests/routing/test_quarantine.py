from __future__ import annotations

from goldcrestgrade import instants, outcomes, reasons
from goldcrestgrade_node.attempts import results
from goldcrestgrade_node.routing import evidence, quarantine

DIED = results.Broken(reasons.Uncertainty.ANSWER_LOST)
ANSWERED = results.Answered(outcomes.Answer(200, (), b""), None)
CLOCKS = instants.Clocks(monotonic=lambda: 2.0, wall=lambda: 1002.0)


def make_endpoint(node_id: str) -> evidence.Evidence:
    return evidence.Evidence(node_id, "khomas", "khomas-a", "127.0.0.1", 1, "", 10, incarnation=7)


def crash(known: quarantine.Quarantine, node_id: str, started_at: float = 0.0) -> None:
    quarantine.note_result(known, "r", make_endpoint(node_id), DIED, started_at, started_at + 0.5)


def test_request_is_quarantined_until_a_deadline_after_two_endpoints_died():
    known = quarantine.Quarantine()
    crash(known, "a")
    assert known.permission("r", 1.0) == quarantine.ANY
    crash(known, "b")
    permission = known.permission("r", 1.0)
    assert permission == quarantine.Quarantined(0.5 + quarantine.QUARANTINE_S)
    assert known.permission("other", 1.0) == quarantine.ANY
    assert known.permission("r", permission.until) == quarantine.ANY


def test_attempts_at_one_endpoint_see_one_death():
    known = quarantine.Quarantine()
    crash(known, "a", 0.0)
    crash(known, "a", 0.1)
    assert known.permission("r", 1.0) == quarantine.ANY
    crash(known, "a", 0.9)
    assert isinstance(known.permission("r", 1.5), quarantine.Quarantined)


def test_answer_clears_a_suspect():
    known = quarantine.Quarantine()
    crash(known, "a")
    quarantine.note_result(known, "r", make_endpoint("b"), ANSWERED, 1.0, 1.1)
    crash(known, "c", 2.0)
    assert known.permission("r", 3.0) == quarantine.ANY


def test_unanswered_request_runs_at_no_more_endpoints_than_it_may_crash():
    known = quarantine.Quarantine()
    known.start("r", make_endpoint("a"))
    assert known.permission("r", 0.0) == quarantine.ANY
    known.start("r", make_endpoint("b"))
    assert known.permission("r", 0.0) == quarantine.OnlyAt(frozenset({"a", "b"}))
    known.leave("r", make_endpoint("a"))
    crash(known, "a")
    assert known.permission("r", 1.0) == quarantine.OnlyAt(frozenset({"b"}))


def test_nodes_together_count_the_deaths_that_each_saw():
    known, other = quarantine.Quarantine(), quarantine.Quarantine()
    crash(known, "a")
    crash(other, "a")
    other.merge(known.export(CLOCKS), CLOCKS)
    assert other.permission("r", 2.0) == quarantine.ANY
    crash(known, "b")
    other.merge(known.export(CLOCKS), CLOCKS)
    assert isinstance(other.permission("r", 2.0), quarantine.Quarantined)


def test_suspects_are_bounded():
    known = quarantine.Quarantine()
    for index in range(quarantine.MAX_SUSPECTS + 10):
        known.accuse(str(index), make_endpoint("a"), 0.0, 0.0)
    assert len(known.suspects) == quarantine.MAX_SUSPECTS
