"""Real nodes with many clients that exceed every limit, as a process of its own.

Each test runs alone. None depends on the speed of the machine: the nodes live, their memory and
descriptors stay within those of the machine, and a request of an ordinary client is answered while
the others keep their connections.
"""

import asyncio
import contextlib
import pathlib
import re
import sys

import pytest

from goldcrestgrade_testing.fleet_platform import abusive_clients, fleet, flood

pytestmark = pytest.mark.alone

PLACEMENTS = {
    "east-1": fleet.Placement("east", "r1", "archive"),
    "west-1": fleet.Placement("west", "r1", "intake"),
}

CLIENTS = 200
"""Clients that exceed limits at once."""

MEMORY_MB = 200
"""Memory of the smallest machines, bytes in the kernel included."""

MAX_FDS = 400
"""Descriptors of a machine, fewer than there are clients and files together."""

MANY_CLIENTS = 500
"""Clients that together have more connections than the machine has descriptors."""

SAMPLE_S = 0.05
"""Time between two readings of memory and descriptors."""

SETTLED_S = 1.0
"""Time in which the memory of a node grows by less than 1 MB once it has parsed all."""

ANSWERED_S = 60.0
"""Time after which a test gives up on an answer; no bound of the system."""

LIMITS = {"max_header_bytes": 16384, "header_timeout": "1000ms", "idle_timeout": "3000ms"}
"""Limits of the configuration, the first as the platform sets it."""


LISTENING, CONNECTING = "0A", "02"
"""States of a socket in /proc/net/tcp."""


def queued_bytes(text):
    """Return the bytes in the kernel by inode of each socket in the text of /proc/net/tcp.

    Listening sockets show connections there. A connecting one holds no bytes, but shows the
    difference of two sequence numbers that are read while they are set, up to 4 GB.
    """
    rows = [row.split() for row in text.splitlines()[1:]]
    return {
        fields[9]: sum(int(part, 16) for part in fields[4].split(":"))
        for fields in rows
        if fields[3] not in (LISTENING, CONNECTING)
    }


class Usage:
    """Largest memory and number of descriptors of the nodes of a fleet.

    A node beyond the memory is killed, as on the platform.
    """

    def __init__(self, running):
        self.running = running
        self.kernel_mb = dict.fromkeys(PLACEMENTS, 0.0)
        self.descriptors = dict.fromkeys(PLACEMENTS, 0)
        self.killed = []

    async def observe(self):
        while True:
            self.read()
            for instance in self.running.instances:
                if instance.process.poll() is None and self.memory_mb(instance) > MEMORY_MB:
                    self.killed.append((instance.name, self.memory_mb(instance)))
                    instance.process.kill()
            await asyncio.sleep(SAMPLE_S)

    def read(self):
        queued_by_inode = queued_bytes(pathlib.Path("/proc/net/tcp").read_text())
        for instance in self.running.instances:
            inodes = set()
            descriptors = 0
            with contextlib.suppress(OSError):
                for path in pathlib.Path(f"/proc/{instance.process.pid}/fd").iterdir():
                    descriptors += 1
                    with contextlib.suppress(OSError):
                        inodes |= set(re.findall(r"socket:\[(\d+)\]", str(path.readlink())))
            queued_mb = sum(queued_by_inode.get(inode, 0) for inode in inodes) / (1 << 20)
            name = instance.name
            self.kernel_mb[name] = max(self.kernel_mb[name], queued_mb)
            self.descriptors[name] = max(self.descriptors[name], descriptors)

    def memory_mb(self, instance):
        status = pathlib.Path(f"/proc/{instance.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024 + self.kernel_mb[instance.name]

    async def settle(self):
        """Wait until the memory of the nodes grows no more, as they may still parse."""
        grown = True
        while grown and not self.killed:
            before = [self.memory_mb(instance) for instance in self.running.instances]
            await asyncio.sleep(SETTLED_S)
            after = [self.memory_mb(instance) for instance in self.running.instances]
            grown = any(new > old + 1 for old, new in zip(before, after, strict=True))


def lower_limits(running):
    running.limits = LIMITS
    running.max_fds = MAX_FDS
    running.further_settings = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}


def test_sockets_that_connect_count_as_without_bytes():
    """Guards against a reading of 2.5 GB, as connecting sockets show any number for a moment."""
    columns = "sl local rem st queues tr retrnsmt uid timeout inode"
    rows = [f"0: a b {state} 00000010:00000002 0 0 0 0 7{state}" for state in ("01", "02", "0A")]
    assert queued_bytes("\n".join([columns, *rows])) == {"701": 18}


@contextlib.asynccontextmanager
async def process(*command):
    """Run a process, and end it once its standard input is closed."""
    child = await asyncio.create_subprocess_exec(
        *map(str, command), stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE
    )
    try:
        yield child
    finally:
        child.kill()
        await child.wait()


async def answered(running, usage, entry, path, retried=(0, 503)):
    """Return once an ordinary request is answered, sent again after a status in `retried`."""
    async with asyncio.timeout(ANSWERED_S):
        while True:
            assert not usage.killed
            answer = await running.call(entry, path)
            if answer.status == 200:
                return
            assert answer.status in retried, answer
            await asyncio.sleep(float(answer.fields.get("retry-after", "0.3")))


