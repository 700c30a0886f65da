"""Executions of run-once requests, one for each idempotency key, and their claim documents."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from goldcrestgrade import instants, outcomes, statecharts
from goldcrestgrade.storage import tables
from goldcrestgrade_node import requests
from goldcrestgrade_node.once import rows

MAX_STORED_ANSWER_BYTES = 64 << 10
"""Largest body of an answer that is stored in the table service."""

CHART = statecharts.load("goldcrestgrade_node.statecharts", "claim")


class Identity(typing.NamedTuple):
    """Identifies a guard in its claims."""

    node_id: str
    incarnation: int
    control_url: str


@dataclasses.dataclass(slots=True)
class Execution:
    """The execution of the request with one idempotency key at its guard."""

    row_key: str
    token: str
    digest: str
    request: requests.Request
    start_deadline: instants.WallInstant
    """Deadline for the start by the wall clock, which advances while an instance is suspended."""
    key_deadline: instants.WallInstant | None
    outcome: asyncio.Future[outcomes.Outcome]
    attempt_deadlines: dict[str, instants.Instant] = dataclasses.field(default_factory=dict)
    """Deadlines of the attempts that wait for the outcome, by attempt id."""
    state: str = CHART.initial
    position: tables.Position = tables.ABSENT
    """Position of the claim row, once the claim is held."""
    outcome_written: bool = False
    """Whether the outcome is written to the claim row."""

    def step(self, event: str) -> None:
        """Move to the state after `event`."""
        self.state = CHART.next_state(self.state, event)

    def answer_bytes(self) -> int:
        """Return the size of the body of the answer, 0 without one."""
        outcome = self.outcome.result() if self.outcome.done() else None
        return len(outcome.answer.body) if isinstance(outcome, outcomes.Ran) else 0


def claim_document(
    identity: Identity,
    execution: Execution,
    state: rows.ClaimState,
    answer: rows.AnswerDocument | None = None,
) -> rows.ClaimDocument:
    """Return the claim document of `execution` in `state`."""
    return rows.ClaimDocument(
        token=execution.token,
        guard_id=identity.node_id,
        guard_incarnation=identity.incarnation,
        control_url=identity.control_url,
        digest=execution.digest,
        expires_at=execution.key_deadline,
        state=state,
        answer=answer,
    )


def outcome_document(
    identity: Identity, execution: Execution, outcome: outcomes.Outcome
) -> rows.ClaimDocument:
    """Return the claim document of `execution` after it ended with `outcome`.

    An answer with a body above `MAX_STORED_ANSWER_BYTES` is left out.
    """
    match outcome:
        case outcomes.Ran(answer=answer):
            is_storable = len(answer.body) <= MAX_STORED_ANSWER_BYTES
            stored_answer = rows.encode_answer(answer) if is_storable else None
            return claim_document(identity, execution, rows.ClaimState.DONE, stored_answer)
        case outcomes.NotRun():
            return claim_document(identity, execution, rows.ClaimState.RELEASED)
        case outcomes.Unknown():
            return claim_document(identity, execution, rows.ClaimState.UNKNOWN)
