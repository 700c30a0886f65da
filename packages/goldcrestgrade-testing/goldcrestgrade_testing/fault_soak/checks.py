"""Checks the documented guarantees against what clients and endpoints observed."""

from __future__ import annotations

import bisect
import collections
import itertools
import math
import typing

from goldcrestgrade_testing.fault_soak import history

GUARANTEE_DELAY_S = 3.0
"""Documented time without a fault after which time bounds hold again for an instance."""

CONFIG_APPLY_S = 2.0
"""Documented time within which a written configuration is in force."""

EVACUATION_S = 5.0
"""Documented time within which the endpoints of an evacuated domain get no more requests."""
REVOKE_S = 5.0
"""Documented time after which a withdrawn key is accepted by no node that is in contact."""

DRAIN_S = 2.0
"""Documented time after an acknowledged drain within which an endpoint may still get requests."""

ROUTE_TIMEOUT_S = 1.0
"""Timeout of the routes of the soak, as `fleet.route` sets it."""

TIMEOUT_SLACK_S = 0.5
"""Documented time after the timeout of a route within which a client receives its answer."""

MAX_ENDPOINTS_PER_REQUEST = 2
"""Largest number of endpoints that one request may run at, as `fleet.route` sets it."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which a node states that a request did not run."""

INTERNAL_ERROR_STATUS = 500
"""Status of a server that could not handle a request."""

PLANNED_STOP_KINDS = frozenset({"stop"})
"""Kinds of planned stop: they do not excuse a lost request."""

ISOLATING_KINDS = ("kill", "stop", "pause", "link", "store")
"""Prefixes of the kinds of fault that cut an instance off; other kinds do not excuse a delay."""

RATE_WINDOW_S = 4.0
"""Length of the windows in which the requests at an endpoint with a rate limit are counted."""

MAX_RATE_RATIO = 1.5
"""Multiple of its rate limit that an endpoint may get in a window, besides `RATE_SLACK`."""

RATE_SLACK = 5
"""Requests that an endpoint may get in a window in addition."""

QUOTA_WINDOW_S = 5.0
"""Length of the windows in which the requests of a workspace are compared with its quota."""

QUOTA_OVERAGE = 0.1
"""Share by which a quota may be exceeded in a window."""

QUOTA_SLACK = 20
"""Further requests of a workspace that a window may hold."""

KNOWN_DELAY_S = 0.5
"""Time after an instance has passed on an answer from which it is bound by what the answer says."""

WARM_UP_WINDOW_S = 1.0
"""Length of the windows in which the requests at a cold endpoint are counted."""

MAX_COLD_REQUESTS = 17
"""Requests and health checks that a cold endpoint may get in a window: 6 x 1.5 + 8.

These are the warm-up rate of the soak, and the overage and the slack in `fleet.WARM_UP_SETTINGS`.
"""

EXCUSING_KINDS = frozenset({"kill", "stop", "pause"})
"""Kinds of fault after which an instance is bound by new answers only."""

Check = typing.Callable[[history.History], typing.Iterator[str]]
"""Yields a description of each violation in a history."""


def run_twice(observed: history.History) -> typing.Iterator[str]:
    """Find run-once requests that ran more than once."""
    runs = _endpoints_by_attempt(observed)
    for request in observed.requests:
        if request.run_once and len(runs[request.attempt_id]) > 1:
            yield f"{request.attempt_id} ran at {runs[request.attempt_id]}"


def refused_but_run(observed: history.History) -> typing.Iterator[str]:
    """Find run-once requests that were refused although they ran."""
    runs = _endpoints_by_attempt(observed)
    for request in observed.requests:
        if request.run_once and request.status in NOT_RUN_STATUSES and runs[request.attempt_id]:
            yield (
                f"{request.attempt_id} was refused with {request.status} and "
                f"ran at {runs[request.attempt_id]}"
            )


def refused_without_return(observed: history.History) -> typing.Iterator[str]:
    """Find refusals without a `Retry-After` header."""
    for request in observed.requests:
        if request.status in (429, 503) and not request.has_retry_after:
            yield f"{request.attempt_id} was refused with {request.status} without Retry-After"


