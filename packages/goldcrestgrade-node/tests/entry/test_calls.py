from __future__ import annotations

import asyncio
import collections
import random

from goldcrestgrade import counters, instants, outcomes, reasons, sheet
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results
from goldcrestgrade_node.entry import calls
from goldcrestgrade_node.routing import choice, quarantine, views
from goldcrestgrade_testing import sample_records, virtual_time

OK = results.Answered(outcomes.Answer(200, (), b"whole"), None)
FAILED = results.Answered(outcomes.Answer(500, (), b"failed"), None)
DIED = results.Broken(reasons.Uncertainty.ANSWER_LOST)


def make_calls(send, endpoints: int = 4, relay=None, seed: int = 1) -> calls.Calls:
    service_views = views.Views(asyncio.get_running_loop().time)
    service_views.update(
        "archive", [sample_records.ready(f"node-{i}", port=i) for i in range(endpoints)]
    )
    return calls.Calls(
        choice.Locality("khomas", "khomas-a"),
        service_views,
        send,
        relay,
        instants.loop_clocks(),
        counters.Counts(),
        random.Random(seed),
    )


def make_request(
    target: str = "/x", run_once: bool = False, retries_allowed: bool = True
) -> requests.Request:
    kind = sheet.Kind("any", run_once=run_once, timeout_s=5.0)
    deadline = asyncio.get_running_loop().time() + 5.0
    return requests.Request(
        "r1", "archive", kind, "GET", target, (), b"", None, deadline, retries_allowed
    )


def ready_to_hedge(entry_calls: calls.Calls) -> None:
    view = entry_calls.service_views.of("archive")
    view.hedge_delay_s = 0.02
    view.hedge_budget.tokens = 1.0


async def fast(_attempt) -> results.AttemptResult:
    await asyncio.sleep(0.01)
    return OK


def test_slow_attempt_is_hedged_and_its_loser_counts_as_no_failure():
    async def scenario():
        cancelled = []

        async def slow(attempt):
            try:
                await asyncio.sleep(1.0 if attempt.attempt_id == "r1-1" else 0.01)
            except asyncio.CancelledError:
                cancelled.append(attempt.port)
                raise
            return OK

        entry_calls = make_calls(slow)
        ready_to_hedge(entry_calls)
        before = asyncio.get_running_loop().time()
        assert await entry_calls.run(make_request()) == outcomes.Ran(OK.answer)
        elapsed_s = asyncio.get_running_loop().time() - before
        await asyncio.sleep(0.1)
        loser = entry_calls.service_views.of("archive").endpoints[f"node-{cancelled[0]}"]
        return elapsed_s, len(cancelled), loser, entry_calls

    elapsed_s, cancelled, loser, entry_calls = virtual_time.run(scenario())
    assert elapsed_s < 0.1
    assert cancelled == 1
    assert (loser.in_flight, loser.consecutive_failures) == (0, 0)
    assert entry_calls.counts.retries == {reasons.Retry.HEDGED: 1}
    assert not entry_calls.abandoned


class Rest:
    """Rest of a streamed answer that records whether it was closed."""

    closed = False

    def close(self) -> None:
        self.closed = True


def test_streamed_answer_of_the_loser_releases_its_connection():
    rests = []

    async def send(_attempt):
        await asyncio.sleep(1.0 - asyncio.get_running_loop().time())
        rests.append(Rest())
        return results.Answered(OK.answer._replace(rest=rests[-1]), load=1)

    async def scenario():
        entry_calls = make_calls(send)
        ready_to_hedge(entry_calls)
        for endpoint in entry_calls.service_views.of("archive").endpoints.values():
            endpoint.on_trial = True
        outcome = await entry_calls.run(make_request())
        await asyncio.sleep(1.0)
        return outcome

    outcome = virtual_time.run(scenario())
    assert len(rests) == 2
    assert [rest.closed for rest in rests] == [rest is not outcome.answer.rest for rest in rests]


