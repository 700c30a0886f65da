"""A deployment on loopback whose node processes are always ended, also after an error.

The platform and the endpoints run in this process; each node is a process of its own.
"""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp

from goldcrestgrade import control_messages, exceptions, records, settings, sheet
from goldcrestgrade_operator import node_client
from goldcrestgrade_testing import (
    endpoint_server,
    memory_platform,
    platform_server,
    processes,
    shapes,
)

START_TIMEOUT_S = 30.0
"""Longest wait for the nodes to be ready or to have a sheet in force."""

STOP_TIMEOUT_S = 5.0
"""Longest wait for the nodes to exit before they are killed."""

POLL_INTERVAL_S = 0.05
"""Time between two status requests to a node."""

COMMAND_TIMEOUT_S = 60.0
"""Longest wait for an operator command to end."""

OPERATOR = "demo"


class CommandResult(typing.NamedTuple):
    """Exit status and standard output of an operator command."""

    exit_status: int
    output: str


class Deployment:
    """A running deployment; owned by one task."""

    def __init__(
        self, shape: shapes.Shape, session: aiohttp.ClientSession, folder: pathlib.Path
    ) -> None:
        ports = processes.free_ports(1 + shapes.PORTS_PER_INSTANCE * shapes.endpoint_count(shape))
        self.shape = shape
        self.session = session
        self.folder = folder
        self.platform_port = ports[0]
        self.instances = shapes.instance_specs(shape, ports[1:])
        self.store = memory_platform.MemoryTables()
        self.client = node_client.NodeClient(session, shape.shared_key)
        self.endpoints = {
            instance.node_id: _endpoint(shape, instance) for instance in self.instances
        }
        self.processes: dict[str, processes.Process] = {}
        self.key_file = folder / "shared-key"
        self.key_file.write_text(shape.shared_key, "utf-8")

    async def serve(self) -> None:
        """Serve the platform and the endpoints until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(
                platform_server.serve(
                    {"host": shapes.HOST, "port": self.platform_port},
                    self.store,
                    memory_platform.MemoryObjects(),
                )
            )
            for instance in self.instances:
                endpoint = self.endpoints[instance.node_id]
                address: settings.Address = {"host": shapes.HOST, "port": instance.endpoint_port}
                group.create_task(endpoint_server.serve(endpoint, address))
                group.create_task(
                    endpoint_server.announce_until_draining(
                        endpoint, address, instance.control_url, self.shape.shared_key, self.session
                    )
                )

    def start_nodes(self) -> None:
        """Start the node of each instance."""
        for instance in self.instances:
            config = shapes.node_settings(instance, self.platform_port, self.shape.shared_key)
            self.processes[instance.node_id] = processes.start_node(config, self.folder)

    async def command(self, *arguments: str) -> CommandResult:
        """Run an operator command as a separate process; raises `TimeoutError`."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "goldcrestgrade_operator",
            *arguments,
            f"--platform=http://{shapes.HOST}:{self.platform_port}",
            f"--node={self.instances[0].control_url}",
            f"--key_file={self.key_file}",
            f"--operator={OPERATOR}",
            "--json",
            stdout=subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        return CommandResult(await process.wait(), output.decode())

    async def apply(self, day: str, *flags: str) -> CommandResult:
        """Write the sheet of `day` as CSV, as planners export it, and run `apply` on the file."""
        path = self.folder / f"{day}.csv"
        document = shapes.sheet_document(self.shape, day)
        path.write_text(shapes.sheet_csv(document), "utf-8", newline="")
        return await self.command("apply", str(path), *flags)

    def head(self) -> sheet.HeadDocument | None:
        """Return the head row, which names the sheet in force, or None before the first sheet."""
        row = self.store.rows.get((sheet.HEAD_TABLE, sheet.HEAD_KEY))
        return None if row is None else sheet.validate_head(row.value, "head row")

    async def wait_ready(self) -> None:
        """Wait until all nodes have a sheet and know all endpoints; raises `TimeoutError`."""

        def is_ready(status: control_messages.StatusDocument) -> bool:
            states = [member["state"] for member in status["members"]]
            all_known = states.count(records.EndpointState.READY) == len(self.instances)
            return status["sheet_version"] > 0 and all_known

        await self._wait_for(self.instances, is_ready)

    async def wait_in_force(self, version: int, leaving: collections.abc.Container[str]) -> None:
        """Wait until all nodes but `leaving` have at least `version`; raises `TimeoutError`."""
        staying = [instance for instance in self.instances if instance.node_id not in leaving]
        await self._wait_for(staying, lambda status: status["sheet_version"] >= version)

    async def _wait_for(
        self,
        instances: typing.Iterable[shapes.InstanceSpec],
        condition: typing.Callable[[control_messages.StatusDocument], bool],
    ) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            for instance in instances:
                while not await self._status_holds(instance, condition):
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def _status_holds(
        self,
        instance: shapes.InstanceSpec,
        condition: typing.Callable[[control_messages.StatusDocument], bool],
    ) -> bool:
        try:
            return condition(await self.client.status(instance.control_url))
        except exceptions.UserError:
            return False

    def stop_nodes(self) -> None:
        """Send every node SIGTERM twice, which also ends a drain; kill those that do not exit."""
        running = [process for process in self.processes.values() if process.poll() is None]
        for _ in range(2):
            for process in running:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


@contextlib.asynccontextmanager
async def running(
    shape: shapes.Shape, session: aiohttp.ClientSession
) -> collections.abc.AsyncIterator[Deployment]:
    """Yield a deployment whose nodes have been started, and stop all of it afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(shape, session, pathlib.Path(folder))
        serving = asyncio.create_task(deployment.serve())
        try:
            deployment.start_nodes()
            yield deployment
        finally:
            deployment.stop_nodes()
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)


def _endpoint(shape: shapes.Shape, instance: shapes.InstanceSpec) -> endpoint_server.Endpoint:
    return endpoint_server.Endpoint(
        instance.service,
        instance.node_id,
        instance.region,
        endpoint_server.Behaviour(slots=shape.slots),
        random.Random(instance.node_id),
    )
