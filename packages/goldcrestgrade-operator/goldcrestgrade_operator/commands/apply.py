"""Applies a sheet: makes it the one in force."""

from __future__ import annotations

import asyncio
import pathlib

from goldcrestgrade import exceptions, http_client, sheet
from goldcrestgrade.platform import http_objects, http_tables, tables
from goldcrestgrade_operator.commands import check
from goldcrestgrade_operator.sheets import acceptance

CONNECTIONS = 4
"""Connections that a command holds at most."""

KEEPALIVE_S = 5.0
"""Time after which an unused connection is closed."""


def run(path: pathlib.Path, platform_url: str, operator: str) -> int:
    """Apply the sheet at `path`; raises `UserError` where it is not accepted."""
    document, _ = check.load(path)
    result = asyncio.run(_apply(document, platform_url, operator))
    match result:
        case acceptance.Accepted(version=version):
            print(f"accepted as version {version}")
            return 0
        case acceptance.Unchanged(in_force=head):
            print(f"the same sheet is in force as version {head['version']}")
            return 0
        case acceptance.Unavailable(text=text):
            raise exceptions.UserError(f"nothing changed: {text}")
        case acceptance.Overtaken(by=by):
            raise exceptions.UserError(
                f"{by['operator']} was first with version {by['version']} for {by['day']}"
            )
        case acceptance.Outdated(in_force=head):
            raise exceptions.UserError(f"the sheet in force is for a later day, {head['day']}")
        case acceptance.Undecided(text=text):
            raise exceptions.UserError(f"the table service did not decide: {text}")


async def _apply(
    document: sheet.SheetDocument, platform_url: str, operator: str
) -> acceptance.Acceptance:
    async with http_client.open_session(CONNECTIONS, KEEPALIVE_S) as session:
        store = http_tables.HttpTables(session, platform_url)
        objects = http_objects.HttpObjects(session, platform_url)
        try:
            seen = await acceptance.read_head(store)
            return await acceptance.accept(store, objects, document, seen, operator)
        except (tables.ReadError, tables.ObjectError) as error:
            raise exceptions.UserError(f"{platform_url}: {error}") from error
