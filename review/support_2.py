"""Stand-ins and helpers for the scripts in `review/6` and later; standard library only.

The store, the upstreams, the operator and the requesters behave as `PROTOCOL.md` describes. Nodes
are the project's own program, started with the command of the deploy file. Everything listens on
loopback addresses and free ports.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
"""Root of the repository."""

HOST = "127.0.0.1"

PORTS = range(20_000, 32_000)
"""Ports for nodes; below those that Linux assigns to outgoing connections."""

assigned_ports: set[int] = set()
"""Ports that `free_ports` has returned; not all of them may be bound yet."""

HEARTBEAT_INTERVAL_S = 0.5
"""Time between two heartbeats of an upstream."""

READY_TIMEOUT_S = 20.0
"""Timeout for all nodes to be ready and to reach every service."""

PASSED_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")
"""Environment variables that a node receives, as in `DEPLOY.md`."""

REASONS = {200: "OK", 412: "Precondition Failed", 421: "Misdirected Request", 503: "Unavailable"}


class Broken(Exception):
    """The rule of the case was broken."""


class Unusable(Exception):
    """The case could not run."""


class Message(typing.NamedTuple):
    """An HTTP message as it was read from a connection."""

    start: str
    fields: list[tuple[str, bytes]]
    """Names in lower case, and values as they were received."""
    body: bytes

    def field(self, name: str) -> bytes | None:
        """Return the value of the first header `name`, or none."""
        return next((value for key, value in self.fields if key == name), None)

    def text(self, name: str) -> str:
        """Return the value of a header as text, empty if there is none."""
        return (self.field(name) or b"").decode("latin-1")

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message of a connection; none if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].split(b"\r\n")
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        fields.append((name.decode("latin-1").lower(), value.strip()))
    message = Message(lines[0].decode("latin-1"), fields, b"")
    try:
        if message.text("transfer-encoding").lower() == "chunked":
            return message._replace(body=await _read_chunks(reader))
        length = int(message.field("content-length") or 0)
        return message._replace(body=await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])


def encode_answer(status: int, fields: typing.Mapping[str, str | bytes], body: bytes) -> bytes:
    """Return the bytes of an answer with its length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}".encode()]
    for name, value in {**fields, "content-length": str(len(body))}.items():
        lines.append(name.encode() + b": " + (value.encode() if isinstance(value, str) else value))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def free_ports(count: int) -> list[int]:
    """Return ports that were free just now and that this process has not received before."""
    found: list[int] = []
    for port in random.SystemRandom().sample(PORTS, len(PORTS)):
        if port in assigned_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
        assigned_ports.add(port)
        if len(found) == count:
            return found
    raise Unusable("not enough free ports")


