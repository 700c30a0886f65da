from __future__ import annotations

import asyncio

import pytest

from goldcrestgrade_testing import fast_time
from goldcrestgrade_testing.bench import __main__ as bench
from goldcrestgrade_testing.bench import scenarios

SHORT = scenarios.SCENARIOS[0]._replace(load=0.05)


def test_virtual_clock_advances_by_what_tasks_sleep():
    async def main() -> float:
        await asyncio.gather(asyncio.sleep(3600), asyncio.sleep(1800))
        return asyncio.get_running_loop().time()

    assert fast_time.run(main()) == pytest.approx(3600)


def test_wait_that_nothing_ends_is_reported():
    async def main() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(fast_time.Deadlock):
        fast_time.run(main())


def test_same_seed_gives_the_same_figures():
    job = bench.Job(scenarios.DEPLOYMENTS[0], SHORT, "random", 7)
    figures = bench.execute(job)
    assert figures == bench.execute(job)
    assert figures != bench.execute(job._replace(seed=8))
    assert figures["calls"] > 100
