"""Refusals that faulty endpoints repeat on a kept connection, with real node processes."""

import asyncio
import collections

from goldcrestgrade_testing.fleet_platform import endpoint, fleet

PLACEMENTS = {
    **{f"east-{number}": fleet.Placement("east", "r1", "intake") for number in range(1, 5)},
    "west-1": fleet.Placement("west-a", "r2", "archive"),
    "west-2": fleet.Placement("west-b", "r2", "archive"),
}

ROUNDS = 12

PAUSE_S = 1.2
"""Time after which entry nodes no longer know that a node had no room."""

DEGRADED_PACE = 30.0
"""Pace at which an endpoint can't answer in time, so that its node forwards requests."""


async def test_refused_request_is_not_sent_to_the_same_endpoint_again():
    """Guards against a repeated refusal that is taken for the answer to a later try."""
    async with fleet.running(PLACEMENTS) as running:
        *entries, faulty, degraded = running.instances
        degraded.endpoint.behaviour.pace = DEGRADED_PACE
        answers = []
        for _ in range(ROUNDS):
            await asyncio.sleep(PAUSE_S)
            for entry in entries:
                faulty.endpoint.fail_next_answers(endpoint.AnswerFault("refused", 1))
                answers.append(await running.call(entry, "/archive/file/x", "POST"))
                faulty.endpoint.answer_faults.clear()
        runs = {answer.attempt_id: running.run_count(answer.attempt_id) for answer in answers}
        arrivals = [arrival[0] for arrival in faulty.endpoint.arrivals]
        assert len(set(arrivals)) > ROUNDS
        assert max(collections.Counter(arrivals).values()) == 1
        assert [a for a in answers if a.status == 503 and runs[a.attempt_id]] == []
        assert max(runs.values()) <= 1
