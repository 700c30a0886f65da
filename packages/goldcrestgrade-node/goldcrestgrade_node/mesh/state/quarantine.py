"""Quarantine of poison requests, which crash the endpoints that run them.

Load pattern: a poison request crashes each endpoint that starts to run it, and its client sends it
again to any node. The node of a crashed endpoint writes a row for each request that was in flight
there; all nodes count the rows and refuse a request that has crashed too many endpoints.
"""

from __future__ import annotations

import asyncio
import collections
import logging
import typing

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import replica

log = logging.getLogger(__name__)

KEY_PREFIX = "suspect/"
"""Prefix of the keys of crash rows; digest and endpoint follow."""

MAX_CRASHES = 3
"""Endpoints that one request may crash before it is refused."""

CRASH_LIFETIME_S = 120.0
"""Time for which a crash counts against a request."""

BATCH_DELAY_S = 0.05
"""Time in which the requests that one crash interrupted are collected into one write."""

MAX_ROWS = 40
"""Largest number of rows added, and of rows removed, in one write; endpoints have fewer slots."""

MAX_ANSWERED = 4096
"""Largest number of answered requests that are remembered."""

WRITE_ATTEMPTS = 3
"""Largest number of attempts of a write."""

WRITE_RETRY_DELAY_S = 0.3
"""Time between two attempts of a write."""


class Quarantine:
    """Crashes that this node knows of, by request; owned by the node's event loop."""

    def __init__(self, store: tables.TableService, clocks: instants.Clocks) -> None:
        self.store = store
        self.clocks = clocks
        self.crashes: dict[str, dict[str, instants.WallInstant]] = {}
        """Expiry of each crash, by digest and endpoint."""
        self.answered: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.unwritten: asyncio.Queue[tuple[str, str]] = asyncio.Queue()
        """Digests and endpoints of crashes that this node saw and has not written yet."""

    def is_quarantined(self, digest: str) -> bool:
        """Return whether a request has crashed too many endpoints."""
        crashes = self.crashes.get(digest)
        if crashes is None or digest in self.answered:
            return False
        now = self.clocks.wall()
        return sum(expires_at > now for expires_at in crashes.values()) >= MAX_CRASHES

    def record_answer(self, digest: str) -> None:
        """Record that an endpoint answered a request, which thus did not cause the crashes."""
        self.answered[digest] = None
        self.answered.move_to_end(digest)
        if len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)

    def record_crash(self, digest: str, endpoint: str) -> None:
        """Record that an endpoint crashed while it ran a request."""
        self.answered.pop(digest, None)
        self._set_expiry(digest, endpoint, self.clocks.wall() + CRASH_LIFETIME_S)
        self.unwritten.put_nowait((digest, endpoint))

    def apply_change(self, change: tables.Change) -> None:
        """Apply a change of a crash row that any node wrote."""
        digest, _, endpoint = change.key.removeprefix(KEY_PREFIX).partition("/")
        if change.value is None:
            return
        expires_at: typing.Any = change.value.get("until")
        latest = self.clocks.wall() + CRASH_LIFETIME_S + instants.MAX_CLOCK_STEP_S
        if type(expires_at) not in (int, float) or expires_at > latest:
            log.warning("crash row of a request is malformed; ignored", extra={"key": change.key})
            return
        if endpoint not in self.crashes.get(digest, {}):
            self.answered.pop(digest, None)
        self._set_expiry(digest, endpoint, expires_at)

    async def run(self) -> None:
        """Write the crashes that this node sees, until cancelled."""
        while True:
            first = await self.unwritten.get()
            await asyncio.sleep(BATCH_DELAY_S)
            crashes = [first]
            while not self.unwritten.empty() and len(crashes) < MAX_ROWS:
                crashes.append(self.unwritten.get_nowait())
            await self._write(crashes)

    async def _write(self, crashes: list[tuple[str, str]]) -> None:
        expires_at = self.clocks.wall() + CRASH_LIFETIME_S
        writes = tuple(
            tables.Write(replica.MESH, f"{KEY_PREFIX}{digest}/{endpoint}", {"until": expires_at})
            for digest, endpoint in dict.fromkeys(crashes)
        )
        for _ in range(WRITE_ATTEMPTS):
            result = await self.store.transact(
                tables.Transaction((), (*writes, *self._expired_deletions()))
            )
            log.warning(
                "endpoint ended while it ran requests",
                extra={"requests": [write.key for write in writes], "written": result.tag},
            )
            if isinstance(result, tables.Committed):
                return
            await asyncio.sleep(WRITE_RETRY_DELAY_S)

    def _expired_deletions(self) -> tuple[tables.Write, ...]:
        """Drop expired crashes from memory and return the writes that remove their rows."""
        now = self.clocks.wall()
        expired = [
            (digest, endpoint)
            for digest, crashes in self.crashes.items()
            for endpoint, expires_at in crashes.items()
            if expires_at <= now
        ][:MAX_ROWS]
        for digest, endpoint in expired:
            del self.crashes[digest][endpoint]
            if not self.crashes[digest]:
                del self.crashes[digest]
        return tuple(
            tables.Write(replica.MESH, f"{KEY_PREFIX}{digest}/{endpoint}", None)
            for digest, endpoint in expired
        )

    def _set_expiry(self, digest: str, endpoint: str, expires_at: instants.WallInstant) -> None:
        self.crashes.setdefault(digest, {})[endpoint] = expires_at
