"""The steps of the demo: load, a second sheet and the drain of a node."""

from __future__ import annotations

import asyncio
import random
import signal
import time
import typing

from goldcrestgrade import http_client
from goldcrestgrade_testing import processes, shapes
from goldcrestgrade_testing.demo import deployment, load

REQUESTS_PER_S = 120.0

CONNECTIONS = 2000
"""Largest number of connections of the load generator."""

KEEPALIVE_S = 30.0
"""Time after which an unused connection of the load generator is closed."""

FIRST_DAY = "2026-01-01"
SECOND_DAY = "2026-01-02"

DRAIN_PROPAGATION_S = 3.0
"""Time after which a leaving endpoint must get no new requests."""


class Schedule(typing.NamedTuple):
    """When the steps of the demo happen, in seconds after the start of the load."""

    load_s: float = 18.0
    """Duration of the load."""
    apply_at_s: float = 4.0
    drain_at_s: float = 9.0


class Adoption(typing.NamedTuple):
    """How the second sheet came into force under load."""

    apply_status: int
    propagation_s: float
    """Time from the acceptance of the sheet until every node has it in force."""


class Drain(typing.NamedTuple):
    """How a node drained and exited under load."""

    node_id: str
    exit_status: int
    drain_s: float
    late_starts: int
    """Requests that its endpoint started later than `DRAIN_PROPAGATION_S` after SIGTERM."""


class Result(typing.NamedTuple):
    """What the demo measured."""

    report: load.Report
    run_once_starts: tuple[str, ...]
    """Key of each run-once request that started at an endpoint."""
    start_s: float
    """Time from the start of the nodes until all were ready."""
    adoption: Adoption
    drain: Drain


async def run(shape: shapes.Shape, schedule: Schedule, seed: int) -> Result:
    """Return what a run of the demo measured."""
    async with (
        http_client.open_session(CONNECTIONS, KEEPALIVE_S) as session,
        deployment.running(shape, session) as running,
    ):
        started = time.monotonic()
        first = await running.apply(FIRST_DAY)
        if first.exit_status:
            raise RuntimeError(f"the first sheet was not accepted: exit status {first.exit_status}")
        await running.wait_ready()
        start_s = time.monotonic() - started
        load_generator = load.LoadGenerator(
            session, running.instances, REQUESTS_PER_S, random.Random(seed)
        )
        async with asyncio.TaskGroup() as group:
            calling = group.create_task(load_generator.run(schedule.load_s))
            adopting = group.create_task(_measure_adoption(running, schedule))
            draining = group.create_task(_measure_drain(running, load_generator, schedule))
        starts = tuple(
            execution.idempotency_key
            for endpoint in running.endpoints.values()
            for execution in endpoint.executions
            if execution.idempotency_key
        )
        return Result(calling.result(), starts, start_s, adopting.result(), draining.result())


async def _measure_adoption(running: deployment.Deployment, schedule: Schedule) -> Adoption:
    await asyncio.sleep(schedule.apply_at_s)
    applying = asyncio.create_task(running.apply(SECOND_DAY, "--wait"))
    await running.wait_in_force(2, leaving=())
    in_force_at = time.time()
    applied = await applying
    head = running.head()
    accepted_at = head["accepted_at"] if head else float("nan")
    return Adoption(applied.exit_status, in_force_at - accepted_at)


async def _measure_drain(
    running: deployment.Deployment, load_generator: load.LoadGenerator, schedule: Schedule
) -> Drain:
    await asyncio.sleep(schedule.drain_at_s)
    node_id = running.instances[0].node_id
    process = running.processes[node_id]
    executions = running.endpoints[node_id].executions
    load_generator.leaving.add(node_id)
    started = time.monotonic()
    process.send_signal(signal.SIGTERM)
    ending = asyncio.create_task(asyncio.to_thread(_wait_for_exit, process))
    await asyncio.sleep(DRAIN_PROPAGATION_S)
    starts_before = len(executions)
    exit_status, ended = await ending
    drain_s = ended - started
    await asyncio.sleep(max(0.0, schedule.load_s - schedule.drain_at_s - drain_s))
    return Drain(node_id, exit_status, drain_s, len(executions) - starts_before)


def _wait_for_exit(process: processes.Process) -> tuple[int, float]:
    """Return the exit status of a process and the time at which it ended."""
    return process.wait(), time.monotonic()
