"""A small deployment on loopback for the scripts of this review.

The nodes are the project's own programs, started with the command of the deploy file. The store is
the project's stand-in; upstreams and requesters are the small ones below. All addresses are of the
loopback range.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parents[2]
"""Root of the repository; `prepare.sh` sets the import path."""

from goldcrestgrade_testing import serving  # noqa: E402
from goldcrestgrade_testing.fleet_platform import store  # noqa: E402

HOST = "127.0.0.1"

HOSTNAME = "kit.example"
"""Host name of all routes."""

HEARTBEAT_S = 1.5
"""Time between two liveness reports, `heartbeat` of the settings."""

CONTACT_S = 3.0
"""`contact` of the sites: a machine is in touch so long after its last disruption."""

DRAIN_S = 2.0
"""`drain` of the sites."""

REUSE_AFTER_S = 2.0
"""`reuse_after` of the sites."""

READY_TIMEOUT_S = 30.0

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the script brings about its disruption."""


class CannotRun(Exception):
    """The deployment did not start, so that the script shows nothing."""


class Record:
    """Lines of `record.txt`, with the seconds since the start of the script."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started:8.3f}  {text}\n")
        self.file.flush()


class Run(typing.NamedTuple):
    """A request that an upstream began to work on."""

    at: float
    attempt_id: str
    method: str
    target: str


class Upstream:
    """One lifetime of an upstream; speaks what the protocol page says."""

    def __init__(
        self, record: Record, upstream_id: str, service: str, zone: str, born_ms: int | None = None
    ) -> None:
        self.record = record
        self.upstream_id = upstream_id
        self.service = service
        self.zone = zone
        self.born_ms = time.time_ns() // 1_000_000 if born_ms is None else born_ms
        self.work_s = 0.02
        self.slots = 9
        self.leaving = False
        """Whether it leaves, so that its health path answers 503."""
        self.sequence = 0
        self.running = 0
        self.runs: list[Run] = []
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen; `port` 0 chooses a free one."""
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.record.write(
            f"upstream {self.upstream_id} of {self.service} starts at {HOST}:{self.port}, "
            f"born {self.born_ms}"
        )

    async def stop(self) -> None:
        """End at once, like a process that is killed."""
        if self.server is not None:
            self.server.close()
            self.server = None
            for writer in list(self.writers):
                writer.transport.abort()
            self.record.write(f"upstream {self.upstream_id} ends")

    def report(self) -> dict[str, typing.Any]:
        """Return the body of the next liveness report."""
        self.sequence += 1
        return {
            "address": f"{HOST}:{self.port}",
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "capacity": self.slots,
            },
            "status": {
                "state": "draining" if self.leaving else "ready",
                "sequence": self.sequence,
                "warmup_left": "0ms",
            },
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *lines = head.split("\r\n")
                method, target, _ = line.split(" ")
                fields = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (text.partition(":") for text in lines if text)
                }
                await reader.readexactly(int(fields.get("content-length", "0")))
                writer.write(await self._answer(method, target, fields))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, method: str, target: str, fields: dict[str, str]) -> bytes:
        attempt_id = fields.get("x-attempt-id", "")
        if target == "/healthz":
            return self._encode("503 Leaving" if self.leaving else "200 OK", b"", "")
        if fields.get("x-expected-instance", self.upstream_id) != self.upstream_id:
            return self._encode("421 Misdirected", b"", attempt_id)
        if self.running >= self.slots:
            return self._encode("503 Full", b"", attempt_id, "X-Not-Executed: 1\r\n")
        self.running += 1
        self.runs.append(Run(time.monotonic(), attempt_id, method, target))
        self.record.write(
            f"upstream {self.upstream_id} of {self.service} runs {attempt_id} {method} {target}"
        )
        await asyncio.sleep(self.work_s)
        self.running -= 1
        body = f"{attempt_id} by {self.upstream_id} of {self.service}".encode()
        signature = f"X-Upstream-Signature: {self.upstream_id}.{attempt_id}\r\n"
        return self._encode("200 OK", body, attempt_id, signature)

    def _encode(self, status: str, body: bytes, attempt_id: str, further: str = "") -> bytes:
        echoed = f"X-Attempt-Id: {attempt_id}\r\n" if attempt_id else ""
        return (
            f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{echoed}"
            f"X-Instance-Id: {self.upstream_id}\r\n"
            f"X-Upstream-Load: {self.running},0,{self.slots}\r\n"
            f"Keep-Alive: timeout=10\r\n{further}\r\n"
        ).encode() + body


class Machine:
    """A machine: its node and the ports by which the platform, requesters and nodes reach it."""

    def __init__(self, name: str, zone: str, service: str, ports: dict[str, int]) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.ports = ports
        self.store_access = store.AccessPoint()
        self.process: subprocess.Popen[bytes] | None = None
        self.reports: asyncio.Task[None] | None = None


