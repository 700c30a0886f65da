"""Quarantine of poison requests, which crash the endpoints that run them.

Load pattern: a poison request crashes each endpoint that starts to run it, and its client sends it
again to any node. The node of a crashed endpoint writes a row for each request that was in flight
there; all nodes count the rows and refuse a request that has crashed too many endpoints.

A poison request is never answered. An answer therefore removes the rows of the crashes before it,
for all nodes and over restarts. Requests that all nodes refuse get answers by trials only.
"""

from __future__ import annotations

import asyncio
import collections
import logging
import random
import typing

from goldcrestgrade import counters, instants, reasons
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import replica, trials

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


REMOVALS_PER_S = 100.0
"""Mean rate of removals if all nodes see answers; the first one shows the others that it is done.
"""


class Quarantine:
    """Crashes that this node knows of, by request; owned by the node's event loop."""

    def __init__(
        self,
        store: tables.TableService,
        local_replica: replica.Replica,
        count_nodes: typing.Callable[[], int],
        clocks: instants.Clocks,
        counts: counters.Counts,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.count_nodes = count_nodes
        self.clocks = clocks
        self.counts = counts
        self.rng = rng
        self.trials = trials.Trials(
            store,
            local_replica,
            self.is_quarantined,
            self.latest_crash,
            count_nodes,
            clocks,
            counts,
            rng,
        )
        self.crashes: dict[str, dict[str, instants.WallInstant]] = {}
        """Expiry of each crash, by digest and endpoint."""
        self.answered: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.unwritten: asyncio.Queue[tuple[str, str]] = asyncio.Queue()
        """Digests and endpoints of crashes that this node saw and has not written yet."""
        self.disproved: dict[str, set[str]] = {}
        """Endpoints whose crashes an answer has disproved, by digest, until their rows are removed.
        """
        self.removal_due = asyncio.Event()

    def is_quarantined(self, digest: str) -> bool:
        """Return whether a request has crashed too many endpoints."""
        crashes = self.crashes.get(digest)
        if crashes is None or digest in self.answered:
            return False
        now = self.clocks.wall()
        return sum(expires_at > now for expires_at in crashes.values()) >= MAX_CRASHES

    def latest_crash(self, digest: str) -> instants.WallInstant:
        """Return when an endpoint last crashed under a request, as far as this node knows."""
        return max(self.crashes.get(digest, {}).values(), default=0.0) - CRASH_LIFETIME_S

    def record_answer(self, digest: str) -> None:
        """Record that an endpoint answered a request, which thus did not cause the crashes."""
        self.answered[digest] = None
        self.answered.move_to_end(digest)
        if len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)
        crashes = self.crashes.get(digest)
        if crashes:
            self.disproved.setdefault(digest, set()).update(crashes)
            self.removal_due.set()

    def record_crash(self, digest: str, endpoint: str) -> None:
        """Record that an endpoint crashed while it ran a request."""
        self.answered.pop(digest, None)
        self._set_expiry(digest, endpoint, self.clocks.wall() + CRASH_LIFETIME_S)
        self.unwritten.put_nowait((digest, endpoint))

    def apply_change(self, change: tables.Change) -> None:
        """Apply a change of a crash row that any node wrote."""
        digest, _, endpoint = change.key.removeprefix(KEY_PREFIX).partition("/")
        if change.value is None:
            self._forget(digest, endpoint)
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
        """Write the crashes that this node sees, and remove disproved ones, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._write_crashes())
            group.create_task(self._remove_disproved())
            group.create_task(self.trials.run())

    async def _write_crashes(self) -> None:
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

    async def _remove_disproved(self) -> None:
        while True:
            await self.removal_due.wait()
            self.removal_due.clear()
            await asyncio.sleep(self.rng.uniform(0.0, self.count_nodes() / REMOVALS_PER_S))
            known = [
                (digest, endpoint)
                for digest, endpoints in self.disproved.items()
                for endpoint in endpoints
                if endpoint in self.crashes.get(digest, {})
            ]
            self.disproved.clear()
            for first in range(0, len(known), MAX_ROWS):
                await self._remove(known[first : first + MAX_ROWS])

    async def _remove(self, disproved: list[tuple[str, str]]) -> None:
        """Remove the rows of crashes, and those of the trials of their requests."""
        keys = [f"{KEY_PREFIX}{digest}/{endpoint}" for digest, endpoint in disproved]
        digests = {digest for digest, _ in disproved}
        keys += [trials.KEY_PREFIX + d for d in sorted(digests & self.trials.by_digest.keys())]
        writes = tuple(tables.Write(replica.MESH, key, None) for key in keys)
        for _ in range(WRITE_ATTEMPTS):
            result = await self.store.transact(tables.Transaction((), writes))
            log.warning(
                "crashes removed, since an endpoint answered the requests",
                extra={"rows": keys, "result": result.tag},
            )
            if isinstance(result, tables.Committed):
                self.counts.events[reasons.Event.QUARANTINE_CLEARED] += len(digests)
                for digest, endpoint in disproved:
                    self._forget(digest, endpoint)
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
            self._forget(digest, endpoint)
        keys = [f"{KEY_PREFIX}{digest}/{endpoint}" for digest, endpoint in expired]
        ended = {digest for digest, _ in expired} - self.crashes.keys()
        keys += [trials.KEY_PREFIX + d for d in sorted(ended & self.trials.by_digest.keys())]
        return tuple(tables.Write(replica.MESH, key, None) for key in keys)

    def _forget(self, digest: str, endpoint: str) -> None:
        crashes = self.crashes.get(digest, {})
        crashes.pop(endpoint, None)
        if not crashes:
            self.crashes.pop(digest, None)

    def _set_expiry(self, digest: str, endpoint: str, expires_at: instants.WallInstant) -> None:
        self.crashes.setdefault(digest, {})[endpoint] = expires_at
