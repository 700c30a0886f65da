"""Runs a node of the mesh until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import logging
import pathlib
import signal
import socket
import time
import typing

from goldcrestgrade import http_client, routes
from goldcrestgrade_node import asgi, garbage, intake, servers
from goldcrestgrade_node.mesh import node, reload, settings
from goldcrestgrade_node.mesh.entry import pipelining

log = logging.getLogger(__name__)

CONTROL_CONNECTIONS = 256
"""Largest number of connections of a node for probes and polls of peers."""

MAX_CONTROL_BYTES = 16 << 20
"""Most bytes of answers that are received at once on these connections."""

CONTROL_KEEPALIVE_S = 15.0
"""Idle time after which one of these connections, or one for health checks, is closed."""

HEALTH_CONNECTIONS = 4
"""Largest number of connections for health checks of the endpoint."""

MAX_HEALTH_ANSWER_BYTES = 256 * 1024
"""Most bytes of an answer to a health check; only its head is used."""

CLIENT_KEEPALIVE_S = 300
"""Idle time after which a client's connection is closed; above any configured idle time."""

RELAY_KEEPALIVE_S = 30
"""Idle time after which another node's connection is closed; nodes stop using it earlier."""

MIN_CLOSE_S = 0.3
"""Shortest time that the servers get to close their connections."""

REQUEST_LINE_BYTES = 8 * 1024
"""Bytes that a head may have beyond `max_header_bytes`, which does not count the request line."""

RELAY_HEAD_BYTES = 16 * 1024
"""Bytes that nodes add to the head of a request at most."""

RETRY_AFTER = "0.3"
"""Value of `Retry-After` in refusals of requests that were not read or found no memory."""

MakeApps = typing.Callable[["node.MeshNode"], typing.Mapping[str, asgi.App]]
"""Returns further applications by the address at which each listens."""

Listeners = typing.Mapping[str, socket.socket]
"""Sockets that listen already, by address."""

MakePlatform = typing.Callable[[], "node.Platform"]
"""Returns the adapter of the deployment."""


class BootClockLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock includes the time for which the instance was suspended."""

    def time(self) -> float:
        """Return the seconds since the instance booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(
    path: pathlib.Path,
    config: settings.Settings,
    make_platform: MakePlatform,
    make_apps: MakeApps,
    listeners: Listeners,
) -> None:
    """Run a node with `config`, which was read from `path`; return after its drain."""
    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        runner.run(_run(path, config, make_platform, make_apps, listeners))


async def _run(
    path: pathlib.Path,
    config: settings.Settings,
    make_platform: MakePlatform,
    make_apps: MakeApps,
    listeners: Listeners,
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            http_client.open_session(
                CONTROL_CONNECTIONS,
                CONTROL_KEEPALIVE_S,
                MAX_CONTROL_BYTES,
                http_client.ReceivedBytes(MAX_CONTROL_BYTES),
            )
        )
        health_session = await stack.enter_async_context(
            http_client.open_session(
                HEALTH_CONNECTIONS, CONTROL_KEEPALIVE_S, MAX_HEALTH_ANSWER_BYTES
            )
        )
        platform = make_platform()
        stack.push_async_callback(platform.store.close)
        mesh_node = node.MeshNode(config, platform, session, health_session)
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, mesh_node.stopping.set)
        reloader = reload.SettingsReloader(path, config, mesh_node.apply_settings)
        loop.add_signal_handler(signal.SIGHUP, reloader.requested.set)
        garbage.configure_collector()
        await _serve(config, mesh_node, make_apps(mesh_node), listeners, reloader)


async def _serve(
    config: settings.Settings,
    mesh_node: node.MeshNode,
    extra_apps: typing.Mapping[str, asgi.App],
    listeners: Listeners,
    reloader: reload.SettingsReloader,
) -> None:
    clients = _client_bounds(config, mesh_node)
    peers = clients._replace(
        max_head_bytes=lambda: max(
            servers.MAX_HEAD_BYTES, clients.max_head_bytes() + RELAY_HEAD_BYTES
        ),
        head_timeout_s=lambda: servers.HEAD_TIMEOUT_S,
    )
    others = peers._replace(max_head_bytes=lambda: servers.MAX_HEAD_BYTES, app_refuses=False)
    http_servers = [
        _create_client_server(mesh_node, config.calls, clients),
        _create_server(mesh_node.peers(), config.relay, RELAY_KEEPALIVE_S, peers),
        *(
            _create_server(app, address, RELAY_KEEPALIVE_S, others)
            for address, app in extra_apps.items()
        ),
    ]
    addresses = [config.calls, config.relay, *extra_apps]
    for address in listeners.keys() - set(addresses):
        listeners[address].close()
    async with asyncio.TaskGroup() as group:
        serving = [
            group.create_task(server.serve([listeners[address]] if address in listeners else None))
            for address, server in zip(addresses, http_servers, strict=True)
        ]
        background = [group.create_task(task) for task in (*mesh_node.tasks(), reloader.run())]
        log.info("node started", extra={"settings": config._asdict()})
        await mesh_node.stopping.wait()
        log.info("node stopping")
        end_by = await mesh_node.drain()
        for server in http_servers:
            server.should_exit = True
        # The servers close idle connections at once and the others after their answers.
        left_s = max(MIN_CLOSE_S, end_by - asyncio.get_running_loop().time())
        _, unfinished = await asyncio.wait(serving, timeout=left_s)
        for server in http_servers:
            # A request that is cancelled would wait for its client to read the answer.
            server.abort_connections()
        for task in itertools.chain(unfinished, background):
            task.cancel()
    log.info("node stopped")


def _client_bounds(config: settings.Settings, mesh_node: node.MeshNode) -> servers.Bounds:
    """Return the bounds of clients, which follow the configuration in force."""

    def limits() -> routes.Limits:
        return routes.Limits() if mesh_node.table is None else mesh_node.table.limits

    connections = intake.Intake(intake.limits(config.memory_mb, config.max_fds), mesh_node.counts)
    connections.answers_wait = lambda: bool(mesh_node.answers.waiting)
    mesh_node.body_memory.on_full = connections.record_refused_body
    return servers.Bounds(
        connections,
        lambda: limits().max_header_bytes + REQUEST_LINE_BYTES,
        lambda: limits().header_timeout_s,
        RETRY_AFTER,
        app_refuses=True,
    )


def _create_client_server(
    mesh_node: node.MeshNode, address: str, bounds: servers.Bounds
) -> servers.Server:
    """Return the server of clients, whose pipelined requests run side by side."""
    entry = mesh_node.entry()
    terms = pipelining.Terms(entry.may_run_beside, mesh_node.counts, pipelining.FinishedAnswers())
    protocol = functools.partial(pipelining.PipeliningProtocol, terms=terms)
    host, _, port = address.rpartition(":")
    return servers.create(
        entry,
        {"host": host, "port": int(port)},
        typing.cast(typing.Any, protocol),
        CLIENT_KEEPALIVE_S,
        bounds,
    )


def _create_server(
    app: asgi.App, address: str, keepalive_s: int, bounds: servers.Bounds
) -> servers.Server:
    host, _, port = address.rpartition(":")
    return servers.create(
        app, {"host": host, "port": int(port)}, keepalive_s=keepalive_s, bounds=bounds
    )
