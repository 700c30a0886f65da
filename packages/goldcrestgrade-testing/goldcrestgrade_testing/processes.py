"""Starts and stops the processes of a deployment on loopback, for tests and measurements."""

from __future__ import annotations

import asyncio
import collections
import fcntl
import itertools
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp
import orjson

from goldcrestgrade import headers, settings
from goldcrestgrade_testing import endpoint_server, letters_desk

PORTS = range(21_000, 32_000)
"""Ports for nodes and endpoints; below those that Linux assigns to outgoing connections."""

PORT_PARTITIONS = 32
"""Number of parts of `PORTS`, one for each process that tests or measures at the same time."""

START_TIMEOUT_S = 30.0
"""Timeout for a process to become ready."""

STOP_TIMEOUT_S = 30.0
"""Timeout for a process to end after SIGTERM."""

POLL_INTERVAL_S = 0.05
"""Time between two polls of the status of a node."""

_assigned_ports: collections.deque[int] = collections.deque(
    maxlen=len(PORTS) // PORT_PARTITIONS // 2
)
"""Ports that `free_ports` has returned last in this process; not all of them may be bound yet."""

_partition_locks: dict[int, typing.TextIO] = {}
"""Lock file of this process's part of `PORTS`, by the index of the part."""

Process = subprocess.Popen[bytes]
"""A child process of the test or measurement."""


def free_ports(count: int) -> list[int]:
    """Return `count` ports that are free now and that no other test of this run has received.

    A process binds its port some time after its start, so a check that nothing listens there does
    not suffice: each process that asks has a part of `PORTS` of its own, also beside another test
    run, and assigns none twice before it has assigned all.
    """
    own_ports = [
        port for port in PORTS[_claim_partition() :: PORT_PARTITIONS] if port not in _assigned_ports
    ]
    candidates = random.SystemRandom().sample(own_ports, len(own_ports))
    ports = list(itertools.islice(filter(_is_free, candidates), count))
    _assigned_ports.extend(ports)
    return ports


def _claim_partition() -> int:
    """Return the index of this process's part of `PORTS`; its lock lasts until the process ends.

    Raises `RuntimeError` if all parts are in use.
    """
    if _partition_locks:
        return next(iter(_partition_locks))
    for index in range(PORT_PARTITIONS):
        path = pathlib.Path(tempfile.gettempdir()) / f"goldcrestgrade-ports-{index}.lock"
        lock = path.open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        _partition_locks[index] = lock
        return index
    raise RuntimeError(f"all {PORT_PARTITIONS} parts of the ports are in use by other processes")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((letters_desk.HOST, port)) != 0


def start_node(config: settings.NodeSettings, folder: pathlib.Path) -> Process:
    """Start a node whose settings file is written to `folder`."""
    path = folder / f"{config['node_id']}.json"
    path.write_bytes(orjson.dumps(config))
    return start_module("goldcrestgrade_node", f"--settings={path}", "--log_level=warning")


def start_endpoint(config: endpoint_server.EndpointSettings) -> Process:
    """Start a stand-in for an endpoint as a process of its own."""
    return start_module(
        "goldcrestgrade_testing.endpoint_server", orjson.dumps(config).decode("utf-8")
    )


def start_module(name: str, *arguments: str) -> Process:
    """Start a Python module with the interpreter of this process."""
    return subprocess.Popen([sys.executable, "-m", name, *arguments])


def stop(process: Process) -> int:
    """End `process` if it still runs; return its exit status.

    A paused process is resumed. SIGKILL follows if SIGTERM does not end it in `STOP_TIMEOUT_S`.
    """
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
    return process.wait()


def kill_all(processes: typing.Iterable[Process]) -> None:
    """Kill `processes` without a drain and wait until they have ended."""
    for process in processes:
        process.kill()
        process.wait()


def cpu_s(process: Process) -> float:
    """Return the processor time that `process` has used, from /proc at 100 ticks a second."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text("ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def wait_ready(
    control_url: str, shared_key: str, endpoint_count: int, session: aiohttp.ClientSession
) -> None:
    """Wait until a node has a sheet and knows `endpoint_count` ready endpoints.

    Raises `TimeoutError` after `START_TIMEOUT_S`.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while await _count_ready_endpoints(control_url, shared_key, session) != endpoint_count:
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"{control_url}: no sheet, or not {endpoint_count} ready endpoints, within "
                f"{START_TIMEOUT_S:g} s"
            )
        await asyncio.sleep(POLL_INTERVAL_S)


async def _count_ready_endpoints(
    control_url: str, shared_key: str, session: aiohttp.ClientSession
) -> int | None:
    try:
        async with session.get(
            f"{control_url}/v1/status", headers={headers.CONTROL_KEY: shared_key}
        ) as response:
            status = orjson.loads(await response.read())
    except (aiohttp.ClientError, OSError):
        return None
    if status["sheet_version"] == 0:
        return None
    return [member["state"] for member in status["members"]].count("ready")
