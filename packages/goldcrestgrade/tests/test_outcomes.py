from __future__ import annotations

import orjson
import pytest

from goldcrestgrade import outcomes, reasons


@pytest.mark.parametrize("reason", list(reasons.Refusal))
def test_every_refusal_says_not_run_and_its_reason(reason):
    answer = outcomes.to_answer(outcomes.NotRun(reason), "r1", now=0.0)
    assert answer.status >= 400
    assert orjson.loads(answer.body) == {
        "outcome": "not_run",
        "reason": reason,
        "request_id": "r1",
    }


def test_retry_after_is_in_whole_seconds_and_never_zero():
    assert outcomes.retry_after(retry_at=10.2, now=9.0) == "2"
    assert outcomes.retry_after(retry_at=9.0, now=9.0) == "1"
