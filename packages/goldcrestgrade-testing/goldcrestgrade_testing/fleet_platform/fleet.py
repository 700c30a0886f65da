"""A fleet on loopback: node processes, each with a stand-in endpoint, and one stand-in store."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import os
import pathlib
import resource
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
"""Root of the repository."""

START_PROGRAM = ROOT / "platform" / "start.py"
"""Program with which the platform starts a node."""

QUOTA_OVERAGE = 0.1
"""Share by which the requests of a workspace may exceed its quota in a window."""

QUOTA_SLACK = 20
"""Further requests that a window may hold."""

HEARTBEAT_INTERVAL_S = 0.5
"""Time between the heartbeats of the stand-in endpoints."""

READY_TIMEOUT_S = 30.0
"""Timeout of each of two waits: until nodes are ready, and until they reach all services."""

LOG_TAIL_CHARS = 2000
"""Characters of the end of a node's log that an error shows."""

POLL_INTERVAL_S = 0.05
"""Time between two checks while waiting."""

WARM_UP_SETTINGS = {"warm_up_overage": 1.5, "warm_up_slack": 8}
"""Settings of nodes in a fleet with a warm-up."""

OPERATOR_DELAY_S = 0.3
"""Time after which the operator notices that the store lacks a configuration."""

ROUTE_HOSTNAME = "letters.example"
"""Host name under which the routes are configured."""


STEADY_WORKSPACE, ROTATING_WORKSPACE, HOT_WORKSPACE = "steady", "rotating", "hot"
"""Workspaces of the fault soak: one whose key stays, one whose key is withdrawn, one with a quota.
"""

HOT_KEY = f"key-of-{HOT_WORKSPACE}"
"""Key of the workspace with a quota."""

POPULAR_PATH = "/archive/popular"
"""Path that many clients request at once while endpoints crash."""

HOT_QUOTA = (4, 2)
"""Requests a second and burst of that workspace; a window may hold 44 of its requests."""


class FleetNotReady(Exception):
    """A fleet did not serve within `READY_TIMEOUT_S`; the message contains its node logs."""


class Placement(typing.NamedTuple):
    """Location of an instance and the service of its endpoint."""

    failure_domain: str
    region: str
    service: str


@dataclasses.dataclass
class Instance:
    """One instance: its node, its endpoint, and the ports by which they are reached."""

    name: str
    placement: Placement
    ports: dict[str, int]
    """Loopback ports by the name of the setting for their address."""
    store_access: store.AccessPoint
    endpoint: endpoint.Endpoint
    process: subprocess.Popen[bytes] | None = None
    heartbeat_task: asyncio.Task[None] | None = None
    proxies: dict[str, proxy.Proxy] = dataclasses.field(default_factory=dict)
    """Proxies in front of `endpoint` and `store`, by these names; empty if the fleet has none."""
    endpoint_port: int = 0
    """Port at which the endpoint itself listens, behind its proxy if there is one."""

    def address(self, name: str) -> str:
        """Return the address whose port is `ports[name]`."""
        return f"{HOST}:{self.ports[name]}"


@dataclasses.dataclass
class Evacuation:
    """An evacuation by the operator, with monotonic instants of its acknowledgements."""

    failure_domain: str
    started_at: float
    ended_at: float | None = None
    """None while it is in force."""


@dataclasses.dataclass
class Key:
    """A key of a workspace."""

    text: str
    withdrawn_at: float | None = None
    """Monotonic instant at which a configuration without it was written, none if it is held."""


class Answer(typing.NamedTuple):
    """The answer that a client received."""

    attempt_id: str
    status: int
    """0 if no answer arrived: the connection failed or the client timed out."""
    fields: typing.Mapping[str, str]
    body: bytes
    latency_s: float


StartCommand = typing.Sequence[str]
"""Command line that starts a node."""


