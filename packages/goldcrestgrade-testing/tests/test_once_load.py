from __future__ import annotations

import pytest

from goldcrestgrade_node.once import guard
from goldcrestgrade_testing import once_load, schedules

MAX_HOP_DELAY_S = 0.02


def test_run_once_request_at_low_rate_takes_at_most_2_store_writes():
    figures = once_load.measure_load(seed=1, rate=2.0, calls=200)
    assert figures.answered == figures.calls
    assert figures.writes_per_call() <= 2


def test_run_once_request_under_load_takes_under_half_a_store_write():
    figures = once_load.measure_load(seed=1, rate=200.0, calls=4000)
    assert figures.answered == figures.calls
    assert figures.writes_per_call() < 0.5


@pytest.mark.parametrize("kind", [schedules.FaultKind.STORE_DOWN, schedules.FaultKind.STORE_SILENT])
def test_run_once_requests_in_an_outage_are_refused_at_once_and_idempotent_ones_are_answered(kind):
    figures = once_load.measure_outage(seed=1, kind=kind)
    assert set(figures.ends) == {"Refused"}
    assert figures.longest_first_s <= guard.CLAIM_TIMEOUT_S + MAX_HOP_DELAY_S
    assert figures.later_at_once == figures.later
    assert figures.without_retry_at == 0
    assert figures.idempotent_answered == figures.idempotent
    assert figures.longest_idempotent_s <= MAX_HOP_DELAY_S
