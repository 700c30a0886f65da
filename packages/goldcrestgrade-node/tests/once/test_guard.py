from __future__ import annotations

import asyncio
import uuid

import orjson

from goldcrestgrade import instants, outcomes, reasons, sheet
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results
from goldcrestgrade_node.once import (
    barred_attempts,
    claims,
    executions,
    guard,
    keys,
    messages,
    rows,
    write_behind,
)
from goldcrestgrade_testing import memory_platform, virtual_time

KIND = sheet.Kind("POST /*", run_once=True, timeout_s=5.0)
ANSWER = outcomes.Answer(200, (("x", "y"),), b"whole")
INCARNATION = 7


class MemoryGuardClient:
    """Passes messages directly to the guard with the given control URL."""

    def __init__(self) -> None:
        self.guards: dict[str, guard.Guard] = {}

    async def exchange(self, control_url, message, deadline):
        if control_url not in self.guards:
            raise messages.Unreachable("no process")
        async with asyncio.timeout_at(deadline):
            return await self.guards[control_url].receive(message)


class Setup:
    """Guards that share one store; records the attempts that start at their endpoints."""

    def __init__(self, result=None, work_s: float = 0.0) -> None:
        self.clocks = instants.loop_clocks()
        self.store = memory_platform.MemoryTables(memory_platform.Faults(delay_s=0.01))
        self.guard_client = MemoryGuardClient()
        self.result = result or results.Answered(ANSWER, load=None)
        self.work_s = work_s
        self.started: list[str] = []
        self.died: list[requests.Request] = []
        self.tasks: list[asyncio.Task[None]] = []

    def guard(self, name: str, incarnation: int = INCARNATION) -> guard.Guard:
        committer = claims.Committer(self.store, self.clocks)
        writer = write_behind.WriteBehind(self.store, self.clocks)
        new_guard = guard.Guard(
            executions.Identity(name, incarnation, name),
            committer,
            writer,
            self.guard_client,
            self.start,
            lambda: True,
            self.died.append,
            self.clocks,
        )
        self.tasks += [asyncio.create_task(t) for t in (committer.run(), writer.run())]
        self.guard_client.guards[name] = new_guard
        return new_guard

    async def start(self, _request, attempt_id):
        self.started.append(attempt_id)
        await asyncio.sleep(self.work_s)
        return self.result


def request(key: str = "k", body: bytes = b"b", deadline: float = 5.0) -> requests.Request:
    return requests.Request(
        "r", "intake", KIND, "POST", "/x", (), body, key, deadline, retries_allowed=True
    )


def run_message(attempt_id: str, requested: requests.Request) -> messages.Run:
    return messages.Run(attempt_id, requested, INCARNATION)


def resolve_message(attempt_id: str, incarnation: int = INCARNATION) -> messages.ResolveAttempt:
    return messages.ResolveAttempt(attempt_id, incarnation, deadline=5.0, reply_by=4.0)


def test_resend_to_another_guard_gets_the_first_answer():
    async def scenario():
        setup = Setup(work_s=0.5)
        first, second = setup.guard("a"), setup.guard("b")
        running = asyncio.create_task(first.run(run_message("1", request())))
        await asyncio.sleep(0.1)
        return await second.run(run_message("2", request())), await running, setup.started

    resent, first, started = virtual_time.run(scenario())
    assert resent == first == outcomes.Ran(ANSWER)
    assert started == ["1"]


def test_answer_is_replayed_from_the_store_when_its_guard_is_unreachable():
    async def scenario():
        setup = Setup()
        await setup.guard("a").run(run_message("1", request()))
        await asyncio.sleep(1.0)
        del setup.guard_client.guards["a"]
        return await setup.guard("b").run(run_message("2", request())), setup.started

    replayed, started = virtual_time.run(scenario())
    assert replayed == outcomes.Ran(ANSWER)
    assert started == ["1"]


