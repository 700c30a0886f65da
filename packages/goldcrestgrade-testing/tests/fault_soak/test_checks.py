"""Each check of the soak reports its own violation and accepts histories that are allowed."""

import pytest

from goldcrestgrade_testing.fault_soak import checks, history

ANSWERED = history.Request("a", "n1", 1, "/archive/1", True, 10.0, 10.1, 200, True, False)
RUN = history.Run("a", "e1", 10.05)
EMPTY = history.History([], [], [], {}, [], [], {"n1": True})
ROUTE = history.Route("/added-1/", 5.0)
ADDED = ANSWERED._replace(path="/added-1/7", run_once=False)
OTHER_RUN = history.Run("a", "e2", 10.06)


def observed(*requests, runs=(RUN,), **others):
    return EMPTY._replace(requests=list(requests), runs=list(runs), **others)


def injected(kind="kill", instance="n1", begin=9.0, end=9.5):
    return history.InjectedFault(kind, instance, history.Span(begin, end))


def limited(rates, arrivals_at, **others):
    """Return a history in which n1 passes on, at 10.1, that e1 has a rate limit."""
    return observed(
        ANSWERED._replace(endpoint_id="e1", names_rate_limit=True),
        *(
            ANSWERED._replace(attempt_id=f"a{number}", sent_at=at, answered_at=at + 0.01)
            for number, at in enumerate(arrivals_at)
        ),
        arrivals=[history.Arrival(f"a{number}", "e1", at) for number, at in enumerate(arrivals_at)],
        rate_limits={"e1": [history.RateLimit(*change) for change in rates]},
        hosts={"e1": "n2"},
        **others,
    )


def evenly(count, begin, end):
    return [begin + (end - begin) * number / count for number in range(count)]


LEAVING = ANSWERED._replace(attempt_id="t", endpoint_id="e1", says_leaving=True)
AFTER_LEAVING = ANSWERED._replace(sent_at=12.2, answered_at=12.3)
KEYED = ANSWERED._replace(workspace="w", key="k1")


def leaving(**others):
    """Return a history in which n1 passes on, at 10.1, that e1 leaves, and sends to it later."""
    arrival = history.Arrival("a", "e1", 12.25)
    return observed(LEAVING, AFTER_LEAVING, arrivals=[arrival], **others)


AFTER_EVACUATION = ANSWERED._replace(sent_at=14.9, answered_at=15.3)


def evacuated(begin, end, at=15.2, **others):
    """Return a history in which a request reaches e1, on n2, whose domain was evacuated."""
    return observed(
        AFTER_EVACUATION,
        arrivals=[history.Arrival("a", "e1", at)],
        hosts={"e1": "n2"},
        evacuations=[history.Evacuation(frozenset({"e1"}), history.Span(begin, end))],
        **others,
    )


def quota_used(count, span_s=4.0):
    """Return a history in which `count` requests of a workspace run; 44 may in 5 s."""
    sent = [
        ANSWERED._replace(attempt_id=f"q{n}", run_once=False, sent_at=at, answered_at=at + 0.1)
        for n, at in enumerate(evenly(count, 11.0, 11.0 + span_s))
    ]
    return observed(
        *(request._replace(workspace="w") for request in sent),
        runs=[history.Run(request.attempt_id, "e1", request.sent_at + 0.05) for request in sent],
        quotas={"w": history.Quota(4.0, 2.0)},
    )


VIOLATING = {
    "run_twice": observed(ANSWERED, runs=[RUN, RUN]),
    "refused_but_run": observed(ANSWERED._replace(status=503, has_retry_after=True)),
    "refused_without_return": observed(ANSWERED._replace(status=503), runs=[]),
    "not_own_answer": observed(ANSWERED._replace(is_own_answer=False)),
    "too_many_endpoints": observed(ANSWERED._replace(run_once=False), runs=[RUN, OTHER_RUN, RUN]),
    "too_late": observed(ANSWERED._replace(answered_at=11.6)),
    "run_while_draining": observed(ANSWERED, drained_at={"e1": 8.0}),
    "route_missing": observed(ADDED._replace(status=404), runs=[], routes=[ROUTE]),
    "route_forgotten": observed(
        ADDED, ADDED._replace(sent_at=10.5, status=404), routes=[ROUTE._replace(written_at=10.0)]
    ),
    "lost_at_planned_stop": observed(
        ANSWERED._replace(status=0), injected_faults=[injected("stop")]
    ),
    "over_rate_limit": limited([(9.0, 2.0)], evenly(18, 11.0, 14.9)),
    "over_warm_up_rate": observed(ANSWERED, cold_arrivals={"e1": evenly(18, 11.0, 11.9)}),
    "over_quota": quota_used(45),
    "sent_after_leaving": leaving(),
    "sent_while_evacuated": evacuated(10.1, 20.0),
    "run_with_withdrawn_key": observed(KEYED, withdrawn_at={"k1": 5.0}),
    "wrong_workspace": observed(KEYED, run_workspaces=[("a", None)]),
    "internal_error": observed(ANSWERED._replace(status=500)),
    "wrong_service": observed(ANSWERED, services={"e1": "corrections"}),
    "not_recovered": EMPTY._replace(recovered={"n1": False}),
}


def test_each_check_has_a_violating_history():
    assert set(VIOLATING) == set(checks.CHECKS)


@pytest.mark.parametrize("name", VIOLATING)
def test_violating_history_is_found_by_its_check_alone(name):
    found = checks.violations(VIOLATING[name])
    assert {text.partition(":")[0] for text in found} == {name}


def test_history_without_faults_violates_nothing():
    assert checks.violations(observed(ANSWERED)) == []


