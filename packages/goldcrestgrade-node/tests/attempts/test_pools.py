from __future__ import annotations

import asyncio

import hypothesis
from hypothesis import strategies

from goldcrestgrade_node.attempts import pools
from goldcrestgrade_testing import virtual_time

STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("take"), strategies.floats(0.0, 2.0)),
        strategies.tuples(strategies.just("cancel"), strategies.integers(0, 20)),
        strategies.tuples(strategies.just("resize"), strategies.integers(1, 4)),
    ),
    max_size=30,
)


async def run_steps(steps) -> None:
    slots = pools.Slots(2)
    tasks: list[asyncio.Task[None]] = []
    served: list[int] = []

    async def work(number: int, duration_s: float) -> None:
        await slots.take()
        served.append(number)
        try:
            await asyncio.sleep(duration_s)
        finally:
            slots.free()

    for kind, value in steps:
        match kind:
            case "take":
                tasks.append(asyncio.create_task(work(len(tasks), value)))
            case "cancel" if value < len(tasks):
                tasks[value].cancel()
            case "resize":
                slots.resize(value)
                assert not slots.waiters or slots.taken >= value
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks, return_exceptions=True)
    assert served == sorted(served)
    assert (slots.taken, len(slots.waiters)) == (0, 0)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(STEPS)
def test_waiters_get_slots_in_order_and_no_slot_is_lost(steps):
    virtual_time.run(run_steps(steps))


def test_slot_given_to_a_cancelled_waiter_goes_to_the_next():
    async def scenario() -> int:
        slots = pools.Slots(1)
        await slots.take()
        first, second = (asyncio.create_task(slots.take()) for _ in range(2))
        await asyncio.sleep(0.1)
        slots.free()
        first.cancel()
        await asyncio.wait_for(second, 1.0)
        return slots.taken

    assert virtual_time.run(scenario()) == 1
