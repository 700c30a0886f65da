"""Command that shows what a sheet would change."""

from __future__ import annotations

import asyncio
import pathlib
import typing

from goldcrestgrade import sheet
from goldcrestgrade_operator import options, output, platforms
from goldcrestgrade_operator.commands import check
from goldcrestgrade_operator.sheets import acceptance, changes


class DiffDocument(typing.TypedDict):
    """Output of the command as JSON."""

    in_force: sheet.HeadDocument | None
    day: str
    changes: list[dict[str, str]]


def run(arguments: typing.Sequence[str], opts: options.Options) -> int:
    """Print the changes from the sheet in force to the one in a file; raises `UserError`."""
    document, warnings = check.load(pathlib.Path(arguments[0]))
    output.show_warnings(warnings)
    head, differences = asyncio.run(_compare(document, opts))
    version = head["version"] if head else 0
    title = f"{len(differences)} changes to version {version} in force"
    output.show(
        DiffDocument(
            in_force=head, day=document["day"], changes=[change._asdict() for change in differences]
        ),
        output.Table(title, changes.Change._fields, differences),
        opts.as_json,
    )
    return 0


async def _compare(
    document: sheet.SheetDocument, opts: options.Options
) -> tuple[sheet.HeadDocument | None, list[changes.Change]]:
    async with platforms.connect(opts.platform_url) as platform:
        head = (await acceptance.read_head(platform.store)).document
        old = None
        if head is not None:
            in_force = await platforms.fetch_sheet(platform, head)
            old = sheet.validate(in_force.body, head["object_name"])
    return head, changes.between(old, document)
