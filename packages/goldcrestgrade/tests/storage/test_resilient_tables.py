from __future__ import annotations

import asyncio
import random

from goldcrestgrade import instants
from goldcrestgrade.storage import breaker, budget, resilient_tables, tables
from goldcrestgrade_testing import memory_platform, virtual_time

WRITE = tables.Transaction((), (tables.Write("t", "k", {"n": 1}),))


def make(faults: memory_platform.Faults) -> resilient_tables.ResilientTables:
    store = memory_platform.MemoryTables(faults)
    return resilient_tables.ResilientTables(store, instants.loop_clocks(), random.Random(1))


def test_request_to_a_silent_service_ends_at_its_timeout():
    async def scenario():
        result = await make(memory_platform.Faults(silent=True)).transact(WRITE)
        return result, asyncio.get_running_loop().time()

    result, ended_at = virtual_time.run(scenario())
    assert isinstance(result, tables.Unanswered)
    assert ended_at == resilient_tables.REQUEST_TIMEOUT_S


def test_open_breaker_rejects_without_a_request_and_gives_the_retry_time():
    async def scenario():
        resilient = make(memory_platform.Faults(down=True))
        for _ in range(breaker.FAILURES_TO_OPEN):
            await resilient.transact(WRITE)
        result = await resilient.transact(WRITE)
        return result, resilient.inner.writes

    result, writes = virtual_time.run(scenario())
    assert isinstance(result, tables.Rejected)
    assert 0 < result.retry_at <= breaker.BACKOFF_BASE_S
    assert writes == breaker.FAILURES_TO_OPEN


def test_recovered_service_is_used_again_after_a_trial_request():
    async def scenario():
        faults = memory_platform.Faults(down=True)
        resilient = make(faults)
        for _ in range(breaker.FAILURES_TO_OPEN):
            await resilient.transact(WRITE)
        faults.down = False
        await asyncio.sleep(breaker.BACKOFF_BASE_S)
        first = await resilient.transact(WRITE)
        await asyncio.sleep(0.01)
        return first, await resilient.transact(WRITE)

    first, second = virtual_time.run(scenario())
    assert isinstance(first, tables.Rejected)
    assert isinstance(second, tables.Committed)


def test_backoff_stays_within_its_limits_and_is_jittered():
    rng = random.Random(1)
    drawn = [breaker.backoff_s(opening, rng) for opening in (1, 2, 3, 20, 20)]
    assert drawn[0] <= breaker.BACKOFF_BASE_S
    assert max(drawn) <= breaker.BACKOFF_LIMIT_S
    assert drawn[3] != drawn[4]


def test_request_rate_is_low_right_after_an_outage():
    after_outage = budget.Budget()
    sent_at = [after_outage.reserve(now=100.0, outage_ended_at=100.0) for _ in range(20)]
    within_first_second = sum(at <= 101.0 for at in sent_at)
    assert within_first_second <= 2 * budget.START_RATE_PER_S
    assert budget.allowed_rate_per_s(since_outage_s=60.0) == budget.RATE_PER_S