def not_own_answer(observed: history.History) -> typing.Iterator[str]:
    """Find successful answers that are incomplete or belong to another request."""
    for request in observed.requests:
        if request.status == 200 and not request.is_own_answer:
            yield f"{request.attempt_id} got an incomplete answer or that of another request"


def too_many_endpoints(observed: history.History) -> typing.Iterator[str]:
    """Find requests that ran at more endpoints than their route allows."""
    runs = _endpoints_by_attempt(observed)
    for request in observed.requests:
        if len(runs[request.attempt_id]) > MAX_ENDPOINTS_PER_REQUEST:
            yield f"{request.attempt_id} ran at {runs[request.attempt_id]}"


def too_late(observed: history.History) -> typing.Iterator[str]:
    """Find requests that were answered later than `TIMEOUT_SLACK_S` after their route's timeout.

    Stalls of the soak do not count. Requests are exempt during a fault that cuts off their instance
    or the store, and for `GUARANTEE_DELAY_S` after it.
    """
    for request in observed.requests:
        bound_s = (
            ROUTE_TIMEOUT_S
            + TIMEOUT_SLACK_S
            + _stalled_s(observed, request.sent_at, request.answered_at)
        )
        if request.answered_at - request.sent_at > bound_s and _is_undisturbed(observed, request):
            yield (
                f"{request.attempt_id} had no answer for "
                f"{request.answered_at - request.sent_at:.2f} s"
            )


def run_while_draining(observed: history.History) -> typing.Iterator[str]:
    """Find runs at an endpoint that began over `DRAIN_S` after its drain was acknowledged."""
    for run in observed.runs:
        drained_at = observed.drained_at.get(run.endpoint_id)
        if drained_at is not None and run.began_at > drained_at + DRAIN_S:
            yield (
                f"{run.attempt_id} ran at {run.endpoint_id}, "
                f"which drained {run.began_at - drained_at:.2f} s"
            )


def route_missing(observed: history.History) -> typing.Iterator[str]:
    """Find requests for an added route that a node did not know after `CONFIG_APPLY_S`."""
    for request, route in _requests_on_added_routes(observed):
        stalled_s = _stalled_s(observed, route.written_at, request.sent_at)
        due = request.sent_at > route.written_at + CONFIG_APPLY_S + stalled_s
        if request.status == 404 and due and _is_undisturbed(observed, request):
            after_s = request.sent_at - route.written_at
            yield f"{request.instance} did not know {route.prefix} after {after_s:.2f} s"


def route_forgotten(observed: history.History) -> typing.Iterator[str]:
    """Find nodes that answered 404 for an added route that the same process had served before."""
    known: dict[tuple[str, int, str], history.Instant] = {}
    for request, route in sorted(
        _requests_on_added_routes(observed), key=lambda pair: pair[0].sent_at
    ):
        key = request.instance, request.node_pid, route.prefix
        if request.status not in (0, 401, 404):
            known[key] = min(known.get(key, request.answered_at), request.answered_at)
        elif request.status == 404 and request.sent_at > known.get(key, request.sent_at):
            yield f"{request.instance} forgot {route.prefix} without a restart"


def lost_at_planned_stop(observed: history.History) -> typing.Iterator[str]:
    """Find requests that ran and got no answer although all recent faults were planned stops."""
    runs = _endpoints_by_attempt(observed)
    for request in observed.requests:
        if (
            request.status == 0
            and runs[request.attempt_id]
            and _only_planned_stops(observed, request)
        ):
            yield f"{request.attempt_id} ran and got no answer from {request.instance}"


def over_rate_limit(observed: history.History) -> typing.Iterator[str]:
    """Find endpoints that got more requests than their rate limit allows.

    A request counts if the instance at which it began had passed on an answer that names the limit.
    Windows in which the link to the endpoint held requests up are left out.
    """
    for endpoint_id, changes in observed.rate_limits.items():
        arrivals = [a.at for a in _arrivals_from_informed(observed, endpoint_id)]
        for last, at in enumerate(arrivals):
            window = history.Span(at - RATE_WINDOW_S, at)
            allowed = allowed_requests(changes, window)
            counted = last + 1 - bisect.bisect_right(arrivals, window.begin)
            due = at >= changes[0].at + GUARANTEE_DELAY_S
            if due and counted > allowed and not _was_held_up(observed, endpoint_id, window):
                yield (
                    f"{endpoint_id} got {counted} requests in {RATE_WINDOW_S:.0f} s, "
                    f"{allowed:.1f} allowed"
                )


