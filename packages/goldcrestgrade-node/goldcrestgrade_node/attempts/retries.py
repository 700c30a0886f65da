"""Decisions on whether a request is sent again after an attempt."""

from __future__ import annotations

import dataclasses
import typing

from goldcrestgrade import instants, outcomes, reasons
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results

MAX_ATTEMPTS = 3
"""Largest number of attempts of one request."""

RETRY_AFTER_S = 1.0
"""Time after which a client may retry a refused request."""

RETRYABLE_REFUSALS = frozenset(
    {
        reasons.Refusal.GUARD_UNREACHED,
        reasons.Refusal.GUARD_DRAINING,
        reasons.Refusal.CLAIM_BARRED,
        reasons.Refusal.ENDPOINT_REFUSED,
        reasons.Refusal.ENDPOINT_UNREACHED,
    }
)
"""Refusals by one guard after which another guard may accept the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resend:
    """Send the request again."""

    reason: reasons.Retry
    tag: typing.Literal["again"] = "again"


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End the request with this outcome."""

    outcome: outcomes.Outcome
    tag: typing.Literal["finish"] = "finish"


RetryDecision = Resend | Finish


def decide(
    request: requests.Request, result: results.AttemptResult, attempts: int, now: instants.Instant
) -> RetryDecision:
    """Decide whether an idempotent request is sent again after `attempts` attempts."""
    may_retry = attempts < MAX_ATTEMPTS and now < request.deadline and request.retries_allowed
    match result:
        case results.Answered(answer=answer) if answer.status < 500 or not may_retry:
            return Finish(outcomes.Ran(answer))
        case results.Answered():
            return Resend(reasons.Retry.FAILED)
        case results.Shed() if not may_retry:
            return Finish(outcomes.NotRun(reasons.Refusal.ENDPOINT_REFUSED, now + RETRY_AFTER_S))
        case results.Shed():
            return Resend(reasons.Retry.REFUSED)
        case results.Unreachable() if not may_retry:
            return Finish(outcomes.NotRun(reasons.Refusal.ENDPOINT_UNREACHED, now + RETRY_AFTER_S))
        case results.Unreachable():
            return Resend(reasons.Retry.UNREACHED)
        case results.Broken(reason=reason) if not may_retry:
            return Finish(outcomes.Unknown(reason))
        case results.Broken():
            return Resend(reasons.Retry.BROKEN)


def outcome_without_retry(result: results.AttemptResult, now: instants.Instant) -> outcomes.Outcome:
    """Return the outcome of a request that the retry budget allows no further attempt."""
    match result:
        case results.Answered(answer=answer):
            return outcomes.Ran(answer)
        case results.Shed() | results.Unreachable():
            return outcomes.NotRun(reasons.Refusal.RETRY_BUDGET_SPENT, now + RETRY_AFTER_S)
        case results.Broken(reason=reason):
            return outcomes.Unknown(reason)


def final_outcome(
    outcome: outcomes.Outcome, ended: typing.Sequence[results.AttemptResult]
) -> outcomes.Outcome:
    """Return `outcome`, unless it is a refusal and an attempt in `ended` may have run.

    In that case, the latest such attempt decides the outcome.
    """
    if not isinstance(outcome, outcomes.NotRun):
        return outcome
    for result in reversed(ended):
        match result:
            case results.Answered(answer=answer):
                return outcomes.Ran(answer)
            case results.Broken(reason=reason):
                return outcomes.Unknown(reason)
    return outcome


def decide_run_once(
    request: requests.Request, outcome: outcomes.Outcome, attempts: int, now: instants.Instant
) -> RetryDecision:
    """Decide whether a run-once request is sent again after `attempts` attempts."""
    if (
        isinstance(outcome, outcomes.NotRun)
        and outcome.reason in RETRYABLE_REFUSALS
        and attempts < MAX_ATTEMPTS
        and now < request.deadline
        and request.retries_allowed
    ):
        return Resend(reasons.Retry.REFUSED)
    return Finish(outcome)


def is_failure(result: results.AttemptResult) -> bool:
    """Return whether `result` is anything but an answer with a status below 500."""
    match result:
        case results.Answered(answer=answer):
            return answer.status >= 500
        case _:
            return True


def reported_load(result: results.AttemptResult) -> int | None:
    """Return the load that the endpoint reported with `result`, if it did."""
    match result:
        case results.Answered(load=reported) | results.Shed(load=reported):
            return reported
        case _:
            return None


def needs_no_budget(result: results.AttemptResult) -> bool:
    """Return whether a retry after `result` needs no budget, since it caused no endpoint work."""
    return isinstance(result, results.Unreachable)
