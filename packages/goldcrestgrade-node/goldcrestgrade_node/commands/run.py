"""Runs a node until it is stopped by a signal and its endpoint has drained."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import resource
import signal

from goldcrestgrade import http_client, records, settings
from goldcrestgrade_node import garbage, intake, servers
from goldcrestgrade_node import node as nodes

log = logging.getLogger(__name__)

MAX_CONTROL_CONNECTIONS = 64
"""Largest number of connections to peers and to the platform."""

CONTROL_KEEPALIVE_S = 20.0
"""Time after which an idle connection to a peer is closed."""


def run(config: settings.NodeSettings) -> None:
    """Run a node with `config`; return after its drain."""
    asyncio.run(_run(config))


async def _run(config: settings.NodeSettings) -> None:
    async with contextlib.AsyncExitStack() as stack:
        control_session = await stack.enter_async_context(
            http_client.open_session(MAX_CONTROL_CONNECTIONS, CONTROL_KEEPALIVE_S)
        )
        fresh_session = await stack.enter_async_context(
            http_client.open_session(MAX_CONTROL_CONNECTIONS, keepalive_s=0.0)
        )
        node = nodes.Node(config, control_session, fresh_session)
        stack.push_async_callback(node.transport.close)
        _handle_signals(node)
        gc.collect()
        garbage.configure_collector()
        await _serve(node)


async def _serve(node: nodes.Node) -> None:
    max_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    bounds = servers.Bounds(
        intake.Intake(intake.limits(max_fds=min(max_fds, intake.DEFAULT_MAX_FDS)), node.counts)
    )
    running = [
        servers.create(node.entry(), node.config["calls"], bounds=bounds),
        servers.create(node.control(), node.config["control"], bounds=bounds),
    ]
    async with asyncio.TaskGroup() as group:
        serving = [group.create_task(server.serve()) for server in running]
        background = [
            group.create_task(task)
            for task in (
                node.committer.run(),
                node.writer.run(),
                node.guard.evict_forever(),
                node.sweeper.sweep_forever(),
                node.exchange.gossip_forever(),
                node.exchange.push_forever(),
                node.exchange.tick_forever(),
                node.discovery.run(),
                node.sheets.poll_forever(node.discovery.joined),
                node.sheets.fetch_forever(),
                node.advance_forever(),
            )
        ]
        log.info("node started")
        await node.stopping.wait()
        await node.drain()
        for server in running:
            server.should_exit = True
        await asyncio.wait(serving)
        for task in background:
            task.cancel()
    log.info("node stopped", extra={"state": records.EndpointState(node.lifecycle.state)})


def _handle_signals(node: nodes.Node) -> None:
    def stop() -> None:
        if node.stopping.is_set():
            node.stop_forced.set()
        node.stopping.set()

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