def over_warm_up_rate(observed: history.History) -> typing.Iterator[str]:
    """Find cold endpoints that got more requests and health checks than their warm-up allows.

    Windows in which the link to the endpoint held requests up are left out.
    """
    for endpoint_id, arrivals in observed.cold_arrivals.items():
        for last, at in enumerate(arrivals):
            window = history.Span(at - WARM_UP_WINDOW_S, at)
            counted = last + 1 - bisect.bisect_right(arrivals, window.begin)
            if counted > MAX_COLD_REQUESTS and not _was_held_up(observed, endpoint_id, window):
                yield f"{endpoint_id} got {counted} requests in a second while it was cold"


def over_quota(observed: history.History) -> typing.Iterator[str]:
    """Find windows in which more requests of a workspace were sent and began than its quota allows.

    No fault excuses that. A request that ran at several endpoints counts once.
    """
    began_at: dict[str, float] = {}
    for run in observed.runs:
        began_at[run.attempt_id] = min(run.began_at, began_at.get(run.attempt_id, math.inf))
    for name, quota in observed.quotas.items():
        spans = sorted(
            (began_at[request.attempt_id], request.sent_at)
            for request in observed.requests
            if request.workspace == name and request.attempt_id in began_at
        )
        allowed = (quota.rate * QUOTA_WINDOW_S + quota.burst) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
        for last, (end, _) in enumerate(spans):
            sent_at = (sent for _, sent in itertools.islice(spans, last + 1))
            counted = sum(at > end - QUOTA_WINDOW_S for at in sent_at)
            if counted > allowed:
                yield (
                    f"{name} had {counted} requests in {QUOTA_WINDOW_S:.0f} s, "
                    f"{allowed:.0f} allowed"
                )


def sent_after_leaving(observed: history.History) -> typing.Iterator[str]:
    """Find requests that reached a leaving endpoint although their instance knew that it leaves.

    An instance knows it `DRAIN_S` after it has passed on an answer that says so, until it restarts
    or stands still.
    """
    by_attempt = {request.attempt_id: request for request in observed.requests}
    informed_at = collections.defaultdict(list)
    for request in observed.requests:
        if request.says_leaving:
            informed_at[request.instance, request.endpoint_id].append(request.answered_at)
    for arrival in observed.arrivals:
        arrived = by_attempt.get(arrival.attempt_id)
        if arrived is None:
            continue
        since = [
            at
            for at in informed_at[arrived.instance, arrival.endpoint_id]
            if at + DRAIN_S < arrived.sent_at
            and not _was_interrupted(observed, arrived.instance, history.Span(at, arrival.at))
        ]
        if since:
            yield (
                f"{arrival.attempt_id} was sent to {arrival.endpoint_id} "
                f"{arrived.sent_at - min(since):.2f} s after {arrived.instance} was informed"
            )


def sent_while_evacuated(observed: history.History) -> typing.Iterator[str]:
    """Find requests that reached an endpoint over `EVACUATION_S` after its domain was evacuated.

    Stalls of the soak do not count. Endpoints are exempt during a fault that cuts off their
    instance or the store, and for `GUARANTEE_DELAY_S` after it.
    """
    for evacuation, arrival in itertools.product(observed.evacuations, observed.arrivals):
        began, ended = evacuation.span
        if arrival.endpoint_id not in evacuation.endpoint_ids or not began < arrival.at < ended:
            continue
        due_at = began + EVACUATION_S + _stalled_s(observed, began, arrival.at)
        host = observed.hosts.get(arrival.endpoint_id, "")
        if arrival.at > due_at and _is_instance_undisturbed(observed, host, arrival.at):
            yield (
                f"{arrival.attempt_id} reached {arrival.endpoint_id}, whose failure domain was "
                f"evacuated {arrival.at - began:.2f} s"
            )


