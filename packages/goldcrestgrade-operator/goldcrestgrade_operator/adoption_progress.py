"""Progress of a version until every node has it in force."""

from __future__ import annotations

import asyncio
import sys
import typing

import rich.progress

from goldcrestgrade import exceptions, records
from goldcrestgrade_operator import node_client, options, output, platforms

POLL_INTERVAL_S = 0.2
"""Time between looks at the nodes."""


class Adoption(typing.NamedTuple):
    """How many nodes have a version in force."""

    adopted: int
    behind: tuple[str, ...]
    """Ids of the nodes that do not have it."""

    @property
    def total(self) -> int:
        """Number of live nodes."""
        return self.adopted + len(self.behind)


class Follower:
    """Which nodes have a version in force; owned by the task that waits for it.

    The records in a large fleet do not tell the versions of other nodes, so those that seem behind
    are asked one by one.
    """

    def __init__(self, client: node_client.NodeClient, node_url: str, version: int) -> None:
        self.client = client
        self.node_url = node_url
        self.version = version
        self.adopted: set[str] = set()
        self.asking = asyncio.Semaphore(platforms.MAX_CONNECTIONS)

    async def look(self) -> Adoption:
        """Return how many of the live nodes have the version; raises `UserError`."""
        status = await self.client.status(self.node_url)
        live = [r for r in status["members"] if r["state"] != records.EndpointState.LEFT]
        waiting = [r for r in live if r["node_id"] not in self.adopted]
        await asyncio.gather(*map(self._check, waiting))
        behind = sorted(r["node_id"] for r in live if r["node_id"] not in self.adopted)
        return Adoption(len(live) - len(behind), tuple(behind))

    async def _check(self, record: records.NodeRecord) -> None:
        if record["sheet_version"] >= self.version or await self._asked(record):
            self.adopted.add(record["node_id"])

    async def _asked(self, record: records.NodeRecord) -> bool:
        async with self.asking:
            try:
                return await self.client.sheet_version(records.control_url(record)) >= self.version
            except exceptions.UserError:
                return False


async def wait(version: int, opts: options.Options) -> int:
    """Return the number of nodes once all have `version`; raises `WaitTimeout`."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + opts.wait_timeout_s
    console = output.console(sys.stderr)
    with rich.progress.Progress(
        "{task.description}",
        rich.progress.BarColumn(),
        rich.progress.MofNCompleteColumn(),
        console=console,
        transient=True,
        disable=not console.is_terminal,
    ) as progress:
        task = progress.add_task(f"version {version} in force on nodes", total=None)
        async with node_client.connect(opts) as client:
            follower = Follower(client, opts.node_url, version)
            while True:
                found = await _look(follower)
                if isinstance(found, Adoption):
                    progress.update(task, completed=found.adopted, total=found.total)
                    if found.total and not found.behind:
                        return found.adopted
                if loop.time() >= deadline:
                    raise exceptions.WaitTimeout(_late(version, found, opts))
                await asyncio.sleep(POLL_INTERVAL_S)


async def _look(follower: Follower) -> Adoption | exceptions.UserError:
    try:
        return await follower.look()
    except exceptions.UserError as error:
        return error


def _late(version: int, found: Adoption | exceptions.UserError, opts: options.Options) -> str:
    begin = f"version {version} is accepted; after {opts.wait_timeout_s:g} s"
    if isinstance(found, Adoption):
        behind = ", ".join(found.behind) or "none known"
        return f"{begin} {found.adopted} of {found.total} nodes have it in force; behind: {behind}"
    return f"{begin} it is not known which nodes have it in force: {found}"
