"""Measures what membership and configuration cost real node processes on loopback.

Each node is a process with its own servers; the processor time and the memory come from the kernel.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import os
import pathlib
import tempfile

import aiohttp
import orjson

from goldcrestgrade import headers, http_client, settings
from goldcrestgrade_node.membership import exchange, messages, peers
from goldcrestgrade_operator.sheets import acceptance
from goldcrestgrade_testing import (
    fleet,
    letters_desk,
    memory_platform,
    platform_server,
    processes,
)

FIRST_NODE_PORT = 23100
PLATFORM_PORT = 23099
START_TIMEOUT_S = 60.0
SETTLE_S = 40.0
"""Time from the start to the measurement, after which gossip rounds have their idle interval."""

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text("ascii").split()[1]) * PAGE_BYTES


def node_settings(instance: fleet.InstanceSpec, number: int) -> settings.NodeSettings:
    """Return the settings of the node with this number, on loopback."""
    platform = f"http://{letters_desk.HOST}:{PLATFORM_PORT}"
    return settings.NodeSettings(
        node_id=instance.node_id,
        region=instance.region,
        failure_domain=instance.failure_domain,
        calls={"host": letters_desk.HOST, "port": FIRST_NODE_PORT + 2 * number},
        control={"host": letters_desk.HOST, "port": FIRST_NODE_PORT + 2 * number + 1},
        platform={"tables": platform, "objects": platform},
        keys=[letters_desk.SHARED_KEY],
        peers=[],
        drain_timeout_s=5.0,
    )


async def wait_until_joined(
    configs: list[settings.NodeSettings], session: aiohttp.ClientSession
) -> None:
    """Wait until every node knows all nodes and has a sheet in force; raises `TimeoutError`."""
    async with asyncio.timeout(START_TIMEOUT_S):
        for config in configs:
            while await count_known_nodes(config, session) != len(configs):
                await asyncio.sleep(0.2)


async def count_known_nodes(config: settings.NodeSettings, session: aiohttp.ClientSession) -> int:
    """Return how many nodes a node knows, or 0 while it is unreachable or has no sheet."""
    url = f"http://{config['control']['host']}:{config['control']['port']}/v1/status"
    try:
        async with session.get(
            url, headers={headers.CONTROL_KEY: letters_desk.SHARED_KEY}
        ) as response:
            status = orjson.loads(await response.read())
    except aiohttp.ClientError:
        return 0
    return len(status["members"]) if status["sheet_version"] else 0


async def change_sheets(
    tables: memory_platform.MemoryTables, objects: memory_platform.MemoryObjects, interval_s: float
) -> None:
    """Accept a new sheet every `interval_s` seconds until cancelled; accept none if it is 0."""
    for day in itertools.count(2):
        await asyncio.sleep(interval_s or START_TIMEOUT_S)
        if interval_s:
            document = fleet.sheet_document(f"2026-01-{day:02d}", 270)
            head = await acceptance.read_head(tables)
            await acceptance.accept(tables, objects, document, head, "operator")


class CountingProxy:
    """Forwards bytes to another address and back, and counts them."""

    def __init__(self, target: settings.Address) -> None:
        self.target = target
        self.byte_count = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection in both directions until either side closes it."""
        up_reader, up_writer = await asyncio.open_connection(
            self.target["host"], self.target["port"]
        )
        await asyncio.gather(self._copy(reader, up_writer), self._copy(up_reader, writer))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            self.byte_count += len(data)
            writer.write(data)
        writer.close()


async def measure_header_bytes(target: settings.Address) -> int:
    """Return the header bytes of a request between nodes and of its reply together."""
    proxy = CountingProxy(target)
    server = await asyncio.start_server(proxy.serve, letters_desk.HOST, PLATFORM_PORT - 1)
    url = f"http://{letters_desk.HOST}:{PLATFORM_PORT - 1}"
    body = messages.PROBE.dump_json({"node_id": "none"})
    async with server, http_client.open_session(1, 1.0) as session:
        remote = peers.HttpPeers(session, letters_desk.SHARED_KEY)
        reply = await remote.post(url, exchange.PROBE_PATH, body)
    return proxy.byte_count - len(body) - len(reply)


async def measure(nodes: int, window_s: float, sheet_interval_s: float) -> None:
    """Start `nodes` node processes, print their figures over `window_s` seconds and stop them."""
    tables, objects = memory_platform.MemoryTables(), memory_platform.MemoryObjects()
    platform: settings.Address = {"host": letters_desk.HOST, "port": PLATFORM_PORT}
    instances = fleet.instance_specs(fleet.shape_of(nodes))
    configs = [node_settings(instance, number) for number, instance in enumerate(instances)]
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(http_client.open_session(100, 10.0))
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        serving = asyncio.create_task(platform_server.serve(platform, tables, objects))
        await acceptance.accept(
            tables,
            objects,
            fleet.sheet_document("2026-01-01", 270),
            await acceptance.read_head(tables),
            "operator",
        )
        children = [processes.start_node(config, folder) for config in configs]
        stack.callback(stop_all, children)
        await wait_until_joined(configs, session)
        print(
            "header bytes of a request and its reply:",
            await measure_header_bytes(configs[0]["control"]),
        )
        await asyncio.sleep(SETTLE_S)
        changing = asyncio.create_task(change_sheets(tables, objects, sheet_interval_s))
        before = [processes.cpu_s(child) for child in children]
        writes, reads = tables.writes, tables.reads
        await asyncio.sleep(window_s)
        changing.cancel()
        after = [processes.cpu_s(child) for child in children]
        shares = [(b - a) / window_s for a, b in zip(before, after, strict=True)]
        print_usage(shares, [resident_bytes(child.pid) for child in children])
        store = (tables.writes - writes) / window_s, (tables.reads - reads) / window_s
        print(f"store writes and reads a second: {store[0]:.2f} {store[1]:.2f}")
    serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)


def print_usage(shares: list[float], resident: list[int]) -> None:
    """Print the share of a core and the resident memory of the nodes, as mean and largest."""
    print(f"nodes {len(shares)}")
    print(f"core share, mean and largest: {sum(shares) / len(shares):.4f} {max(shares):.4f}")
    print(f"resident MB, mean and largest: {sum(resident) / len(shares) / 1e6:.1f} ", end="")
    print(f"{max(resident) / 1e6:.1f}")


def stop_all(children: list[processes.Process]) -> None:
    """Stop all processes and wait until they have exited."""
    for child in children:
        child.terminate()
    for child in children:
        processes.stop(child)


def main() -> None:
    """Measure a fleet of node processes of the size given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", type=int, default=16)
    parser.add_argument("--window", type=float, default=30.0)
    parser.add_argument("--sheet_every", type=float, default=0.0)
    options = parser.parse_args()
    asyncio.run(measure(options.nodes, options.window, options.sheet_every))


if __name__ == "__main__":
    main()
