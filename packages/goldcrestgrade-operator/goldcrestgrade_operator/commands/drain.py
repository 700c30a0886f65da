"""Command that drains the endpoint of one node."""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade import control_messages, exceptions, records
from goldcrestgrade_operator import node_client, options, output

POLL_INTERVAL_S = 0.2
"""Time between two requests for the progress of the drain."""

PROPAGATION_DELAY_S = 5.0
"""Time after the start of a drain by which no node sends new requests to the endpoint.

By then the endpoint has also reported its load again.
"""

LEAVING_STATES = frozenset({records.EndpointState.DRAINING, records.EndpointState.LEFT})
"""States in which an endpoint accepts no new requests."""


class DrainDocument(typing.TypedDict):
    """Output of the command as JSON."""

    node_id: str
    state: str
    idle: bool | None
    """Whether the endpoint may be stopped; `None` without `--wait`."""


def run(arguments: typing.Sequence[str], opts: options.Options) -> int:
    """Start a drain and, with `--wait`, wait until the endpoint is idle; raises `UserError`."""
    document = asyncio.run(_drain(arguments[0], opts))
    note = "the endpoint may be stopped" if document["idle"] else "requests in flight continue"
    row = (document["node_id"], document["state"], note)
    output.show(document, output.Table("", ("node", "state", "note"), [row]), opts.as_json)
    return 0


async def _drain(node_id: str, opts: options.Options) -> DrainDocument:
    async with node_client.connect(opts) as client:
        record = _find_record(await client.status(opts.node_url), node_id)
        if record is None:
            raise exceptions.UserError(f"{opts.node_url}: unknown node {node_id!r}")
        if record["state"] not in LEAVING_STATES:
            await client.drain(records.control_url(record))
        if not opts.wait:
            return DrainDocument(node_id=node_id, state=records.EndpointState.DRAINING, idle=None)
        state = await _wait_until_idle(client, record, opts)
        return DrainDocument(node_id=node_id, state=state, idle=True)


async def _wait_until_idle(
    client: node_client.NodeClient, record: records.NodeRecord, opts: options.Options
) -> records.EndpointState:
    loop = asyncio.get_running_loop()
    propagated_at = loop.time() + PROPAGATION_DELAY_S
    deadline = loop.time() + opts.wait_timeout_s
    while True:
        try:
            progress = await client.drain_progress(records.control_url(record))
        except exceptions.UserError as error:
            raise exceptions.WaitTimeout(
                f"the drain has begun, but its progress cannot be read: {error}"
            ) from error
        state, in_flight = progress["state"], progress["in_flight"]
        idle = in_flight == 0 and loop.time() >= propagated_at
        if idle or state == records.EndpointState.LEFT:
            return state
        if loop.time() >= deadline:
            raise exceptions.WaitTimeout(
                f"{record['node_id']} is {state} with {in_flight} requests in flight after "
                f"{opts.wait_timeout_s:g} s"
            )
        await asyncio.sleep(POLL_INTERVAL_S)


def _find_record(
    status: control_messages.StatusDocument, node_id: str
) -> records.NodeRecord | None:
    return next((r for r in status["members"] if r["node_id"] == node_id), None)
