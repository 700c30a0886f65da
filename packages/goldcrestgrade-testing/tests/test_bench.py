from __future__ import annotations

import asyncio

import pytest

from goldcrestgrade_testing import fast_time
from goldcrestgrade_testing.bench import __main__ as bench
from goldcrestgrade_testing.bench import scenarios

LIGHT_LOAD = scenarios.SCENARIOS[0]._replace(load=0.05)


def test_virtual_clock_advances_by_the_longest_of_concurrent_sleeps():
    async def main() -> float:
        await asyncio.gather(asyncio.sleep(3600), asyncio.sleep(1800))
        return asyncio.get_running_loop().time()

    assert fast_time.run(main()) == pytest.approx(3600)


def test_wait_with_no_timer_set_raises_deadlock():
    async def main() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(fast_time.Deadlock):
        fast_time.run(main())


def test_same_seed_gives_the_same_figures():
    job = bench.Job(scenarios.DEPLOYMENTS[0], LIGHT_LOAD, "random", 7)
    figures = bench.execute(job)
    assert figures == bench.execute(job)
    assert figures != bench.execute(job._replace(seed=8))
    assert figures["calls"] > 100