def test_successful_hedge_ends_the_first_attempt():
    async def scenario():
        async def send(attempt):
            await asyncio.sleep(4.0 if attempt.attempt_id == "r1-1" else 0.01)
            return OK

        entry_calls = make_calls(send)
        ready_to_hedge(entry_calls)
        started = asyncio.get_running_loop().time()
        outcome = await entry_calls.run(make_request())
        return outcome, asyncio.get_running_loop().time() - started, entry_calls

    outcome, elapsed_s, entry_calls = virtual_time.run(scenario())
    assert outcome == outcomes.Ran(OK.answer)
    assert elapsed_s < 0.1
    assert all(e.in_flight == 0 for e in entry_calls.service_views.of("archive").endpoints.values())


def test_hedge_continues_when_the_first_attempt_fails():
    async def scenario():
        async def send(attempt):
            if attempt.attempt_id == "r1-1":
                await asyncio.sleep(0.05)
                return DIED
            await asyncio.sleep(0.5)
            return OK

        entry_calls = make_calls(send)
        ready_to_hedge(entry_calls)
        return await entry_calls.run(make_request()), entry_calls.counts.retries

    assert virtual_time.run(scenario()) == (
        outcomes.Ran(OK.answer),
        {reasons.Retry.HEDGED: 1},
    )


def test_cancelled_request_ends_its_attempt_and_its_hedge():
    async def scenario():
        async def send(_attempt):
            await asyncio.sleep(4.0)
            return OK

        entry_calls = make_calls(send)
        ready_to_hedge(entry_calls)
        running = asyncio.create_task(entry_calls.run(make_request()))
        await asyncio.sleep(1.0)
        running.cancel()
        await asyncio.sleep(0.1)
        in_flight = [
            e.in_flight for e in entry_calls.service_views.of("archive").endpoints.values()
        ]
        return running.cancelled(), sum(in_flight), entry_calls.counts.retries

    assert virtual_time.run(scenario()) == (True, 0, {reasons.Retry.HEDGED: 1})


def test_hedges_stay_within_their_share_of_calls():
    async def scenario():
        rng = random.Random(3)
        slowdown = 1.0

        async def send(_attempt):
            await asyncio.sleep(slowdown * rng.uniform(0.01, 0.02))
            return OK

        entry_calls = make_calls(send)
        for index in range(200):
            slowdown = 1.0 if index < 100 else 10.0
            await entry_calls.run(make_request(f"/{index}"))
        return entry_calls.counts.retries[reasons.Retry.HEDGED]

    assert 1 <= virtual_time.run(scenario()) <= 0.05 * 200


def test_run_once_request_is_never_hedged():
    async def scenario():
        started = []

        async def relay(_request, endpoint):
            started.append(endpoint.node_id)
            await asyncio.sleep(1.0)
            return outcomes.Ran(OK.answer)

        entry_calls = make_calls(fast, relay=relay)
        ready_to_hedge(entry_calls)
        await entry_calls.run(make_request(run_once=True))
        return len(started)

    assert virtual_time.run(scenario()) == 1


def test_retries_stay_within_their_share_of_calls():
    async def scenario():
        attempts = []

        async def failing(attempt):
            attempts.append(attempt.attempt_id)
            return FAILED

        entry_calls = make_calls(failing)
        for index in range(300):
            outcome = await entry_calls.run(make_request(f"/{index}"))
            assert outcome == outcomes.Ran(FAILED.answer)
        return len(attempts)

    assert 300 < virtual_time.run(scenario()) <= 1.1 * 300


def test_no_call_fails_when_an_endpoint_with_many_in_flight_dies():
    async def scenario():
        dead = asyncio.Event()

        async def send(attempt):
            if attempt.port != 0:
                return await fast(attempt)
            if dead.is_set():
                return results.Unreachable("refused")
            await dead.wait()
            return DIED

        entry_calls = make_calls(send)
        running = [asyncio.create_task(entry_calls.run(make_request(f"/{n}"))) for n in range(28)]
        await asyncio.sleep(1.0)
        dead.set()
        running += [
            asyncio.create_task(entry_calls.run(make_request(f"/{n}"))) for n in range(28, 40)
        ]
        return await asyncio.gather(*running)

    assert virtual_time.run(scenario()) == [outcomes.Ran(OK.answer)] * 40


