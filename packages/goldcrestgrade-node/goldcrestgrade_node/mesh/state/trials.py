"""Trials of quarantined requests, one at a time in all nodes together.

Load pattern: endpoints crash for another reason while they run requests for a popular page, which
then counts as a poison request. Once all nodes refuse it, no answer can show that it is harmless.

A node claims a trial by a row in the store and sends one later request of the quarantined kind to
one endpoint. An answer ends the quarantine; a crash is one more that counts against the request.
The number of trials is limited, since each trial of a poison request costs an endpoint.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import typing

from goldcrestgrade import counters, instants, reasons
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import replica

log = logging.getLogger(__name__)

KEY_PREFIX = "trial/"
"""Prefix of the keys of rows that count the trials of a request; its digest follows."""

MAX_TRIALS = 2
"""Trials of a request within `LIFETIME_S`."""

FIRST_DELAY_S = 5.0
"""Time after the latest crash before which no trial is claimed.

Answers of requests that are in flight elsewhere mostly come sooner, and make a trial needless.
"""

INTERVAL_S = 8.0
"""Time between the first trial and the second one."""

LIFETIME_S = 120.0
"""Time after which the trials of a request no longer count, as its crashes don't."""

GRANT_LIFETIME_S = 5.0
"""Time for which a node may use the trial that it has claimed."""

CLAIMS_PER_S = 100.0
"""Mean rate of claims if all nodes want the same trial; the first one ends the wait of all."""


class Trial(typing.NamedTuple):
    """The trials of one request, as its row states them."""

    claimed: int
    next_at: instants.WallInstant
    """When the next trial may be claimed, if there is one."""
    until: instants.WallInstant
    """When the row no longer counts."""


class Trials:
    """Trials that nodes have claimed; owned by the node's event loop."""

    def __init__(
        self,
        store: tables.TableService,
        local_replica: replica.Replica,
        is_quarantined: typing.Callable[[str], bool],
        latest_crash: typing.Callable[[str], instants.WallInstant],
        count_nodes: typing.Callable[[], int],
        clocks: instants.Clocks,
        counts: counters.Counts,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.replica = local_replica
        self.is_quarantined = is_quarantined
        self.latest_crash = latest_crash
        """Returns when an endpoint last crashed under a request."""
        self.count_nodes = count_nodes
        self.clocks = clocks
        self.counts = counts
        self.rng = rng
        self.by_digest: dict[str, Trial] = {}
        self.granted: dict[str, instants.Instant] = {}
        """When the trial that this node has claimed expires, by digest."""
        self.wanted: set[str] = set()
        """Digests whose trials this node is about to claim."""
        self.queue: asyncio.Queue[str] = asyncio.Queue()

    def apply_change(self, change: tables.Change) -> None:
        """Apply a change of a trial row that any node wrote."""
        digest = change.key.removeprefix(KEY_PREFIX)
        if change.value is None:
            self.by_digest.pop(digest, None)
            return
        trial = _decode(change.value)
        latest = self.clocks.wall() + LIFETIME_S + instants.MAX_CLOCK_STEP_S
        if trial is None or not trial.next_at <= trial.until <= latest:
            log.warning("trial row of a request is malformed; ignored", extra={"key": change.key})
            return
        self.by_digest[digest] = trial

    def request(self, digest: str) -> bool:
        """Have a trial of a quarantined request claimed; return whether one is under way."""
        if digest not in self.wanted and self.wait_s(digest) == 0:
            self.wanted.add(digest)
            self.queue.put_nowait(digest)
        return digest in self.wanted or digest in self.granted

    def take(self, digest: str) -> bool:
        """Use the trial of a request if this node holds one; return whether it does."""
        return self.granted.pop(digest, -instants.NEVER) > self.clocks.monotonic()

    def give_back(self, digest: str) -> None:
        """Keep a trial whose request reached no endpoint, for a later request."""
        self.granted[digest] = self.clocks.monotonic() + GRANT_LIFETIME_S

    async def run(self) -> None:
        """Claim the requested trials, until cancelled."""
        while True:
            digest = await self.queue.get()
            await asyncio.sleep(self.rng.uniform(0.0, self.count_nodes() / CLAIMS_PER_S))
            if self.is_quarantined(digest) and self.wait_s(digest) == 0:
                await self._claim(digest)
            self.wanted.discard(digest)

    def _drop_expired(self) -> None:
        now = self.clocks.monotonic()
        self.granted = {d: until for d, until in self.granted.items() if until > now}

    def wait_s(self, digest: str) -> float:
        """Return the seconds until the next trial of a request; infinite if there is none."""
        trial = self._counted(digest)
        next_at = self.latest_crash(digest) + FIRST_DELAY_S
        if trial is not None:
            next_at = math.inf if trial.claimed >= MAX_TRIALS else max(next_at, trial.next_at)
        return max(0.0, next_at - self.clocks.wall())

    def _counted(self, digest: str) -> Trial | None:
        trial = self.by_digest.get(digest)
        return trial if trial is not None and trial.until > self.clocks.wall() else None

    async def _claim(self, digest: str) -> None:
        key = KEY_PREFIX + digest
        before, now = self._counted(digest), self.clocks.wall()
        count = 1 + (0 if before is None else before.claimed)
        value: tables.Value = Trial(count, now + INTERVAL_S, now + LIFETIME_S)._asdict()
        result = await self.store.transact(
            tables.Transaction(
                (
                    tables.Condition(
                        replica.MESH, key, self.replica.store_position(replica.MESH, key)
                    ),
                ),
                (tables.Write(replica.MESH, key, value),),
            )
        )
        log.warning(
            "trial of a quarantined request claimed",
            extra={"digest": digest, "trial": count, "result": result.tag},
        )
        match result:
            case tables.Committed(position=position):
                self._drop_expired()
                self.granted[digest] = self.clocks.monotonic() + GRANT_LIFETIME_S
                self.counts.events[reasons.Event.QUARANTINE_TRIAL] += 1
                self.replica.apply_change(tables.Change(replica.MESH, key, position, value))
            case tables.Conflicted(failures=failures):
                for failure in failures:
                    self.replica.apply_conflict(failure)


def _decode(value: tables.Value) -> Trial | None:
    """Return the trials that a row states, or none if it is malformed."""
    claimed: typing.Any = value.get("claimed")
    next_at: typing.Any = value.get("next_at")
    until: typing.Any = value.get("until")
    if type(claimed) is not int or claimed < 0:
        return None
    if type(next_at) not in (int, float) or type(until) not in (int, float):
        return None
    return Trial(claimed, next_at, until)