def test_unanswered_claim_of_an_earlier_incarnation_is_unknown():
    async def scenario():
        setup = Setup(work_s=60.0)
        asyncio.create_task(setup.guard("a").run(run_message("1", request())))  # noqa: RUF006
        await asyncio.sleep(0.1)
        setup.guard("a", incarnation=INCARNATION + 1)
        return await setup.guard("b").run(run_message("2", request())), setup.started

    outcome, started = virtual_time.run(scenario())
    assert outcome == outcomes.Unknown(reasons.Uncertainty.CLAIM_ORPHANED)
    assert started == ["1"]


def test_claim_that_is_committed_late_is_taken_over_by_a_later_attempt():
    async def scenario():
        setup = Setup()
        setup.store.faults.late_effect_s = 0.2
        refused = await setup.guard("a").run(run_message("1", request()))
        setup.store.faults.late_effect_s = 0.0
        await asyncio.sleep(0.5)
        return refused, await setup.guard("b").run(run_message("2", request())), setup.started

    refused, later, started = virtual_time.run(scenario())
    assert isinstance(refused, outcomes.NotRun)
    assert later == outcomes.Ran(ANSWER)
    assert started == ["2"]


def test_query_bars_an_attempt_that_has_not_arrived():
    async def scenario():
        setup = Setup()
        own = setup.guard("a")
        verdict = await own.resolve_attempt(resolve_message("1"))
        return verdict, await own.run(run_message("1", request())), setup.started

    verdict, late, started = virtual_time.run(scenario())
    assert isinstance(verdict, messages.Resolved)
    assert isinstance(verdict.outcome, outcomes.NotRun)
    assert late == verdict.outcome
    assert started == []


def test_new_incarnation_replies_gone_for_an_attempt_sent_to_the_old_one():
    async def scenario():
        own = Setup().guard("a", incarnation=INCARNATION + 1)
        return await own.resolve_attempt(resolve_message("1"))

    assert virtual_time.run(scenario()) == messages.Gone()


def test_key_with_another_body_is_refused_here_and_at_another_guard():
    async def scenario():
        setup = Setup()
        own, other = setup.guard("a"), setup.guard("b")
        await own.run(run_message("1", request()))
        changed = request(body=b"other")
        return [
            await g.run(run_message(f"{n}", changed)) for n, g in enumerate((own, other), start=2)
        ]

    refusal = outcomes.NotRun(reasons.Refusal.KEY_REUSED)
    assert virtual_time.run(scenario()) == [refusal, refusal]
    assert outcomes.to_answer(refusal, "r", now=0.0).status == 422


def test_dated_key_is_refused_past_its_deadline():
    dated = str(uuid.UUID(int=(1 << 80) | (7 << 76) | (2 << 62)))

    async def scenario():
        await asyncio.sleep(keys.KEY_LIFETIME_S + 1)
        asked = request(key=dated, deadline=keys.KEY_LIFETIME_S + 6)
        return await Setup().guard("a").run(run_message("1", asked))

    assert virtual_time.run(scenario()) == outcomes.NotRun(reasons.Refusal.KEY_EXPIRED)
    assert keys.deadline(str(uuid.UUID(int=4 << 76 | 2 << 62))) is None


def test_death_of_the_endpoint_is_reported():
    async def scenario():
        setup = Setup(result=results.Broken(reasons.Uncertainty.ENDPOINT_DIED))
        return await setup.guard("a").run(run_message("1", request())), setup.died

    outcome, died = virtual_time.run(scenario())
    assert outcome == outcomes.Unknown(reasons.Uncertainty.ENDPOINT_DIED)
    assert died == [request()]


def test_outcome_is_written_after_an_outage_of_the_store():
    async def scenario():
        setup = Setup(work_s=0.1)
        own = setup.guard("a")
        running = asyncio.create_task(own.run(run_message("1", request())))
        await asyncio.sleep(0.05)
        setup.store.faults.down = True
        await running
        await asyncio.sleep(600)
        setup.store.faults.down = False
        await asyncio.sleep(5)
        return own, await setup.store.read(rows.TABLE, keys.row_key("intake", "k"))

    own, row = virtual_time.run(scenario())
    assert row.value["state"] == rows.ClaimState.DONE
    assert own.writer.is_idle()


