"""Stand-in for the platform's table service over HTTP, with outages that can be injected.

It can also come back from a copy of its past, and then gives out versions again.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import dataclasses
import enum
import time
import typing
import urllib.parse

import orjson

from goldcrestgrade import outcomes
from goldcrestgrade_node import asgi

MAX_ROWS = 500
"""Largest number of rows in one answer of a read."""

MAX_TRANSACTION_ENTRIES = 100
"""Largest number of conditions, writes and removals in one transaction."""

MAX_TEXT_BYTES = 200
"""Longest table, part or key."""

MAX_WAIT_MS = 30_000
"""Longest time that a request may wait for changes."""

COPY_LIFETIME_S = 30.0
"""Time for which the store keeps copies of its past."""

Row = dict[str, typing.Any]
RowId = tuple[str, str, str]
"""Table, part and key of a row."""


class Outage(enum.StrEnum):
    """How the store fails the requests that arrive through one access point."""

    NONE = "none"
    BUSY = "busy"
    """The store answers 503 and does nothing."""
    SILENT = "silent"
    """The store neither answers nor does anything."""
    LOST = "lost"
    """The store carries out requests but does not answer."""
    LATE = "late"
    """The store carries out requests 1 s later and does not answer."""
    ENDLESS = "endless"
    """The store does nothing, and its answers have no end."""


@dataclasses.dataclass
class AccessPoint:
    """Faults and delay of the requests that arrive through one address of the store.

    Each instance has its own, so that one node can be cut off while others reach the store.
    """

    outage: Outage = Outage.NONE
    delay_s: float = 0.0


class Copy(typing.NamedTuple):
    """The rows of the store as of one commit."""

    taken_at: float
    """Monotonic instant of the commit."""
    version: int
    rows: dict[RowId, Row]


class Store:
    """Rows and the history of their changes; owned by one event loop.

    Requests beyond `max_requests_per_s` get 429.
    """

    def __init__(self, max_requests_per_s: float = float("inf")) -> None:
        self.rows: dict[RowId, Row] = {}
        self.history: list[Row] = []
        self.version = 0
        self.era = 1
        """Number of times that the store began, the first start included."""
        self.copies: collections.deque[Copy] = collections.deque()
        self.restoring = asyncio.Lock()
        self.away = False
        """Whether the store is about to come back from a copy; it drops all requests until then."""
        self.history_dropped_to = 0
        """Version up to which changes are no longer available."""
        self.changed = asyncio.Event()
        self.closed = False
        self.requests: collections.Counter[str] = collections.Counter()
        """Number of requests by path."""
        self.max_requests_per_s = max_requests_per_s
        self.rate_window = 0
        """Second of the monotonic clock whose requests `requests_in_window` counts."""
        self.requests_in_window = 0

    def write(self, table: str, key: str, value: typing.Any) -> None:
        """Write `value` as JSON to a row, without a condition, as the operator does."""
        self.write_bytes(table, key, orjson.dumps(value))

    def write_bytes(self, table: str, key: str, value: bytes, part: str = "") -> None:
        """Write any bytes to a row, without a condition, as another writer may do."""
        text = base64.b64encode(value).decode()
        self._apply({"writes": [{"table": table, "part": part, "key": key, "value": text}]})

    def remove(self, table: str, key: str) -> None:
        """Remove a row without a condition, as the operator does; nothing happens without a row."""
        self._apply({"remove": [{"table": table, "part": "", "key": key}]})

    def drop_history(self) -> None:
        """Drop the history: requests for changes after a version below the present one get 410."""
        self.history.clear()
        self.history_dropped_to = self.version
        self._wake_waiters()

    async def restore(self, age_s: float, away_s: float) -> None:
        """Be away for `away_s`, then come back as of `age_s` before that, in a new era.

        A return that begins during another one follows it.
        """
        async with self.restoring:
            await self._restore(age_s, away_s)

    async def _restore(self, age_s: float, away_s: float) -> None:
        restored = self._copy_at(time.monotonic() - age_s)
        self.away = True
        self._wake_waiters()
        await asyncio.sleep(away_s)
        self.rows, self.version = dict(restored.rows), restored.version
        self.history = [row for row in self.history if row["ver"] <= self.version]
        self.history_dropped_to = min(self.history_dropped_to, self.version)
        self.copies.clear()
        self.era += 1
        self.away = False

    def _copy_at(self, instant: float) -> Copy:
        earlier = [copy for copy in self.copies if copy.taken_at <= instant]
        return earlier[-1] if earlier else Copy(0.0, 0, {})

    def close(self) -> None:
        """Answer all requests that wait for changes, so that the server can stop."""
        self.closed = True
        self._wake_waiters()

    def app(self, access: AccessPoint) -> asgi.App:
        """Return the ASGI application that serves requests through `access`."""

        async def serve(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
            body = await asgi.read_body(receive) or b""
            path: str = scope["path"]
            self.requests[path] += 1
            await asyncio.sleep(access.delay_s)
            if access.outage == Outage.SILENT:
                await asgi.wait_disconnected(receive)
                return
            if access.outage == Outage.ENDLESS:
                await _send_endlessly(receive, send)
                return
            if access.outage == Outage.BUSY or self.away:
                await asgi.send_plain(send, self._plain_answer(503), close=False)
                return
            if self._exceeds_rate():
                await asgi.send_plain(send, self._plain_answer(429), close=False)
                return
            if access.outage == Outage.LATE:
                await asyncio.sleep(1.0)
            query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
            status, document = await self._answer(path, query, body)
            if self.away:
                status, document = 503, {}
            if access.outage in (Outage.LOST, Outage.LATE):
                await asgi.wait_disconnected(receive)
                return
            fields = (("content-type", "application/json"), ("store-era", str(self.era)))
            answer = outcomes.Answer(status, fields, orjson.dumps(document))
            await asgi.send_plain(send, answer, close=False)

        return serve

    def _plain_answer(self, status: int) -> outcomes.Answer:
        return outcomes.Answer(status, (("store-era", str(self.era)),), b"")

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, typing.Any]:
        now = f"{round(time.monotonic() * 1000)}ms"
        match path:
            case "/-/rows-tx":
                status, document = self._transact(orjson.loads(body))
            case "/-/rows-get":
                too_long = any(len(text.encode()) > MAX_TEXT_BYTES for text in query.values())
                status, document = (400, {}) if too_long else (200, self._get(query))
            case "/-/rows-feed":
                status, document = await self._feed(query)
            case _:
                status, document = 404, {}
        return status, {"ver": self.version, "now": now, **document}

    def _transact(self, document: Row) -> tuple[int, Row]:
        entries = sum(len(document.get(name, ())) for name in ("expected", "writes", "remove"))
        if entries > MAX_TRANSACTION_ENTRIES:
            return 400, {}
        failed = [
            self.rows.get(_row_id(row), {**_identity(row), "ver": 0})
            for row in document.get("expected", ())
            if self.rows.get(_row_id(row), {"ver": 0})["ver"] != row["ver"]
        ]
        if failed:
            return 412, {"rows": [row for row in failed if row["ver"]]}
        self._apply(document)
        return 200, {}

    def _apply(self, document: Row) -> None:
        self.version += 1
        for row in document.get("writes", ()):
            self.rows[_row_id(row)] = {**row, "ver": self.version}
            self.history.append(self.rows[_row_id(row)])
        for row in document.get("remove", ()):
            if self.rows.pop(_row_id(row), None) is not None:
                self.history.append({**_identity(row), "removed": True, "ver": self.version})
        now = time.monotonic()
        self.copies.append(Copy(now, self.version, dict(self.rows)))
        while self.copies[0].taken_at < now - COPY_LIFETIME_S and len(self.copies) > 1:
            self.copies.popleft()
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _get(self, query: dict[str, str]) -> Row:
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        ]
        return {"rows": found[:limit], "has_more": len(found) > limit}

    async def _feed(self, query: dict[str, str]) -> tuple[int, Row]:
        after = int(query["after"])
        wait_s = min(MAX_WAIT_MS, int(query.get("wait_ms", 0))) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while (
                    not (found := self._changes_since(query["table"], after))
                    and not self.closed
                    and not self.away
                    and self._has_history_since(after)
                ):
                    await self.changed.wait()
        except TimeoutError:
            # A change may come at the moment of the time-out; the answer names its version.
            found = self._changes_since(query["table"], after)
        return (200, {"rows": found}) if self._has_history_since(after) else (410, {})

    def _has_history_since(self, after: int) -> bool:
        return self.history_dropped_to <= after <= self.version

    def _changes_since(self, table: str, after: int) -> list[Row]:
        return [row for row in self.history if row["table"] == table and row["ver"] > after]

    def _exceeds_rate(self) -> bool:
        second = int(time.monotonic())
        if second != self.rate_window:
            self.rate_window, self.requests_in_window = second, 0
        self.requests_in_window += 1
        return self.requests_in_window > self.max_requests_per_s


async def _send_endlessly(receive: asgi.Receive, send: asgi.Send) -> None:
    """Send an answer without an end until the client disconnects."""
    disconnected = asyncio.create_task(asgi.wait_disconnected(receive))
    await send({"type": "http.response.start", "status": 200, "headers": []})
    while not disconnected.done():
        await send({"type": "http.response.body", "body": b"x" * 65536, "more_body": True})
        await asyncio.sleep(0)


def _row_id(row: Row) -> RowId:
    return row["table"], row.get("part", ""), row["key"]


def _identity(row: Row) -> Row:
    return {name: row.get(name, "") for name in ("table", "part", "key")}