def _is_instance_undisturbed(observed: history.History, instance: str, at: float) -> bool:
    """Return whether no fault cut off an instance or the store at an instant or shortly before."""
    return not any(
        fault.span.begin <= at <= fault.span.end + GUARANTEE_DELAY_S
        for fault in observed.injected_faults
        if fault.kind.startswith(ISOLATING_KINDS)
        and (fault.instance in ("", instance) or fault.kind.startswith("store"))
    )


def _was_interrupted(observed: history.History, instance: str, span: history.Span) -> bool:
    """Return whether the node of an instance restarted or stood still in a span."""
    return any(
        fault.kind in EXCUSING_KINDS
        and fault.instance == instance
        and fault.span.begin <= span.end
        and fault.span.end >= span.begin
        for fault in observed.injected_faults
    )


def _arrivals_from_informed(observed: history.History, endpoint_id: str) -> list[history.Arrival]:
    """Return the arrivals whose instances knew of the endpoint's rate limit, by time."""
    by_attempt = {request.attempt_id: request for request in observed.requests}
    informed: dict[str, list[float]] = collections.defaultdict(list)
    for request in observed.requests:
        if request.endpoint_id == endpoint_id and request.names_rate_limit:
            informed[request.instance].append(request.answered_at)
    excused = collections.defaultdict(list)
    for fault in observed.injected_faults:
        if fault.kind in EXCUSING_KINDS:
            excused[fault.instance].append(fault.span)

    def is_bound(arrival: history.Arrival) -> bool:
        request = by_attempt.get(arrival.attempt_id)
        if request is None:
            return False
        spans = [span for span in excused[request.instance] if span.begin <= arrival.at]
        bound_from = max((span.end for span in spans), default=0.0)
        return any(
            bound_from <= at <= arrival.at - KNOWN_DELAY_S for at in informed[request.instance]
        )

    arrivals = (a for a in observed.arrivals if a.endpoint_id == endpoint_id)
    return sorted(filter(is_bound, arrivals), key=lambda arrival: arrival.at)


def allowed_requests(changes: typing.Sequence[history.RateLimit], window: history.Span) -> float:
    """Return how many requests the limits in a window allow; infinite once one has ended.

    A limit counts from before it was first named, and for `KNOWN_DELAY_S` after it has changed.
    """
    begins_at = [-math.inf, *(change.at for change in changes[1:])]
    ends_at = [*(change.at + KNOWN_DELAY_S for change in changes[1:]), math.inf]
    bounds = sorted(
        {*window, *(at for at in begins_at + ends_at if window.begin < at < window.end)}
    )
    allowed = 0.0
    for begin, end in itertools.pairwise(bounds):
        rate = max(
            math.inf if change.rate is None else change.rate
            for change, first, last in zip(changes, begins_at, ends_at, strict=True)
            if first <= begin and end <= last
        )
        allowed += rate * (end - begin)
    return MAX_RATE_RATIO * allowed + RATE_SLACK


def _was_held_up(observed: history.History, endpoint_id: str, window: history.Span) -> bool:
    """Return whether the link to an endpoint was disturbed in a window or shortly before it."""
    instance = observed.hosts.get(endpoint_id)
    return any(
        fault.kind.startswith("link")
        and fault.instance == instance
        and fault.span.begin <= window.end
        and fault.span.end >= window.begin - GUARANTEE_DELAY_S
        for fault in observed.injected_faults
    )


def run_with_withdrawn_key(observed: history.History) -> typing.Iterator[str]:
    """Find runs that began over `REVOKE_S` after the key of their request was withdrawn.

    Requests are exempt while a fault cuts off their instance, as in `too_late`.
    """
    requests = {request.attempt_id: request for request in observed.requests}
    for run in observed.runs:
        request = requests.get(run.attempt_id)
        withdrawn_at = None if request is None else observed.withdrawn_at.get(request.key)
        if request is None or withdrawn_at is None:
            continue
        bound_s = REVOKE_S + _stalled_s(observed, withdrawn_at, run.began_at)
        if run.began_at > withdrawn_at + bound_s and _is_undisturbed(observed, request):
            yield (
                f"{run.attempt_id} ran {run.began_at - withdrawn_at:.2f} s after its key was "
                f"withdrawn, sent to {request.instance}"
            )


