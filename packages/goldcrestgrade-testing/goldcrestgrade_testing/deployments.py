"""A small deployment on loopback: the platform in this process, nodes and endpoints in others."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import tempfile
import typing

import aiohttp

from goldcrestgrade import http_client, settings
from goldcrestgrade_operator.sheets import acceptance
from goldcrestgrade_testing import (
    endpoint_server,
    letters_desk,
    memory_platform,
    platform_server,
    processes,
)

SERVICE = "archive"
"""Service of every endpoint."""

MAX_CLIENT_CONNECTIONS = 200
"""Largest number of connections of the HTTP session that all clients share."""

CLIENT_KEEPALIVE_S = 5.0
"""Time after which an idle connection of a client is closed."""


class Instance(typing.NamedTuple):
    """An endpoint and its node, each as a process."""

    spec: letters_desk.InstanceSpec
    node: processes.Process
    endpoint: processes.Process

    @property
    def calls_url(self) -> str:
        """Base URL of the node for clients."""
        return f"http://{letters_desk.HOST}:{self.spec.calls_port}"

    @property
    def control_url(self) -> str:
        """Base URL of the node for peers and operators."""
        return f"http://{letters_desk.HOST}:{self.spec.control_port}"

    @property
    def endpoint_url(self) -> str:
        """Base URL of the endpoint."""
        return f"http://{letters_desk.HOST}:{self.spec.endpoint_port}"


class Deployment(typing.NamedTuple):
    """The running instances, and an HTTP session for clients."""

    instances: list[Instance]
    session: aiohttp.ClientSession
    platform_url: str = ""
    """Base URL of the platform."""


@contextlib.asynccontextmanager
async def running(
    count: int, behaviour: endpoint_server.Behaviour
) -> typing.AsyncIterator[Deployment]:
    """Run `count` instances in one failure domain until the context ends.

    The context begins when all are ready; raises `TimeoutError` if a node does not become ready.
    """
    async with contextlib.AsyncExitStack() as stack:
        platform_port, *ports = processes.free_ports(1 + 3 * count)
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        stack.callback((await _serve_platform(platform_port)).cancel)
        started: list[processes.Process] = []
        stack.callback(processes.kill_all, started)
        instances = []
        for index in range(count):
            spec = _instance_spec(index, ports[3 * index : 3 * index + 3])
            config = letters_desk.node_settings(spec, platform_port)
            started.append(processes.start_node(config, folder))
            started.append(processes.start_endpoint(_endpoint_settings(spec, behaviour)))
            instances.append(Instance(spec, *started[-2:]))
        session = await stack.enter_async_context(
            http_client.open_session(MAX_CLIENT_CONNECTIONS, CLIENT_KEEPALIVE_S)
        )
        for instance in instances:
            await processes.wait_ready(
                instance.control_url, letters_desk.SHARED_KEY, count, session
            )
        platform_url = f"http://{letters_desk.HOST}:{platform_port}"
        yield Deployment(instances, session, platform_url)


async def _serve_platform(port: int) -> asyncio.Task[None]:
    tables = memory_platform.MemoryTables()
    objects = memory_platform.MemoryObjects()
    document = letters_desk.sheet_document("2026-01-01")
    await acceptance.accept(tables, objects, document, await acceptance.read_head(tables), "test")
    return asyncio.create_task(platform_server.serve(_address(port), tables, objects))


def _address(port: int) -> settings.Address:
    return {"host": letters_desk.HOST, "port": port}


def _instance_spec(index: int, ports: typing.Sequence[int]) -> letters_desk.InstanceSpec:
    return letters_desk.InstanceSpec(SERVICE, "khomas-a", "khomas", f"{SERVICE}-{index}", *ports)


def _endpoint_settings(
    spec: letters_desk.InstanceSpec, behaviour: endpoint_server.Behaviour
) -> endpoint_server.EndpointSettings:
    return endpoint_server.EndpointSettings(
        service=spec.service,
        name=spec.node_id,
        region=spec.region,
        address=_address(spec.endpoint_port),
        control_url=f"http://{letters_desk.HOST}:{spec.control_port}",
        shared_key=letters_desk.SHARED_KEY,
        behaviour=behaviour,
    )
