from __future__ import annotations

import asyncio
import itertools
import random

import pytest

from goldcrestgrade import instants, sheet
from goldcrestgrade.storage import tables
from goldcrestgrade_operator.sheets import acceptance
from goldcrestgrade_testing import letters_desk, memory_platform, virtual_time

QUIET_AFTER_S = 60.0
"""Time after which no transaction is in progress."""

STEP_S = 0.1
"""Time that one request to the platform takes."""

STEPS = range(4)
"""Read of the head, write of the object, transaction, and the step after a lost answer."""

FAULTS = ("down", "slow", "lost", "late")


class FaultyPlatform:
    """The platform as one operator sees it, with a fault at each step that `faulty_at` selects."""

    def __init__(self, store, objects, faulty_at, fault: str) -> None:
        self.store = store
        self.objects = objects
        self.faulty_at = faulty_at
        self.fault = fault
        self.step = itertools.count()
        self.late_commits: list[asyncio.Task] = []

    async def transact(self, transaction):
        fault = await self._next_fault()
        if fault == "down":
            return tables.Rejected("down")
        if fault == "late":
            self.late_commits.append(asyncio.create_task(self._commit_late(transaction)))
            return tables.Unanswered("late")
        result = self.store.commit(transaction)
        return tables.Unanswered("lost") if fault == "lost" else result

    async def read(self, table, key):
        if await self._next_fault():
            raise tables.ReadError("fault")
        return await self.store.read(table, key)

    async def put(self, name, body):
        fault = await self._next_fault()
        if fault in ("lost", None):
            await self.objects.put(name, body)
        if fault:
            raise tables.ObjectError("fault")

    async def _commit_late(self, transaction):
        await asyncio.sleep(QUIET_AFTER_S / 4)
        self.store.commit(transaction)

    async def _next_fault(self) -> str | None:
        step = next(self.step)
        await asyncio.sleep(STEP_S)
        if not self.faulty_at(step):
            return None
        if self.fault == "slow":
            await asyncio.sleep(QUIET_AFTER_S)
        return self.fault


async def apply(platform, day: str, operator: str = "anna") -> acceptance.Acceptance | None:
    try:
        async with asyncio.timeout(QUIET_AFTER_S / 2):
            head = await acceptance.read_head(platform)
    except (tables.ReadError, TimeoutError):
        return None
    document = letters_desk.sheet_document(day)
    return await acceptance.accept(
        platform, platform, document, head, operator, instants.loop_clocks()
    )


def history(store: memory_platform.MemoryTables) -> list[dict]:
    rows = sorted((key, row.value) for (_, key), row in store.rows.items() if key != sheet.HEAD_KEY)
    return [value for _, value in rows]


def healthy_platform(store, objects) -> FaultyPlatform:
    return FaultyPlatform(store, objects, lambda _: False, "")


@pytest.mark.parametrize("lasting", [False, True])
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("faulty_step", STEPS)
def test_outcome_agrees_with_the_store_whichever_step_fails(faulty_step, fault, lasting):
    def faulty_at(step: int) -> bool:
        return step >= faulty_step if lasting else step == faulty_step

    async def scenario():
        store, objects = memory_platform.MemoryTables(), memory_platform.MemoryObjects()
        await apply(healthy_platform(store, objects), "2026-01-01")
        outcome = await apply(FaultyPlatform(store, objects, faulty_at, fault), "2026-01-02")
        await asyncio.sleep(QUIET_AFTER_S)
        return outcome, history(store), set(objects.objects)

    outcome, accepted, stored = virtual_time.run(scenario())
    assert [head["version"] for head in accepted] in ([1], [1, 2])
    assert {head["object_name"] for head in accepted} <= stored
    match outcome:
        case acceptance.Accepted(version=version):
            assert accepted[-1]["version"] == version == 2
        case None | acceptance.Unavailable():
            assert len(accepted) == 1
        case _:
            assert isinstance(outcome, acceptance.Undecided)
            assert lasting


@pytest.mark.parametrize("fault", ["lost", "late", "slow"])
def test_lost_answer_is_resolved_by_resending(fault):
    async def scenario():
        store, objects = memory_platform.MemoryTables(), memory_platform.MemoryObjects()
        outcome = await apply(FaultyPlatform(store, objects, lambda s: s == 2, fault), "2026-01-01")
        await asyncio.sleep(QUIET_AFTER_S)
        return outcome, history(store)

    outcome, accepted = virtual_time.run(scenario())
    assert outcome == acceptance.Accepted(1)
    assert len(accepted) == 1


