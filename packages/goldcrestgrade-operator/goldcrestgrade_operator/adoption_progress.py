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
                found = count(await client.status(given.node_url), version)
                progress.update(task, completed=found.adopted, total=found.total)
                if found.total and not found.behind:
                    return found.adopted
                if loop.time() >= deadline:
                    raise exceptions.WaitTimeout(
                        f"version {version} is accepted; {found.adopted} of {found.total} nodes "
                        f"have it in force after {given.wait_timeout_s:g} s; "
                        f"behind: {', '.join(found.behind) or 'none known'}"
                    )
                await asyncio.sleep(POLL_INTERVAL_S)
