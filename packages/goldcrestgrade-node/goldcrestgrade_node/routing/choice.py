"""The choice of an endpoint for one attempt.

Candidates are classed as hot or cold by their estimated queue per slot, and the cold one with the
lowest expected wait is chosen, as in Prequal (Wydrowski et al., NSDI 2024).
"""

from __future__ import annotations

import dataclasses
import random
import typing

from goldcrestgrade import instants, reasons
from goldcrestgrade_node.routing import endpoint_stats, views

SAMPLE_SIZE = 4
"""Number of candidates compared for one attempt."""

RETRY_AFTER_S = 1.0
"""Time after which a client may retry a refused request."""

OTHER_DOMAIN_FACTOR = 1.05
"""Factor on the expected wait of an endpoint outside the entry node's failure domain."""

MAX_QUEUE_PER_SLOT = 1.0
"""Queued requests per slot above which an endpoint is sent no further attempt."""

TIE_FACTOR = 1.35
"""Factor on the median latency below which endpoints count as equally fast."""

HOT_QUEUE_PER_SLOT = 0.5
"""Queued requests per slot above which an endpoint is hot."""


class Locality(typing.NamedTuple):
    """Region and failure domain of the node that sends an attempt."""

    region: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendTo:
    """Send the attempt to this endpoint."""

    endpoint: endpoint_stats.EndpointStats
    hot: bool = False
    """Whether the endpoint's queue is above `HOT_QUEUE_PER_SLOT`, or the endpoint is ejected."""
    tag: typing.Literal["direct"] = "direct"


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request instead of sending an attempt."""

    reason: reasons.Refusal
    retry_at: instants.Instant
    tag: typing.Literal["refuse"] = "refuse"


Decision = SendTo | Refuse

Choose = typing.Callable[
    [views.ServiceView, Locality, typing.Collection[str], instants.Instant, random.Random], Decision
]
"""Decides where an attempt is sent.

Takes the view of the service, the locality of the sending node, the ids of nodes to avoid, the
current time and a random number generator.
"""


class _Scored(typing.NamedTuple):
    queue_per_slot: float
    """Requests expected to queue per slot, this one included; negative while slots are free."""
    wait_s: float
    endpoint: endpoint_stats.EndpointStats


def choose(
    view: views.ServiceView,
    origin: Locality,
    tried: typing.Collection[str],
    now: instants.Instant,
    rng: random.Random,
) -> Decision:
    """Decide where an attempt is sent; nodes in `tried` are avoided."""
    candidates = view.candidates(origin.region)
    local = _best(view, candidates.local, origin, tried, now, rng)
    if local is not None and local.queue_per_slot <= HOT_QUEUE_PER_SLOT:
        return SendTo(local.endpoint)
    remote = None
    if candidates.remote and view.link.allows(view.call_bytes, now):
        remote = _best(view, candidates.remote, origin, tried, now, rng)
    if remote is not None and (local is None or remote.queue_per_slot <= 0.0):
        return _unless_full(remote, now)
    if local is not None:
        return _unless_full(local, now)
    if candidates.remote:
        return Refuse(reasons.Refusal.SATURATED, now + RETRY_AFTER_S)
    return _choose_ejected(view, tried, now, rng)


def choose_confined(
    view: views.ServiceView,
    node_ids: typing.Collection[str],
    tried: typing.Collection[str],
    now: instants.Instant,
) -> Decision:
    """Choose the endpoint with the fewest in-flight attempts among untried nodes of `node_ids`.

    The quarantine confines a request to these nodes while it may be a poison request.
    """
    confined = [
        endpoint
        for node_id, endpoint in view.endpoints.items()
        if node_id in node_ids and node_id not in tried
    ]
    if not confined:
        return Refuse(reasons.Refusal.QUARANTINED, now + RETRY_AFTER_S)
    return SendTo(min(confined, key=lambda endpoint: endpoint.in_flight))


def _unless_full(scored: _Scored, now: instants.Instant) -> Decision:
    if scored.queue_per_slot > MAX_QUEUE_PER_SLOT:
        return Refuse(reasons.Refusal.SATURATED, now + RETRY_AFTER_S)
    return SendTo(scored.endpoint, hot=scored.queue_per_slot > HOT_QUEUE_PER_SLOT)


def _choose_ejected(
    view: views.ServiceView,
    tried: typing.Collection[str],
    now: instants.Instant,
    rng: random.Random,
) -> Decision:
    untried = [endpoint for endpoint in view.ejected if endpoint.node_id not in tried]
    if not untried:
        return Refuse(reasons.Refusal.NO_ENDPOINT, now + RETRY_AFTER_S)
    return SendTo(rng.choice(untried), hot=True)


def _best(
    view: views.ServiceView,
    candidates: typing.Sequence[endpoint_stats.EndpointStats],
    origin: Locality,
    tried: typing.Collection[str],
    now: instants.Instant,
    rng: random.Random,
) -> _Scored | None:
    median_s = view.median_latency_s(now)
    usable = _usable(_sample(candidates, rng), tried) or _usable(candidates, tried)
    scored = (_score(view, endpoint, origin, median_s, now) for endpoint in usable)
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
    origin: Locality,
    median_s: float,
    now: instants.Instant,
) -> _Scored:
    latency_s = endpoint_stats.expected_latency_s(endpoint, median_s, now)
    if latency_s < TIE_FACTOR * median_s:
        latency_s = median_s
    wait_s = latency_s * (1.0 + endpoint.in_flight / endpoint.slots)
    if endpoint.failure_domain != origin.failure_domain:
        wait_s *= OTHER_DOMAIN_FACTOR
    share = endpoint_stats.slow_start_share(endpoint, now)
    return _Scored(_queue_per_slot(view, endpoint, now), wait_s / share, endpoint)


def _queue_per_slot(
    view: views.ServiceView, endpoint: endpoint_stats.EndpointStats, now: instants.Instant
) -> float:
    """Return the estimated queue per slot.

    Reported load counts only if latencies show a queue too.
    """
    if endpoint.shed_until > now:
        return 2.0 * MAX_QUEUE_PER_SLOT
    own_queue = (endpoint.in_flight + 1.0) / endpoint.slots - 1.0
    if own_queue > 0.0 or not endpoint_stats.is_queueing(endpoint, view.unloaded_s, now):
        return own_queue
    return (endpoint_stats.estimated_in_flight(endpoint, now) + 1.0) / endpoint.slots - 1.0
