"""Command that shows the accepted sheets."""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade import sheet
from goldcrestgrade_operator import options, output, platforms
from goldcrestgrade_operator.sheets import acceptance, lost

COLUMNS = ("version", "day", "accepted at", "operator", "object")


def run(_arguments: typing.Sequence[str], opts: options.Options) -> int:
    """Print the latest versions, beginning with the one in force; raises `UserError`."""
    heads = asyncio.run(_fetch_heads(opts))
    warning = lost.warning(heads[0] if heads else None, asyncio.run(lost.newest_at_node(opts)))
    output.show_warnings([] if warning is None else [warning])
    rows = [
        (
            head["version"],
            head["day"],
            output.format_time(head["accepted_at"]),
            head["operator"],
            head["object_name"],
        )
        for head in heads
    ]
    title = f"version {heads[0]['version']} is in force" if heads else "no sheet was accepted yet"
    output.show(heads, output.Table(title, COLUMNS, rows), opts.as_json)
    return 0


async def _fetch_heads(opts: options.Options) -> list[sheet.HeadDocument]:
    async with platforms.connect(opts.platform_url) as platform:
        head = (await acceptance.read_head(platform.store)).document
        if head is None:
            return []
        versions = range(head["version"], max(0, head["version"] - opts.limit), -1)
        rows = await asyncio.gather(
            *(platform.store.read(sheet.HEAD_TABLE, sheet.history_key(v)) for v in versions)
        )
    return [sheet.validate_head(row.value, row.key) for row in rows if row is not None]