class Server:
    """A stand-in that answers the requests of its connections one after the other."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on a free port, or on `port`."""
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    @property
    def address(self) -> str:
        """Return the address at which it listens."""
        return f"{HOST}:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self.respond(request)
                if answer is None or writer.is_closing():
                    break
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, request: Message) -> bytes | None:
        """Return the answer to a request; none closes the connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows with versions, transactions and a feed of changes."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str, str], dict[str, typing.Any]] = {}
        self.history: list[dict[str, typing.Any]] = []
        self.version = 0
        self.changed = asyncio.Event()

    def write(self, table: str, key: str, value: typing.Any) -> None:
        """Write a row as the operator does."""
        text = base64.b64encode(json.dumps(value, ensure_ascii=False).encode()).decode()
        self._apply([{"table": table, "part": "", "key": key, "value": text}], [])

    def _apply(self, writes: list[dict[str, typing.Any]], removes: list[typing.Any]) -> None:
        self.version += 1
        for row in writes:
            changed = {**row, "part": row.get("part", ""), "ver": self.version}
            self.rows[_row_id(row)] = changed
            self.history.append(changed)
        for row in removes:
            if self.rows.pop(_row_id(row), None) is not None:
                table, part, key = _row_id(row)
                self.history.append(
                    {"table": table, "part": part, "key": key, "removed": True, "ver": self.version}
                )
        self.changed.set()
        self.changed = asyncio.Event()

    async def respond(self, request: Message) -> bytes | None:
        """Answer a call of a node."""
        path, _, query_text = request.start.split(" ")[1].partition("?")
        query = {k: v[0] for k, v in _parse_query(query_text).items()}
        status, document = 404, {}
        if path == "/-/rows-tx":
            status, document = self._transact(json.loads(request.body))
        elif path == "/-/rows-get":
            status, document = 200, self._get(query)
        elif path == "/-/rows-feed":
            status, document = 200, await self._feed(query)
        now = f"{round(time.monotonic() * 1000)}ms"
        body = json.dumps({"ver": self.version, "now": now, **document}).encode()
        return encode_answer(status, {"content-type": "application/json"}, body)

    def _transact(self, document: dict[str, typing.Any]) -> tuple[int, dict[str, typing.Any]]:
        expected = document.get("expected", [])
        if any(self.rows.get(_row_id(row), {"ver": 0})["ver"] != row["ver"] for row in expected):
            found = (self.rows.get(_row_id(row)) for row in expected)
            return 412, {"rows": [row for row in found if row is not None]}
        self._apply(document.get("writes", []), document.get("remove", []))
        return 200, {}

    def _get(self, query: dict[str, str]) -> dict[str, typing.Any]:
        limit = min(500, int(query.get("limit", 500)))
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if (table, part) == (query["table"], query.get("part", ""))
            and query.get("from", "") <= key
            and ("to" not in query or key < query["to"])
        ]
        return {"rows": found[:limit], "has_more": len(found) > limit}

    async def _feed(self, query: dict[str, str]) -> dict[str, typing.Any]:
        after, table = int(query["after"]), query["table"]
        until = time.monotonic() + min(30_000, int(query.get("wait_ms", 0))) / 1000
        while True:
            found = [r for r in self.history if r["table"] == table and r["ver"] > after]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return {"rows": found}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)


def _row_id(row: typing.Mapping[str, typing.Any]) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


def _parse_query(text: str) -> dict[str, list[str]]:
    return urllib.parse.parse_qs(text, keep_blank_values=True)


class Run(typing.NamedTuple):
    """A request that an upstream began to work on."""

    at: float
    attempt_id: str
    upstream: str
    request: Message


class Upstream(Server):
    """An upstream with its heartbeats; each request takes `work_s`."""

    def __init__(self, upstream_id: str, service: str, zone: str, work_s: float = 0.02) -> None:
        super().__init__()
        self.upstream_id = upstream_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = 8
        self.in_flight = 0
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.runs: list[Run] = []
        self.heartbeats: asyncio.Task[None] | None = None

    async def respond(self, request: Message) -> bytes | None:
        """Answer a health check or run a request."""
        attempt_id = request.text("x-attempt-id")
        fields: dict[str, str | bytes] = {
            "x-instance-id": self.upstream_id,
            "x-upstream-load": f"{self.in_flight},0,{self.slots},100",
            "keep-alive": "timeout=10",
        }
        if request.start.startswith("GET /healthz"):
            return encode_answer(200 if self.state == "ready" else 503, fields, b"")
        fields["x-attempt-id"] = request.field("x-attempt-id") or b""
        if request.text("x-expected-instance") not in ("", self.upstream_id):
            return encode_answer(421, fields, b"")
        if self.in_flight >= self.slots:
            return encode_answer(503, {**fields, "x-not-executed": "1"}, b"")
        self.in_flight += 1
        self.runs.append(Run(time.monotonic(), attempt_id, self.upstream_id, request))
        try:
            return await self.run(request, fields)
        finally:
            self.in_flight -= 1

    async def run(self, request: Message, fields: dict[str, str | bytes]) -> bytes | None:
        """Work on a request and return its answer."""
        await asyncio.sleep(self.work_s)
        body = b"answer to " + (request.field("x-attempt-id") or b"")
        signature = f"{self.upstream_id}.{len(body)}"
        return encode_answer(200, {**fields, "x-upstream-signature": signature}, body)

    def heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        document = {
            "address": self.address,
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "capacity": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "warmup_left": "0ms"},
        }
        return json.dumps(document, ensure_ascii=False).encode()

    def send_heartbeats(self, address: str) -> None:
        """Begin to send heartbeats to the node beside the upstream."""

        async def send() -> None:
            while True:
                with contextlib.suppress(OSError, TimeoutError, Unanswered):
                    await call(
                        address, "PUT", f"/-/instances/{self.upstream_id}", {}, self.heartbeat()
                    )
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

        self.heartbeats = asyncio.create_task(send())


class Unanswered(Exception):
    """A connection ended without an answer."""


async def call(
    address: str,
    method: str,
    target: str,
    fields: typing.Mapping[str, str],
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> Message:
    """Send one request on a new connection and return the answer; raises `Unanswered`."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1", f"host: {fields.get('host', address)}"]
            lines += [f"{name}: {value}" for name, value in fields.items() if name != "host"]
            lines += [f"content-length: {len(body)}", "connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            answer = await read_message(reader)
        finally:
            writer.close()
    if answer is None:
        raise Unanswered(f"{method} {target} at {address}")
    return answer


@dataclasses.dataclass
class Instance:
    """A machine: a node and the upstream beside it."""

    name: str
    zone: str
    region: str
    upstream: Upstream
    settings: dict[str, typing.Any]
    process: subprocess.Popen[bytes] | None = None

    def address(self, name: str) -> str:
        """Return an address of the node by the name of its setting."""
        return str(self.settings[name])


class Deployment:
    """A small deployment on loopback; owned by one event loop."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = Store()
        self.instances: list[Instance] = []
        self.attempts = 0
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        self.command = shlex.split(deploy["roles"]["node"]["run"])

    async def add(
        self, name: str, zone: str, region: str, upstream: Upstream, **settings: typing.Any
    ) -> Instance:
        """Add a machine and start its upstream, but not its node."""
        await upstream.start()
        names = ("calls", "relay", "readiness", "heartbeats", "metrics")
        ports = dict(zip(names, free_ports(len(names)), strict=True))
        rendered = {
            "node_id": name,
            "host": HOST,
            "region": region,
            "failure_domain": zone,
            "service": upstream.service,
            "endpoint": upstream.address,
            **{key: f"{HOST}:{port}" for key, port in ports.items()},
            "store": self.store.address,
            "grace_s": "6s",
            "resend_ratio": 0.2,
            "resend_slack": 56,
            "resend_window_s": "10s",
            "link_mbps": 1000.0,
            **settings,
        }
        instance = Instance(name, zone, region, upstream, rendered)
        self.instances.append(instance)
        return instance

    def start_node(self, instance: Instance) -> None:
        """Start the node of a machine with the command of the deploy file."""
        path = self.folder / f"{instance.name}.json"
        path.write_bytes(json.dumps(instance.settings, ensure_ascii=False).encode())
        passed = {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}
        with (self.folder / f"{instance.name}.log").open("ab") as output:
            instance.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env={
                    **passed,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "GOLDCRESTGRADE_SETTINGS": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, instance: Instance, number: signal.Signals) -> None:
        """Send a signal to a node that this deployment started, if it still runs."""
        if instance.process is not None and instance.process.poll() is None:
            instance.process.send_signal(number)

    def configure(self, version: int, rules: list[typing.Any], **fields: typing.Any) -> None:
        """Write a desired state, as the operator does; the hostname is `desk.example`."""
        services = sorted({instance.upstream.service for instance in self.instances})
        clusters = [
            {"name": n, "health_path": "/healthz", "max_connections": 220} for n in services
        ]
        document = {
            "version": version,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout": "5000ms",
                "idle_timeout": "15000ms",
            },
            "listeners": [{"hostname": "desk.example", "rules": rules}],
            "clusters": clusters,
            **fields,
        }
        self.store.write("op", "config", document)
        self.record(f"desired state {version} written")

    async def request(
        self, instance: Instance, method: str, target: str, body: bytes = b"", **fields: str
    ) -> tuple[str, Message | None]:
        """Send a request as a requester on a machine; return its id and the answer, if any."""
        self.attempts += 1
        attempt_id = f"attempt-{self.attempts}"
        headers = {
            "host": "desk.example",
            "x-attempt-id": attempt_id,
            "x-deadline-ms": "2000",
            **{name.replace("_", "-"): value for name, value in fields.items()},
        }
        try:
            answer = await call(instance.address("calls"), method, target, headers, body)
        except (OSError, TimeoutError, Unanswered) as error:
            self.record(f"sent {attempt_id} {method} {target} at {instance.name}: {error!r}")
            return attempt_id, None
        self.record(
            f"sent {attempt_id} {method} {target} at {instance.name}: "
            f"{answer.status} {answer.body[:80]!r}"
        )
        return attempt_id, answer

    async def wait_ready(self, instances: typing.Iterable[Instance] | None = None) -> None:
        """Wait until nodes say that they are ready; raises `Unusable`."""
        until = time.monotonic() + READY_TIMEOUT_S
        for instance in instances or self.instances:
            while not await self.is_ready(instance):
                if time.monotonic() > until:
                    raise Unusable(f"{instance.name} is not ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, instance: Instance) -> bool:
        """Return whether a node says that it is ready."""
        try:
            answer = await call(instance.address("readiness"), "GET", "/-/readyz", {})
        except (OSError, TimeoutError, Unanswered):
            return False
        return answer.status == 200

    async def wait_served(self, targets: typing.Iterable[str], **fields: str) -> None:
        """Wait until each node gets an answer from an upstream for each target."""
        until = time.monotonic() + READY_TIMEOUT_S
        for target in targets:
            for instance in self.instances:
                while True:
                    _, answer = await self.request(instance, "GET", target, **fields)
                    if answer is not None and answer.status == 200:
                        break
                    if time.monotonic() > until:
                        raise Unusable(f"{instance.name} does not serve {target}")
                    await asyncio.sleep(0.2)

    def runs(self) -> list[Run]:
        """Return the runs of all upstreams in their order."""
        return sorted(run for one in self.instances for run in one.upstream.runs)

    def run_counts(self) -> collections.Counter[str]:
        """Return how often each attempt ran."""
        return collections.Counter(run.attempt_id for run in self.runs())

    def close(self) -> None:
        """End all processes and stand-ins."""
        for instance in self.instances:
            if instance.upstream.heartbeats is not None:
                instance.upstream.heartbeats.cancel()
            if instance.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
            instance.upstream.stop()
        self.store.stop()


def rule(
    name: str, prefix: str, service: str, route_type: str = "idempotent", **action: typing.Any
) -> dict[str, typing.Any]:
    """Return a rule of a desired state."""
    return {
        "name": name,
        "route_type": route_type,
        "target_latency": "400ms",
        "priority": 1,
        "match": {"prefix": prefix},
        "action": {"service": service, "timeout": "1000ms", "attempts": 2, **action},
    }


class Record:
    """Writes the lines of `record.txt` in the folder of a case."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, line: str) -> None:
        """Write one line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.started:8.3f} {line}\n")
        self.file.flush()


Play = typing.Callable[[Deployment, bool], typing.Awaitable[None]]
"""Plays a case, with or without its disruption; raises `Broken` or `Unusable`."""


def main(case: pathlib.Path, play: Play, limit_s: float = 110.0) -> int:
    """Play a case and return its exit status.

    It is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
    """
    record = Record(case / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"disruption: {'yes' if trouble else 'no'}")

    async def run() -> int:
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(pathlib.Path(folder), record)
            try:
                await deployment.store.start()
                async with asyncio.timeout(limit_s):
                    await play(deployment, trouble)
                record("the rule held")
                return 0
            except Broken as error:
                record(f"the rule was broken: {error}")
                return 1
            except Exception as error:
                record(f"the case could not run: {error!r}\n{traceback.format_exc()}")
                return 2
            finally:
                for run_ in deployment.runs():
                    record(f"ran {run_.attempt_id} at {run_.upstream}: {run_.request.start}")
                deployment.close()

    status = asyncio.run(run())
    print(f"{case.name}: exit status {status}", file=sys.stderr)
    return status
