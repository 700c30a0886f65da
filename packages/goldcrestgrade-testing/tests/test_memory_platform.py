from __future__ import annotations

import asyncio

from goldcrestgrade.storage import tables
from goldcrestgrade_testing import memory_platform, virtual_time


def test_transactions_above_the_rate_are_rejected_until_the_next_second():
    async def scenario():
        store = memory_platform.MemoryTables(memory_platform.Faults(max_writes_per_s=3))

        async def write(key: int) -> str:
            transaction = tables.Transaction((), (tables.Write("t", str(key), {}),))
            return (await store.transact(transaction)).tag

        first = [await write(key) for key in range(5)]
        await asyncio.sleep(1.0)
        return first, await write(5), len(store.rows)

    first, later, rows = virtual_time.run(scenario())
    assert first == ["committed"] * 3 + ["rejected"] * 2
    assert (later, rows) == ("committed", 4)
