"""Memory for the answers of one process."""

import asyncio

import pytest

from goldcrestgrade import answer_memory

SMALL = answer_memory.SMALL_ANSWER_BYTES


def reservations(number, shared_bytes=100, reserved_bytes=50):
    memory = answer_memory.AnswerMemory(shared_bytes, reserved_bytes)
    return memory, [answer_memory.Reservation(memory) for _ in range(number)]


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


async def test_small_answers_are_not_counted():
    memory, (one,) = reservations(1)
    await one.grow_to(SMALL)
    assert memory.held_bytes == 0


async def test_answers_wait_in_order_and_only_the_first_uses_the_reserve():
    """Guards against a sum of answers that exceeds the memory of the process."""
    memory, (full, first, second) = reservations(3)
    await full.grow_to(SMALL + 100)
    tasks = [asyncio.create_task(r.grow_to(SMALL + 40)) for r in (first, second)]
    await settle()
    assert [task.done() for task in tasks] == [True, False]
    assert memory.held_bytes == 140
    full.release()
    await settle()
    assert tasks[1].done() and memory.held_bytes == 80


async def test_incomplete_answers_do_not_keep_each_other_waiting():
    """Guards against answers that all wait for memory until their deadlines."""
    memory, answers = reservations(10, 100, 50)
    ended = []

    async def receive(reservation):
        for size in range(10, 51, 10):
            await reservation.grow_to(SMALL + size)
            await asyncio.sleep(0)
            assert memory.held_bytes <= 150
        reservation.complete()
        await asyncio.sleep(0)
        reservation.close()
        ended.append(reservation)

    async with asyncio.timeout(2.0):
        await asyncio.gather(*map(receive, answers))
    assert len(ended) == 10 and memory.held_bytes == 0 and memory.first is None


@pytest.mark.parametrize("granted", [False, True])
async def test_cancelled_answer_leaves_its_place_and_its_memory(granted):
    """Guards against memory that is lost with a client that leaves."""
    memory, (full, waiting, next_) = reservations(3, 100, 0)
    await full.grow_to(SMALL + 100)
    task = asyncio.create_task(waiting.grow_to(SMALL + 60))
    await settle()
    following = asyncio.create_task(next_.grow_to(SMALL + 60))
    await settle()
    if granted:
        full.release()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    full.release()
    await settle()
    assert following.done() and memory.held_bytes == 60


async def test_answer_of_a_task_that_outlives_its_client_gives_its_memory_back():
    """Guards against memory that a run-once request keeps after its client has left."""
    memory, (one,) = reservations(1)
    one.close()
    await one.grow_to(SMALL + 40)
    one.complete()
    assert memory.held_bytes == 0


@pytest.mark.parametrize("released_first", [True, False])
async def test_answers_that_are_given_up_at_once_leave_no_memory_taken(released_first):
    """Guards against memory that is granted to an answer which was given up in the same turn."""
    memory, (full, *others) = reservations(6)
    await full.grow_to(SMALL + 100)
    when = asyncio.get_running_loop().time() + 0.1

    async def receive(reservation):
        try:
            async with asyncio.timeout_at(when):
                await reservation.grow_to(SMALL + 60)
                await asyncio.sleep(1.0)
        finally:
            reservation.close()

    if released_first:
        asyncio.get_running_loop().call_at(when, full.close)
    tasks = [asyncio.create_task(receive(reservation)) for reservation in others]
    await asyncio.sleep(0.05)
    if not released_first:
        asyncio.get_running_loop().call_at(when, full.close)
    results = await asyncio.gather(*tasks, return_exceptions=True)
    assert [type(result) for result in results] == [TimeoutError] * 5
    assert memory.held_bytes == 0 and not memory.waiting
