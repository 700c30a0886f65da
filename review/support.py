"""What the review cases share: nodes of the project on loopback, their stand-ins, and a record."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
"""Root folder of the checkout."""

for folder in ("goldcrestgrade", "goldcrestgrade-node", "goldcrestgrade-testing"):
    sys.path.append(str(ROOT / "packages" / folder))

import aiohttp  # noqa: E402
import orjson  # noqa: E402

from goldcrestgrade_testing import serving  # noqa: E402
from goldcrestgrade_testing.fault_soak import proxy  # noqa: E402
from goldcrestgrade_testing.fleet_platform import endpoint, store  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses of a case: the rule held, the rule was broken, the case could not run."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the case brings the disruption about."""

START_COMMAND = ("python3", "platform/start.py")
"""Command of the deploy file, which runs at the root of the checkout."""

HOST = "127.0.0.1"
HOSTNAME = "desk.example"
"""Host name under which the routes are configured."""

PORTS = range(20_000, 32_000)
assigned_ports: set[int] = set()
READY_TIMEOUT_S = 30.0
HEARTBEAT_INTERVAL_S = 1.5


class Record:
    """Lines of `record.txt`: what was sent, answered and run, by seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line for an event at a monotonic instant, now if none is given."""
        seconds = (time.monotonic() if at is None else at) - self.started_at
        self.file.write(f"{seconds:9.3f} {text}\n")
        self.file.flush()


Case = typing.Callable[[Record], typing.Awaitable[int]]
"""Runs a case and returns its exit status."""


def run(case: Case, folder: pathlib.Path) -> typing.NoReturn:
    """Run a case, write its record and exit with its status."""
    record = Record(folder)
    record.write(f"trouble: {'yes' if TROUBLE else 'no'}")
    try:
        status = asyncio.run(_limited(case, record))
    except Exception as error:  # The status tells a failure of the case from a broken rule.
        record.write(f"case could not run: {error!r}"[:2000])
        status = NOT_RUN
    meaning = {HELD: "rule held", BROKEN: "rule broken", NOT_RUN: "case could not run"}[status]
    record.write(f"result: {meaning}")
    print(meaning)
    sys.exit(status)


async def _limited(case: Case, record: Record) -> int:
    async with asyncio.timeout(110):
        return await case(record)


class Placement(typing.NamedTuple):
    """Where an instance stands and which service its endpoint serves."""

    failure_domain: str
    region: str
    service: str


@dataclasses.dataclass
class Instance:
    """An instance: its node, its endpoint and the ports of both."""

    name: str
    placement: Placement
    ports: dict[str, int]
    endpoint: endpoint.Endpoint
    process: subprocess.Popen[bytes] | None = None
    heartbeats: asyncio.Task[None] | None = None
    store_link: proxy.Proxy | None = None
    """Link to the store, if it has a bandwidth."""

    def address(self, name: str) -> str:
        """Return the address of the node, its endpoint or the store."""
        return f"{HOST}:{self.ports[name]}"


