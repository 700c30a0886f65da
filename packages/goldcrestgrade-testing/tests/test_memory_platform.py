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


async def test_restored_table_service_loses_the_latest_commits_and_gives_out_versions_again():
    store = memory_platform.MemoryTables()

    async def write(key, value, position=tables.ABSENT):
        condition = tables.Condition("t", key, position)
        return await store.transact(
            tables.Transaction((condition,), (tables.Write("t", key, value),))
        )

    first = await write("a", {"v": 1})
    lost = await write("a", {"v": 2}, first.position)
    await write("b", {"v": 3})
    store.restore(lost_commits=2)
    assert (await store.read("t", "a")).value == {"v": 1}
    assert await store.read("t", "b") is None
    again = await write("c", {"v": 4})
    assert again.position.version == lost.position.version
    assert again.position > lost.position
    assert isinstance(await write("a", {"v": 5}, first.position), tables.Conflicted)
