"""A machine with a thin link is stopped while requesters send ahead of their answers."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import socket
import sys
import time
import typing

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import support_2 as support  # noqa: E402

LINK_MBPS = 5.0
"""Bandwidth of the machine's link, which its requesters share: the thinnest of the site."""

ANSWER_BYTES = 9000
"""Size of an answer: the largest one to a read in the site file."""

REQUESTERS = 4

BURST_REQUESTS = 4
"""Requests that a requester sends without waiting for an answer."""

BURST_INTERVAL_S = 0.015
"""Time between two requests of a burst."""

PAUSE_S = 0.26
"""Time between two bursts; all answers together take about three quarters of the link."""

WORK_S = 0.14
"""Time that an upstream works on a read, as in the site file."""

TIMEOUT_MS = 1500
"""Time budget of a request and timeout of its route."""

ROUNDS = 6
"""Times that the machine is stopped and started."""

STOP_AFTER_S = 2.0
"""Time from the first request to SIGTERM."""

SEND_S = 4.0
"""Time for which requesters go on, unless an answer closes their connection."""

RECEIVE_BUFFER_BYTES = 2048
"""Receive buffer of a requester, so that bytes wait at the node for the link as on a real one."""

READ_BYTES = 1024


class Upstream(support.Upstream):
    """An upstream whose answers have a fixed size."""

    async def run(self, request: support.Message, fields: dict[str, str | bytes]) -> bytes:
        """Return an answer that begins with the id of the request."""
        await asyncio.sleep(self.work_s)
        attempt_id = request.field("x-attempt-id") or b""
        body = (b"answer to " + attempt_id).ljust(ANSWER_BYTES, b".")
        return support.encode_answer(200, {**fields, "x-upstream-signature": "s.9000"}, body)


class Link:
    """The machine's link: bytes to all requesters follow each other."""

    def __init__(self) -> None:
        self.free_at = 0.0

    async def carry(self, size: int) -> None:
        """Wait until the link has carried `size` bytes."""
        now = time.monotonic()
        self.free_at = max(now, self.free_at) + size * 8 / (LINK_MBPS * 1e6)
        await asyncio.sleep(self.free_at - now)


class Result(typing.NamedTuple):
    """What one requester saw."""

    sent: dict[str, float]
    """Instant of each request by its id."""
    answered: set[str]
    closed_by: str
    closed_at: float


async def requester(
    instance: support.Instance, name: str, link: Link, started: float, phase_s: float
) -> Result:
    """Send reads ahead of their answers on one connection until an answer closes it."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    host, _, port = instance.address("calls").rpartition(":")
    await loop.sock_connect(sock, (host, int(port)))
    sent: dict[str, float] = {}
    answered: set[str] = set()

    async def send() -> None:
        await asyncio.sleep(phase_s)
        while time.monotonic() < started + SEND_S:
            attempt_id = f"{name}-{len(sent) + 1}"
            head = (
                f"GET /lookup/{len(sent)} HTTP/1.1\r\nhost: desk.example\r\n"
                f"x-attempt-id: {attempt_id}\r\nx-deadline-ms: {TIMEOUT_MS}\r\n\r\n"
            )
            try:
                await loop.sock_sendall(sock, head.encode())
            except OSError:
                return
            sent[attempt_id] = time.monotonic()
            is_last = len(sent) % BURST_REQUESTS == 0
            await asyncio.sleep(PAUSE_S if is_last else BURST_INTERVAL_S)

    sending = asyncio.create_task(send())
    received = b""
    closed_by = "the requester"
    while time.monotonic() < started + SEND_S + TIMEOUT_MS / 1000:
        try:
            data = await asyncio.wait_for(loop.sock_recv(sock, READ_BYTES), 1.0)
        except TimeoutError:
            break
        except OSError as error:
            closed_by = repr(error)
            break
        if not data:
            closed_by = "the node"
            break
        await link.carry(len(data))
        received += data
        while (end := received.find(b"\r\n\r\n")) >= 0:
            head = received[:end].decode("latin-1").lower()
            fields = dict(
                (part.strip() for part in line.split(":", 1)) for line in head.split("\r\n")[1:]
            )
            size = int(fields["content-length"])
            if len(received) < end + 4 + size:
                break
            answered.add(fields["x-attempt-id"])
            received = received[end + 4 + size :]
            if fields.get("connection") == "close":
                # Requests behind this answer count as not read.
                sending.cancel()
    sending.cancel()
    sock.close()
    return Result(sent, answered, closed_by, time.monotonic())


async def play(deployment: support.Deployment, trouble: bool) -> None:
    """Stop and start one machine several times, and look for reads that ran without an answer."""
    for number, service in ((1, "lookup-desk"), (2, "plot-registry")):
        upstream = Upstream(f"i-{number}", service, "accra-osu", WORK_S)
        instance = await deployment.add(
            f"side-{number}", "accra-osu", "greater-accra", upstream, link_mbps=LINK_MBPS
        )
        deployment.start_node(instance)
        upstream.send_heartbeats(instance.address("heartbeats"))
    timeout = f"{TIMEOUT_MS}ms"
    deployment.configure(
        10,
        [
            support.rule("look", "/lookup/", "lookup-desk", timeout=timeout),
            support.rule("check", "/check/", "plot-registry"),
        ],
    )
    await deployment.wait_ready()
    await deployment.wait_served(["/lookup/0", "/check/0"])
    stopped = deployment.instances[0]
    lost: list[str] = []
    judged = 0
    for round_ in range(ROUNDS):
        link, started = Link(), time.monotonic()
        tasks = [
            asyncio.create_task(
                requester(
                    stopped, f"read-{round_}-{number}", link, started, number * PAUSE_S / REQUESTERS
                )
            )
            for number in range(REQUESTERS)
        ]
        await asyncio.sleep(STOP_AFTER_S + round_ * BURST_INTERVAL_S)
        if trouble:
            deployment.send_signal(stopped, signal.SIGTERM)
            deployment.record(f"{stopped.name}: SIGTERM")
        for result in [await task for task in tasks]:
            ran = deployment.run_counts()
            without = [i for i in result.sent if i not in result.answered and ran[i]]
            # A request that was still in its time when the connection ended.
            cut = [i for i in without if result.closed_at < result.sent[i] + TIMEOUT_MS / 1000]
            lost += cut
            judged += len(result.sent)
            deployment.record(
                f"sent {len(result.sent)}, answered {len(result.answered)}, connection ended by "
                f"{result.closed_by}; ran without an answer: {cut}"
            )
        if trouble:
            assert stopped.process is not None
            until = time.monotonic() + 6.0
            while stopped.process.poll() is None and time.monotonic() < until:
                await asyncio.sleep(0.05)
            if stopped.process.poll() is None:
                raise support.Unusable("the node did not end within its grace period")
            deployment.start_node(stopped)
            await deployment.wait_ready([stopped])
            await deployment.wait_served(["/lookup/0"])
    if judged < ROUNDS * REQUESTERS * 10:
        raise support.Unusable(f"only {judged} requests were sent")
    if lost:
        raise support.Broken(f"LOST: {len(lost)} of {judged} reads ran and got no whole answer")


sys.exit(support.main(CASE, play))
