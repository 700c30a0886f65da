"""Budget of arrivals beyond the first, shared by all nodes."""

from goldcrestgrade_node.mesh import resends

TERMS = resends.Terms(ratio=0.2, slack=56, window_s=10.0)


def test_all_nodes_together_stay_within_the_terms_under_a_storm_of_failures():
    nodes = 12
    budgets = [resends.ResendBudget(TERMS, nodes, 0.0) for _ in range(nodes)]
    requests = taken = 0
    for step in range(100):
        now = step * 0.1
        for budget in budgets:
            budget.note_request(now)
            requests += 1
            taken += sum(budget.take(now) for _ in range(5))
    assert taken <= TERMS.ratio * requests + TERMS.slack
    assert taken > 0


def test_quiet_node_may_send_again_once():
    budget = resends.ResendBudget(TERMS, 12, 0.0)
    assert budget.take(10.0)


def test_large_fleet_without_requests_stays_within_the_slack():
    nodes = 300
    budgets = [resends.ResendBudget(TERMS, nodes, 0.0) for _ in range(nodes)]
    taken = 0
    for step in range(100):
        for budget in budgets:
            taken += budget.take(step * 0.1)
    assert taken <= TERMS.slack


def test_node_that_has_just_started_may_send_again_once():
    budget = resends.ResendBudget(TERMS, 12, 0.0)
    assert budget.take(0.0)