def test_execution_is_kept_until_its_outcome_is_written():
    async def scenario():
        setup = Setup(work_s=0.1)
        own = setup.guard("a")
        running = asyncio.create_task(own.run(run_message("1", request())))
        await asyncio.sleep(0.05)
        setup.store.faults.down = True
        await running
        await asyncio.sleep(60)
        own.evict()
        kept = len(own.executions)
        setup.store.faults.down = False
        await asyncio.sleep(5)
        own.evict()
        return kept, len(own.executions)

    assert virtual_time.run(scenario()) == (1, 0)


def test_attempt_with_an_early_deadline_may_have_been_evicted_from_the_barred_ones():
    kept = barred_attempts.BarredAttempts(limit=2)
    refusal = outcomes.NotRun(reasons.Refusal.CLAIM_BARRED)
    for n in range(3):
        kept.add(f"a{n}", deadline=float(n), refusal=refusal)
    assert kept.refusal_of("a0") is None
    assert kept.may_have_evicted(0.0)
    assert not kept.may_have_evicted(10.0)


def test_claims_queued_together_share_a_transaction():
    async def scenario():
        setup = Setup()
        own = setup.guard("a")
        asked = [own.run(run_message(f"{n}", request(key=f"k{n}"))) for n in range(50)]
        ended = await asyncio.gather(*asked)
        return ended, setup.store.writes

    ended, writes = virtual_time.run(scenario())
    assert set(ended) == {outcomes.Ran(ANSWER)}
    assert writes <= 2


class Rest:
    """The rest of a streamed answer; each part can be read once."""

    length = None

    def __init__(self, parts: list[bytes]) -> None:
        self.parts = parts

    async def read(self) -> bytes:
        return self.parts.pop(0) if self.parts else b""

    def close(self) -> None:
        self.parts.clear()


def test_large_answer_is_complete_for_each_resend():
    async def scenario():
        answer = outcomes.Answer(200, (), b"first ", Rest([b"second ", b"third"]))
        own = Setup(result=results.Answered(answer, load=None)).guard("a")
        return await asyncio.gather(*(own.run(run_message(f"{n}", request())) for n in range(2)))

    complete_outcome = outcomes.Ran(outcomes.Answer(200, (), b"first second third"))
    assert virtual_time.run(scenario()) == [complete_outcome, complete_outcome]


def test_answer_above_the_limit_is_unknown():
    async def scenario():
        parts = [b"x" * (1 << 20)] * 5
        answer = outcomes.Answer(200, (), b"first", Rest(parts))
        own = Setup(result=results.Answered(answer, load=None)).guard("a")
        return await own.run(run_message("1", request()))

    assert isinstance(virtual_time.run(scenario()), outcomes.Unknown)


def test_large_outcomes_are_written_in_several_transactions():
    async def scenario():
        answer = outcomes.Answer(200, (), b"x" * executions.MAX_STORED_ANSWER_BYTES)
        setup = Setup(result=results.Answered(answer, load=None))
        own = setup.guard("a")
        sizes: list[int] = []
        transact = setup.store.transact

        async def recorded(transaction):
            sizes.append(len(orjson.dumps([write.value for write in transaction.writes])))
            return await transact(transaction)

        setup.store.transact = recorded
        await asyncio.gather(
            *(own.run(run_message(f"{n}", request(key=f"k{n}"))) for n in range(20))
        )
        await asyncio.sleep(5.0)
        return max(sizes), own.writer.is_idle()

    largest, idle = virtual_time.run(scenario())
    assert largest <= 1 << 20
    assert idle


def test_key_of_random_digits_has_no_deadline():
    random_digits = uuid.UUID(int=(1 << 80) | (7 << 76) | (2 << 62)).hex
    assert keys.deadline(random_digits) is None


def test_resends_beyond_the_limit_of_attempts_are_refused(monkeypatch):
    monkeypatch.setattr(guard, "MAX_ATTEMPTS", 2)

    async def scenario():
        own = Setup().guard("a")
        return [await own.run(run_message(f"{n}", request())) for n in range(3)]

    ended = virtual_time.run(scenario())
    assert ended[:2] == [outcomes.Ran(ANSWER)] * 2
    assert ended[2].reason == reasons.Refusal.SATURATED
