"""Whether the own endpoint may be sent a request, and when a rejected one may be retried.

Load pattern: the endpoint becomes slow or full within milliseconds, so requests that would be
answered too late are rejected before it has received them.
"""

from __future__ import annotations

import typing

from goldcrestgrade import instants
from goldcrestgrade_node.mesh.endpoint import estimates

SHORT_REQUEST_SHARE = 0.6
"""Share of the mean service time of all requests up to which a request counts as short."""

DEADLINE_SHARE = 0.9
"""Share of the time to its deadline within which a short request must be expected to end."""

LATE_QUEUE_FACTOR = 0.0
"""Longest queue ahead of a late request that is admitted, in multiples of the limit."""

MAX_LATE_PACE = 3.0
"""Largest pace at which a late request is admitted; a cold endpoint has a pace of 2.

A request that a degraded endpoint starts keeps its slot long after the endpoint is normal again.
"""

MIN_RETRY_DELAY_S = 0.02
"""Shortest time after which a rejected request may be retried at this node."""

MAX_RATE_RETRY_DELAY_S = 2.0
"""Longest time after which a request that the rate limit rejects may be retried.

The limit may rise or end at any time.
"""

MAX_SHARE_RETRY_DELAY_S = 1.0
"""Longest time after which a request beyond the share of its workspace may be retried."""

FAIR_SHARE_EXCEEDED = "fair_share_exceeded"
"""Reason of a rejection while other workspaces would be served."""

DEGRADED_RETRY_DELAY_S = 0.1
"""`MIN_RETRY_DELAY_S` of a degraded endpoint; a fraction of the usual length of that state."""


class Request(typing.NamedTuple):
    """A request that asks for admission."""

    route_key: str
    """Service and route; each such key has its own service time estimate."""
    priority: int
    target_at: instants.Instant
    deadline: instants.Instant
    late_allowed: bool
    """Whether it may be admitted although it is expected to miss its latency target."""
    workspace: str = ""
    """Workspace among which the capacity is shared; empty if it has none."""


class Rejected(typing.NamedTuple):
    """The request was rejected before it started."""

    reason: str
    retry_at: instants.Instant


class State(typing.NamedTuple):
    """What the admission controller knows when it decides."""

    now: instants.Instant
    in_flight: int
    queued: int
    limit: int
    """Concurrency limit of the endpoint."""
    pace: float
    slowdown: float
    """Expected slowdown by the requests that run at the same time."""
    mean_service_time_s: float
    limit_reason: str = "rate_limited"
    """Reason of a rejection by a limit on the rate at which requests start."""


def is_short(service_time_s: float, mean_service_time_s: float) -> bool:
    """Return whether a request is so short that it is admitted even if it will be late.

    Endpoints send each other such requests, and a rejection wastes the work of the sender.
    """
    return service_time_s <= SHORT_REQUEST_SHARE * mean_service_time_s


def latest_end(request: Request, short: bool, now: instants.Instant) -> instants.Instant:
    """Return the instant by which a request must be expected to end to be admitted."""
    if not short:
        return request.target_at
    return max(request.target_at, now + DEADLINE_SHARE * (request.deadline - now))


def latest_start(
    request: Request, service_time_s: float, short: bool, now: instants.Instant
) -> instants.Instant:
    """Return the latest start at which a queued request can still end in time."""
    return min(request.deadline, max(now, latest_end(request, short, now) - service_time_s))


def rejection(
    state: State,
    request: Request,
    service_time_s: float,
    ahead: int,
    rate_wait_s: float,
    queued: bool = False,
) -> Rejected | None:
    """Return why a request may not wait behind `ahead` queued ones, or none if it may.

    `rate_wait_s` is the time for which the rate limit delays it there. A request that is `queued`
    already is given the mean service time, since its rejection wastes the time that it has waited.
    """
    now = state.now
    idle = state.in_flight == 0 and not state.queued
    if idle and state.pace < estimates.DEGRADED_PACE and rate_wait_s == 0:
        # The estimates may be wrong, and only a request that runs can correct them.
        return None
    expected = estimates.estimate(
        state.in_flight,
        ahead,
        state.limit,
        state.mean_service_time_s,
        service_time_s,
        state.pace * state.slowdown,
    )
    rate_delay_s = max(0.0, rate_wait_s - expected.start_s)
    short = is_short(service_time_s, state.mean_service_time_s)
    end_s = expected.mean_end_s if queued else expected.end_s
    in_time = now + end_s + rate_delay_s <= latest_end(request, short, now)
    if in_time or (
        request.late_allowed
        and rate_wait_s == 0
        and state.pace <= MAX_LATE_PACE
        and now + expected.mean_end_s <= request.deadline
        and ahead <= LATE_QUEUE_FACTOR * state.limit
        and state.in_flight < state.limit
    ):
        return None
    degraded = state.pace >= estimates.DEGRADED_PACE
    retry_delay_s = DEGRADED_RETRY_DELAY_S if degraded else MIN_RETRY_DELAY_S
    delay_s = max(retry_delay_s, expected.start_s)
    return rejected(now, delay_s, rate_wait_s, state.limit_reason)


def rejected(
    now: instants.Instant,
    retry_delay_s: float,
    rate_wait_s: float,
    limit_reason: str = "rate_limited",
) -> Rejected:
    """Return a rejection for the later of two reasons, each with the seconds until it ends."""
    if rate_wait_s <= retry_delay_s:
        return Rejected("saturated", now + retry_delay_s)
    return Rejected(limit_reason, now + min(rate_wait_s, MAX_RATE_RETRY_DELAY_S))


def renewed(request: Request, arrived_at: instants.Instant, now: instants.Instant) -> Request:
    """Return the request as if it arrived now."""
    waited_s = now - arrived_at
    return request._replace(
        target_at=request.target_at + waited_s, deadline=request.deadline + waited_s
    )


def beyond_share(rejection_: Rejected, excess_s: float, state: State) -> Rejected:
    """Return the rejection of a request because its workspace holds more than its share.

    It may come back when the endpoint has done the queued work of its workspace beyond an equal
    share, which takes `excess_s` of service time.
    """
    delay_s = excess_s * state.pace * state.slowdown / max(1, state.limit)
    delay_s = min(max(delay_s, MIN_RETRY_DELAY_S), MAX_SHARE_RETRY_DELAY_S)
    return Rejected(FAIR_SHARE_EXCEEDED, max(rejection_.retry_at, state.now + delay_s))
