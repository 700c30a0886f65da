"""Real nodes beside an endpoint that sends bytes without end to many requests at once."""

import asyncio
import contextlib
import pathlib
import re
import subprocess
import sys
import time

import pytest

from goldcrestgrade_testing.fleet_platform import fleet, flood, store

# Each floods a node from 60 threads, which delays others of these tests beyond their bounds.
pytestmark = pytest.mark.xdist_group("floods")

PLACEMENTS = {
    "east-1": fleet.Placement("east", "r1", "archive"),
    "west-1": fleet.Placement("west", "r1", "intake"),
}

FLOODED = 60
"""Requests that the faulty endpoint floods at once."""

MEMORY_MB = 200
"""Memory of a node on the smallest machines, unread bytes in the kernel included."""

LATENCY_S = 0.4
"""Latency target of other requests at the same time."""

RECOVERY_S = 5.0
"""Time after trouble of the store, and to put a configuration in force."""

GRACE_S = 6.0
"""Time that the platform allows a node between SIGTERM and SIGKILL."""

FLOOD_S = 4.0
"""Time for which such requests are sent."""


def start_flood(*arguments):
    return subprocess.Popen([sys.executable, flood.__file__, *arguments])


@contextlib.asynccontextmanager
async def flooding(kind, checks="sound"):
    """Run a fleet whose first endpoint is replaced by one that floods its requests."""
    async with fleet.running(PLACEMENTS) as running:
        east_1 = running.instances[0]
        behaviour = east_1.endpoint.behaviour
        behaviour.slots = FLOODED
        await asyncio.sleep(2 * fleet.HEARTBEAT_INTERVAL_S)
        await east_1.endpoint.stop()
        arguments = (east_1.ports["endpoint"], east_1.endpoint.endpoint_id, FLOODED, kind, checks)
        process = start_flood(*map(str, arguments))
        try:
            await asyncio.sleep(1.0)
            yield running
        finally:
            process.kill()
            process.wait()


def memory_mb(instance):
    """Return the largest memory of a node so far."""
    status = pathlib.Path(f"/proc/{instance.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024


def unread_mb(instance):
    """Return the bytes that the kernel holds for the node on its connections to the endpoint."""
    port = f":{instance.ports['endpoint']:04X}"
    rows = [line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(int(row[4].split(":")[1], 16) for row in rows if row[2].endswith(port)) / (1 << 20)


async def play(running, entry, other):
    """Send flooded and other requests from `entry`; return the latter's latencies and the peak."""
    end = time.monotonic() + FLOOD_S
    east_1 = running.instances[0]
    latencies, unread = [], [0.0]

    async def flooded():
        while time.monotonic() < end:
            await running.call(entry, "/archive/x", deadline_ms=1500)
            await asyncio.sleep(0.01)

    async def others():
        while time.monotonic() < end:
            answer = await running.call(entry, other, deadline_ms=1500)
            latencies.append(answer.latency_s if answer.status == 200 else 9.0)
            unread.append(unread_mb(east_1))
            await asyncio.sleep(0.02)

    await asyncio.gather(*(flooded() for _ in range(FLOODED)), others())
    return latencies, max(unread)


@pytest.mark.parametrize("kind", flood.FLOODS)
async def test_endless_answers_leave_memory_and_other_requests_alone(kind):
    """Guards against a node that is killed at its memory limit, or busy for seconds."""
    async with flooding(kind) as running:
        east_1 = running.instances[0]
        latencies, unread = await play(running, east_1, "/intake/x")
        assert memory_mb(east_1) + unread < MEMORY_MB
        assert max(latencies) < LATENCY_S
        assert len(latencies) > 10


@pytest.mark.parametrize("kind", ["length", "junk", "early hints", "tiny chunks", "other answers"])
async def test_endless_answers_to_health_checks_leave_memory_and_requests_alone(kind):
    """Guards against health checks that fill the memory or hold the event loop."""
    async with flooding(kind, checks="flooded") as running:
        east_1 = running.instances[0]
        latencies, unread = await play(running, east_1, "/intake/x")
        assert memory_mb(east_1) + unread < MEMORY_MB
        assert max(latencies) < LATENCY_S


async def test_endless_answers_of_the_store_leave_memory_and_requests_alone():
    """Guards against reads of the store and polls that fill the memory of all nodes."""
    async with fleet.running(PLACEMENTS) as running:
        latencies = []
        for instance in running.instances:
            instance.store_access.outage = store.Outage.ENDLESS
        end = time.monotonic() + FLOOD_S
        while time.monotonic() < end:
            for instance in running.instances:
                answer = await running.call(instance, "/intake/x", deadline_ms=1500)
                assert answer.status == 200
                latencies.append(answer.latency_s)
        for instance in running.instances:
            assert memory_mb(instance) < MEMORY_MB
            instance.store_access.outage = store.Outage.NONE
        assert max(latencies) < LATENCY_S
        running.add_route()
        deadline = time.monotonic() + RECOVERY_S
        for instance in running.instances:
            while (await running.call(instance, running.added_routes[-1][0])).status != 200:
                assert time.monotonic() < deadline
                await asyncio.sleep(0.05)


async def test_endless_answers_over_another_node_leave_both_alone():
    """Guards against an entry node that holds what the endpoint's node passes on."""
    async with flooding("length") as running:
        latencies, unread = await play(running, running.instances[1], "/intake/x")
        for instance in running.instances:
            assert memory_mb(instance) + unread < MEMORY_MB
        assert max(latencies) < LATENCY_S


async def admitted(running, entry):
    """Return the answer to a request, which is sent again as long as it is refused as saturated."""
    while True:
        answer = await running.call(entry, "/archive/x", deadline_ms=8000)
        if answer.status != 503 or b'"saturated"' not in answer.body:
            return answer
        await asyncio.sleep(0.1)


@pytest.mark.parametrize(("kind", "requests"), [("largest", 4), ("medium", 200)])
async def test_node_ends_within_the_grace_beside_a_client_that_reads_nothing(kind, requests):
    """Guards against a stop that waits for a client until the platform kills the node."""
    async with flooding(kind) as running:
        east_1 = running.instances[0]
        _, writer = await asyncio.open_connection(fleet.HOST, east_1.ports["calls"])
        writer.transport.pause_reading()
        for number in range(requests):
            head = f"GET /archive/x HTTP/1.1\r\nhost: {fleet.ROUTE_HOSTNAME}\r\n"
            writer.write(f"{head}x-attempt-id: unread-{number}\r\n\r\n".encode())
        await asyncio.sleep(1.0)
        east_1.process.terminate()
        assert await asyncio.to_thread(east_1.process.wait, GRACE_S) == 0
        writer.transport.abort()


@pytest.mark.parametrize(
    ("kind", "number"), [("sound length", 30), ("sound chunks", 30), ("largest", 6)]
)
async def test_sound_large_answers_pass_at_once_within_the_memory(kind, number):
    """Guards against large answers that are given up since others take the memory."""
    length = flood.LENGTH if kind == "largest" else flood.SOUND_BYTES
    async with flooding(kind) as running:
        for entry in running.instances:
            answers = await asyncio.gather(*(admitted(running, entry) for _ in range(number)))
            assert {(a.status, len(a.body)) for a in answers} == {(200, length)}
        for instance in running.instances:
            assert memory_mb(instance) < MEMORY_MB
