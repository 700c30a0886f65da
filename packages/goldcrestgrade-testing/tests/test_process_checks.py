from __future__ import annotations

import asyncio
import random
import subprocess
import sys

import orjson

from goldcrestgrade import headers, http_client
from goldcrestgrade_testing import letters_desk, process_checks
from goldcrestgrade_testing.demo import deployment

REQUESTS_PER_ROUND = 50
ROUNDS = 5

MAX_SURE_REQUESTS = 8
"""Requests at once that no node refuses, whatever it believes of the other node's load.

With the reports of a moment ago, a node may count each of them twice. It refuses requests that it
expects to find a queue as long as the slots, of which each of the two endpoints has ten.
"""

SMALL_SHAPE = letters_desk.SHAPE._replace(services={"archive": ("khomas-a", "khomas-b")})

VIOLATING_PROCESS = """
import mmap, subprocess, sys, tempfile
file = tempfile.TemporaryFile()
memory = mmap.mmap(-1, 4096)
child = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)
print("ready", flush=True)
input()
child.communicate()
"""


def test_child_process_written_file_and_shared_memory_are_reported():
    with subprocess.Popen(
        [sys.executable, "-c", VIOLATING_PROCESS], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as violating_process:
        violating_process.stdout.readline()
        found = process_checks.violations(violating_process.pid)
        violating_process.communicate(b"\n")
    kinds = ("child process", "file open for writing", "shared memory")
    assert [kind for kind in kinds if not any(text.startswith(kind) for text in found)] == []


async def send_request(
    running: deployment.Deployment, number: int, rng: random.Random, at_once: asyncio.Semaphore
) -> tuple[int, bytes]:
    """Return the status of one request, and its reason if it was refused."""
    entry = rng.choice(running.instances)
    fields = {headers.SERVICE: "archive", headers.IDEMPOTENCY_KEY: f"key-{number}"}
    method = rng.choice(["GET", "POST"])
    async with (
        at_once,
        running.session.request(
            method, f"{entry.calls_url}/letters/{number}", headers=fields
        ) as response,
    ):
        body = await response.read()
        return response.status, b"" if response.status == 200 else orjson.loads(body)["reason"]


async def test_node_under_load_has_no_child_process_written_file_shared_memory_or_io_uring():
    rng = random.Random(1)
    async with (
        http_client.open_session(100, 30.0) as session,
        deployment.running(SMALL_SHAPE, session) as running,
    ):
        await running.apply("2026-01-01")
        await running.wait_ready()
        for round_index in range(ROUNDS):
            numbers = range(
                round_index * REQUESTS_PER_ROUND, (round_index + 1) * REQUESTS_PER_ROUND
            )
            overloaded = round_index == ROUNDS - 1
            at_once = asyncio.Semaphore(REQUESTS_PER_ROUND if overloaded else MAX_SURE_REQUESTS)
            responses = asyncio.gather(
                *(send_request(running, number, rng, at_once) for number in numbers)
            )
            checks = [
                asyncio.to_thread(process_checks.violations, process.pid)
                for process in running.processes.values()
            ]
            found = await asyncio.gather(*checks)
            allowed = {(200, b""), (503, "saturated")} if overloaded else {(200, b"")}
            assert set(await responses) <= allowed
            assert (200, b"") in await responses
            assert found == [[], []]
