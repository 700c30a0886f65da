"""Claims in the table service, committed in groups.

One transaction is in flight at a time; it carries every claim that waited for it.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import itertools
import typing

import typing_extensions

from goldcrestgrade import instants, outcomes
from goldcrestgrade.platform import tables

TABLE = "claims"
"""Table that holds one row for each key that is claimed or done."""

MAX_GROUP = tables.MAX_TRANSACTION_WRITES
"""Largest number of claims in one transaction."""


class AnswerDocument(typing_extensions.TypedDict):
    """An answer kept for replay; `body` is Base64."""

    status: int
    headers: list[list[str]]
    body: str


class ClaimDocument(typing_extensions.TypedDict):
    """Value of a claim row."""

    token: str
    guard_id: str
    guard_incarnation: int
    digest: str
    expires_at: instants.WallInstant
    """Deadline after which the key is refused and the row may be evicted."""
    answer: AnswerDocument | None


class Claim(typing.NamedTuple):
    """A claim that a guard asks for."""

    key: str
    document: ClaimDocument
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
    tag: typing.Literal["unclaimed"] = "unclaimed"


ClaimResult = Held | Foreign | Unclaimed


class _Waiting(typing.NamedTuple):
    claim: Claim
    reply: asyncio.Future[ClaimResult]


class Committer:
    """Commits claims; `run` is the task that owns the queue."""

    def __init__(self, store: tables.TableService, clocks: instants.Clocks) -> None:
        self.store = store
        self.clocks = clocks
        self.inbox: asyncio.Queue[_Waiting] = asyncio.Queue()

    async def claim(self, claim: Claim) -> ClaimResult:
        """Return whether `claim` stands, at the latest at its deadline."""
        reply: asyncio.Future[ClaimResult] = asyncio.get_running_loop().create_future()
        self.inbox.put_nowait(_Waiting(claim, reply))
        try:
            async with asyncio.timeout_at(claim.deadline):
                return await reply
        except TimeoutError:
            return Unclaimed(store_down=False)

    async def run(self) -> None:
        """Commit claims in groups until cancelled."""
        while True:
            group = [await self.inbox.get()]
            while len(group) < MAX_GROUP and not self.inbox.empty():
                group.append(self.inbox.get_nowait())
            await self._commit([waiting for waiting in group if not waiting.reply.done()])

    async def _commit(self, group: list[_Waiting]) -> None:
        while group:
            result = await self.store.transact(_transaction(group))
            match result:
                case tables.Committed(version=version):
                    _reply(group, Held(version))
                    return
                case tables.Conflicted(failures=failures):
                    group = _without_failed(group, failures)
                case tables.Rejected():
                    _reply(group, Unclaimed(store_down=True))
                    return
                case tables.Unanswered():
                    await self._read_back(group)
                    return

    async def _read_back(self, group: list[_Waiting]) -> None:
        for waiting in group:
            try:
                row = await self.store.read(TABLE, waiting.claim.key)
            except tables.ReadError:
                _reply([waiting], Unclaimed(store_down=True))
                continue
            if row is None:
                _reply([waiting], Unclaimed(store_down=False))
            elif row.value["token"] == waiting.claim.document["token"]:
                _reply([waiting], Held(row.version))
            else:
                _reply([waiting], Foreign(row))


def _transaction(group: typing.Sequence[_Waiting]) -> tables.Transaction:
    claims = [waiting.claim for waiting in group]
    return tables.Transaction(
        conditions=tuple(tables.Condition(TABLE, claim.key, tables.ABSENT) for claim in claims),
        writes=tuple(
            tables.Write(TABLE, claim.key, typing.cast(tables.Value, claim.document))
            for claim in claims
        ),
    )


def _without_failed(
    group: list[_Waiting], failures: typing.Sequence[tables.Failure]
) -> list[_Waiting]:
    rows = {failure.condition.key: failure.row for failure in failures}
    for waiting, row in ((w, rows.get(w.claim.key)) for w in group):
        if row is not None:
            _reply([waiting], Foreign(row))
    return [waiting for waiting in group if waiting.claim.key not in rows]


def _reply(group: typing.Iterable[_Waiting], result: ClaimResult) -> None:
    for waiting in itertools.filterfalse(lambda w: w.reply.done(), group):
        waiting.reply.set_result(result)


def keep_answer(answer: outcomes.Answer) -> AnswerDocument:
    """Return the document that keeps `answer`."""
    return AnswerDocument(
        status=answer.status,
        headers=[list(pair) for pair in answer.headers],
        body=base64.b64encode(answer.body).decode(),
    )


def kept_answer(document: AnswerDocument) -> outcomes.Answer:
    """Return the answer that `document` keeps."""
    return outcomes.Answer(
        document["status"],
        tuple((name, value) for name, value in document["headers"]),
        base64.b64decode(document["body"]),
    )
