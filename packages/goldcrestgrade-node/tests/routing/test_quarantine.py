from __future__ import annotations

from goldcrestgrade import outcomes, reasons
from goldcrestgrade_node.attempts import results
from goldcrestgrade_node.routing import endpoint_stats, quarantine

DIED = results.Broken(reasons.Uncertainty.ANSWER_LOST)
ANSWERED = results.Answered(outcomes.Answer(200, (), b""), None)


def make_endpoint(node_id: str) -> endpoint_stats.EndpointStats:
    return endpoint_stats.EndpointStats(
        node_id, "khomas", "khomas-a", "127.0.0.1", 1, "", 10, incarnation=7
    )


def crash(own: quarantine.Quarantine, node_id: str, started_at: float = 0.0) -> None:
    quarantine.record_result(own, "r", make_endpoint(node_id), DIED, started_at, started_at + 0.5)


def test_request_is_quarantined_until_a_deadline_after_two_endpoints_died():
    own = quarantine.Quarantine()
    crash(own, "a")
    assert own.permission("r", 1.0) == quarantine.ANY
    crash(own, "b")
    permission = own.permission("r", 1.0)
    assert permission == quarantine.Quarantined(0.5 + quarantine.QUARANTINE_S)
    assert own.permission("other", 1.0) == quarantine.ANY
    assert own.permission("r", permission.until) == quarantine.ANY


def test_concurrent_attempts_at_one_endpoint_count_one_crash():
    own = quarantine.Quarantine()
    crash(own, "a", 0.0)
    crash(own, "a", 0.1)
    assert own.permission("r", 1.0) == quarantine.ANY
    crash(own, "a", 0.9)
    assert isinstance(own.permission("r", 1.5), quarantine.Quarantined)


def test_answer_clears_the_crash_history_of_a_request():
    own = quarantine.Quarantine()
    crash(own, "a")
    quarantine.record_result(own, "r", make_endpoint("b"), ANSWERED, 1.0, 1.1)
    crash(own, "c", 2.0)
    assert own.permission("r", 3.0) == quarantine.ANY


def test_unanswered_request_runs_at_no_more_endpoints_than_it_may_crash():
    own = quarantine.Quarantine()
    own.start_attempt("r", make_endpoint("a"))
    assert own.permission("r", 0.0) == quarantine.ANY
    own.start_attempt("r", make_endpoint("b"))
    assert own.permission("r", 0.0) == quarantine.OnlyAt(frozenset({"a", "b"}))
    own.end_attempt("r", make_endpoint("a"))
    crash(own, "a")
    assert own.permission("r", 1.0) == quarantine.OnlyAt(frozenset({"b"}))


def test_crashes_reported_by_another_node_count_once_each():
    notified = []
    own, other = quarantine.Quarantine(notified.append), quarantine.Quarantine()
    crash(own, "a")
    crash(other, "a")
    other.apply_crash(notified[0], 2.0)
    assert other.permission("r", 2.0) == quarantine.ANY
    crash(own, "b")
    other.apply_crash(notified[1], 2.0)
    assert isinstance(other.permission("r", 2.0), quarantine.Quarantined)


def test_loss_of_several_endpoints_does_not_quarantine_a_request_that_is_being_answered():
    own = quarantine.Quarantine()
    quarantine.record_result(own, "r", make_endpoint("d"), ANSWERED, 0.0, 0.1)
    for node_id in ("a", "b", "c"):
        crash(own, node_id)
    assert own.permission("r", 1.0) == quarantine.ANY


def test_request_that_was_answered_long_ago_is_quarantined():
    own = quarantine.Quarantine()
    quarantine.record_result(own, "r", make_endpoint("d"), ANSWERED, 0.0, 0.1)
    crash(own, "a", 5.0)
    crash(own, "b", 6.0)
    assert isinstance(own.permission("r", 7.0), quarantine.Quarantined)


def test_number_of_crash_histories_is_bounded():
    own = quarantine.Quarantine()
    for index in range(quarantine.MAX_CRASH_HISTORIES + 10):
        own.record_crash(str(index), make_endpoint("a"), 0.0, 0.0)
    assert len(own.histories) == quarantine.MAX_CRASH_HISTORIES


def test_quarantined_request_gets_two_trials_at_most():
    """Guards against a poison request that crashes more endpoints than its trials may."""
    own = quarantine.Quarantine()
    crash(own, "a")
    crash(own, "b")
    due_at = 0.5 + quarantine.FIRST_TRIAL_DELAY_S
    assert own.retry_at("r", 1.0) == due_at
    assert not own.claim_trial("r", due_at - 0.1)
    assert own.claim_trial("r", due_at) and not own.claim_trial("r", due_at)
    crash(own, "c", due_at)
    second_at = due_at + quarantine.TRIAL_INTERVAL_S
    assert not own.claim_trial("r", second_at - 0.1) and own.claim_trial("r", second_at)
    crash(own, "d", second_at)
    assert own.retry_at("r", 100.0) == second_at + 0.5 + quarantine.QUARANTINE_S
    assert not any(own.claim_trial("r", float(now)) for now in range(15, 500))


def test_answer_to_a_trial_ends_the_quarantine_at_nodes_that_learn_of_it_in_any_order():
    """Guards against a verdict that stands since the answer is known to one node only."""
    crashes, cleared = [], []
    own = quarantine.Quarantine(crashes.append)
    own.notify_cleared = cleared.append
    crash(own, "a")
    crash(own, "b")
    assert own.claim_trial("r", 10.0)
    own.record_answer("r", 10.1)
    assert own.permission("r", 10.2) == quarantine.ANY
    for notices in ((*crashes, *cleared), (*cleared, *crashes)):
        other = quarantine.Quarantine()
        for notice in notices:
            if isinstance(notice, quarantine.Crash):
                other.apply_crash(notice, 10.2)
            else:
                other.apply_cleared(notice, 10.2)
        assert other.permission("r", 10.3) == quarantine.ANY


def test_crash_after_an_answer_counts_though_its_endpoint_has_crashed_before():
    """Guards against a crash that is taken for one before the answer."""
    crashes = []
    own = quarantine.Quarantine(crashes.append)
    crash(own, "a")
    own.record_answer("r", 1.0)
    crash(own, "a", 3.0)
    crash(own, "b", 3.0)
    assert len({one.endpoint for one in crashes}) == 3
    assert isinstance(own.permission("r", 4.0), quarantine.Quarantined)