def test_request_that_may_have_run_is_not_reported_as_not_run():
    async def scenario():
        ends = iter([DIED, results.Shed(None), results.Shed(None)])

        async def send(_attempt):
            return next(ends)

        return await make_calls(send).run(make_request())

    assert virtual_time.run(scenario()) == outcomes.Unknown(reasons.Uncertainty.ANSWER_LOST)


def test_refusal_of_a_full_service_is_immediate():
    async def scenario():
        entry_calls = make_calls(fast)
        for endpoint in entry_calls.service_views.of("archive").endpoints.values():
            endpoint.in_flight = 1000
        before = asyncio.get_running_loop().time()
        outcome = await entry_calls.run(make_request())
        return outcome, asyncio.get_running_loop().time() - before

    outcome, elapsed_s = virtual_time.run(scenario())
    assert outcome.reason == reasons.Refusal.SATURATED
    assert outcome.retry_at is not None
    assert elapsed_s < 0.05


def crashes_of(send_copies, run_once: bool = False) -> tuple[set[str], list[outcomes.Outcome]]:
    async def scenario():
        crashed: set[str] = set()

        async def send(attempt):
            await asyncio.sleep(0.01)
            crashed.add(str(attempt.port))
            return DIED

        async def relay(_request, endpoint):
            await asyncio.sleep(0.01)
            crashed.add(endpoint.node_id)
            return outcomes.Unknown(reasons.Uncertainty.ENDPOINT_DIED)

        entry_calls = make_calls(send, endpoints=6, relay=relay)
        ended = await send_copies(entry_calls, lambda: make_request("/poison", run_once=run_once))
        return crashed, ended

    return virtual_time.run(scenario())


async def one_after_another(entry_calls, request):
    return [await entry_calls.run(request()) for _ in range(8)]


async def at_once(entry_calls, request):
    return await asyncio.gather(*(entry_calls.run(request()) for _ in range(50)))


def test_request_sent_again_and_again_crashes_two_endpoints_at_most():
    crashed, ended = crashes_of(one_after_another)
    assert len(crashed) == quarantine.MAX_CRASHES
    assert ended[-1].reason == reasons.Refusal.QUARANTINED
    assert ended[-1].retry_at is not None


def test_request_sent_many_times_at_once_crashes_two_endpoints_at_most():
    crashed, _ = crashes_of(at_once)
    assert len(crashed) == quarantine.MAX_CRASHES


def test_run_once_request_crashes_two_endpoints_at_most():
    for send_copies in (one_after_another, at_once):
        crashed, _ = crashes_of(send_copies, run_once=True)
        assert len(crashed) <= quarantine.MAX_CRASHES


def test_popular_request_spreads_once_it_was_answered():
    async def scenario():
        used: collections.Counter[int] = collections.Counter()

        async def send(attempt):
            used[attempt.port] += 1
            await asyncio.sleep(0.01)
            return OK

        entry_calls = make_calls(send, endpoints=6)
        await entry_calls.run(make_request())
        await asyncio.gather(*(entry_calls.run(make_request()) for _ in range(40)))
        return used

    assert len(virtual_time.run(scenario())) == 6


def test_retries_in_seven_layers_add_less_than_a_fifth_to_the_load_of_the_last():
    """Each layer sends to the next through its node; the last one fails a tenth of its requests."""
    layers, total = 7, 1000

    async def scenario():
        rng = random.Random(5)
        executions: collections.Counter[int] = collections.Counter()
        calls_by_layer: list[calls.Calls] = []

        def layer(depth: int):
            async def send(_attempt):
                executions[depth] += 1
                if depth < layers - 1:
                    target = f"/{executions[depth]}"
                    inner = await calls_by_layer[depth + 1].run(
                        make_request(target, retries_allowed=False)
                    )
                    return OK if inner == outcomes.Ran(OK.answer) else FAILED
                await asyncio.sleep(rng.lognormvariate(-4.0, 0.5))
                return FAILED if rng.random() < 0.1 else OK

            return send

        calls_by_layer.extend(make_calls(layer(depth), seed=depth) for depth in range(layers))
        for index in range(total):
            await calls_by_layer[0].run(make_request(f"/{index}"))
        return executions

    executions = virtual_time.run(scenario())
    assert executions[layers - 1] > total
    assert max(executions.values()) <= 1.2 * total
