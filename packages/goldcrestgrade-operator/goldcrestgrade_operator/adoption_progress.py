"""Progress of a version until every node has it in force."""

from __future__ import annotations

import asyncio
import sys
import typing

import rich.progress

from goldcrestgrade import exceptions, records
from goldcrestgrade_operator import nodes, options, output

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


def count(status: nodes.StatusDocument, version: int) -> Adoption:
    """Return how many of the live nodes in `status` have `version` or a later one in force."""
    live = [r for r in status["members"] if r["state"] != records.EndpointState.LEFT]
    behind = sorted(r["node_id"] for r in live if r["sheet_version"] < version)
    return Adoption(len(live) - len(behind), tuple(behind))


async def wait(version: int, given: options.Options) -> int:
    """Return the number of nodes once all have `version`; raises `WaitTimeout`."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + given.wait_timeout_s
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
        async with nodes.connect(given) as client:
            while True:
                found = await _look(client, version, given)
                if isinstance(found, Adoption):
                    progress.update(task, completed=found.adopted, total=found.total)
                    if found.total and not found.behind:
                        return found.adopted
                if loop.time() >= deadline:
                    raise exceptions.WaitTimeout(_late(version, found, given))
                await asyncio.sleep(POLL_INTERVAL_S)


async def _look(
    client: nodes.NodeClient, version: int, given: options.Options
) -> Adoption | exceptions.UserError:
    try:
        return count(await client.status(given.node_url), version)
    except exceptions.UserError as error:
        return error


def _late(version: int, found: Adoption | exceptions.UserError, given: options.Options) -> str:
    begin = f"version {version} is accepted; after {given.wait_timeout_s:g} s"
    if isinstance(found, Adoption):
        behind = ", ".join(found.behind) or "none known"
        return f"{begin} {found.adopted} of {found.total} nodes have it in force; behind: {behind}"
    return f"{begin} it is not known which nodes have it in force: {found}"
