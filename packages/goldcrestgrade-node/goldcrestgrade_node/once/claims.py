"""Claims in the table service, committed in groups.

A transaction carries all claims that waited for it. Under load, a claim waits a little for
others; a few transactions may be in flight at once, and a claim is in one of them only.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import typing

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.once import rows

MAX_GROUP = tables.MAX_TRANSACTION_WRITES
"""Largest number of claims in one transaction."""

MAX_IN_FLIGHT = 8
"""Largest number of transactions of claims in flight at once."""

GROUP_DELAY_S = 0.0065
"""Time that a claim waits for others under load."""

LOAD_CLAIMS = 13
"""Number of claims within `LOAD_WINDOW_S` from which claims wait for others."""

LOAD_WINDOW_S = 0.1
"""Time over which claims are counted to tell load."""


class Claim(typing.NamedTuple):
    """A claim that a guard asks for."""

    row_key: str
    document: rows.ClaimDocument
    expected_version: int
    """Version of the row that the claim takes over; `ABSENT` for a new row."""
    deadline: instants.Instant
    """When the guard stops waiting for the claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The claim is ours, as committed in `version`."""

    version: int
    tag: typing.Literal["held"] = "held"


@dataclasses.dataclass(frozen=True, slots=True)
class Foreign:
    """Another claim stands."""

    row: tables.Row
    tag: typing.Literal["foreign"] = "foreign"


@dataclasses.dataclass(frozen=True, slots=True)
class Unclaimed:
    """The claim is not known to stand; the guard must not start the request."""

    store_down: bool
    retry_at: instants.Instant | None = None
    """When the store may be tried again, where that is known."""
    tag: typing.Literal["unclaimed"] = "unclaimed"


ClaimResult = Held | Foreign | Unclaimed


class Waiting(typing.NamedTuple):
    """A claim and the future that takes its result."""

    claim: Claim
    reply: asyncio.Future[ClaimResult]


class Committer:
    """Commits claims; `run` is the task that owns the queue."""

    def __init__(self, store: tables.TableService, clocks: instants.Clocks) -> None:
        self.store = store
        self.clocks = clocks
        self.inbox: asyncio.Queue[Waiting] = asyncio.Queue()
        self.recent: collections.deque[instants.Instant] = collections.deque(maxlen=LOAD_CLAIMS)
        self.slots = asyncio.Semaphore(MAX_IN_FLIGHT)

    async def claim(self, claim: Claim) -> ClaimResult:
        """Return whether `claim` stands, at the latest at its deadline."""
        reply: asyncio.Future[ClaimResult] = asyncio.get_running_loop().create_future()
        self.recent.append(self.clocks.monotonic())
        self.inbox.put_nowait(Waiting(claim, reply))
        try:
            async with asyncio.timeout_at(claim.deadline):
                return await reply
        except TimeoutError:
            return Unclaimed(store_down=False)

    async def run(self) -> None:
        """Commit claims in groups until cancelled."""
        async with asyncio.TaskGroup() as commits:
            while True:
                group = await self._next_group()
                await self.slots.acquire()
                commits.create_task(self._commit_in_slot(group))

    async def _next_group(self) -> list[Waiting]:
        group = [await self.inbox.get()]
        if self._loaded():
            await asyncio.sleep(GROUP_DELAY_S)
        while len(group) < MAX_GROUP and not self.inbox.empty():
            group.append(self.inbox.get_nowait())
        return group

    def _loaded(self) -> bool:
        since = self.clocks.monotonic() - LOAD_WINDOW_S
        return len(self.recent) == LOAD_CLAIMS and self.recent[0] >= since

    async def _commit_in_slot(self, group: list[Waiting]) -> None:
        try:
            await self._commit([waiting for waiting in group if not waiting.reply.done()])
        finally:
            self.slots.release()

    async def _commit(self, group: list[Waiting]) -> None:
        # A key stands once in a transaction; a second claim of it is refused by the first.
        first = {waiting.claim.row_key: waiting for waiting in reversed(group)}
        later = [waiting for waiting in group if first[waiting.claim.row_key] is not waiting]
        pending = list(first.values())
        while pending:
            result = await self.store.transact(transaction([w.claim for w in pending]))
            match result:
                case tables.Committed(version=version):
                    _reply(pending, Held(version))
                    pending = []
                case tables.Conflicted(failures=failures):
                    pending = self._without_failed(pending, failures)
                case tables.Rejected(retry_at=retry_at):
                    _reply(pending, Unclaimed(store_down=True, retry_at=retry_at))
                    pending = []
                case tables.Unanswered():
                    await self._read_back(pending)
                    pending = []
        if later:
            await self._commit(later)

    def _without_failed(
        self, group: list[Waiting], failures: typing.Sequence[tables.Failure]
    ) -> list[Waiting]:
        found = {failure.condition.key: failure.row for failure in failures}
        for waiting in group:
            if waiting.claim.row_key in found:
                _reply([waiting], _result_of(waiting.claim, found[waiting.claim.row_key]))
        return [waiting for waiting in group if waiting.claim.row_key not in found]

    async def _read_back(self, group: list[Waiting]) -> None:
        for waiting in itertools.filterfalse(lambda w: w.reply.done(), group):
            try:
                row = await self.store.read(rows.TABLE, waiting.claim.row_key)
            except tables.ReadError:
                _reply([waiting], Unclaimed(store_down=True))
                continue
            _reply([waiting], _result_of(waiting.claim, row))


def _result_of(claim: Claim, row: tables.Row | None) -> ClaimResult:
    if row is None:
        return Unclaimed(store_down=False)
    if row.value["token"] == claim.document["token"]:
        return Held(row.version)
    if row.version == claim.expected_version:
        return Unclaimed(store_down=False)
    return Foreign(row)


def transaction(group: typing.Sequence[Claim]) -> tables.Transaction:
    """Return the transaction that commits `group`."""
    return tables.Transaction(
        conditions=tuple(
            tables.Condition(rows.TABLE, claim.row_key, claim.expected_version) for claim in group
        ),
        writes=tuple(
            tables.Write(rows.TABLE, claim.row_key, typing.cast(tables.Value, claim.document))
            for claim in group
        ),
    )


def _reply(group: typing.Iterable[Waiting], result: ClaimResult) -> None:
    for waiting in itertools.filterfalse(lambda w: w.reply.done(), group):
        waiting.reply.set_result(result)
