"""Rows of the table of claims."""

from __future__ import annotations

import base64
import enum

import typing_extensions

from goldcrestgrade import instants, outcomes

TABLE = "claims"
"""Table that holds one row for each key that is claimed or done."""


class AnswerDocument(typing_extensions.TypedDict):
    """An answer kept for replay; `body` is Base64."""

    status: int
    headers: list[list[str]]
    body: str


class ClaimState(enum.StrEnum):
    """What a claim row says of its request."""

    CLAIMED = "claimed"
    """The guard may start it, or has started it."""
    RELEASED = "released"
    """It did not start and will not."""
    DONE = "done"
    """It ran; the answer is kept, unless it was too large."""
    UNKNOWN = "unknown"
    """It may have run; its answer is lost."""


class ClaimDocument(typing_extensions.TypedDict):
    """Value of a claim row."""

    token: str
    guard_id: str
    guard_incarnation: int
    control_url: str
    """Control address of the guard."""
    digest: str
    expires_at: instants.WallInstant | None
    """Deadline after which the key is refused; none for a key that is kept for good."""
    state: ClaimState
    answer: AnswerDocument | None


def encode_answer(answer: outcomes.Answer) -> AnswerDocument:
    """Return the document that keeps `answer`."""
    return AnswerDocument(
        status=answer.status,
        headers=[list(pair) for pair in answer.headers],
        body=base64.b64encode(answer.body).decode(),
    )


def decode_answer(document: AnswerDocument) -> outcomes.Answer:
    """Return the answer that `document` keeps."""
    return outcomes.Answer(
        document["status"],
        tuple((name, value) for name, value in document["headers"]),
        base64.b64decode(document["body"]),
    )