class Fleet:
    """A deployment on loopback; owned by one event loop."""

    def __init__(
        self,
        folder: pathlib.Path,
        proxied: bool = False,
        start_command: StartCommand | None = None,
        warm_up: endpoint.WarmUp | None = None,
    ) -> None:
        self.folder = folder
        self.warm_up = warm_up
        """Warm-up of all services; endpoints are warm when the fleet starts."""
        self.proxied = proxied
        self.start_command = start_command or (sys.executable, str(START_PROGRAM))
        self.rules: list[dict[str, typing.Any]] = []
        """Rules of the last configuration written."""
        self.workspaces: list[dict[str, typing.Any]] = []
        """Workspaces of the last configuration written, as the platform encodes them."""
        self.keys: list[Key] = []
        """Keys of the workspace whose key the fault soak withdraws, the latest last."""
        self.default_key: str | None = None
        """Key of requests for which `call` is given none."""
        self.further_settings: dict[str, typing.Any] = {}
        """Settings that are added to those of each node as it starts."""
        self.max_fds: int | None = None
        """Largest number of descriptors of each node as it starts; none for that of this process.
        """
        self.limits: dict[str, typing.Any] = {}
        """Limits on clients that are added to those of each configuration."""
        self.added_routes: list[tuple[str, float]] = []
        """Prefix of each route from `add_route` and the monotonic instant when it was written."""
        self.hot_count = 0
        """Number of faults during which the workspace of the fault soak sends above its quota."""
        self.popular_count = 0
        """Number of faults during which many clients request `POPULAR_PATH`."""
        self.replacement_count = 0
        """Number of endpoints that the fault soak replaced; it numbers the ids of new endpoints."""
        self.store = store.Store()
        self.instances: list[Instance] = []
        self.former_endpoints: list[endpoint.Endpoint] = []
        """Crashed endpoints, in the order of their replacement."""
        self.evacuations: list[Evacuation] = []
        self.config_version = 0
        self.configuration: dict[str, typing.Any] = {}
        """Last configuration that the operator wrote."""
        self.stack = contextlib.AsyncExitStack()
        self.session = aiohttp.ClientSession(auto_decompress=False)
        self.sent_requests = 0
        self.sent_paths: dict[str, str] = {}
        """Path of each request of a client, by attempt id."""

    async def add_instance(
        self, name: str, placement: Placement, behaviour: endpoint.Behaviour
    ) -> Instance:
        """Add an instance and start its node."""
        names = ("calls", "relay", "readiness", "heartbeats", "metrics")
        ports = dict(zip(names, processes.free_ports(len(names)), strict=True))
        store_access = store.AccessPoint()
        ports["store"] = await self.stack.enter_async_context(
            serving.serving(self.store.app(store_access))
        )
        new_endpoint = endpoint.Endpoint(f"i-{name}-1", placement.service, behaviour, name)
        await new_endpoint.start()
        ports["endpoint"] = new_endpoint.raw.port
        instance = Instance(
            name, placement, ports, store_access, new_endpoint, endpoint_port=new_endpoint.raw.port
        )
        if self.proxied:
            await self._start_proxies(instance)
        self.instances.append(instance)
        self.start_node(instance)
        self.start_heartbeats(instance)
        return instance

    async def _start_proxies(self, instance: Instance) -> None:
        for name in ("endpoint", "store"):
            link = proxy.Proxy(instance.ports[name])
            await link.start()
            instance.proxies[name] = link
            instance.ports[name] = link.port

    def add_route(self) -> None:
        """Write a configuration with one more route to the first service."""
        prefix = f"/added-{len(self.added_routes) + 1}/"
        service = min(instance.placement.service for instance in self.instances)
        rule = route(
            f"added-{len(self.added_routes) + 1}",
            prefix,
            {service: 1},
        )
        self.configure(*self.rules, rule)
        self.added_routes.append((prefix, time.monotonic()))

    def withdraw_key(self) -> None:
        """Write a configuration in which a new key takes the place of the latest one."""
        key = f"key-{len(self.keys) + 1}-of-{ROTATING_WORKSPACE}"
        self.keys.append(Key(key))
        self.default_key = f"key-of-{STEADY_WORKSPACE}"
        self.configure(
            *self.rules,
            workspaces=[
                workspace(STEADY_WORKSPACE, self.default_key),
                workspace(ROTATING_WORKSPACE, key),
                workspace(HOT_WORKSPACE, HOT_KEY, rate_per_s=HOT_QUOTA[0], burst_size=HOT_QUOTA[1]),
            ],
        )
        if len(self.keys) > 1:
            self.keys[-2].withdrawn_at = time.monotonic()

    def reload_settings(self, instance: Instance) -> None:
        """Change the settings file of a node and send the node SIGHUP if it runs."""
        settings = self.settings(instance)
        settings["resend_slack"] += 1
        (self.folder / f"{instance.name}.json").write_bytes(orjson.dumps(settings))
        if instance.process is not None and instance.process.poll() is None:
            instance.process.send_signal(signal.SIGHUP)

    def start_node(self, instance: Instance) -> None:
        """Write the settings of a node and start it; its output is appended to its log."""
        path = self.folder / f"{instance.name}.json"
        path.write_bytes(orjson.dumps(self.settings(instance)))
        with (self.folder / f"{instance.name}.log").open("ab") as output:
            instance.process = subprocess.Popen(
                self.start_command,
                env={**os.environ, "GOLDCRESTGRADE_SETTINGS": str(path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        if self.max_fds is not None:
            limit = (self.max_fds, self.max_fds)
            resource.prlimit(instance.process.pid, resource.RLIMIT_NOFILE, limit)

    def settings(self, instance: Instance) -> dict[str, typing.Any]:
        """Return the settings of a node as the platform renders them from its template."""
        return {
            "node_id": instance.name,
            "host": HOST,
            "region": instance.placement.region,
            "failure_domain": instance.placement.failure_domain,
            "service": instance.placement.service,
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
            **({} if self.warm_up is None else WARM_UP_SETTINGS),
            **self.further_settings,
            "quota_overage": QUOTA_OVERAGE,
            "quota_slack": QUOTA_SLACK,
        }

    def assign_service(self, instance: Instance, service: str) -> None:
        """Name another service in the settings of a node, and send SIGHUP if the node runs."""
        instance.placement = instance.placement._replace(service=service)
        self.reload_settings(instance)

    async def report(self, reporting: endpoint.Endpoint, instance: Instance) -> None:
        """Send one heartbeat of an endpoint, which may have ended, to the node of an instance."""
        async with aiohttp.ClientSession() as session:
            await endpoint.send_heartbeat(
                session,
                reporting,
                instance.address("endpoint"),
                instance.placement.failure_domain,
                instance.address("heartbeats"),
            )

    def start_heartbeats(self, instance: Instance, after_s: float = 0.0) -> None:
        """Start sending heartbeats of the endpoint to its node, after `after_s`."""
        instance.heartbeat_task = asyncio.create_task(
            endpoint.send_heartbeats(
                instance.endpoint,
                instance.address("endpoint"),
                instance.placement.failure_domain,
                instance.address("heartbeats"),
                HEARTBEAT_INTERVAL_S,
                after_s,
            )
        )

    async def replace_endpoint(
        self,
        instance: Instance,
        endpoint_id: str,
        service: str | None = None,
        reports_after_s: float = 0.0,
    ) -> None:
        """Crash the endpoint of an instance and start another one at its address.

        The new one is of the service in the settings unless `service` names another one.
        """
        assert instance.heartbeat_task is not None
        instance.heartbeat_task.cancel()
        await instance.endpoint.stop()
        self.former_endpoints.append(instance.endpoint)
        new_endpoint = endpoint.Endpoint(
            endpoint_id,
            service or instance.placement.service,
            endpoint.Behaviour(service_time_s=0.02, warm_up=self.warm_up),
            instance.name,
        )
        new_endpoint.become_cold()
        await new_endpoint.start(instance.endpoint_port)
        instance.endpoint = new_endpoint
        self.start_heartbeats(instance, reports_after_s)

    def configure(
        self,
        *routes: dict[str, typing.Any],
        workspaces: typing.Sequence[dict[str, typing.Any]] | None = None,
    ) -> None:
        """Write a configuration with the rules `routes` to the store, as the operator does.

        Without `workspaces`, those of the last configuration stay.
        """
        self.config_version += 2
        if workspaces is not None:
            self.workspaces = list(workspaces)
        self.rules = list(routes)
        services = sorted({instance.placement.service for instance in self.instances})
        warm_up = {} if self.warm_up is None else warm_up_fields(self.warm_up)
        self.configuration = {
            "version": self.config_version,
            "limits": {"max_body_bytes": 65536, "idle_timeout": "15000ms", **self.limits},
            "listeners": [{"hostname": ROUTE_HOSTNAME, "rules": list(routes)}],
            "clusters": [
                {"name": name, "health_path": "/healthz", "max_connections": 220, **warm_up}
                for name in services
            ],
        }
        if self.workspaces:
            self.configuration["tenants"] = self.workspaces
        self.store.write("op", "config", self.configuration)

    def evacuate(self, failure_domain: str) -> None:
        """Evacuate a failure domain, as the operator does."""
        if not self.is_evacuated(failure_domain):
            self.store.write("op", f"evacuate/{failure_domain}", {})
            self.evacuations.append(Evacuation(failure_domain, time.monotonic()))

    def end_evacuation(self, failure_domain: str) -> None:
        """End the evacuation of a failure domain if there is one, as the operator does."""
        for evacuation in self.evacuations:
            if evacuation.failure_domain == failure_domain and evacuation.ended_at is None:
                evacuation.ended_at = time.monotonic()
                self.store.remove("op", f"evacuate/{failure_domain}")

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether the operator evacuates a failure domain."""
        return any(
            evacuation.failure_domain == failure_domain and evacuation.ended_at is None
            for evacuation in self.evacuations
        )

    async def restore_store(self, age_s: float, away_s: float) -> None:
        """Have the store come back from a copy; the operator then writes its rows again.

        A row of an ended evacuation is written before it is removed, so that all nodes learn of the
        removal, also those that know an acknowledged row that the store has lost.

        `age_s` is the age of the copy and `away_s` the time for which the store is away.
        """
        await self.store.restore(age_s, away_s)
        await asyncio.sleep(OPERATOR_DELAY_S)
        self.store.write("op", "config", self.configuration)
        for domain in sorted({evacuation.failure_domain for evacuation in self.evacuations}):
            self.store.write("op", f"evacuate/{domain}", {})
            if not self.is_evacuated(domain):
                self.store.remove("op", f"evacuate/{domain}")

    async def wait_ready(self, instances: typing.Sequence[Instance] = ()) -> None:
        """Wait until nodes report readiness, all nodes if `instances` is empty.

        Raises `TimeoutError` after `READY_TIMEOUT_S`, with the end of the log of each such node.
        """
        waiting = list(instances or self.instances)
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while waiting:
                    if await self.is_ready(waiting[0]):
                        del waiting[0]
                    else:
                        await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise TimeoutError("\n".join(map(self._describe_process, waiting))) from None

    def _describe_process(self, instance: Instance) -> str:
        """Return the state of the process of a node, and the end of its log."""
        status = None if instance.process is None else instance.process.poll()
        state = "runs" if status is None else f"ended with status {status}"
        return f"{instance.name} {state}: {self.node_log(instance)[-LOG_TAIL_CHARS:]}"

    async def wait_served(self) -> None:
        """Wait until each node reaches an endpoint of each service.

        Raises `TimeoutError` after `READY_TIMEOUT_S`.
        """
        services = sorted({instance.placement.service for instance in self.instances})
        async with asyncio.timeout(READY_TIMEOUT_S):
            for instance, service in itertools.product(self.instances, services):
                while (await self.call(instance, f"/{service}/")).status != 200:
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_keys_required(self) -> None:
        """Wait until each node refuses unknown keys; raises `TimeoutError` in time."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for instance in self.instances:
                while (await self.call(instance, "/", key="unknown")).status != 401:
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_known(self) -> None:
        """Wait until each node knows that the endpoint of each instance serves.

        A node may serve by other endpoints before. Raises `TimeoutError` after `READY_TIMEOUT_S`.
        """
        names = {instance.name for instance in self.instances}
        async with asyncio.timeout(READY_TIMEOUT_S):
            for instance in self.instances:
                while not names <= self._serving_instances(instance):
                    await asyncio.sleep(POLL_INTERVAL_S)

    def _serving_instances(self, instance: Instance) -> set[str]:
        """Return the names of the instances that the node of `instance` has logged as serving."""
        lines = (
            orjson.loads(line)
            for line in self.node_log(instance).splitlines()
            if '"instance known"' in line and line.endswith("}")
        )
        return {line["instance"] for line in lines if line["row"]["serving"]}

    async def is_ready(self, instance: Instance) -> bool:
        """Return whether the node of `instance` reports readiness."""
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
        attempt_id: str | None = None,
        key: str | None = None,
    ) -> Answer:
        """Send one request to the node of `instance`, as a client on that instance does.

        The `x-caller-service` header is forged: the node must replace it by its own service. With a
        `key` of a workspace, the header that names the workspace is forged too.
        """
        key = self.default_key if key is None else key
        identity = {} if key is None else {"authorization": f"Token {key}", "x-tenant-id": "forged"}
        self.sent_requests += 1
        attempt_id = attempt_id or f"try-{self.sent_requests}"
        self.sent_paths[attempt_id] = path
        started = time.monotonic()
        try:
            async with self.session.request(
                method,
                f"http://{instance.address('calls')}{path}",
                headers={
                    "host": ROUTE_HOSTNAME,
                    "x-attempt-id": attempt_id,
                    "x-deadline-ms": str(deadline_ms),
                    "x-caller-service": "forged",
                    **identity,
                },
                data=b"request" if method == "POST" else None,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000 + 1),
            ) as response:
                body = await response.read()
                fields = {name.lower(): value for name, value in response.headers.items()}
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            status, fields, body = 0, {}, b""
        return Answer(attempt_id, status, fields, body, time.monotonic() - started)

    def run_count(self, attempt_id: str) -> int:
        """Return how often endpoints, including crashed ones, began to work on an attempt."""
        all_endpoints = [
            *self.former_endpoints,
            *(instance.endpoint for instance in self.instances),
        ]
        return sum(one.run_counts[attempt_id] for one in all_endpoints)

    def node_log(self, instance: Instance) -> str:
        """Return the log of the node of `instance`."""
        return (self.folder / f"{instance.name}.log").read_text("utf-8")

    async def close(self) -> None:
        """Stop all processes, endpoints, proxies and servers of this fleet."""
        for instance in self.instances:
            if instance.heartbeat_task is not None:
                instance.heartbeat_task.cancel()
        processes.kill_all(
            instance.process for instance in self.instances if instance.process is not None
        )
        for instance in self.instances:
            await instance.endpoint.stop()
            for link in instance.proxies.values():
                await link.stop()
        self.store.close()
        await self.session.close()
        await self.stack.aclose()


def warm_up_fields(warm_up: endpoint.WarmUp) -> dict[str, typing.Any]:
    """Return the fields of a service in a configuration."""
    return {"warmup": f"{round(1000 * warm_up.seconds)}ms", "warmup_per_s": warm_up.rate}


def route(
    name: str,
    prefix: str,
    weights: dict[str, int],
    run_once: bool = False,
    anonymous: bool = False,
    **action: typing.Any,
) -> dict[str, typing.Any]:
    """Return a rule of a configuration, with the weight of each service in `weights`."""
    split = [{"service": service, "weight": weight} for service, weight in weights.items()]
    target = {"traffic_split": split} if len(split) > 1 else {"service": split[0]["service"]}
    return {
        "name": name,
        "route_type": "non_idempotent" if run_once else "idempotent",
        "target_latency": "400ms",
        "priority": 1,
        "match": {"prefix": prefix},
        "action": {**target, "timeout": "1000ms", "attempts": 2, **action},
        **({"anonymous": True} if anonymous else {}),
    }


def workspace(name: str, *keys: str, **further: typing.Any) -> dict[str, typing.Any]:
    """Return a workspace of a configuration that holds `keys`."""
    return {"name": name, "api_keys": list(keys), "priority": 1, **further}


@contextlib.asynccontextmanager
async def running(
    placements: typing.Mapping[str, Placement],
    service_time_s: float = 0.02,
    proxied: bool = False,
    start_command: StartCommand | None = None,
    warm_up: endpoint.WarmUp | None = None,
    tenants: typing.Sequence[dict[str, typing.Any]] = (),
    prepare: typing.Callable[[Fleet], None] = lambda _fleet: None,
) -> typing.AsyncIterator[Fleet]:
    """Run a fleet with one named instance for each of `placements`, and an initial configuration.

    `prepare` may change the fleet before its nodes start.

    The configuration gives each service an idempotent route, and a run-once route under `file/`.
    With workspaces, `tenants`, these routes need no key. With `proxied`, nodes reach their endpoint
    and the store through proxies. Raises `FleetNotReady` if the nodes do not serve in time.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), proxied, start_command, warm_up)
        prepare(fleet)
        try:
            for name, placement in placements.items():
                await fleet.add_instance(
                    name,
                    placement,
                    endpoint.Behaviour(service_time_s=service_time_s, warm_up=warm_up),
                )
            services = sorted({placement.service for placement in placements.values()})
            keyless = bool(tenants)
            fleet.configure(
                *(route(f"read-{s}", f"/{s}/", {s: 1}, anonymous=keyless) for s in services),
                *(
                    route(f"file-{s}", f"/{s}/file/", {s: 1}, run_once=True, anonymous=keyless)
                    for s in services
                ),
                workspaces=tenants or None,
            )
            try:
                await fleet.wait_ready()
                await fleet.wait_served()
                await fleet.wait_known()
            except TimeoutError as error:
                logs = "\n".join(fleet.node_log(instance) for instance in fleet.instances)
                raise FleetNotReady(logs) from error
            yield fleet
        finally:
            await fleet.close()
