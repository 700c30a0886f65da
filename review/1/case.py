"""Requesters leave early while their requests wait for an endpoint and the node is slow."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
import typing

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import support  # noqa: E402

from goldcrestgrade_testing.fleet_platform import endpoint  # noqa: E402

PLACEMENTS = {
    "n1": support.Placement("accra-osu", "greater-accra", "lookup-desk"),
    "n2": support.Placement("accra-osu", "greater-accra", "plot-registry"),
}
ROUTE = support.route("check", "plot-registry", target="300ms", timeout="600ms")
DEADLINE_MS = 600
WORK_S = 0.034
SLOTS = 4
QUEUE = 24

BUSY_RATE, CALM_RATE = 140.0, 60.0
"""Requests a second: somewhat more than the endpoint completes, and half of what it completes."""

LEAVING_SHARE = 0.3
WINDOW_S = 5.5
PAUSE_S = 0.5
REPETITIONS = 6
LEAVE_AFTER_S = (0.05, 0.15)

SLICE_S = 0.01
"""A slow machine runs its process for a slice and stops it for the next, at half its speed."""

IS_SLOW = support.TROUBLE and os.environ.get("SLOW", "1") != "0"
"""Whether the machine of the node is slow too; without it, the fault takes longer to show."""

CALM_S = 45.0
SETTLE_S = 15.0
"""Time of calm after which requests are counted as those of a steady state."""

MAX_REFUSED_SHARE = 0.6
"""Bound of the gate on refused and failed requests among those that are owed."""


class Requesters:
    """Sends requests, each on a connection of its own, and counts how they ended."""

    def __init__(self, port: int, record: support.Record) -> None:
        self.port = port
        self.record = record
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()
        self.outcomes: list[tuple[float, str]] = []
        """When each request was sent, and its status, `left` or `failed`."""

    async def run(self, rate: float, seconds: float, leaving_share: float) -> None:
        """Send requests for a time, of which a share is given up early."""
        next_at = time.monotonic()
        until = next_at + seconds
        while next_at < until:
            leaves = random.random() < leaving_share
            task = asyncio.create_task(self.send(leaves))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            next_at += random.expovariate(rate)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    async def send(self, leaves: bool) -> None:
        """Send one request; close its connection early if its requester leaves."""
        attempt_id = f"a{next(self.numbers)}"
        sent_at = time.monotonic()
        outcome = "failed"
        try:
            reader, writer = await asyncio.open_connection(support.HOST, self.port)
        except OSError:
            self.outcomes.append((sent_at, outcome))
            return
        writer.write(
            f"GET /check/{attempt_id} HTTP/1.1\r\nhost: {support.HOSTNAME}\r\n"
            f"x-attempt-id: {attempt_id}\r\nx-deadline-ms: {DEADLINE_MS}\r\n\r\n".encode()
        )
        try:
            limit_s = random.uniform(*LEAVE_AFTER_S) if leaves else 2 * DEADLINE_MS / 1000
            async with asyncio.timeout(limit_s):
                status, _, _ = await support.read_answer(reader)
            outcome = str(status)
        except TimeoutError:
            outcome = "left" if leaves else "failed"
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()
        self.outcomes.append((sent_at, outcome))
        self.record.write(f"{attempt_id} {outcome}", sent_at)


@contextlib.asynccontextmanager
async def slow_machine(process: subprocess.Popen[bytes]) -> typing.AsyncIterator[None]:
    """Let a process run at half its speed, until the context ends."""

    async def alternate() -> None:
        try:
            while True:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(SLICE_S)
                process.send_signal(signal.SIGCONT)
                await asyncio.sleep(SLICE_S)
        finally:
            process.send_signal(signal.SIGCONT)

    task = asyncio.create_task(alternate())
    try:
        yield
    finally:
        task.cancel()


async def case(record: support.Record) -> int:
    """Let requesters leave for some windows, then watch the node in calm."""
    async with support.running(
        PLACEMENTS,
        [ROUTE],
        lambda name, placement: endpoint.Endpoint(
            f"i-{name}",
            placement.service,
            endpoint.Behaviour(service_time_s=WORK_S, slots=SLOTS, max_queued=QUEUE),
            name,
        ),
    ) as fleet:
        node = fleet.instances[1]
        requesters = Requesters(node.ports["calls"], record)
        share = LEAVING_SHARE if support.TROUBLE else 0.0
        for number in range(REPETITIONS):
            record.write(
                f"window {number + 1}: share that leaves: {share}, slow machine: {IS_SLOW}"
            )
            async with contextlib.AsyncExitStack() as stack:
                if IS_SLOW:
                    assert node.process is not None
                    await stack.enter_async_context(slow_machine(node.process))
                await requesters.run(BUSY_RATE, WINDOW_S, share)
            await requesters.run(BUSY_RATE, PAUSE_S, 0.0)
        calm_at = time.monotonic()
        record.write("calm: nobody leaves early any more")
        await requesters.run(CALM_RATE, CALM_S, 0.0)
        await asyncio.gather(*requesters.tasks)
        for attempt_id, endpoint_id, at in node.endpoint.started_runs:
            record.write(f"{attempt_id} begun by {endpoint_id}", at)
        record.write(
            f"at the end: {node.endpoint.in_flight} requests at the endpoint,"
            f" node ready: {await fleet.is_ready(node)}"
        )
        return judge(requesters.outcomes, calm_at, record)


def judge(outcomes: list[tuple[float, str]], calm_at: float, record: support.Record) -> int:
    """Return whether more requests were refused or failed than the gate allows."""
    steady = collections.Counter(o for at, o in outcomes if at >= calm_at + SETTLE_S)
    counts = collections.Counter(outcome for _, outcome in outcomes)
    owed = sum(counts.values()) - counts["left"]
    refused_share = 1 - counts["200"] / max(1, owed)
    record.write(f"whole run: {dict(counts)}, {refused_share:.3f} of {owed} owed not served")
    record.write(f"from {SETTLE_S} s after the last window on, at half load: {dict(steady)}")
    if not counts["200"]:
        return support.NOT_RUN
    return support.BROKEN if refused_share > MAX_REFUSED_SHARE else support.HELD


if __name__ == "__main__":
    support.run(case, FOLDER)
