"""Connections of the commands to the platform's services."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import aiohttp
import pydantic

from goldcrestgrade import exceptions, http_client, sheet
from goldcrestgrade.storage import http_objects, http_tables, tables

MAX_CONNECTIONS = 8
"""Largest number of connections that a command keeps open."""

KEEPALIVE_TIMEOUT_S = 5.0
"""Time after which an unused connection is closed."""


class Platform(typing.NamedTuple):
    """Clients of the platform's services."""

    store: tables.TableService
    objects: tables.ObjectStore


@contextlib.asynccontextmanager
async def connect(url: str) -> collections.abc.AsyncIterator[Platform]:
    """Yield clients of the platform at `url`; its failures are raised as `UserError`."""
    try:
        async with http_client.open_session(MAX_CONNECTIONS, KEEPALIVE_TIMEOUT_S) as session:
            yield Platform(
                http_tables.HttpTables(session, url), http_objects.HttpObjects(session, url)
            )
    except pydantic.ValidationError as error:
        raise exceptions.UserError(
            f"{url}: the answer is not a valid document of the platform's services"
        ) from error
    except exceptions.InvalidDocument as error:
        raise exceptions.UserError(f"{url}: a stored document is invalid: {error}") from error
    except (tables.ReadError, tables.ObjectError, aiohttp.ClientError, OSError) as error:
        cause = error.__cause__ or error
        raise exceptions.UserError(f"{url}: the platform did not answer: {cause}") from error


async def fetch_sheet(platform: Platform, head: sheet.HeadDocument) -> sheet.Sheet:
    """Return the sheet named by `head`; raises `UserError`, `ObjectError` or `InvalidDocument`."""
    body = await platform.objects.get(head["object_name"])
    if body is None:
        raise exceptions.UserError(
            f"version {head['version']}: object {head['object_name']} is missing"
        )
    return sheet.compile_sheet(head["version"], body)
