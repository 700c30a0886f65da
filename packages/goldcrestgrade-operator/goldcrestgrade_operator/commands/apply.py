"""Command that puts a sheet in force."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import typing

from goldcrestgrade import exceptions, sheet
from goldcrestgrade_operator import adoption_progress, node_client, options, output, platforms
from goldcrestgrade_operator.commands import check
from goldcrestgrade_operator.sheets import acceptance, lost


class ApplyDocument(typing.TypedDict):
    """Output of the command as JSON."""

    version: int
    day: str
    changed: bool
    nodes: int | None
    """Number of nodes that have the version in force; `None` without `--wait`."""


def run(arguments: typing.Sequence[str], opts: options.Options) -> int:
    """Apply the sheet in a file; raises `UserError` if it is not accepted."""
    document, warnings = check.load(pathlib.Path(arguments[0]))
    output.show_warnings(warnings)
    if opts.wait:
        options.shared_key(opts)
    result = asyncio.run(_apply(document, opts))
    version = accepted_version(result)
    changed = isinstance(result, acceptance.Accepted)
    nodes = None
    if opts.wait:
        if changed:
            asyncio.run(_push_sheet(document, version, opts))
        nodes = asyncio.run(adoption_progress.wait(version, opts))
    columns = ("version", "day", "result", "nodes")
    note = "accepted" if changed else "the same sheet is in force already"
    output.show(
        ApplyDocument(version=version, day=document["day"], changed=changed, nodes=nodes),
        output.Table(
            "",
            columns,
            [(version, document["day"], note, "not asked" if nodes is None else nodes)],
        ),
        opts.as_json,
    )
    return 0


async def _push_sheet(document: sheet.SheetDocument, version: int, opts: options.Options) -> None:
    """Send the sheet to a node, so that it propagates even if the platform has just failed."""
    async with node_client.connect(opts) as client:
        # A failure is harmless: the node may be unreachable, or may have read the sheet already.
        with contextlib.suppress(exceptions.UserError):
            await client.push_sheet(opts.node_url, version, sheet.encode(document))


def accepted_version(result: acceptance.Acceptance) -> int:
    """Return the version that is in force; raises `UserError` if the sheet was not accepted."""
    match result:
        case acceptance.Accepted(version=version):
            return version
        case acceptance.Unchanged(in_force=head):
            return head["version"]
        case acceptance.Overtaken(winner=winner):
            raise exceptions.UserError(
                f"not accepted: {winner['operator']} was first, with version "
                f"{winner['version']} for {winner['day']} at "
                f"{output.format_time(winner['accepted_at'])}; compare with diff, then apply again"
            )
        case acceptance.Outdated(in_force=head):
            raise exceptions.UserError(
                f"not accepted: version {head['version']} in force is for a later day, "
                f"{head['day']}"
            )
        case acceptance.Unavailable(text=text):
            raise exceptions.UserError(f"not accepted, nothing changed: {text}")
        case acceptance.Undecided(text=text):
            raise exceptions.UndecidedError(
                f"unknown whether the sheet was accepted: {text}; run history before applying again"
            )


async def _apply(document: sheet.SheetDocument, opts: options.Options) -> acceptance.Acceptance:
    at_node = await lost.newest_at_node(opts)
    async with platforms.connect(opts.platform_url) as platform:
        seen = await acceptance.read_head(platform.store)
        warning = lost.warning(seen.document, at_node)
        output.show_warnings([] if warning is None else [warning])
        return _check_expected_version(seen, opts.on_version) or await acceptance.accept(
            platform.store,
            platform.objects,
            document,
            seen,
            opts.operator,
            newest_version=0 if at_node is None else at_node.version,
        )


def _check_expected_version(
    seen: acceptance.Head, expected_version: int | None
) -> acceptance.Acceptance | None:
    """Return the refusal if the version in force is not `expected_version`, otherwise `None`."""
    if seen.document is None:
        return acceptance.Unavailable("no sheet is in force") if expected_version else None
    if expected_version is None or expected_version == seen.document["version"]:
        return None
    return acceptance.Overtaken(seen.document)