def test_lost_answer_is_reported_as_accepted_even_after_a_later_sheet():
    async def scenario():
        store, objects = memory_platform.MemoryTables(), memory_platform.MemoryObjects()
        slow = FaultyPlatform(store, objects, lambda step: step == 2, "lost")
        first = asyncio.create_task(apply(slow, "2026-01-01", "anna"))
        await asyncio.sleep(3.5 * STEP_S)
        second = await apply(healthy_platform(store, objects), "2026-01-02", "ben")
        return await first, second

    assert virtual_time.run(scenario()) == (acceptance.Accepted(1), acceptance.Accepted(2))


def test_same_sheet_again_changes_nothing_and_an_older_day_is_refused():
    async def scenario():
        store, objects = memory_platform.MemoryTables(), memory_platform.MemoryObjects()
        platform = healthy_platform(store, objects)
        days = ("2026-01-02", "2026-01-02", "2026-01-01")
        return [await apply(platform, day) for day in days], history(store)

    outcomes, accepted = virtual_time.run(scenario())
    assert outcomes == [
        acceptance.Accepted(1),
        acceptance.Unchanged(accepted[0]),
        acceptance.Outdated(accepted[0]),
    ]


def test_loser_of_a_race_gets_the_winning_head():
    async def scenario():
        store, objects = memory_platform.MemoryTables(), memory_platform.MemoryObjects()
        outcomes = await asyncio.gather(
            apply(healthy_platform(store, objects), "2026-01-01", "anna"),
            apply(healthy_platform(store, objects), "2026-01-02", "ben"),
        )
        return outcomes, history(store)

    outcomes, accepted = virtual_time.run(scenario())
    assert outcomes == [acceptance.Accepted(1), acceptance.Overtaken(accepted[0])]
    assert (accepted[0]["operator"], accepted[0]["day"]) == ("anna", "2026-01-01")


SEEDS = range(20)


def race(seed: int):
    rng = random.Random(seed)

    async def operator(store, objects, name: str):
        outcomes = []
        for number in range(10):
            await asyncio.sleep(rng.uniform(0, 2 * STEP_S))
            fault = rng.choice(FAULTS)
            faulty = rng.sample(range(8), 2)
            platform = FaultyPlatform(store, objects, faulty.__contains__, fault)
            day = f"2026-01-{10 + number}"
            outcomes.append((name, await apply(platform, day, name)))
        return outcomes

    async def scenario():
        store, objects = memory_platform.MemoryTables(), memory_platform.MemoryObjects()
        running = (operator(store, objects, name) for name in ("anna", "ben", "cleo"))
        outcomes = [pair for pairs in await asyncio.gather(*running) for pair in pairs]
        await asyncio.sleep(QUIET_AFTER_S)
        return outcomes, history(store)

    return virtual_time.run(scenario())


def test_some_seeded_races_have_an_overtaken_operator():
    outcomes = [outcome for seed in SEEDS for _, outcome in race(seed)[0]]
    assert any(isinstance(outcome, acceptance.Overtaken) for outcome in outcomes)


@pytest.mark.parametrize("seed", SEEDS)
def test_racing_operators_get_one_acceptance_per_version(seed):
    outcomes, accepted = race(seed)
    assert [head["version"] for head in accepted] == list(range(1, len(accepted) + 1))
    assert [head["day"] for head in accepted] == sorted(head["day"] for head in accepted)
    winners = {head["version"]: head["operator"] for head in accepted}
    reported = [(o.version, name) for name, o in outcomes if isinstance(o, acceptance.Accepted)]
    assert len(dict(reported)) == len(reported)
    assert dict(reported).items() <= winners.items()
    undecided = sum(isinstance(outcome, acceptance.Undecided) for _, outcome in outcomes)
    assert len(accepted) - len(reported) <= undecided
    for name, outcome in outcomes:
        if isinstance(outcome, acceptance.Overtaken):
            assert outcome.winner in accepted
            assert outcome.winner["operator"] != name