class Stage:
    """A deployment; used as an asynchronous context."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.store = store.Store()
        self.machines: dict[str, Machine] = {}
        self.upstreams: list[Upstream] = []
        self.version = 5
        self.numbers = itertools.count(1)
        self.answers: collections.Counter[int] = collections.Counter()
        self.stack = contextlib.AsyncExitStack()
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    async def __aenter__(self) -> Stage:
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        for upstream in self.upstreams:
            await upstream.stop()
        self.store.close()
        await self.stack.aclose()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()

    # The platform

    async def add_machine(self, name: str, zone: str, service: str) -> Machine:
        """Add a machine with its upstream `i-NAME`, and start its node."""
        names = ("calls", "relay", "readiness", "heartbeats", "metrics")
        machine = Machine(
            name, zone, service, dict(zip(names, free_ports(len(names)), strict=True))
        )
        machine.ports["store"] = await self.stack.enter_async_context(
            serving.serving(self.store.app(machine.store_access))
        )
        upstream = self.new_upstream(f"i-{name}", service, zone)
        await upstream.start()
        machine.ports["endpoint"] = upstream.port
        self.machines[name] = machine
        self.start_node(machine)
        self.start_reports(machine, upstream)
        return machine

    def new_upstream(
        self, upstream_id: str, service: str, zone: str, born_ms: int | None = None
    ) -> Upstream:
        """Add a lifetime of an upstream, which is to be started."""
        upstream = Upstream(self.record, upstream_id, service, zone, born_ms)
        self.upstreams.append(upstream)
        return upstream

    def upstream(self, upstream_id: str) -> Upstream:
        """Return the latest lifetime with an id."""
        return next(u for u in reversed(self.upstreams) if u.upstream_id == upstream_id)

    def write_settings(self, machine: Machine) -> pathlib.Path:
        """Write the settings of a node as the platform renders them from the template."""
        address = {name: f"{HOST}:{port}" for name, port in machine.ports.items()}
        settings = {
            "node_id": machine.name,
            "host": HOST,
            "region": machine.zone.rpartition("-")[0],
            "failure_domain": machine.zone,
            "service": machine.service,
            **{name: address[name] for name in address},
            "grace_s": "6s",
            "resend_ratio": 0.2,
            "resend_slack": 60,
            "resend_window_s": "10s",
            "regions": ["cz-east", "cz-west"],
            "memory_mb": 300,
            "max_fds": 4100,
            "link_mbps": 1000.0,
        }
        path = self.folder / f"{machine.name}.json"
        path.write_text(json.dumps(settings))
        return path

    def start_node(self, machine: Machine) -> None:
        """Start the node of a machine with the command of the deploy file."""
        path = self.write_settings(machine)
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (self.folder / f"{machine.name}.log").open("ab") as output:
            machine.process = subprocess.Popen(
                [sys.executable, "platform/start.py"],
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "GOLDCRESTGRADE_SETTINGS": str(path),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record.write(f"node of {machine.name} is started")

    def kill_node(self, machine: Machine) -> None:
        """Kill the node of a machine."""
        assert machine.process is not None
        machine.process.kill()
        machine.process.wait()
        self.record.write(f"node of {machine.name} is killed")

    def change_service(self, machine: Machine, service: str) -> None:
        """Write the settings of a node for another service, and send SIGHUP."""
        assert machine.process is not None
        machine.service = service
        self.write_settings(machine)
        machine.process.send_signal(signal.SIGHUP)
        self.record.write(f"settings of {machine.name} name the service {service}; SIGHUP")

    def log_of(self, machine: Machine) -> str:
        """Return what the node of a machine has logged."""
        return (self.folder / f"{machine.name}.log").read_text("utf-8", "replace")

    def configure(self, *services: str) -> None:
        """Write a desired state with two routes a service, as the operator does."""
        self.version += 2
        rules = []
        for service in services:
            for name, prefix, kind in (
                ("read", f"/{service}/", "idempotent"),
                ("file", f"/{service}/file/", "non_idempotent"),
            ):
                action = {"service": service, "timeout": "1500ms", "attempts": 2}
                rules.append(
                    {
                        "name": f"{name}-{service}",
                        "route_type": kind,
                        "target_latency": "400ms",
                        "priority": 1,
                        "match": {"prefix": prefix},
                        "action": action,
                    }
                )
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        }
        document = {
            "version": self.version,
            "limits": limits,
            "listeners": [{"hostname": HOSTNAME, "rules": rules}],
            "clusters": [
                {"name": name, "health_path": "/healthz", "max_connections": 220}
                for name in services
            ],
        }
        self.store.write("op", "config", document)
        self.record.write(f"desired state {self.version} is confirmed: {list(services)}")

    # Upstreams and their liveness reports

    def start_reports(self, machine: Machine, upstream: Upstream) -> None:
        """Have an upstream report to the node of its machine from now on."""
        machine.reports = self.spawn(self._send_reports(machine, upstream))

    def stop_reports(self, machine: Machine) -> None:
        """End the reports to the node of a machine."""
        if machine.reports is not None:
            machine.reports.cancel()

    async def _send_reports(self, machine: Machine, upstream: Upstream) -> None:
        while True:
            await self.send_report(machine, upstream, upstream.report())
            await asyncio.sleep(HEARTBEAT_S)

    async def send_report(
        self, machine: Machine, upstream: Upstream, report: dict[str, typing.Any]
    ) -> int:
        """Send a liveness report to the node of a machine; return the status, 0 without one."""
        status = await self._control(machine, "PUT", upstream, report)
        self.record.write(
            f"report {report['status']['sequence']} of {upstream.upstream_id} "
            f"({report['status']['state']}, born {report['born']}) to {machine.name}: {status}"
        )
        return status

    async def send_departure(self, machine: Machine, upstream: Upstream) -> int:
        """Send the DELETE of an upstream; return the status, 0 without one."""
        status = await self._control(machine, "DELETE", upstream, {"born": upstream.born_ms})
        self.record.write(f"departure of {upstream.upstream_id} to {machine.name}: {status}")
        return status

    async def _control(
        self, machine: Machine, method: str, upstream: Upstream, body: dict[str, typing.Any]
    ) -> int:
        fields = {"Content-Type": "application/json"}
        path = f"/-/instances/{upstream.upstream_id}"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                status, _, _ = await exchange(
                    machine.ports["heartbeats"], method, path, fields, json.dumps(body).encode()
                )
                return status
        return 0

    # Requesters

    async def request(
        self, machine: Machine, method: str, path: str, time_budget_ms: int = 2000
    ) -> tuple[str, int, bytes]:
        """Send a request of a requester on a machine; return its id, the status and the body."""
        attempt_id = f"r{next(self.numbers)}"
        fields = {
            "Host": HOSTNAME,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": str(time_budget_ms),
        }
        body = b"a booking" if method == "POST" else b""
        self.record.write(f"requester sends {attempt_id} {method} {path} to {machine.name}")
        try:
            async with asyncio.timeout(time_budget_ms / 1000 + 1):
                status, _, answer = await exchange(
                    machine.ports["calls"], method, path, fields, body
                )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            status, answer = 0, repr(error).encode()
        self.answers[status] += 1
        self.record.write(f"requester has {status} for {attempt_id}: {answer[:80]!r}")
        return attempt_id, status, answer

    async def wait_ready(self, *machines: Machine) -> None:
        """Wait until nodes say that they are ready; raises `CannotRun`."""
        for machine in machines or tuple(self.machines.values()):
            deadline = time.monotonic() + READY_TIMEOUT_S
            while not await self._is_ready(machine):
                if time.monotonic() > deadline:
                    raise CannotRun(f"{machine.name} is not ready: {self.log_of(machine)[-2000:]}")
                await asyncio.sleep(0.05)

    async def _is_ready(self, machine: Machine) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                status, _, _ = await exchange(machine.ports["readiness"], "GET", "/-/readyz", {})
                return status == 200
        return False

    async def wait_used(self, *paths: str) -> None:
        """Wait until each upstream has run a request and each node serves `paths`."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        pending = True
        while pending:
            if time.monotonic() > deadline:
                raise CannotRun("not all upstreams are in use")
            statuses = [
                (await self.request(machine, "GET", path))[1]
                for machine in self.machines.values()
                for path in paths
            ]
            pending = set(statuses) != {200} or not all(u.runs for u in self.upstreams)

    def spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> asyncio.Task[None]:
        """Start a task that ends with the script at the latest."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        return task


def free_ports(number: int) -> list[int]:
    """Return ports below those that Linux assigns to outgoing connections, free right now."""
    found: list[int] = []
    start = 12_000 + os.getpid() % 200 * 90
    for port in itertools.chain(range(start, 30_000), range(12_000, start)):
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
        _given_ports.add(port)
        if len(found) == number:
            return found
    raise CannotRun("no free ports")


_given_ports: set[int] = set()


async def exchange(
    port: int, method: str, path: str, fields: dict[str, str], body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a connection of its own and return status, headers and body."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in {"Host": HOSTNAME, **fields}.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head.split("\r\n")
        answered = {
            name.strip().lower(): value.strip()
            for name, _, value in (text.partition(":") for text in rest if text)
        }
        length = int(answered.get("content-length", "0"))
        return int(line.split(" ")[1]), answered, await reader.readexactly(length)
    finally:
        writer.close()


def main(folder: pathlib.Path, play: typing.Callable[[Stage], typing.Awaitable[list[str]]]) -> int:
    """Run a script; `play` returns what broke the rule. Return the exit status of the script.

    Any error means that it could not run: status 1 must stand for a broken rule only.
    """

    async def run() -> int:
        async with Stage(folder) as stage:
            try:
                async with asyncio.timeout(110):
                    broken = await play(stage)
            except Exception as error:
                stage.record.write(f"could not run: {error!r}")
                print(f"could not run: {error!r}")
                return 2
            stage.record.write(f"statuses: {dict(stage.answers)}")
            for text in broken[:20]:
                stage.record.write(f"BROKEN {text}")
            print(f"statuses {dict(stage.answers)}; broken {len(broken)}")
            print("\n".join(broken[:3]))
            return 1 if broken else 0

    return asyncio.run(run())
