"""Command that shows the nodes known to one node."""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade import control_messages
from goldcrestgrade_operator import node_client, options, output

COLUMNS = ("node", "region", "failure domain", "service", "state", "sheet version")


def run(_arguments: typing.Sequence[str], opts: options.Options) -> int:
    """Print the nodes known to the node at `--node`; raises `UserError`."""
    status = asyncio.run(fetch(opts))
    rows = [
        (
            record["node_id"],
            record["region"],
            record["failure_domain"],
            record["endpoint"]["service"] if record["endpoint"] else "-",
            record["state"],
            record["sheet_version"],
        )
        for record in sorted(status["members"], key=lambda record: record["node_id"])
    ]
    title = (
        f"{status['node_id']} knows {len(rows)} nodes; it has sheet version "
        f"{status['sheet_version']} for {status['sheet_day'] or 'no day'} in force"
    )
    output.show(status, output.Table(title, COLUMNS, rows), opts.as_json)
    return 0


async def fetch(opts: options.Options) -> control_messages.StatusDocument:
    """Return the status document of the node at `--node`; raises `UserError`."""
    async with node_client.connect(opts) as client:
        return await client.status(opts.node_url)
