"""What the end of an attempt says of its endpoint."""

from __future__ import annotations

import typing

from goldcrestgrade import instants, outcomes, reasons
from goldcrestgrade_node.attempts import results, retries
from goldcrestgrade_node.routing import choice, ejection, evidence, views

OVERHEAD_BYTES = 600
"""Bytes that the headers of a call and its answer are taken to have."""


class Started(typing.NamedTuple):
    """An attempt in flight, as its endpoint was when it began."""

    at: instants.Instant
    load: float
    """Requests in flight at the endpoint, by estimate, without this one."""
    link_bytes: float
    """Bytes paid in advance for crossing to another region."""


def start(
    view: views.ServiceView,
    endpoint: evidence.Evidence,
    caller: choice.Caller,
    now: instants.Instant,
) -> Started:
    """Count an attempt that begins."""
    load = evidence.load(endpoint, now)
    endpoint.in_flight += 1
    link_bytes = view.call_bytes if endpoint.region != caller.region else 0.0
    view.link.spend(link_bytes)
    return Started(now, load, link_bytes)


def finish(
    view: views.ServiceView,
    endpoint: evidence.Evidence,
    started: Started,
    result: results.AttemptResult,
    now: instants.Instant,
) -> None:
    """Take in how an attempt ended."""
    endpoint.in_flight -= 1
    reported = retries.load(result)
    if reported is not None:
        evidence.note_load(endpoint, reported, now)
    match result:
        case results.Answered(answer=answer):
            _note_bytes(view, started, len(answer.body) + OVERHEAD_BYTES)
            if retries.failed(result):
                _note_failure(view, endpoint, started, now)
            else:
                _note_work(view, endpoint, started, now)
                ejection.note_success(endpoint, now)
        case results.Shed():
            full = endpoint.slots * (1.0 + choice.MAX_QUEUE_PER_SLOT)
            endpoint.others_load = max(endpoint.others_load, full)
            endpoint.reported_at = now
        case results.Unreached():
            _note_failure(view, endpoint, started, now)
            ejection.note_unreached(view, endpoint, now)
        case results.Broken():
            _note_failure(view, endpoint, started, now)


def finish_relayed(
    view: views.ServiceView,
    endpoint: evidence.Evidence,
    started: Started,
    outcome: outcomes.Outcome,
    now: instants.Instant,
) -> None:
    """Take in how the guard of an endpoint ended a request; its refusals say nothing of it."""
    endpoint.in_flight -= 1
    match outcome:
        case outcomes.Ran():
            ejection.note_success(endpoint, now)
        case outcomes.NotRun(reason=reasons.Refusal.GUARD_UNREACHED):
            _note_failure(view, endpoint, started, now)
            ejection.note_unreached(view, endpoint, now)
        case outcomes.Unknown():
            _note_failure(view, endpoint, started, now)


def cancel(
    view: views.ServiceView,
    endpoint: evidence.Evidence,
    started: Started,
    now: instants.Instant,
) -> None:
    """Take in an attempt that was given up; it only shows that its endpoint takes longer."""
    endpoint.in_flight -= 1
    sample_s = _work_sample_s(endpoint, started, now)
    if sample_s > evidence.work_s(endpoint, view.typical_work_s(now), now):
        _note_work(view, endpoint, started, now)


def _note_work(
    view: views.ServiceView,
    endpoint: evidence.Evidence,
    started: Started,
    now: instants.Instant,
) -> None:
    sample_s = _work_sample_s(endpoint, started, now)
    evidence.note_work(endpoint, sample_s, view.typical_work_s(now), now)
    ejection.note_work(view, endpoint, sample_s, now)


def _note_failure(
    view: views.ServiceView,
    endpoint: evidence.Evidence,
    started: Started,
    now: instants.Instant,
) -> None:
    evidence.note_failure(endpoint, now - started.at, view.typical_work_s(now), now)
    ejection.note_failure(view, endpoint, now)


def _work_sample_s(endpoint: evidence.Evidence, started: Started, now: instants.Instant) -> float:
    return (now - started.at) / max(1.0, (started.load + 1.0) / endpoint.slots)


def _note_bytes(view: views.ServiceView, started: Started, size: int) -> None:
    view.note_bytes(size)
    if started.link_bytes:
        view.link.spend(size - started.link_bytes)
