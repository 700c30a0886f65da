"""Commits claims to the table service in groups.

A transaction carries the claims that are queued when it is built. Under load, the committer waits
for further claims first. Several transactions may be in flight at once, but each claim is in only
one of them.
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

MAX_GROUP_CLAIMS = tables.MAX_TRANSACTION_WRITES
"""Largest number of claims in one transaction."""

MAX_IN_FLIGHT_TRANSACTIONS = 8
"""Largest number of transactions of claims in flight at once."""

GROUP_DELAY_S = 0.0065
"""Time for which the committer waits for further claims under load."""

LOAD_MIN_CLAIMS = 13
"""Number of claims within `LOAD_WINDOW_S` from which the committer is under load."""

LOAD_WINDOW_S = 0.1
"""Window in which claims are counted to detect load."""


class Claim(typing.NamedTuple):
    """A claim that a guard requests."""

    row_key: str
    document: rows.ClaimDocument
    expected_position: tables.Position
    """Position of the row that the claim replaces; `ABSENT` for a new row."""
    deadline: instants.Instant
    """When the guard stops waiting for the claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The claim is held by the guard that requested it, as committed at `position`."""

    position: tables.Position
    tag: typing.Literal["held"] = "held"


@dataclasses.dataclass(frozen=True, slots=True)
class Foreign:
    """The row holds another claim."""

    row: tables.Row
    tag: typing.Literal["foreign"] = "foreign"


@dataclasses.dataclass(frozen=True, slots=True)
class Unclaimed:
    """The claim is not confirmed, so the guard must not start the request."""

    store_down: bool
    """Whether the table service rejected the claim or could not be read."""
    retry_at: instants.Instant | None = None
    """When the table service may be called again, if known."""
    tag: typing.Literal["unclaimed"] = "unclaimed"


ClaimResult = Held | Foreign | Unclaimed


class PendingClaim(typing.NamedTuple):
    """A queued claim and the future for its result."""

    claim: Claim
    result_future: asyncio.Future[ClaimResult]


class Committer:
    """Commits claims; `run` is the task that owns the queue."""

    def __init__(self, store: tables.TableService, clocks: instants.Clocks) -> None:
        self.store = store
        self.clocks = clocks
        self.queue: asyncio.Queue[PendingClaim] = asyncio.Queue()
        self.recent_claim_times: collections.deque[instants.Instant] = collections.deque(
            maxlen=LOAD_MIN_CLAIMS
        )
        self.slots = asyncio.Semaphore(MAX_IN_FLIGHT_TRANSACTIONS)

    async def claim(self, claim: Claim) -> ClaimResult:
        """Return the result of `claim`; at its deadline, the result is `Unclaimed`."""
        result_future: asyncio.Future[ClaimResult] = asyncio.get_running_loop().create_future()
        self.recent_claim_times.append(self.clocks.monotonic())
        self.queue.put_nowait(PendingClaim(claim, result_future))
        try:
            async with asyncio.timeout_at(claim.deadline):
                return await result_future
        except TimeoutError:
            return Unclaimed(store_down=False)

    async def run(self) -> None:
        """Commit claims in groups until cancelled."""
        async with asyncio.TaskGroup() as commits:
            while True:
                group = await self._next_group()
                await self.slots.acquire()
                commits.create_task(self._commit_in_slot(group))

    async def _next_group(self) -> list[PendingClaim]:
        group = [await self.queue.get()]
        if self._is_under_load():
            await asyncio.sleep(GROUP_DELAY_S)
        while len(group) < MAX_GROUP_CLAIMS and not self.queue.empty():
            group.append(self.queue.get_nowait())
        return group

    def _is_under_load(self) -> bool:
        since = self.clocks.monotonic() - LOAD_WINDOW_S
        return (
            len(self.recent_claim_times) == LOAD_MIN_CLAIMS and self.recent_claim_times[0] >= since
        )

    async def _commit_in_slot(self, group: list[PendingClaim]) -> None:
        try:
            await self._commit(
                [pending_claim for pending_claim in group if not pending_claim.result_future.done()]
            )
        finally:
            self.slots.release()

    async def _commit(self, group: list[PendingClaim]) -> None:
        # A transaction may contain each key only once. Further claims of a key go into a later
        # transaction, which conflicts with the first claim if that was committed.
        first_by_key = {
            pending_claim.claim.row_key: pending_claim for pending_claim in reversed(group)
        }
        duplicates = [
            pending_claim
            for pending_claim in group
            if first_by_key[pending_claim.claim.row_key] is not pending_claim
        ]
        pending = list(first_by_key.values())
        while pending:
            result = await self.store.transact(transaction([entry.claim for entry in pending]))
            match result:
                case tables.Committed(position=position):
                    _set_result(pending, Held(position))
                    pending = []
                case tables.Conflicted(failures=failures):
                    pending = self._without_failed(pending, failures)
                case tables.Rejected(retry_at=retry_at):
                    _set_result(pending, Unclaimed(store_down=True, retry_at=retry_at))
                    pending = []
                case tables.Unanswered():
                    await self._read_back(pending)
                    pending = []
        if duplicates:
            await self._commit(duplicates)

    def _without_failed(
        self, group: list[PendingClaim], failures: typing.Sequence[tables.Failure]
    ) -> list[PendingClaim]:
        conflicting_rows = {failure.condition.key: failure.row for failure in failures}
        for pending_claim in group:
            if pending_claim.claim.row_key in conflicting_rows:
                _set_result(
                    [pending_claim],
                    _result_of(pending_claim.claim, conflicting_rows[pending_claim.claim.row_key]),
                )
        return [
            pending_claim
            for pending_claim in group
            if pending_claim.claim.row_key not in conflicting_rows
        ]

    async def _read_back(self, group: list[PendingClaim]) -> None:
        for pending_claim in itertools.filterfalse(lambda entry: entry.result_future.done(), group):
            try:
                row = await self.store.read(rows.TABLE, pending_claim.claim.row_key)
            except tables.ReadError:
                _set_result([pending_claim], Unclaimed(store_down=True))
                continue
            _set_result([pending_claim], _result_of(pending_claim.claim, row))


def _result_of(claim: Claim, row: tables.Row | None) -> ClaimResult:
    if row is None:
        return Unclaimed(store_down=False)
    if row.value["token"] == claim.document["token"]:
        return Held(row.position)
    if row.position == claim.expected_position:
        return Unclaimed(store_down=False)
    return Foreign(row)


def transaction(group: typing.Sequence[Claim]) -> tables.Transaction:
    """Return the transaction that commits `group`."""
    return tables.Transaction(
        conditions=tuple(
            tables.Condition(rows.TABLE, claim.row_key, claim.expected_position) for claim in group
        ),
        writes=tuple(
            tables.Write(rows.TABLE, claim.row_key, typing.cast(tables.Value, claim.document))
            for claim in group
        ),
    )


def _set_result(group: typing.Iterable[PendingClaim], result: ClaimResult) -> None:
    for pending_claim in itertools.filterfalse(lambda entry: entry.result_future.done(), group):
        pending_claim.result_future.set_result(result)