class Fleet:
    """Instances and the platform's store; owned by one event loop."""

    def __init__(self, folder: pathlib.Path, settings: typing.Mapping[str, typing.Any]) -> None:
        self.folder = folder
        self.further_settings = settings
        self.store = store.Store()
        self.store_port = 0
        self.instances: list[Instance] = []
        self.session = aiohttp.ClientSession(auto_decompress=False)
        self.store_link_mbps: float | None = None
        """Bandwidth of the link between each node and the store; none if it is unlimited."""

    async def add(
        self, name: str, placement: Placement, new_endpoint: endpoint.Endpoint
    ) -> Instance:
        """Add an instance with a started endpoint and start its node."""
        await new_endpoint.start()
        names = ("calls", "relay", "readiness", "heartbeats", "metrics")
        ports = dict(zip(names, free_ports(len(names)), strict=True))
        ports |= {"store": self.store_port, "endpoint": new_endpoint.raw.port}
        instance = Instance(name, placement, ports, new_endpoint)
        if self.store_link_mbps is not None:
            instance.store_link = proxy.Proxy(self.store_port, self.store_link_mbps * 1e6 / 8)
            await instance.store_link.start()
            ports["store"] = instance.store_link.port
        self.instances.append(instance)
        self.start_node(instance)
        instance.heartbeats = asyncio.create_task(
            endpoint.send_heartbeats(
                new_endpoint,
                instance.address("endpoint"),
                placement.failure_domain,
                instance.address("heartbeats"),
                HEARTBEAT_INTERVAL_S,
            )
        )
        return instance

    def start_node(self, instance: Instance) -> None:
        """Start the node of an instance, with settings as the template of the project has them."""
        path = self.folder / f"{instance.name}.json"
        settings = {
            "node_id": instance.name,
            "host": HOST,
            "region": instance.placement.region,
            "failure_domain": instance.placement.failure_domain,
            "service": instance.placement.service,
            **{name: instance.address(name) for name in instance.ports},
            "grace_s": "6s",
            "resend_ratio": 0.2,
            "resend_slack": 56,
            "resend_window_s": "10s",
            "regions": sorted({i.placement.region for i in self.instances}),
            "link_mbps": 1000.0,
            **self.further_settings,
        }
        path.write_bytes(orjson.dumps(settings))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GOLDCRESTGRADE_SETTINGS": str(path),
        }
        with (self.folder / f"{instance.name}.log").open("ab") as output:
            instance.process = subprocess.Popen(
                START_COMMAND, cwd=ROOT, env=environment, stdout=output, stderr=subprocess.STDOUT
            )

    def configure(self, routes: typing.Sequence[dict[str, typing.Any]], version: int = 3) -> None:
        """Write a configuration, as the operator does."""
        services = sorted({instance.placement.service for instance in self.instances})
        self.store.write(
            "op",
            "config",
            {
                "version": version,
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 1048576,
                    "header_timeout": "5s",
                    "idle_timeout": "15s",
                },
                "listeners": [{"hostname": HOSTNAME, "rules": list(routes)}],
                "clusters": [
                    {"name": name, "health_path": "/healthz", "max_connections": 220}
                    for name in services
                ],
            },
        )

    async def wait_ready(self, instances: typing.Sequence[Instance] = ()) -> None:
        """Wait until nodes are ready and have a row that says that their endpoint serves."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for instance in instances or self.instances:
                while not (await self.is_ready(instance) and self._is_serving(instance)):
                    await asyncio.sleep(0.05)
        # All other nodes have read the latest rows by then.
        await asyncio.sleep(1.0)

    def _is_serving(self, instance: Instance) -> bool:
        log = (self.folder / f"{instance.name}.log").read_text("utf-8")
        return '"serving": true' in log or '"serving":true' in log

    async def is_ready(self, instance: Instance) -> bool:
        """Return whether the node of an instance says that it is ready."""
        url = f"http://{instance.address('readiness')}/-/readyz"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def close(self) -> None:
        """End all processes and stand-ins."""
        kept = os.environ.get("KEEP_LOGS")
        for instance in self.instances:
            if instance.heartbeats is not None:
                instance.heartbeats.cancel()
            if instance.process is not None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
            if kept:
                log = (self.folder / f"{instance.name}.log").read_bytes()
                (pathlib.Path(kept) / f"{instance.name}.log").write_bytes(log)
        for instance in self.instances:
            await instance.endpoint.stop()
            if instance.store_link is not None:
                await instance.store_link.stop()
        self.store.close()
        await self.session.close()


@contextlib.asynccontextmanager
async def running(
    placements: typing.Mapping[str, Placement],
    routes: typing.Sequence[dict[str, typing.Any]],
    make_endpoint: typing.Callable[[str, Placement], endpoint.Endpoint],
    settings: typing.Mapping[str, typing.Any] | None = None,
    store_link_mbps: float | None = None,
) -> typing.AsyncIterator[Fleet]:
    """Run a fleet with one instance for each placement until the context ends."""
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = Fleet(pathlib.Path(folder), settings or {})
        fleet.store_link_mbps = store_link_mbps
        fleet.store_port = await stack.enter_async_context(
            serving.serving(fleet.store.app(store.AccessPoint()))
        )
        stack.push_async_callback(fleet.close)
        for name, placement in placements.items():
            await fleet.add(name, placement, make_endpoint(name, placement))
        fleet.configure(routes)
        await fleet.wait_ready()
        yield fleet


def route(
    name: str,
    service: str,
    route_type: str = "idempotent",
    timeout: str = "2000ms",
    target: str = "400ms",
    attempts: int = 2,
) -> dict[str, typing.Any]:
    """Return a rule of a configuration."""
    return {
        "name": name,
        "route_type": route_type,
        "target_latency": target,
        "priority": 1,
        "match": {"prefix": f"/{name}/"},
        "action": {"service": service, "timeout": timeout, "attempts": attempts},
    }


def free_ports(count: int) -> list[int]:
    """Return ports that are free now and were not returned before in this process.

    They are below those that Linux gives to outgoing connections. A node binds its ports some time
    after its start.
    """
    found: list[int] = []
    for port in random.sample(PORTS, len(PORTS)):
        if port in assigned_ports:
            continue
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((HOST, port))
            found.append(port)
        if len(found) == count:
            break
    assigned_ports.update(found)
    return found


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of an answer with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    return int(head[0].split()[1]), fields, await reader.readexactly(int(fields["content-length"]))
