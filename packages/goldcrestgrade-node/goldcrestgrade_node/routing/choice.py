"""The choice of an endpoint for one attempt."""

from __future__ import annotations

import dataclasses
import random
import typing

from goldcrestgrade import instants, reasons
from goldcrestgrade_node.routing import evidence

SAMPLE_SIZE = 3
"""Candidates compared for one attempt."""

RETRY_AFTER_S = 1.0
"""When a caller that was refused may come back."""

REPORT_AGE_LIMIT_S = 1.0
"""Age at which a load report counts for nothing."""


class Caller(typing.NamedTuple):
    """Where an attempt starts from."""

    region: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Direct:
    """Send the attempt to this endpoint."""

    endpoint: evidence.Evidence
    tag: typing.Literal["direct"] = "direct"


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request as not run."""

    reason: reasons.Refusal
    retry_at: instants.Instant
    tag: typing.Literal["refuse"] = "refuse"


Decision = Direct | Refuse

Choose = typing.Callable[
    [
        typing.Mapping[str, evidence.Evidence],
        Caller,
        typing.Collection[str],
        instants.Instant,
        random.Random,
    ],
    Decision,
]
"""Returns where an attempt goes; takes endpoints, caller, nodes to avoid, now and a generator."""


def choose(
    endpoints: typing.Mapping[str, evidence.Evidence],
    caller: Caller,
    tried: typing.Collection[str],
    now: instants.Instant,
    rng: random.Random,
) -> Decision:
    """Return where an attempt goes that must avoid the nodes in `tried`."""
    usable = [e for e in endpoints.values() if e.ejected_until <= now and e.node_id not in tried]
    usable = usable or [e for e in endpoints.values() if e.node_id not in tried]
    local = [e for e in usable if e.region == caller.region] or usable
    if not local:
        return Refuse(reasons.Refusal.NO_ENDPOINT, now + RETRY_AFTER_S)
    sample = rng.sample(local, min(SAMPLE_SIZE, len(local)))
    return Direct(min(sample, key=lambda e: _score(e, caller, now)))


def _score(endpoint: evidence.Evidence, caller: Caller, now: instants.Instant) -> float:
    age_s = now - endpoint.reported_at
    weight = max(0.0, 1.0 - age_s / REPORT_AGE_LIMIT_S)
    load = max(endpoint.in_flight, weight * endpoint.reported_load)
    wait_s = endpoint.latency_s * (1.0 + load / endpoint.slots)
    return wait_s if endpoint.failure_domain == caller.failure_domain else wait_s * 1.05
