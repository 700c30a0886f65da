"""Retry budget that all nodes share."""

from goldcrestgrade_node.mesh.entry import retry_budget

TERMS = retry_budget.Terms(ratio=0.2, slack=56, window_s=10.0)


def test_all_nodes_together_stay_within_the_budget_when_every_request_fails():
    nodes = 12
    budgets = [retry_budget.RetryBudget(TERMS, nodes, 0.0) for _ in range(nodes)]
    requests = sent = 0
    for step in range(100):
        now = step * 0.1
        for budget in budgets:
            budget.record_request(now)
            requests += 1
            sent += sum(budget.try_acquire(now) for _ in range(5))
    assert sent <= TERMS.ratio * requests + TERMS.slack
    assert sent > 0


def test_idle_node_may_retry_once():
    budget = retry_budget.RetryBudget(TERMS, 12, 0.0)
    assert budget.try_acquire(10.0)


def test_many_idle_nodes_together_stay_within_the_slack():
    nodes = 300
    budgets = [retry_budget.RetryBudget(TERMS, nodes, 0.0) for _ in range(nodes)]
    sent = 0
    for step in range(100):
        for budget in budgets:
            sent += budget.try_acquire(step * 0.1)
    assert sent <= TERMS.slack


def test_node_that_has_just_started_may_retry_once():
    budget = retry_budget.RetryBudget(TERMS, 12, 0.0)
    assert budget.try_acquire(0.0)


def test_window_after_a_calm_one_stays_within_the_budget_and_uses_most_of_it():
    """Guards against calls lost to endpoints that shed half of them while the budget is unused."""
    nodes = 12
    budgets = [retry_budget.RetryBudget(TERMS, nodes, 0.0) for _ in range(nodes)]
    requests = sent = 0
    for step in range(100):
        now = 60.0 + step * 0.1
        for budget in budgets:
            for _ in range(2):
                budget.record_request(now)
                requests += 1
                sent += budget.try_acquire(now)
    allowed = TERMS.ratio * requests + TERMS.slack
    assert 0.75 * allowed <= sent <= allowed