async def play(running, kind, door="calls", clients=CLIENTS):
    """Have clients exceed limits at `door` of the first node, and check both nodes meanwhile."""
    east_1, west_1 = running.instances
    usage = Usage(running)
    observer = asyncio.create_task(usage.observe())
    try:
        program = (sys.executable, abusive_clients.__file__)
        async with process(*program, east_1.ports[door], kind, clients) as child:
            async with asyncio.timeout(ANSWERED_S):
                assert await child.stdout.readline() == b"sent\n"
            await answered(running, usage, east_1, "/intake/x")
            await answered(running, usage, west_1, "/intake/x")
            await usage.settle()
    finally:
        observer.cancel()
    for instance in running.instances:
        assert instance.process.poll() is None, usage.killed
        used = (instance.name, usage.memory_mb(instance), usage.descriptors[instance.name])
        print(kind, door, *used)
        assert used[1] < MEMORY_MB, used
        assert used[2] < MAX_FDS, used


ENDLESS = [
    "target without end",
    "header without end",
    "headers without end",
    "short headers without end",
    "held headers",
    "held short headers",
    "head over the limit",
    "empty lines",
    "trailers without end",
    "held trailers",
    "tiny chunks",
    "requests ahead",
    "refusals ahead",
]

TRICKLES = ["idle connections", "trickled head", "trickled empty lines", "trickled body"]


@pytest.mark.parametrize("kind", ENDLESS)
async def test_requests_without_end_leave_memory_and_other_clients_alone(kind):
    """Guards against a node that is killed at its memory limit by what many clients send."""
    async with fleet.running(PLACEMENTS, prepare=lower_limits) as running:
        await play(running, kind)


@pytest.mark.parametrize("kind", TRICKLES)
async def test_slow_clients_leave_descriptors_and_other_clients_alone(kind):
    """Guards against a node without descriptors for the connections of other clients."""
    async with fleet.running(PLACEMENTS, prepare=lower_limits) as running:
        await play(running, kind, clients=MANY_CLIENTS)


@contextlib.asynccontextmanager
async def large_answers(size):
    """Run a fleet whose first endpoint is replaced by one with large answers."""
    async with fleet.running(PLACEMENTS, prepare=lower_limits) as running:
        east_1 = running.instances[0]
        east_1.endpoint.behaviour.slots = CLIENTS
        await asyncio.sleep(2 * fleet.HEARTBEAT_INTERVAL_S)
        await east_1.endpoint.stop()
        port, endpoint_id = east_1.ports["endpoint"], east_1.endpoint.endpoint_id
        async with process(sys.executable, flood.__file__, port, endpoint_id, CLIENTS, size):
            while (await running.call(east_1, "/archive/x")).status != 200:
                await asyncio.sleep(fleet.POLL_INTERVAL_S)
            yield running


@pytest.mark.parametrize("size", ["medium", "sound length", "largest"])
@pytest.mark.parametrize("kind", ["answer read slowly", "answers ahead read slowly"])
async def test_answers_read_slowly_leave_memory_and_other_clients_alone(kind, size):
    """Guards against answers that fill the memory of the node, and that of the kernel for it."""
    async with large_answers(size) as running:
        await play(running, kind)


async def test_large_answers_pass_beside_clients_that_read_theirs_slowly():
    """Guards against a few clients that hold the memory for all large answers of a node.

    A large answer that waits for memory until its deadline is given up with 502.
    """
    async with large_answers("largest") as running:
        east_1 = running.instances[0]
        program = (sys.executable, abusive_clients.__file__)
        command = (*program, east_1.ports["calls"], "answer read slowly", CLIENTS)
        async with process(*command) as child:
            async with asyncio.timeout(ANSWERED_S):
                assert await child.stdout.readline() == b"sent\n"
            await answered(running, Usage(running), east_1, "/archive/x", (0, 502, 503))


@pytest.mark.parametrize(
    "kind", ["short headers without end", "held short headers", "held trailers", "refusals ahead"]
)
@pytest.mark.parametrize("door", ["relay", "heartbeats", "readiness", "metrics"])
async def test_other_addresses_are_bounded_too(door, kind):
    """Guards against the same at the addresses for nodes, heartbeats, readiness and metrics."""
    async with fleet.running(PLACEMENTS, prepare=lower_limits) as running:
        await play(running, kind, door)


@pytest.mark.parametrize("kind", ["metrics ahead", "records ahead"])
async def test_metrics_asked_for_ahead_and_not_read_are_bounded(kind):
    """Guards against answers of the metrics address that fill the memory."""
    async with fleet.running(PLACEMENTS, prepare=lower_limits) as running:
        await play(running, kind, "metrics")


@pytest.mark.parametrize("door", ["relay", "heartbeats", "readiness", "metrics"])
async def test_slow_clients_of_other_addresses_leave_descriptors_alone(door):
    """Guards against connections at one address that leave no descriptors for the others."""
    async with fleet.running(PLACEMENTS, prepare=lower_limits) as running:
        await play(running, "trickled head", door, MANY_CLIENTS)


@pytest.mark.parametrize("line", [b"a:\r\n", b"x-name: " + b"y" * 90 + b"\r\n"])
async def test_request_with_the_largest_head_is_served_in_calm(line):
    """Guards against a limit that a single request inside those of the pages meets on its way."""
    async with fleet.running(PLACEMENTS, prepare=lower_limits) as running:
        for number, path in enumerate((b"/archive/x", b"/intake/x", b"/intake/file/x")):
            start = b"POST %s HTTP/1.1\r\nhost: letters.example\r\nx-attempt-id: %d\r\n"
            head = start % (path, number) + b"x-deadline-ms: 2000\r\ncontent-length: 3\r\n"
            left = LIMITS["max_header_bytes"] - len(head) - len(b"\r\n")
            port = running.instances[0].ports["calls"]
            reader, writer = await asyncio.open_connection(fleet.HOST, port)
            writer.write(head + line * (left // len(line)) + b"\r\nabc")
            async with asyncio.timeout(ANSWERED_S):
                answer = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            assert answer.startswith(b"HTTP/1.1 200 "), (path, answer)
