"""The choice of an endpoint for one attempt.

Candidates are told hot from cold by their estimated queue against their slots, and the cold one
with the lowest expected wait is taken, as in Prequal (Wydrowski et al., NSDI 2024).
"""

from __future__ import annotations

import dataclasses
import random
import typing

from goldcrestgrade import instants, reasons
from goldcrestgrade_node.routing import endpoint_stats, views

SAMPLE_SIZE = 4
"""Candidates compared for one attempt."""

RETRY_AFTER_S = 1.0
"""When a caller that was refused may come back."""

OTHER_DOMAIN_FACTOR = 1.05
"""Factor on the expected wait of an endpoint outside the caller's failure domain."""

MAX_QUEUE_PER_SLOT = 1.0
"""Requests waiting for each slot above which another is refused."""

TIE_FACTOR = 1.35
"""Factor on the typical latency up to which endpoints count as equally fast."""

HOT_QUEUE_PER_SLOT = 0.5
"""Requests waiting for each slot above which an endpoint is hot."""


class Caller(typing.NamedTuple):
    """Where an attempt starts from."""

    region: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Direct:
    """Send the attempt to this endpoint."""

    endpoint: endpoint_stats.EndpointStats
    hot: bool = False
    """Whether the endpoint is hot."""
    tag: typing.Literal["direct"] = "direct"


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request as not run."""

    reason: reasons.Refusal
    retry_at: instants.Instant
    tag: typing.Literal["refuse"] = "refuse"


Decision = Direct | Refuse

Choose = typing.Callable[
    [views.ServiceView, Caller, typing.Collection[str], instants.Instant, random.Random], Decision
]
"""Returns where an attempt goes; takes the service, caller, nodes to avoid, now and a generator."""


class _Scored(typing.NamedTuple):
    queue_per_slot: float
    """Requests expected to wait for each slot, this one included; below 0 there are free slots."""
    wait_s: float
    endpoint: endpoint_stats.EndpointStats


def choose(
    view: views.ServiceView,
    caller: Caller,
    tried: typing.Collection[str],
    now: instants.Instant,
    rng: random.Random,
) -> Decision:
    """Return where an attempt goes that must avoid the nodes in `tried`."""
    candidates = view.candidates(caller.region)
    near = _best(view, candidates.near, caller, tried, now, rng)
    if near is not None and near.queue_per_slot <= HOT_QUEUE_PER_SLOT:
        return Direct(near.endpoint)
    far = None
    if candidates.far and view.link.allows(view.call_bytes, now):
        far = _best(view, candidates.far, caller, tried, now, rng)
    if far is not None and (near is None or far.queue_per_slot <= 0.0):
        return _unless_full(far, now)
    if near is not None:
        return _unless_full(near, now)
    if candidates.far:
        return Refuse(reasons.Refusal.SATURATED, now + RETRY_AFTER_S)
    return _any_ejected(view, tried, now, rng)


def join(
    view: views.ServiceView,
    node_ids: typing.Collection[str],
    tried: typing.Collection[str],
    now: instants.Instant,
) -> Decision:
    """Return the least busy of the nodes that a suspect request is confined to."""
    confined = [
        endpoint
        for node_id, endpoint in view.endpoints.items()
        if node_id in node_ids and node_id not in tried
    ]
    if not confined:
        return Refuse(reasons.Refusal.QUARANTINED, now + RETRY_AFTER_S)
    return Direct(min(confined, key=lambda endpoint: endpoint.in_flight))


def _unless_full(scored: _Scored, now: instants.Instant) -> Decision:
    if scored.queue_per_slot > MAX_QUEUE_PER_SLOT:
        return Refuse(reasons.Refusal.SATURATED, now + RETRY_AFTER_S)
    return Direct(scored.endpoint, hot=scored.queue_per_slot > HOT_QUEUE_PER_SLOT)


def _any_ejected(
    view: views.ServiceView,
    tried: typing.Collection[str],
    now: instants.Instant,
    rng: random.Random,
) -> Decision:
    left = [endpoint for endpoint in view.ejected if endpoint.node_id not in tried]
    if not left:
        return Refuse(reasons.Refusal.NO_ENDPOINT, now + RETRY_AFTER_S)
    return Direct(rng.choice(left), hot=True)


def _best(
    view: views.ServiceView,
    candidates: typing.Sequence[endpoint_stats.EndpointStats],
    caller: Caller,
    tried: typing.Collection[str],
    now: instants.Instant,
    rng: random.Random,
) -> _Scored | None:
    median_s = view.median_latency_s(now)
    usable = _usable(_sample(candidates, rng), tried) or _usable(candidates, tried)
    scored = (_score(view, endpoint, caller, median_s, now) for endpoint in usable)
    return min(scored, key=_rank, default=None)


def _usable(
    candidates: typing.Iterable[endpoint_stats.EndpointStats], tried: typing.Collection[str]
) -> list[endpoint_stats.EndpointStats]:
    return [
        endpoint
        for endpoint in candidates
        if endpoint.node_id not in tried and not (endpoint.on_trial and endpoint.in_flight)
    ]


def _rank(scored: _Scored) -> tuple[bool, float]:
    return scored.queue_per_slot > HOT_QUEUE_PER_SLOT, scored.wait_s


def _sample(
    candidates: typing.Sequence[endpoint_stats.EndpointStats], rng: random.Random
) -> typing.Sequence[endpoint_stats.EndpointStats]:
    size = len(candidates)
    if size <= SAMPLE_SIZE:
        return candidates if size < 2 else rng.sample(candidates, size)
    return [candidates[int(rng.random() * size)] for _ in range(SAMPLE_SIZE)]


def _score(
    view: views.ServiceView,
    endpoint: endpoint_stats.EndpointStats,
    caller: Caller,
    median_s: float,
    now: instants.Instant,
) -> _Scored:
    latency_s = endpoint_stats.expected_latency_s(endpoint, median_s, now)
    if latency_s < TIE_FACTOR * median_s:
        latency_s = median_s
    wait_s = latency_s * (1.0 + endpoint.in_flight / endpoint.slots)
    if endpoint.failure_domain != caller.failure_domain:
        wait_s *= OTHER_DOMAIN_FACTOR
    share = endpoint_stats.slow_start_share(endpoint, now)
    return _Scored(_queue_per_slot(view, endpoint, now), wait_s / share, endpoint)


def _queue_per_slot(
    view: views.ServiceView, endpoint: endpoint_stats.EndpointStats, now: instants.Instant
) -> float:
    """Return the estimated queue; a report of one counts only where calls take longer too."""
    if endpoint.shed_until > now:
        return 2.0 * MAX_QUEUE_PER_SLOT
    own = (endpoint.in_flight + 1.0) / endpoint.slots - 1.0
    if own > 0.0 or not endpoint_stats.is_queueing(endpoint, view.unloaded_s, now):
        return own
    return (endpoint_stats.estimated_in_flight(endpoint, now) + 1.0) / endpoint.slots - 1.0
