"""Sheets that nodes have in force and the table service has lost.

The table service may come back from a copy of its past. An acknowledged sheet is then missing from
it, and its version would be given out again, which nodes that have it in force would ignore.
"""

from __future__ import annotations

import typing

from goldcrestgrade import control_messages, exceptions, findings, sheet
from goldcrestgrade_operator import node_client, options


class InForce(typing.NamedTuple):
    """The sheet that a node has in force."""

    version: int
    day: str


async def newest_at_node(opts: options.Options) -> InForce | None:
    """Return the sheet in force at the node at `--node`, or none if it can't be asked."""
    try:
        async with node_client.connect(opts) as client:
            status: control_messages.StatusDocument = await client.status(opts.node_url)
    except exceptions.UserError:
        # Without a key or a reachable node, only the table service is known.
        return None
    return InForce(status["sheet_version"], status["sheet_day"])


def warning(head: sheet.HeadDocument | None, at_node: InForce | None) -> findings.Finding | None:
    """Return a warning if the table service lacks the sheet in force at a node, otherwise none."""
    version = 0 if head is None else head["version"]
    if at_node is None or at_node.version <= version:
        return None
    return findings.Finding(
        f"version {at_node.version}",
        f"in force on nodes for {at_node.day or 'an unknown day'}, but the table service has no "
        f"version after {version}: it came back from a copy of its past. Nodes keep it in force. "
        "Apply its file again to hand it in again; it gets a new version.",
    )