@pytest.mark.parametrize(
    "allowed",
    [
        observed(ANSWERED._replace(run_once=False), runs=[RUN, OTHER_RUN]),
        observed(ANSWERED._replace(run_once=False, status=503, has_retry_after=True)),
        observed(ANSWERED._replace(answered_at=11.6), injected_faults=[injected()]),
        observed(
            ANSWERED._replace(answered_at=11.6), injected_faults=[injected("store_slow", "n2")]
        ),
        observed(ANSWERED._replace(answered_at=11.6), stalls=[history.Span(10.5, 10.8)]),
        observed(
            ADDED._replace(status=404, sent_at=7.2, answered_at=7.3),
            runs=[],
            routes=[ROUTE],
            stalls=[history.Span(5.5, 5.9)],
        ),
        observed(ANSWERED, drained_at={"e1": 9.0}),
        observed(ADDED._replace(status=404, sent_at=6.0, answered_at=6.1), runs=[], routes=[ROUTE]),
        observed(
            ADDED,
            ADDED._replace(sent_at=10.5, status=404, node_pid=2),
            routes=[ROUTE._replace(written_at=10.0)],
        ),
        observed(ANSWERED._replace(status=0), injected_faults=[injected("kill")]),
        observed(ANSWERED._replace(status=0), runs=[]),
        observed(KEYED, withdrawn_at={"k1": 5.1}),
        observed(KEYED, withdrawn_at={"k2": 1.0}, run_workspaces=[("a", "w"), ("other", None)]),
        observed(KEYED, withdrawn_at={"k1": 5.0}, injected_faults=[injected("store_slow", "n2")]),
        observed(KEYED, withdrawn_at={"k1": 5.0}, stalls=[history.Span(6.0, 6.2)]),
        leaving(injected_faults=[injected("pause", begin=11.0, end=11.5)]),
        leaving(injected_faults=[injected("kill", begin=10.0, end=10.2)]),
        observed(
            LEAVING,
            AFTER_LEAVING._replace(sent_at=12.0),
            arrivals=[history.Arrival("a", "e1", 12.25)],
        ),
        evacuated(10.3, 20.0),
        evacuated(10.1, 15.1),
        evacuated(10.1, 20.0, stalls=[history.Span(12.0, 12.3)]),
        evacuated(10.1, 20.0, injected_faults=[injected("pause", "n2", 11.0, 12.5)]),
        evacuated(10.1, 20.0, injected_faults=[injected("store_silent", "n1", 11.0, 12.5)]),
        limited([(9.0, 2.0)], evenly(17, 11.0, 14.9)),
        quota_used(44),
        quota_used(80, span_s=10.0),
        limited([(9.0, 2.0)], evenly(18, 10.2, 10.6)),
        limited([(9.0, 2.0)], evenly(40, 11.0, 11.9)),
        limited([(9.0, 2.0), (13.0, None)], evenly(18, 11.0, 14.9)),
        limited([(9.0, 2.0), (13.0, 4.0)], evenly(20, 11.0, 14.9)),
        limited([(9.0, 4.0), (13.0, 2.0)], evenly(22, 11.0, 14.9)),
        limited([(9.0, 2.0)], evenly(18, 11.0, 14.9), injected_faults=[injected("kill", end=10.5)]),
        limited(
            [(9.0, 2.0)], evenly(18, 11.0, 14.9), injected_faults=[injected("link_delay", "n2")]
        ),
        observed(ANSWERED, cold_arrivals={"e1": [*evenly(17, 11.0, 11.9), 12.0]}),
        observed(
            ANSWERED,
            cold_arrivals={"e1": evenly(18, 11.0, 11.9)},
            hosts={"e1": "n2"},
            injected_faults=[injected("link_requests", "n2")],
        ),
    ],
)
def test_allowed_history_violates_nothing(allowed):
    assert checks.violations(allowed) == []


def test_other_nodes_are_bound_by_a_rate_limit_while_the_node_beside_its_endpoint_restarts():
    restarted = injected("kill", "n2", begin=11.5, end=12.0)
    too_many = limited([(9.0, 2.0)], evenly(18, 11.0, 14.9), injected_faults=[restarted])
    assert checks.violations(too_many) != []


def test_restarted_instance_is_bound_again_by_an_answer_after_its_restart():
    restarted = injected("kill", "n1", begin=9.0, end=10.05)
    too_many = limited([(9.0, 2.0)], evenly(18, 11.0, 14.9), injected_faults=[restarted])
    assert checks.violations(too_many) != []


def test_restart_of_the_node_beside_a_leaving_endpoint_excuses_no_other_node():
    restarted = injected("kill", "n2", begin=11.0, end=11.5)
    assert checks.violations(leaving(injected_faults=[restarted])) != []


def test_fault_of_another_instance_excuses_no_request_to_an_evacuated_endpoint():
    restarted = injected("kill", "n1", begin=12.0, end=14.0)
    assert checks.violations(evacuated(10.1, 20.0, injected_faults=[restarted])) != []


@pytest.mark.parametrize("kind", ["configure", "reload", "answers", "slow_endpoint", "drain"])
def test_late_answer_is_a_violation_under_planned_operations_and_endpoint_faults(kind):
    late = observed(ANSWERED._replace(answered_at=11.6), injected_faults=[injected(kind)])
    assert len(checks.violations(late)) == 1


def test_late_answer_is_a_violation_under_a_fault_of_another_instance():
    late = observed(ANSWERED._replace(answered_at=11.6), injected_faults=[injected(instance="n2")])
    assert len(checks.violations(late)) == 1
