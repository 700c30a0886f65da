"""The three possible outcomes of a request, and the HTTP answers that report them.

`Ran` has the answer of the endpoint. `NotRun` guarantees that the request did not start and will
not start. `Unknown` means that the request may have run.
"""

from __future__ import annotations

import dataclasses
import math
import typing

import orjson
import typing_extensions

from goldcrestgrade import headers, instants, reasons

Headers = headers.Fields
"""Header names and values in the order received; names in lower case."""

MIN_RETRY_AFTER_S = 1
"""Smallest value of a `Retry-After` header in whole seconds."""

MIN_FRACTIONAL_RETRY_AFTER_S = 0.01
"""Smallest value of a `Retry-After` header for clients that accept fractions of a second."""


FINAL_STATUSES = range(200, 600)
"""Statuses that a request can end with; an answer with any other is none (RFC 9110, section 15)."""


class AnswerCut(Exception):
    """An answer ended before its body was complete."""


class Rest(typing.Protocol):
    """The part of a large answer's body that has not been received yet."""

    length: int | None
    """Length of the whole body in bytes, or `None` if it is unknown."""

    async def read(self) -> bytes:
        """Return the next part of the body, empty at its end; raises `AnswerCut`."""

    def close(self) -> None:
        """Discard the part that has not been read."""


class Answer(typing.NamedTuple):
    """An answer that was received in full, unless it has a rest."""

    status: int
    headers: Headers
    body: bytes
    rest: Rest | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """The request ran and this is its answer."""

    answer: Answer
    tag: typing.Literal["ran"] = "ran"


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not start and will not start."""

    reason: reasons.Refusal
    retry_at: instants.Instant | None = None
    """Instant from which the client may retry; `None` if a retry cannot succeed."""
    tag: typing.Literal["not_run"] = "not_run"


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run, and its answer was lost."""

    reason: reasons.Uncertainty
    tag: typing.Literal["unknown"] = "unknown"


Outcome = Ran | NotRun | Unknown

REFUSAL_STATUS: dict[reasons.Refusal, int] = {
    reasons.Refusal.UNKNOWN_SERVICE: 404,
    reasons.Refusal.NO_ROUTE: 404,
    reasons.Refusal.INVALID_REQUEST: 400,
    reasons.Refusal.BODY_TOO_LARGE: 413,
    reasons.Refusal.KEY_MISSING: 400,
    reasons.Refusal.KEY_REUSED: 422,
    reasons.Refusal.KEY_EXPIRED: 410,
    reasons.Refusal.DEADLINE_PASSED: 504,
    reasons.Refusal.QUARANTINED: 422,
    reasons.Refusal.UNAUTHORIZED: 401,
    reasons.Refusal.QUOTA_EXCEEDED: 429,
}
"""HTTP status of each refusal; any other is 503."""

UNKNOWN_STATUS = 502
"""HTTP status of an unknown outcome."""


class OutcomeDocument(typing_extensions.TypedDict):
    """JSON body of an answer that goldcrestgrade sends instead of the endpoint's."""

    outcome: str
    reason: str
    request_id: str


FormatRetryAfter = typing.Callable[[instants.Instant, instants.Instant], str]
"""Returns the value of a `Retry-After` header for the instant to retry at and the current one."""


def to_answer(
    outcome: Outcome,
    request_id: str,
    now: instants.Instant,
    format_retry_after: FormatRetryAfter | None = None,
) -> Answer:
    """Return the HTTP answer that reports `outcome` to the client.

    `Retry-After` is in whole seconds unless `format_retry_after` is given.
    """
    match outcome:
        case Ran(answer=answer):
            return answer
        case NotRun(reason=refusal, retry_at=retry_at):
            status = REFUSAL_STATUS.get(refusal, 503)
            extra = (
                ()
                if retry_at is None
                else (("retry-after", (format_retry_after or retry_after)(retry_at, now)),)
            )
            return _document_answer(status, "not_run", refusal, request_id, extra)
        case Unknown(reason=uncertainty):
            return _document_answer(UNKNOWN_STATUS, "unknown", uncertainty, request_id, ())


def retry_after(retry_at: instants.Instant, now: instants.Instant) -> str:
    """Return the value of a `Retry-After` header in whole seconds."""
    return str(max(MIN_RETRY_AFTER_S, math.ceil(retry_at - now)))


def fractional_retry_after(retry_at: instants.Instant, now: instants.Instant) -> str:
    """Return the value of a `Retry-After` header in seconds with a fraction."""
    return f"{max(MIN_FRACTIONAL_RETRY_AFTER_S, retry_at - now):.3f}"


def _document_answer(status: int, tag: str, reason: str, request_id: str, extra: Headers) -> Answer:
    body = orjson.dumps(OutcomeDocument(outcome=tag, reason=reason, request_id=request_id))
    fixed = (
        ("content-type", "application/json"),
        (headers.OUTCOME, tag),
        (headers.REASON, reason),
    )
    return Answer(status, fixed + extra, body)
