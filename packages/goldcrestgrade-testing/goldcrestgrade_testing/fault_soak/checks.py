"""The promises of the pages, checked on what clients and endpoints saw."""

from __future__ import annotations

import collections
import itertools
import typing

from goldcrestgrade_testing.fault_soak import history

CONTACT_S = 3.0
"""Time without trouble after which promises with a time bound hold for an instance; the pages'."""

CONFIG_APPLY_S = 2.0
"""Time in which a configuration must be in force; the pages'."""

DRAIN_S = 2.0
"""Time after an acknowledged drain from which an endpoint gets no request; the pages'."""

TIMEOUT_S = 1.0
"""Timeout of the routes of the soak."""

TIMEOUT_SLACK_S = 0.5
"""Time past the timeout of a route in which an answer must have come; the pages'."""

ATTEMPTS = 2
"""Endpoints that a route of the soak allows for one request."""

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that say that a request did not run."""

STOP_KINDS = frozenset({"stop"})
"""Planned troubles: they excuse no lost request."""

DISTURBING = ("kill", "stop", "pause", "link", "store")
"""First parts of the kinds that put an instance out of touch; the others excuse no delay."""

Finder = typing.Callable[[history.History], typing.Iterator[str]]


def run_twice(seen: history.History) -> typing.Iterator[str]:
    """Find run-once requests that ran more than once."""
    runs = _runs(seen)
    for one in seen.tries:
        if one.run_once and len(runs[one.attempt]) > 1:
            yield f"{one.attempt} ran at {runs[one.attempt]}"


def refused_but_run(seen: history.History) -> typing.Iterator[str]:
    """Find run-once requests that were refused although they ran."""
    runs = _runs(seen)
    for one in seen.tries:
        if one.run_once and one.status in PROMISES_NOT_RUN and runs[one.attempt]:
            yield f"{one.attempt} was refused with {one.status} and ran at {runs[one.attempt]}"


def refused_without_return(seen: history.History) -> typing.Iterator[str]:
    """Find refusals that do not say when to come back."""
    for one in seen.tries:
        if one.status in (429, 503) and not one.retry_after:
            yield f"{one.attempt} was refused with {one.status} and no time to come back"


def not_own_answer(seen: history.History) -> typing.Iterator[str]:
    """Find successes that are not the whole answer to their request."""
    for one in seen.tries:
        if one.status == 200 and not one.own:
            yield f"{one.attempt} got an answer that is not its own whole one"


def too_many_endpoints(seen: history.History) -> typing.Iterator[str]:
    """Find requests that ran at more endpoints than their route allows."""
    runs = _runs(seen)
    for one in seen.tries:
        if len(runs[one.attempt]) > ATTEMPTS:
            yield f"{one.attempt} ran at {runs[one.attempt]}"


def too_late(seen: history.History) -> typing.Iterator[str]:
    """Find requests without an answer half a second past the timeout of their route."""
    for one in seen.tries:
        bound_s = TIMEOUT_S + TIMEOUT_SLACK_S + _stalled_s(seen, one.sent_at, one.answered_at)
        if one.answered_at - one.sent_at > bound_s and _calm(seen, one):
            yield f"{one.attempt} had no answer for {one.answered_at - one.sent_at:.2f} s"


def run_while_draining(seen: history.History) -> typing.Iterator[str]:
    """Find requests that reached an endpoint long after its drain was acknowledged."""
    for run in seen.runs:
        drained_at = seen.drained_at.get(run.endpoint)
        if drained_at is not None and run.at > drained_at + DRAIN_S:
            yield f"{run.attempt} ran at {run.endpoint}, which drained {run.at - drained_at:.2f} s"


def route_missing(seen: history.History) -> typing.Iterator[str]:
    """Find requests on an added route that an instance did not know in time."""
    for one, route in _on_added_routes(seen):
        stalled_s = _stalled_s(seen, route.written_at, one.sent_at)
        due = one.sent_at > route.written_at + CONFIG_APPLY_S + stalled_s
        if one.status == 404 and due and _calm(seen, one):
            after_s = one.sent_at - route.written_at
            yield f"{one.instance} did not know {route.prefix} after {after_s:.2f} s"


def route_forgotten(seen: history.History) -> typing.Iterator[str]:
    """Find instances that forgot a route within one lifetime."""
    known: dict[tuple[str, int, str], history.Instant] = {}
    for one, route in sorted(_on_added_routes(seen), key=lambda pair: pair[0].sent_at):
        key = one.instance, one.lifetime, route.prefix
        if one.status not in (0, 404):
            known[key] = min(known.get(key, one.answered_at), one.answered_at)
        elif one.status == 404 and one.sent_at > known.get(key, one.sent_at):
            yield f"{one.instance} forgot {route.prefix} within one lifetime"


def lost_at_planned_stop(seen: history.History) -> typing.Iterator[str]:
    """Find requests that ran and got no answer though only a planned stop went on."""
    runs = _runs(seen)
    for one in seen.tries:
        if one.status == 0 and runs[one.attempt] and _only_planned(seen, one):
            yield f"{one.attempt} ran and lost its connection at {one.instance}"


def not_recovered(seen: history.History) -> typing.Iterator[str]:
    """Find instances that did not serve again after the last trouble."""
    for instance, recovered in seen.recovered.items():
        if not recovered:
            yield f"{instance} does not serve again"


CHECKS: typing.Mapping[str, Finder] = {
    check.__name__: check
    for check in (
        run_twice,
        refused_but_run,
        refused_without_return,
        not_own_answer,
        too_many_endpoints,
        too_late,
        run_while_draining,
        route_missing,
        route_forgotten,
        lost_at_planned_stop,
        not_recovered,
    )
}


def violations(seen: history.History) -> list[str]:
    """Return what broke a promise, each with the name of its check."""
    return [
        f"{name}: {text}"
        for name, text in itertools.chain.from_iterable(
            ((name, text) for text in find(seen)) for name, find in CHECKS.items()
        )
    ]


def _runs(seen: history.History) -> collections.defaultdict[str, list[str]]:
    runs: collections.defaultdict[str, list[str]] = collections.defaultdict(list)
    for run in seen.runs:
        runs[run.attempt].append(run.endpoint)
    return runs


def _on_added_routes(
    seen: history.History,
) -> typing.Iterator[tuple[history.Try, history.Route]]:
    for one, route in itertools.product(seen.tries, seen.routes):
        if one.path.startswith(route.prefix):
            yield one, route


def _overlaps(span: history.Span, one: history.Try, before_s: float) -> bool:
    return span.begin <= one.answered_at and span.end >= one.sent_at - before_s


def _stalled_s(seen: history.History, begin: float, end: float) -> float:
    """Return for how long the soak itself did not run between `begin` and `end`."""
    return sum(max(0.0, min(end, stall.end) - max(begin, stall.begin)) for stall in seen.stalls)


def _calm(seen: history.History, one: history.Try) -> bool:
    """Tell whether nothing disturbed an instance or the store before and during a try."""
    return not any(
        _overlaps(trouble.span, one, CONTACT_S)
        for trouble in seen.disturbances
        if trouble.kind.startswith(DISTURBING)
        and (trouble.instance in ("", one.instance) or trouble.kind.startswith("store"))
    )


def _only_planned(seen: history.History, one: history.Try) -> bool:
    return not any(
        _overlaps(trouble.span, one, CONTACT_S)
        for trouble in seen.disturbances
        if trouble.kind not in STOP_KINDS
    )
