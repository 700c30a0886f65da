"""Drains the endpoint beside one node."""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade import exceptions, records
from goldcrestgrade_operator import nodes, options, output

POLL_INTERVAL_S = 0.2
"""Time between looks at the node that drains."""

LEAVING = frozenset({records.EndpointState.DRAINING, records.EndpointState.LEFT})
"""States in which an endpoint takes no new work."""


class DrainDocument(typing.TypedDict):
    """Output of the command as JSON."""

    node_id: str
    state: str


def run(arguments: typing.Sequence[str], given: options.Options) -> int:
    """Begin a drain and, with `--wait`, wait for its end; raises `UserError`."""
    node_id = arguments[0]
    state = asyncio.run(_drain(node_id, given))
    row = (node_id, state)
    document = DrainDocument(node_id=node_id, state=state)
    output.show(document, output.Table("", ("node", "state"), [row]), given.as_json)
    return 0


async def _drain(node_id: str, given: options.Options) -> str:
    async with nodes.connect(given) as client:
        record = _find(await client.status(given.node_url), node_id)
        if record is None:
            raise exceptions.UserError(f"{given.node_url}: knows no node {node_id!r}")
        if record["state"] not in LEAVING:
            await client.drain(records.control_url(record))
        if not given.wait:
            return records.EndpointState.DRAINING
        return await _until_left(client, node_id, given)


async def _until_left(client: nodes.NodeClient, node_id: str, given: options.Options) -> str:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + given.wait_timeout_s
    while True:
        record = _find(await client.status(given.node_url), node_id)
        if record is None or record["state"] == records.EndpointState.LEFT:
            return records.EndpointState.LEFT
        if loop.time() >= deadline:
            raise exceptions.WaitTimeout(
                f"{node_id} is {record['state']} after {given.wait_timeout_s:g} s; the endpoint "
                "still announces itself, or the news has not spread"
            )
        await asyncio.sleep(POLL_INTERVAL_S)


def _find(status: nodes.StatusDocument, node_id: str) -> records.NodeRecord | None:
    return next((r for r in status["members"] if r["node_id"] == node_id), None)
