"""Wait until every node has a version of the sheet in force, and show the progress."""

from __future__ import annotations

import asyncio
import sys
import typing

import rich.progress

from goldcrestgrade import exceptions, records
from goldcrestgrade_operator import node_client, options, output, platforms

POLL_INTERVAL_S = 0.2
"""Time between two polls of the nodes."""


class Adoption(typing.NamedTuple):
    """How many nodes have a version in force."""

    adopted: int
    behind: tuple[str, ...]
    """Ids of the live nodes that do not have it in force."""

    @property
    def total(self) -> int:
        """Number of live nodes."""
        return self.adopted + len(self.behind)


class AdoptionTracker:
    """Tracks which live nodes have a version in force; owned by the task that waits for it.

    In a large fleet, nodes do not publish their records when they adopt a version, so the records
    may contain older ones. Each node that appears to be behind is therefore asked directly.
    """

    def __init__(self, client: node_client.NodeClient, node_url: str, version: int) -> None:
        self.client = client
        self.node_url = node_url
        self.version = version
        self.adopted: set[str] = set()
        self.request_slots = asyncio.Semaphore(platforms.MAX_CONNECTIONS)

    async def poll(self) -> Adoption:
        """Return how many of the live nodes have the version in force; raises `UserError`."""
        status = await self.client.status(self.node_url)
        live = [r for r in status["members"] if r["state"] != records.EndpointState.LEFT]
        unconfirmed = [r for r in live if r["node_id"] not in self.adopted]
        await asyncio.gather(*map(self._update, unconfirmed))
        behind = sorted(r["node_id"] for r in live if r["node_id"] not in self.adopted)
        return Adoption(len(live) - len(behind), tuple(behind))

    async def _update(self, record: records.NodeRecord) -> None:
        if record["sheet_version"] >= self.version or await self._confirms_version(record):
            self.adopted.add(record["node_id"])

    async def _confirms_version(self, record: records.NodeRecord) -> bool:
        async with self.request_slots:
            try:
                return await self.client.sheet_version(records.control_url(record)) >= self.version
            except exceptions.UserError:
                return False


async def wait(version: int, opts: options.Options) -> int:
    """Return the number of live nodes once all have `version` in force; raises `WaitTimeout`."""
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
            tracker = AdoptionTracker(client, opts.node_url, version)
            while True:
                result = await _try_poll(tracker)
                if isinstance(result, Adoption):
                    progress.update(task, completed=result.adopted, total=result.total)
                    if result.total and not result.behind:
                        return result.adopted
                if loop.time() >= deadline:
                    raise exceptions.WaitTimeout(_timeout_message(version, result, opts))
                await asyncio.sleep(POLL_INTERVAL_S)


async def _try_poll(tracker: AdoptionTracker) -> Adoption | exceptions.UserError:
    try:
        return await tracker.poll()
    except exceptions.UserError as error:
        return error


def _timeout_message(
    version: int, result: Adoption | exceptions.UserError, opts: options.Options
) -> str:
    prefix = f"version {version} is accepted; after {opts.wait_timeout_s:g} s"
    if isinstance(result, Adoption):
        behind = ", ".join(result.behind) or "none known"
        return (
            f"{prefix} {result.adopted} of {result.total} nodes have it in force; behind: {behind}"
        )
    return f"{prefix} it is not known which nodes have it in force: {result}"
