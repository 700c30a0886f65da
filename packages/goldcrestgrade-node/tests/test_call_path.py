from __future__ import annotations

import asyncio
import random

from goldcrestgrade import counters, instants, outcomes, reasons, sheet
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results
from goldcrestgrade_node.entry import calls
from goldcrestgrade_node.routing import choice, views
from goldcrestgrade_testing import sample_records, virtual_time

ANSWER = outcomes.Answer(200, (), b"whole")


def make_calls(send) -> calls.Calls:
    service_views = views.Views(asyncio.get_running_loop().time)
    service_views.update("archive", [sample_records.ready(name) for name in "abc"])
    return calls.Calls(
        choice.Locality("khomas", "khomas-a"),
        service_views,
        send,
        None,
        instants.loop_clocks(),
        counters.Counts(),
        random.Random(1),
    )


def make_request() -> requests.Request:
    kind = sheet.Kind("GET /*", run_once=False, timeout_s=5.0)
    return requests.Request("r1", "archive", kind, "GET", "/x", (), b"", None, 5.0, True)


def test_request_refused_by_one_endpoint_is_answered_by_another():
    tried = []

    async def send(attempt):
        await asyncio.sleep(0.01)
        tried.append(attempt.attempt_id)
        return results.Shed(load=None) if len(tried) == 1 else results.Answered(ANSWER, load=1)

    async def scenario():
        entry_calls = make_calls(send)
        return await entry_calls.run(make_request()), entry_calls.counts

    outcome, counts = virtual_time.run(scenario())
    assert outcome == outcomes.Ran(ANSWER)
    assert counts.retries == {reasons.Retry.REFUSED: 1}
    assert tried == ["r1-1", "r1-2"]


def test_no_request_of_a_burst_fails_when_an_endpoint_is_unreachable():
    async def send(attempt):
        await asyncio.sleep(0.001)
        if attempt.control_url == "http://unreachable:1":
            return results.Unreachable("refused")
        return results.Answered(ANSWER, load=None)

    async def scenario():
        entry_calls = make_calls(send)
        entry_calls.service_views.of("archive").endpoints["a"].control_url = "http://unreachable:1"
        return await asyncio.gather(*(entry_calls.run(make_request()) for _ in range(60)))

    ended = virtual_time.run(scenario())
    assert ended == [outcomes.Ran(ANSWER)] * 60
