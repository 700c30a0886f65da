"""Nodes as processes on loopback, each beside a stand-in endpoint, with a stand-in store."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp
import orjson

from goldcrestgrade_testing import processes, serving
from goldcrestgrade_testing.fault_soak import proxy
from goldcrestgrade_testing.fleet_platform import endpoint, store

HOST = "127.0.0.1"

ROOT = pathlib.Path(__file__).resolve().parents[4]
"""The checkout."""

START = ROOT / "platform" / "start.py"
"""Program that the platform starts."""

HEARTBEAT_S = 0.5
"""Time between the heartbeats of the stand-in endpoints."""

READY_S = 30.0
"""Longest wait for a node to be ready."""

POLL_S = 0.05
"""Time between looks."""

HOST_NAME = "letters.example"
"""Host of the routes."""


class NotServed(Exception):
    """A fleet did not serve in time; the text is what its nodes have logged."""


class Place(typing.NamedTuple):
    """Where an instance stands and what its endpoint serves."""

    zone: str
    region: str
    service: str


@dataclasses.dataclass
class Instance:
    """One instance: the addresses of its node, the process and the endpoint."""

    name: str
    place: Place
    ports: dict[str, int]
    store_access: store.AccessPoint
    endpoint: endpoint.Endpoint
    process: subprocess.Popen[bytes] | None = None
    beating: asyncio.Task[None] | None = None
    links: dict[str, proxy.Proxy] = dataclasses.field(default_factory=dict)
    """Proxies in front of the endpoint and the store, where the fleet has them."""
    endpoint_port: int = 0
    """Port at which the endpoint itself listens."""

    def address(self, name: str) -> str:
        """Return one of the addresses of the node."""
        return f"{HOST}:{self.ports[name]}"


class Answer(typing.NamedTuple):
    """What a client got."""

    attempt: str
    status: int
    """0 where the connection ended without an answer."""
    fields: typing.Mapping[str, str]
    body: bytes
    took_s: float


Start = typing.Sequence[str]
"""Command that starts a node."""


class Fleet:
    """A deployment on loopback; owned by one event loop."""

    def __init__(
        self, folder: pathlib.Path, proxied: bool = False, start: Start | None = None
    ) -> None:
        self.folder = folder
        self.proxied = proxied
        self.command = start or (sys.executable, str(START))
        self.rules: list[dict[str, typing.Any]] = []
        """Rules of the configuration in force."""
        self.routes: list[tuple[str, float]] = []
        """Prefixes of the routes added later and the monotonic instants of their writing."""
        self.replaced = 0
        """Endpoints that were replaced by a later one."""
        self.store = store.Store()
        self.instances: list[Instance] = []
        self.former: list[endpoint.Endpoint] = []
        """Endpoints that were replaced."""
        self.version = 0
        self.stack = contextlib.AsyncExitStack()
        self.session = aiohttp.ClientSession(auto_decompress=False)
        self.attempts = 0

    async def add(self, name: str, place: Place, behaviour: endpoint.Behaviour) -> Instance:
        """Add an instance and start its node."""
        names = ("calls", "relay", "readiness", "heartbeats", "metrics")
        ports = dict(zip(names, processes.free_ports(len(names)), strict=True))
        store_access = store.AccessPoint()
        ports["store"] = await self.stack.enter_async_context(
            serving.serving(self.store.app(store_access))
        )
        beside = endpoint.Endpoint(f"i-{name}-1", place.service, behaviour)
        await beside.start()
        ports["endpoint"] = beside.raw.port
        instance = Instance(name, place, ports, store_access, beside, endpoint_port=beside.raw.port)
        if self.proxied:
            await self._put_proxies(instance)
        self.instances.append(instance)
        self.start(instance)
        self.beat(instance)
        return instance

    async def _put_proxies(self, instance: Instance) -> None:
        for name in ("endpoint", "store"):
            link = proxy.Proxy(instance.ports[name])
            await link.start()
            instance.links[name] = link
            instance.ports[name] = link.port

    def add_route(self) -> None:
        """Write a configuration with one more route to the first service."""
        prefix = f"/added-{len(self.routes) + 1}/"
        service = min(instance.place.service for instance in self.instances)
        rule = route(f"added-{len(self.routes) + 1}", prefix, {service: 1})
        self.configure(*self.rules, rule)
        self.routes.append((prefix, time.monotonic()))

    def reload(self, instance: Instance) -> None:
        """Change the settings file of a node and tell the node of it."""
        settings = self.settings(instance)
        settings["resend_slack"] += 1
        (self.folder / f"{instance.name}.json").write_bytes(orjson.dumps(settings))
        if instance.process is not None and instance.process.poll() is None:
            instance.process.send_signal(signal.SIGHUP)

    def start(self, instance: Instance) -> None:
        """Start the node of an instance."""
        path = self.folder / f"{instance.name}.json"
        path.write_bytes(orjson.dumps(self.settings(instance)))
        with (self.folder / f"{instance.name}.log").open("ab") as output:
            instance.process = subprocess.Popen(
                self.command,
                env={**os.environ, "GOLDCRESTGRADE_SETTINGS": str(path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def settings(self, instance: Instance) -> dict[str, typing.Any]:
        """Return the settings of a node, as the platform writes them from the template."""
        return {
            "node_id": instance.name,
            "host": HOST,
            "region": instance.place.region,
            "failure_domain": instance.place.zone,
            "service": instance.place.service,
            **{
                name: instance.address(name)
                for name in (
                    "endpoint",
                    "calls",
                    "relay",
                    "readiness",
                    "heartbeats",
                    "metrics",
                    "store",
                )
            },
            "resend_slack": 56,
        }

    def beat(self, instance: Instance) -> None:
        """Have the endpoint tell its node of itself."""
        instance.beating = asyncio.create_task(
            endpoint.send_heartbeats(
                instance.endpoint,
                instance.address("endpoint"),
                instance.place.zone,
                instance.address("heartbeats"),
                HEARTBEAT_S,
            )
        )

    async def replace_endpoint(self, instance: Instance, endpoint_id: str) -> None:
        """Crash the endpoint of an instance and start another one at its address."""
        assert instance.beating is not None
        instance.beating.cancel()
        await instance.endpoint.stop()
        self.former.append(instance.endpoint)
        new = endpoint.Endpoint(
            endpoint_id, instance.place.service, endpoint.Behaviour(service_time_s=0.02)
        )
        await new.start(instance.endpoint_port)
        instance.endpoint = new
        self.beat(instance)

    def configure(self, *routes: dict[str, typing.Any]) -> None:
        """Write a configuration with `routes` as the operator does."""
        self.version += 2
        self.rules = list(routes)
        services = sorted({instance.place.service for instance in self.instances})
        self.store.write(
            "op",
            "config",
            {
                "version": self.version,
                "limits": {"max_body_bytes": 65536, "idle_timeout": "15000ms"},
                "listeners": [{"hostname": HOST_NAME, "rules": list(routes)}],
                "clusters": [
                    {"name": name, "health_path": "/healthz", "max_connections": 220}
                    for name in services
                ],
            },
        )

    async def wait_ready(self, instances: typing.Sequence[Instance] = ()) -> None:
        """Wait until nodes say that they are ready; raises `TimeoutError`."""
        async with asyncio.timeout(READY_S):
            for instance in instances or self.instances:
                while not await self.ready(instance):
                    await asyncio.sleep(POLL_S)

    async def wait_served(self) -> None:
        """Wait until each node reaches an endpoint of each service; raises `TimeoutError`."""
        services = sorted({instance.place.service for instance in self.instances})
        async with asyncio.timeout(READY_S):
            for instance, service in itertools.product(self.instances, services):
                while (await self.call(instance, f"/{service}/")).status != 200:
                    await asyncio.sleep(POLL_S)

    async def ready(self, instance: Instance) -> bool:
        """Tell whether a node says that it is ready."""
        try:
            async with self.session.get(
                f"http://{instance.address('readiness')}/-/readyz"
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def call(
        self,
        instance: Instance,
        path: str,
        method: str = "GET",
        deadline_ms: int = 2000,
        attempt: str | None = None,
    ) -> Answer:
        """Send one request as a client on an instance does."""
        self.attempts += 1
        attempt = attempt or f"try-{self.attempts}"
        started = time.monotonic()
        try:
            async with self.session.request(
                method,
                f"http://{instance.address('calls')}{path}",
                headers={
                    "host": HOST_NAME,
                    "x-attempt-id": attempt,
                    "x-deadline-ms": str(deadline_ms),
                    "x-caller-service": "forged",
                },
                data=b"request" if method == "POST" else None,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000 + 1),
            ) as response:
                body = await response.read()
                fields = {name.lower(): value for name, value in response.headers.items()}
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            status, fields, body = 0, {}, b""
        return Answer(attempt, status, fields, body, time.monotonic() - started)

    def runs(self, attempt: str) -> int:
        """Return how often endpoints began to work on a client's try."""
        known = [*self.former, *(instance.endpoint for instance in self.instances)]
        return sum(beside.run_counts[attempt] for beside in known)

    def log(self, instance: Instance) -> str:
        """Return what the node of an instance has written."""
        return (self.folder / f"{instance.name}.log").read_text("utf-8")

    async def close(self) -> None:
        """End everything that this fleet started."""
        for instance in self.instances:
            if instance.beating is not None:
                instance.beating.cancel()
        processes.stop_at_once(
            instance.process for instance in self.instances if instance.process is not None
        )
        for instance in self.instances:
            await instance.endpoint.stop()
            for link in instance.links.values():
                await link.stop()
        self.store.close()
        await self.session.close()
        await self.stack.aclose()


