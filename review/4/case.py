"""Faulty upstreams send bytes without end after their complete answers to health checks."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import pathlib
import sys
import time
import typing

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import aiohttp  # noqa: E402
import support  # noqa: E402

from goldcrestgrade_testing import raw_endpoint  # noqa: E402
from goldcrestgrade_testing.fleet_platform import endpoint  # noqa: E402

PLACEMENTS = {
    "n1": support.Placement("khomas-a", "khomas", "archive"),
    "n2": support.Placement("oshana-a", "oshana", "archive"),
    "n3": support.Placement("khomas-b", "khomas", "archive"),
    "n4": support.Placement("oshana-b", "oshana", "archive"),
}
FAULTY = ("n1", "n2")
ROUTE = support.route("read", "archive")
MEMORY_MB = 300
"""Limit of a process; the platform kills one that exceeds it and starts it again."""

RESTART_DELAY_S = 1.0
CYCLES = 5
BUSY_S, BUSY_REQUESTS = 4.0, 40
"""Time for which requests come at each node, and their number."""

IDLE_S = 0.4
"""Time before one more request, which makes the node check its upstream."""

QUIET_S = 9.0
"""Time without requests before the next cycle."""

WINDOW_S = 5.0
"""Time in each cycle in which upstreams are faulty."""

FAULTY_SHARE = 0.03
"""Largest share of the answers of a faulty upstream in a window that extra bytes follow."""

EXTRA_AFTER_S = 0.02
"""Time between an answer and the extra bytes."""

ALLOWED_ENDS = 2
"""Ends of a process by itself in a day that break no rule, on two machines at most."""

EXTRA_BYTES = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
"""What a faulty upstream sends after a complete answer; it belongs to no request."""


class FaultyEndpoint(endpoint.Endpoint):
    """An endpoint that sends extra bytes after an answer until its caller closes."""

    faulty_until = 0.0
    answers = 0
    """Answers in the present window."""
    faulty_answers = 0
    extra_bytes = 0
    log: typing.Callable[[str], None] = print

    def begin_window(self) -> None:
        """Be faulty for a window."""
        self.faulty_until = time.monotonic() + WINDOW_S
        self.answers = self.faulty_answers = 0

    async def respond(self, request: raw_endpoint.RawRequest, writer: asyncio.StreamWriter) -> None:
        """Answer a request; extra bytes may follow the answer to a health check."""
        await super().respond(request, writer)
        if time.monotonic() >= self.faulty_until:
            return
        self.answers += 1
        if request.target != "/healthz" or self.faulty_answers + 1 > FAULTY_SHARE * self.answers:
            return
        self.faulty_answers += 1
        self.log(f"{self.endpoint_id} sends extra bytes after 1 of {self.answers} answers")
        await asyncio.sleep(EXTRA_AFTER_S)
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(EXTRA_BYTES * 1000)
                self.extra_bytes += len(EXTRA_BYTES) * 1000
                await writer.drain()


def memory_mb(pid: int) -> int:
    """Return the resident memory of a process."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8").splitlines()
    found = next((line for line in lines if line.startswith("VmRSS")), "VmRSS: 0 kB")
    return int(found.split()[1]) // 1024


async def enforce_limit(
    fleet: support.Fleet, ends: collections.Counter[str], record: support.Record
) -> None:
    """Kill and restart processes beyond their memory limit, as the platform does."""
    while True:
        await asyncio.sleep(0.05)
        for instance in fleet.instances:
            assert instance.process is not None
            if instance.process.poll() is not None:
                used_mb = 0
            else:
                used_mb = memory_mb(instance.process.pid)
                if used_mb <= MEMORY_MB:
                    continue
                instance.process.kill()
                instance.process.wait()
            ends[instance.name] += 1
            record.write(f"{instance.name} ends with {used_mb} MB, limit {MEMORY_MB} MB")
            await asyncio.sleep(RESTART_DELAY_S)
            fleet.start_node(instance)
            record.write(f"{instance.name} starts again")


async def send_requests(
    fleet: support.Fleet, faulty: list[FaultyEndpoint], record: support.Record
) -> int:
    """Send requests to all nodes in cycles; return how many were answered with 200."""
    served = 0

    async def send(instance: support.Instance, attempt_id: str) -> None:
        nonlocal served
        record.write(f"{attempt_id} sent to {instance.name}")
        try:
            async with fleet.session.get(
                f"http://{instance.address('calls')}/read/{attempt_id}",
                headers={
                    "host": support.HOSTNAME,
                    "x-attempt-id": attempt_id,
                    "x-deadline-ms": "2000",
                },
                timeout=aiohttp.ClientTimeout(total=3),
            ) as response:
                await response.read()
                served += response.status == 200
                record.write(f"{attempt_id} answered {response.status}")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            record.write(f"{attempt_id} has no answer: {error!r}")

    for cycle in range(CYCLES):
        for one in faulty:
            one.begin_window()
        record.write(f"cycle {cycle + 1}: upstreams faulty: {bool(faulty)}")
        tasks = []
        for number in range(BUSY_REQUESTS + 1):
            await asyncio.sleep(IDLE_S if number == BUSY_REQUESTS else BUSY_S / BUSY_REQUESTS)
            tasks += [
                asyncio.create_task(send(instance, f"{instance.name}-{cycle + 1}-{number + 1}"))
                for instance in fleet.instances
            ]
        await asyncio.gather(*tasks)
        record.write("no more requests")
        await asyncio.sleep(QUIET_S)
    return served


async def case(record: support.Record) -> int:
    """Make two upstreams faulty, and count how often processes exceed their memory."""
    async with support.running(
        PLACEMENTS,
        [ROUTE],
        lambda name, placement: FaultyEndpoint(
            f"i-{name}", placement.service, endpoint.Behaviour(service_time_s=0.05), name
        ),
    ) as fleet:
        faulty = [
            instance.endpoint
            for instance in fleet.instances
            if instance.name in FAULTY and isinstance(instance.endpoint, FaultyEndpoint)
        ]
        ends: collections.Counter[str] = collections.Counter()
        for one in faulty:
            one.log = record.write
        limiting = asyncio.create_task(enforce_limit(fleet, ends, record))
        served = await send_requests(fleet, faulty if support.TROUBLE else [], record)
        limiting.cancel()
        for instance in fleet.instances:
            for attempt_id, endpoint_id, at in instance.endpoint.started_runs:
                record.write(f"{attempt_id} run by {endpoint_id}", at)
        record.write(f"ends of processes: {dict(ends)}; requests served: {served}")
        if not served:
            return support.NOT_RUN
        often = [name for name, count in ends.items() if count > ALLOWED_ENDS]
        return support.BROKEN if len(often) >= 2 else support.HELD


if __name__ == "__main__":
    support.run(case, FOLDER)
