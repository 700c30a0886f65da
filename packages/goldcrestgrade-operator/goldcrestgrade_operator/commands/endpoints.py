"""Command that shows the endpoints by service."""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade import control_messages, records
from goldcrestgrade_operator import options, output
from goldcrestgrade_operator.commands import status

COLUMNS = ("service", "node", "failure domain", "address", "slots", "connections", "state")


def run(_arguments: typing.Sequence[str], opts: options.Options) -> int:
    """Print the endpoints known to the node at `--node`; raises `UserError`."""
    pairs = endpoints(asyncio.run(status.fetch(opts)))
    rows = [
        (
            endpoint["service"],
            record["node_id"],
            record["failure_domain"],
            f"{endpoint['host']}:{endpoint['port']}",
            endpoint["slots"],
            endpoint["connections"],
            record["state"],
        )
        for record, endpoint in pairs
    ]
    document = [
        {**endpoint, "node_id": record["node_id"], "state": record["state"]}
        for record, endpoint in pairs
    ]
    output.show(document, output.Table(f"{len(rows)} endpoints", COLUMNS, rows), opts.as_json)
    return 0


def endpoints(
    document: control_messages.StatusDocument,
) -> list[tuple[records.NodeRecord, records.EndpointDocument]]:
    """Return the records of nodes and their endpoints, sorted by service and node id."""
    pairs = [(r, r["endpoint"]) for r in document["members"] if r["endpoint"] is not None]
    return sorted(pairs, key=lambda pair: (pair[1]["service"], pair[0]["node_id"]))