def route(
    name: str, prefix: str, parts: dict[str, int], once: bool = False, **action: typing.Any
) -> dict[str, typing.Any]:
    """Return a rule of a configuration."""
    split = [{"service": service, "weight": weight} for service, weight in parts.items()]
    to = {"traffic_split": split} if len(split) > 1 else {"service": split[0]["service"]}
    return {
        "name": name,
        "route_type": "non_idempotent" if once else "idempotent",
        "target_latency": "400ms",
        "priority": 1,
        "match": {"prefix": prefix},
        "action": {**to, "timeout": "1000ms", "attempts": 2, **action},
    }


@contextlib.asynccontextmanager
async def running(
    places: typing.Mapping[str, Place],
    service_time_s: float = 0.02,
    proxied: bool = False,
    start: Start | None = None,
) -> typing.AsyncIterator[Fleet]:
    """Run a fleet with an instance for each of `places`, by name, and a first configuration.

    With `proxied`, the endpoints and the store are reached through proxies.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), proxied, start)
        try:
            for name, place in places.items():
                await fleet.add(name, place, endpoint.Behaviour(service_time_s=service_time_s))
            services = sorted({place.service for place in places.values()})
            fleet.configure(
                *(route(f"read-{s}", f"/{s}/", {s: 1}) for s in services),
                *(route(f"file-{s}", f"/{s}/file/", {s: 1}, once=True) for s in services),
            )
            try:
                await fleet.wait_ready()
                await fleet.wait_served()
            except TimeoutError as error:
                logs = "\n".join(fleet.log(instance) for instance in fleet.instances)
                raise NotServed(logs) from error
            yield fleet
        finally:
            await fleet.close()
