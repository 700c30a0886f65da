"""Rows of the table of claims."""

from __future__ import annotations

import base64
import enum

import typing_extensions

from goldcrestgrade import instants, outcomes

TABLE = "claims"
"""Table with one row for each idempotency key that was claimed."""


class AnswerDocument(typing_extensions.TypedDict):
    """An answer stored for replay; `body` is Base64."""

    status: int
    headers: list[list[str]]
    body: str


class ClaimState(enum.StrEnum):
    """State of the request of a claim row."""

    CLAIMED = "claimed"
    """The guard may start the request or has started it."""
    RELEASED = "released"
    """The request did not start and will not."""
    DONE = "done"
    """The request ran; its answer is stored, unless it was too large."""
    UNKNOWN = "unknown"
    """The request may have run; its answer is lost."""


class ClaimDocument(typing_extensions.TypedDict):
    """Value of a claim row."""

    token: str
    guard_id: str
    guard_incarnation: int
    control_url: str
    """Control address of the guard."""
    digest: str
    expires_at: instants.WallInstant | None
    """Deadline from which the key is refused; None for a key whose row is never removed."""
    state: ClaimState
    answer: AnswerDocument | None


def encode_answer(answer: outcomes.Answer) -> AnswerDocument:
    """Return the document that stores `answer`."""
    return AnswerDocument(
        status=answer.status,
        headers=[list(pair) for pair in answer.headers],
        body=base64.b64encode(answer.body).decode(),
    )


def decode_answer(document: AnswerDocument) -> outcomes.Answer:
    """Return the answer stored in `document`."""
    return outcomes.Answer(
        document["status"],
        tuple((name, value) for name, value in document["headers"]),
        base64.b64decode(document["body"]),
    )
