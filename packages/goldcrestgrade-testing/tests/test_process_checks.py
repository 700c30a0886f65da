from __future__ import annotations

import asyncio
import random
import subprocess
import sys

from goldcrestgrade import headers, http_client
from goldcrestgrade_testing import letters_desk, process_checks
from goldcrestgrade_testing.demo import deployment

CALLS = 50
LOOKS = 5

SMALL = letters_desk.SHAPE._replace(services={"archive": ("khomas-a", "khomas-b")})

OFFENDER = """
import mmap, subprocess, sys, tempfile
file = tempfile.TemporaryFile()
memory = mmap.mmap(-1, 4096)
child = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)
print("ready", flush=True)
input()
child.communicate()
"""


def test_each_violation_is_seen():
    with subprocess.Popen(
        [sys.executable, "-c", OFFENDER], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as offender:
        offender.stdout.readline()
        found = process_checks.violations(offender.pid)
        offender.communicate(b"\n")
    kinds = ("child process", "file open for writing", "shared memory")
    assert [kind for kind in kinds if not any(text.startswith(kind) for text in found)] == []


async def call(
    running: deployment.Deployment, number: int, rng: random.Random
) -> tuple[int, bytes]:
    """Return the status of one call, and the body where it failed."""
    entry = rng.choice(running.instances)
    fields = {headers.SERVICE: "archive", headers.IDEMPOTENCY_KEY: f"key-{number}"}
    method = rng.choice(["GET", "POST"])
    async with running.session.request(
        method, f"{entry.calls_url}/letters/{number}", headers=fields
    ) as response:
        body = await response.read()
        return response.status, b"" if response.status == 200 else body


async def test_node_under_load_has_no_child_written_file_shared_memory_or_io_uring():
    rng = random.Random(1)
    async with (
        http_client.open_session(100, 30.0) as session,
        deployment.running(SMALL, session) as running,
    ):
        await running.apply("2026-01-01")
        await running.wait_ready()
        for look in range(LOOKS):
            numbers = range(look * CALLS, (look + 1) * CALLS)
            calling = asyncio.gather(*(call(running, number, rng) for number in numbers))
            looking = [
                asyncio.to_thread(process_checks.violations, process.pid)
                for process in running.processes.values()
            ]
            found = await asyncio.gather(*looking)
            assert set(await calling) == {(200, b"")}
            assert found == [[], []]
