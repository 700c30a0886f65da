"""Client of the table service over HTTP with JSON."""

from __future__ import annotations

import typing
import urllib.parse

import aiohttp
import orjson
import pydantic
import typing_extensions

from goldcrestgrade.storage import tables

REQUEST_TIMEOUT_S = 2.0
"""Timeout of a request to the table service."""

CONNECT_TIMEOUT_S = 0.5
"""Timeout of connecting to the table service."""

T = typing.TypeVar("T")


class RowDocument(typing_extensions.TypedDict):
    """A row on the wire."""

    table: str
    key: str
    version: int
    era: typing_extensions.NotRequired[int]
    """0 if it is missing: the service has never come back from a copy."""
    value: tables.Value


class ConditionDocument(typing_extensions.TypedDict):
    """A condition on the wire."""

    table: str
    key: str
    version: int
    era: typing_extensions.NotRequired[int]


class FailureDocument(typing_extensions.TypedDict):
    """A failed condition on the wire."""

    condition: ConditionDocument
    row: RowDocument | None


class CommitDocument(typing_extensions.TypedDict):
    """Answer to a transaction: a commit version, or the conditions that failed."""

    version: int | None
    era: typing_extensions.NotRequired[int]
    failures: list[FailureDocument]


class ScanDocument(typing_extensions.TypedDict):
    """Answer to a scan."""

    rows: list[RowDocument]


_COMMIT: pydantic.TypeAdapter[CommitDocument] = pydantic.TypeAdapter(CommitDocument)
_ROW: pydantic.TypeAdapter[RowDocument] = pydantic.TypeAdapter(RowDocument)
_SCAN: pydantic.TypeAdapter[ScanDocument] = pydantic.TypeAdapter(ScanDocument)


class HttpTables:
    """A table service at `base_url`, reached through `session`."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self.session = session
        self.base_url = base_url
        self.timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)

    async def transact(self, transaction: tables.Transaction) -> tables.Result:
        """Commit `transaction`; the result states whether it had an effect, as far as is known."""
        body = orjson.dumps(
            {
                "conditions": [encode_condition(each) for each in transaction.conditions],
                "writes": [write._asdict() for write in transaction.writes],
            }
        )
        try:
            status, text = await self._exchange("POST", "/v1/transactions", body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return tables.Rejected(str(error))
        except (TimeoutError, aiohttp.ClientError) as error:
            return tables.Unanswered(repr(error))
        if status in (429, 503):
            return tables.Rejected(f"table service answered with status {status}")
        if status != 200:
            return tables.Unanswered(f"table service answered with status {status}")
        try:
            return _result(_COMMIT.validate_json(text))
        except pydantic.ValidationError as error:
            return tables.Unanswered(str(error))

    async def read(self, table: str, key: str) -> tables.Row | None:
        """Return a row as of its last commit; raises `ReadError`."""
        quoted = urllib.parse.quote(key, safe="")
        status, text = await self._read(f"/v1/tables/{table}/rows/{quoted}")
        return None if status == 404 else _row(_valid(_ROW, text))

    async def scan(self, table: str, prefix: str, limit: int) -> list[tables.Row]:
        """Return at most `limit` rows by key order; raises `ReadError`."""
        query = urllib.parse.urlencode({"prefix": prefix, "limit": limit})
        _, text = await self._read(f"/v1/tables/{table}/rows?{query}")
        return [_row(document) for document in _valid(_SCAN, text)["rows"]]

    async def _read(self, path: str) -> tuple[int, bytes]:
        try:
            status, text = await self._exchange("GET", path, None)
        except (TimeoutError, aiohttp.ClientError) as error:
            raise tables.ReadError(repr(error)) from error
        if status not in (200, 404):
            raise tables.ReadError(f"table service answered {path} with status {status}")
        return status, text

    async def _exchange(self, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
        async with self.session.request(
            method, self.base_url + path, data=body, timeout=self.timeout, allow_redirects=False
        ) as response:
            return response.status, await response.read()


def _valid(adapter: pydantic.TypeAdapter[T], text: bytes) -> T:
    try:
        return adapter.validate_json(text)
    except pydantic.ValidationError as error:
        raise tables.ReadError(str(error)) from error


def encode_row(row: tables.Row) -> RowDocument:
    """Return a row in the form of the wire."""
    era, version = row.position
    return RowDocument(table=row.table, key=row.key, version=version, era=era, value=row.value)


def encode_condition(condition: tables.Condition) -> ConditionDocument:
    """Return a condition in the form of the wire."""
    era, version = condition.position
    return ConditionDocument(table=condition.table, key=condition.key, version=version, era=era)


def decode_condition(document: ConditionDocument) -> tables.Condition:
    """Return the condition in a document of the wire."""
    position = tables.Position(document.get("era", 0), document["version"])
    return tables.Condition(document["table"], document["key"], position)


def _row(document: RowDocument) -> tables.Row:
    position = tables.Position(document.get("era", 0), document["version"])
    return tables.Row(document["table"], document["key"], position, document["value"])


def _result(document: CommitDocument) -> tables.Result:
    if document["version"] is not None:
        return tables.Committed(tables.Position(document.get("era", 0), document["version"]))
    return tables.Conflicted(
        tuple(
            tables.Failure(
                decode_condition(failure["condition"]), failure["row"] and _row(failure["row"])
            )
            for failure in document["failures"]
        )
    )