def wrong_workspace(observed: history.History) -> typing.Iterator[str]:
    """Find requests that an endpoint got with another workspace than that of their key."""
    requests = {request.attempt_id: request for request in observed.requests}
    for attempt_id, named in observed.run_workspaces:
        request = requests.get(attempt_id)
        if request is not None and (named or "") != request.workspace:
            yield f"{attempt_id} of {request.workspace!r} was sent to an endpoint as {named!r}"


def internal_error(observed: history.History) -> typing.Iterator[str]:
    """Find answers with status 500 that no endpoint sent."""
    for request in observed.requests:
        if request.status == INTERNAL_ERROR_STATUS and not request.endpoint_id:
            yield f"{request.attempt_id} was answered 500 by the node of {request.instance}"


def wrong_service(observed: history.History) -> typing.Iterator[str]:
    """Find runs at an endpoint of another service than that of the request's route."""
    paths = {request.attempt_id: request.path for request in observed.requests}
    added = {route.prefix: route.service for route in observed.routes}
    for run in observed.runs:
        service = observed.services.get(run.endpoint_id)
        name = paths.get(run.attempt_id, "//").split("/")[1]
        if service is not None and name and added.get(f"/{name}/", name) != service:
            yield f"{run.attempt_id} for /{name}/ ran at {run.endpoint_id} of {service}"


def not_recovered(observed: history.History) -> typing.Iterator[str]:
    """Find instances that did not serve all services again after the last fault."""
    for instance, recovered in observed.recovered.items():
        if not recovered:
            yield f"{instance} did not serve all services again after the last fault"


CHECKS: typing.Mapping[str, Check] = {
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
        over_rate_limit,
        over_warm_up_rate,
        over_quota,
        sent_after_leaving,
        sent_while_evacuated,
        run_with_withdrawn_key,
        wrong_workspace,
        internal_error,
        wrong_service,
        not_recovered,
    )
}


def violations(observed: history.History) -> list[str]:
    """Return a description of each violation, prefixed with the name of its check."""
    return [
        f"{name}: {text}"
        for name, text in itertools.chain.from_iterable(
            ((name, text) for text in check(observed)) for name, check in CHECKS.items()
        )
    ]


def _endpoints_by_attempt(observed: history.History) -> collections.defaultdict[str, list[str]]:
    runs: collections.defaultdict[str, list[str]] = collections.defaultdict(list)
    for run in observed.runs:
        runs[run.attempt_id].append(run.endpoint_id)
    return runs


def _requests_on_added_routes(
    observed: history.History,
) -> typing.Iterator[tuple[history.Request, history.Route]]:
    for request, route in itertools.product(observed.requests, observed.routes):
        if request.path.startswith(route.prefix):
            yield request, route


def _overlaps(span: history.Span, request: history.Request, before_s: float) -> bool:
    return span.begin <= request.answered_at and span.end >= request.sent_at - before_s


def _stalled_s(observed: history.History, begin: float, end: float) -> float:
    """Return for how long the soak itself did not run between `begin` and `end`."""
    return sum(max(0.0, min(end, stall.end) - max(begin, stall.begin)) for stall in observed.stalls)


def _is_undisturbed(observed: history.History, request: history.Request) -> bool:
    """Return whether no fault cut off the instance or the store before or during a request."""
    return not any(
        _overlaps(fault.span, request, GUARANTEE_DELAY_S)
        for fault in observed.injected_faults
        if fault.kind.startswith(ISOLATING_KINDS)
        and (fault.instance in ("", request.instance) or fault.kind.startswith("store"))
    )


def _only_planned_stops(observed: history.History, request: history.Request) -> bool:
    return not any(
        _overlaps(fault.span, request, GUARANTEE_DELAY_S)
        for fault in observed.injected_faults
        if fault.kind not in PLANNED_STOP_KINDS
    )
