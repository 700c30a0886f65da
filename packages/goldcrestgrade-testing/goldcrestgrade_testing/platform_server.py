"""Stand-in for the platform over HTTP: table service and object store at one address."""

from __future__ import annotations

import asyncio
import typing

import falcon
import falcon.asgi
import orjson
import pydantic
import typing_extensions

from goldcrestgrade import settings
from goldcrestgrade.storage import http_tables, tables
from goldcrestgrade_node import servers
from goldcrestgrade_testing import memory_platform


class TransactionDocument(typing_extensions.TypedDict):
    """Body of a request for a transaction."""

    conditions: list[http_tables.ConditionDocument]
    writes: list[tables.Write]


TRANSACTION: pydantic.TypeAdapter[TransactionDocument] = pydantic.TypeAdapter(TransactionDocument)


class Transactions:
    """Resource for transactions of the table service."""

    def __init__(self, store: memory_platform.MemoryTables) -> None:
        self.store = store

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Commit a transaction; 503 means that it had no effect, 504 that this is unknown."""
        document = TRANSACTION.validate_json(await request.stream.read())
        result = await self.store.transact(
            tables.Transaction(
                tuple(http_tables.decode_condition(each) for each in document["conditions"]),
                tuple(document["writes"]),
            )
        )
        match result:
            case tables.Committed(position=(era, version)):
                response.data = orjson.dumps({"version": version, "era": era, "failures": []})
            case tables.Conflicted(failures=failures):
                response.data = orjson.dumps(
                    {
                        "version": None,
                        "failures": [
                            {
                                "condition": http_tables.encode_condition(failure.condition),
                                "row": failure.row and http_tables.encode_row(failure.row),
                            }
                            for failure in failures
                        ],
                    }
                )
            case tables.Rejected():
                response.status = falcon.HTTP_503
            case tables.Unanswered():
                response.status = falcon.HTTP_504


class Rows:
    """Resource for the rows of a table."""

    def __init__(self, store: memory_platform.MemoryTables) -> None:
        self.store = store

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, table: str
    ) -> None:
        """Return the first `limit` rows, 100 by default, whose keys begin with `prefix`."""
        rows = await self._read_or_unavailable(
            self.store.scan(
                table, request.get_param("prefix") or "", request.get_param_as_int("limit") or 100
            )
        )
        response.data = orjson.dumps({"rows": [http_tables.encode_row(row) for row in rows]})

    async def on_get_one(
        self, _request: falcon.asgi.Request, response: falcon.asgi.Response, table: str, key: str
    ) -> None:
        """Return one row, or 404 if it does not exist."""
        row = await self._read_or_unavailable(self.store.read(table, key))
        if row is None:
            raise falcon.HTTPNotFound
        response.data = orjson.dumps(http_tables.encode_row(row))

    async def _read_or_unavailable(
        self, read_operation: typing.Awaitable[typing.Any]
    ) -> typing.Any:
        try:
            return await read_operation
        except tables.ReadError as error:
            raise falcon.HTTPServiceUnavailable from error


class Objects:
    """Resource for the objects of the object store."""

    def __init__(self, store: memory_platform.MemoryObjects) -> None:
        self.store = store

    async def on_get(
        self, _request: falcon.asgi.Request, response: falcon.asgi.Response, name: str
    ) -> None:
        """Return an object, or 404 if it does not exist."""
        body = await self.store.get(name)
        if body is None:
            raise falcon.HTTPNotFound
        response.data = body

    async def on_put(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, name: str
    ) -> None:
        """Write an object."""
        await self.store.put(name, await request.stream.read())
        response.status = falcon.HTTP_204


def create(
    table_store: memory_platform.MemoryTables, object_store: memory_platform.MemoryObjects
) -> typing.Any:
    """Return the ASGI application of the stand-in."""
    app: typing.Any = falcon.asgi.App()
    rows = Rows(table_store)
    app.add_route("/v1/transactions", Transactions(table_store))
    app.add_route("/v1/tables/{table}/rows", rows)
    app.add_route("/v1/tables/{table}/rows/{key:path}", rows, suffix="one")
    app.add_route("/v1/objects/{name}", Objects(object_store))
    return app


async def serve(
    address: settings.Address,
    table_store: memory_platform.MemoryTables,
    object_store: memory_platform.MemoryObjects,
) -> None:
    """Serve the stand-in at `address` until cancelled."""
    server = servers.create(create(table_store, object_store), address)
    try:
        await server.serve()
    except asyncio.CancelledError:
        server.should_exit = True
        raise
