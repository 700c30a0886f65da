"""Routing policies that the experiments compare: the node's own and simpler or earlier ones."""

from __future__ import annotations

import itertools
import random
import typing

from goldcrestgrade import instants, reasons
from goldcrestgrade_node.entry import calls
from goldcrestgrade_node.routing import choice, endpoint_stats, views

EARLIER_SAMPLE_SIZE = 3
"""Number of candidates that the policy `earlier` compares."""

EARLIER_REPORT_AGE_LIMIT_S = 1.0
"""Age from which the policy `earlier` ignores a report; its weight falls linearly until then."""

Pick = typing.Callable[
    [list[endpoint_stats.EndpointStats], random.Random], endpoint_stats.EndpointStats
]
"""Picks one of the candidate endpoints."""


def prefer_own_region(pick: Pick) -> choice.Choose:
    """Return a policy that applies `pick` to the untried endpoints of the node's region.

    If there are none, it applies `pick` to the untried endpoints of all regions.
    """

    def choose(
        view: views.ServiceView,
        origin: choice.Locality,
        tried: typing.Collection[str],
        now: instants.Instant,
        rng: random.Random,
    ) -> choice.Decision:
        usable = [e for e in view.endpoints.values() if e.node_id not in tried]
        local = [e for e in usable if e.region == origin.region] or usable
        if not local:
            return choice.Refuse(reasons.Refusal.NO_ENDPOINT, now + choice.RETRY_AFTER_S)
        return choice.SendTo(pick(local, rng))

    return choose


def random_pick(
    candidates: list[endpoint_stats.EndpointStats], rng: random.Random
) -> endpoint_stats.EndpointStats:
    """Pick an endpoint at random with equal probabilities."""
    return rng.choice(candidates)


def least_in_flight(
    candidates: list[endpoint_stats.EndpointStats], rng: random.Random
) -> endpoint_stats.EndpointStats:
    """Pick an endpoint with the fewest in-flight attempts of this node."""
    return min(candidates, key=lambda e: (e.in_flight, rng.random()))


def power_of_two(
    candidates: list[endpoint_stats.EndpointStats], rng: random.Random
) -> endpoint_stats.EndpointStats:
    """Pick the one of two random endpoints that has fewer in-flight attempts of this node."""
    return least_in_flight(rng.sample(candidates, min(2, len(candidates))), rng)


def round_robin() -> Pick:
    """Return a function that picks the endpoints in turn."""
    turns = itertools.count()

    def pick(
        candidates: list[endpoint_stats.EndpointStats], _rng: random.Random
    ) -> endpoint_stats.EndpointStats:
        return candidates[next(turns) % len(candidates)]

    return pick


def choose_earlier(
    view: views.ServiceView,
    origin: choice.Locality,
    tried: typing.Collection[str],
    now: instants.Instant,
    rng: random.Random,
) -> choice.Decision:
    """Choose as the first version of the router did: the lowest expected latency in a sample."""
    usable = [e for e in view.endpoints.values() if not e.ejected_until and e.node_id not in tried]
    usable = usable or [e for e in view.endpoints.values() if e.node_id not in tried]
    local = [e for e in usable if e.region == origin.region] or usable
    if not local:
        return choice.Refuse(reasons.Refusal.NO_ENDPOINT, now + choice.RETRY_AFTER_S)
    sample = rng.sample(local, min(EARLIER_SAMPLE_SIZE, len(local)))

    def score(endpoint: endpoint_stats.EndpointStats) -> float:
        weight = max(0.0, 1.0 - (now - endpoint.reported_at) / EARLIER_REPORT_AGE_LIMIT_S)
        load = max(endpoint.in_flight, weight * (endpoint.in_flight + endpoint.others_load))
        expected_latency_s = endpoint.latency_s * (1.0 + load / endpoint.slots)
        return (
            expected_latency_s
            if endpoint.failure_domain == origin.failure_domain
            else expected_latency_s * 1.05
        )

    return choice.SendTo(min(sample, key=score))


INFORMED = "ours-informed"
"""Name of the node's policy without hedges that reads the true load of each endpoint.

The reads take no time and send no bytes.
"""

POLICIES: typing.Mapping[str, typing.Callable[[], calls.Policy]] = {
    "ours": calls.Policy,
    INFORMED: lambda: calls.Policy(hedges=False),
    "ours-unhedged": lambda: calls.Policy(hedges=False),
    "earlier": lambda: calls.Policy(choose_earlier, hedges=False),
    "random": lambda: calls.Policy(prefer_own_region(random_pick), hedges=False),
    "round-robin": lambda: calls.Policy(prefer_own_region(round_robin()), hedges=False),
    "least-in-flight": lambda: calls.Policy(prefer_own_region(least_in_flight), hedges=False),
    "power-of-two": lambda: calls.Policy(prefer_own_region(power_of_two), hedges=False),
}
"""Functions that create a policy for one node, by the name of the policy."""

DEFAULT_POLICIES = tuple(name for name in POLICIES if name != INFORMED)
"""Policies that are compared by default."""
