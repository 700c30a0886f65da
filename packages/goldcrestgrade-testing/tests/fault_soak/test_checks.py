"""Each check of the soak finds its own violation and passes what is allowed."""

import pytest

from goldcrestgrade_testing.fault_soak import checks, history

CLEAN = history.Try("a", "n1", 1, "/archive/1", True, 10.0, 10.1, 200, True, False)
RUN = history.Run("a", "e1", 10.05)
EMPTY = history.History([], [], [], {}, [], [], {"n1": True})
ROUTE = history.Route("/added-1/", 5.0)
ADDED = CLEAN._replace(path="/added-1/7", run_once=False)
FAR = history.Run("a", "e2", 10.06)


def seen(*tries, runs=(RUN,), **others):
    return EMPTY._replace(tries=list(tries), runs=list(runs), **others)


def trouble(kind="kill", instance="n1", begin=9.0, end=9.5):
    return history.Disturbance(kind, instance, history.Span(begin, end))


BROKEN = {
    "run_twice": seen(CLEAN, runs=[RUN, RUN]),
    "refused_but_run": seen(CLEAN._replace(status=503, retry_after=True)),
    "refused_without_return": seen(CLEAN._replace(status=503), runs=[]),
    "not_own_answer": seen(CLEAN._replace(own=False)),
    "too_many_endpoints": seen(CLEAN._replace(run_once=False), runs=[RUN, FAR, RUN]),
    "too_late": seen(CLEAN._replace(answered_at=11.6)),
    "run_while_draining": seen(CLEAN, drained_at={"e1": 8.0}),
    "route_missing": seen(ADDED._replace(status=404), runs=[], routes=[ROUTE]),
    "route_forgotten": seen(
        ADDED, ADDED._replace(sent_at=10.5, status=404), routes=[ROUTE._replace(written_at=10.0)]
    ),
    "lost_at_planned_stop": seen(CLEAN._replace(status=0), disturbances=[trouble("stop")]),
    "not_recovered": EMPTY._replace(recovered={"n1": False}),
}


def test_there_is_a_violation_for_each_check():
    assert set(BROKEN) == set(checks.CHECKS)


@pytest.mark.parametrize("name", BROKEN)
def test_check_finds_its_violation_alone(name):
    found = checks.violations(BROKEN[name])
    assert {text.partition(":")[0] for text in found} == {name}


def test_clean_history_breaks_nothing():
    assert checks.violations(seen(CLEAN)) == []


@pytest.mark.parametrize(
    "allowed",
    [
        seen(CLEAN._replace(run_once=False), runs=[RUN, FAR]),
        seen(CLEAN._replace(run_once=False, status=503, retry_after=True)),
        seen(CLEAN._replace(answered_at=11.6), disturbances=[trouble()]),
        seen(CLEAN._replace(answered_at=11.6), disturbances=[trouble("store_slow", "n2")]),
        seen(CLEAN._replace(answered_at=11.6), stalls=[history.Span(10.5, 10.8)]),
        seen(
            ADDED._replace(status=404, sent_at=7.2, answered_at=7.3),
            runs=[],
            routes=[ROUTE],
            stalls=[history.Span(5.5, 5.9)],
        ),
        seen(CLEAN, drained_at={"e1": 9.0}),
        seen(ADDED._replace(status=404, sent_at=6.0, answered_at=6.1), runs=[], routes=[ROUTE]),
        seen(
            ADDED,
            ADDED._replace(sent_at=10.5, status=404, lifetime=2),
            routes=[ROUTE._replace(written_at=10.0)],
        ),
        seen(CLEAN._replace(status=0), disturbances=[trouble("kill")]),
        seen(CLEAN._replace(status=0), runs=[]),
    ],
)
def test_what_the_pages_allow_breaks_nothing(allowed):
    assert checks.violations(allowed) == []


@pytest.mark.parametrize("kind", ["configure", "reload", "answers", "slow_endpoint", "drain"])
def test_planned_troubles_and_those_of_endpoints_excuse_no_late_answer(kind):
    late = seen(CLEAN._replace(answered_at=11.6), disturbances=[trouble(kind)])
    assert len(checks.violations(late)) == 1


def test_trouble_of_another_instance_excuses_no_late_answer():
    late = seen(CLEAN._replace(answered_at=11.6), disturbances=[trouble(instance="n2")])
    assert len(checks.violations(late)) == 1
