"""Endpoints, clients and faults of a modelled fleet, drawn from ranges of parameters."""

from __future__ import annotations

import random
import typing

DURATION_S = 20.0
"""Time during which clients send requests."""

DOMAINS = (("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b"))
"""Failure domains and their regions."""


class Kind(typing.NamedTuple):
    """A kind of request that clients send, or that endpoints send to each other."""

    name: str
    service: str
    share: float
    """Share of the capacity of its service that its requests take at a load of 1."""
    work_s: float
    """Mean service time at a normal pace, without the calls that the request makes."""
    target_s: float
    """Latency target, from the first attempt of the client on."""
    timeout_s: float
    priority: int
    run_once: bool
    value: float
    """What an answer in time is worth; one tenth of it if it is late."""
    calls: str = ""
    """Kind of the request that its endpoint makes of another one halfway; empty if none."""
    call_share: float = 0.7
    """Share of the requests that make this call."""
    regions: frozenset[str] | None = None
    """Regions in which it may run; none if it may run in any."""


class Endpoints(typing.NamedTuple):
    """The endpoints of every service."""

    number: int
    slots: int
    knee: float
    """Share of the slots beyond which requests slow each other down."""
    contention: float
    """Factor on the service time of a request that starts beyond the knee."""
    degraded_share: float
    """Share of the time in which an endpoint is degraded."""
    degraded_pace: float
    degraded_s: float
    """Length of a degraded period."""
    cold_s: float
    """Time after a start in which an endpoint has a pace of 2."""
    warm_up_rate: float = 0.0
    """Requests a second that an endpoint may get in that time; 0 if it names no limit."""


class Workload(typing.NamedTuple):
    """One day of the model."""

    name: str
    seed: int
    endpoints: Endpoints
    kinds: tuple[Kind, ...]
    load: float
    """Requests that arrive, as a share of what the endpoints complete at best."""
    burst: float
    """Factor on the load in the middle third of the day."""
    restart_at: float
    """When all nodes and endpoints are lost for `RESTART_S`; infinite if never."""
    impatient_share: float
    """Share of the clients that return at once and twice as often as they should."""
    lost_share: float
    """Share of the answers that are lost after the request ran."""
    hop_s: float
    """Processor time of a node for each hop of a request."""
    region_s: float
    """Time from one region to the other, one way."""
    domain_s: float
    """Time from one failure domain to another in the same region, one way."""
    start_s: float = 0.0
    """Longest time that a node takes to start after a loss; each draws a part of it."""


RESTART_S = 1.0
"""Time from the loss of all nodes until they serve again."""

CLIENT_S = 0.008
"""Time from a client to its node, one way."""


def kinds(rng: random.Random, regions: frozenset[str] | None = None) -> tuple[Kind, ...]:
    """Return four kinds: reads, orders that call a third service, payments, and that call.

    Orders may run in `regions` only.
    """
    work_s = rng.uniform(0.06, 0.2)
    target_s = rng.uniform(3.0, 4.0) * work_s
    return (
        Kind("read", "pages", 1.0, work_s, target_s, 4 * target_s, 2, False, 1.0),
        Kind(
            "order",
            "orders",
            1.0,
            1.2 * work_s,
            1.2 * target_s,
            5 * target_s,
            1,
            True,
            2.0,
            "look",
            regions=regions,
        ),
        Kind("pay", "payments", 0.6, 0.7 * work_s, 0.6 * target_s, 3 * target_s, 0, True, 3.0),
        Kind("look", "payments", 0.0, 0.25 * work_s, 0.4 * target_s, target_s, 2, False, 0.0),
    )


def draw(name: str, seed: int, **fixed: typing.Any) -> Workload:
    """Return a workload drawn from the ranges of its parameters, except the `fixed` ones."""
    rng = random.Random(f"{name} {seed}")
    endpoints = Endpoints(
        number=4,
        slots=rng.randint(6, 14),
        knee=rng.choice((0.6, 0.8, 1.0)),
        contention=rng.uniform(1.3, 1.8),
        degraded_share=rng.uniform(0.1, 0.3),
        degraded_pace=rng.uniform(3.0, 6.0),
        degraded_s=rng.uniform(0.2, 0.6),
        cold_s=rng.uniform(1.0, 3.0),
    )
    drawn = Workload(
        name=name,
        seed=seed,
        endpoints=endpoints,
        kinds=kinds(rng),
        load=rng.uniform(0.5, 1.3),
        burst=rng.uniform(1.0, 2.0),
        restart_at=float("inf"),
        impatient_share=0.0,
        lost_share=0.0,
        hop_s=0.001,
        region_s=rng.uniform(0.004, 0.02),
        domain_s=rng.uniform(0.0005, 0.002),
    )
    return drawn._replace(**fixed)


def draw_large(name: str, seed: int, **fixed: typing.Any) -> Workload:
    """Return a workload of 60 instances whose endpoints have few slots and are often degraded.

    Half of the clients are in the region in which no order may run, so orders have half of their
    share of the load.
    """
    endpoints = Endpoints(
        number=20,
        slots=6,
        knee=1.0,
        contention=1.0,
        degraded_share=0.25,
        degraded_pace=7.0,
        degraded_s=0.5,
        cold_s=3.0,
        warm_up_rate=15.0,
    )
    found = list(kinds(random.Random(f"{name} {seed}"), frozenset({"a"})))
    found[1] = found[1]._replace(share=0.5 * found[1].share)
    drawn = draw(name, seed, endpoints=endpoints, kinds=tuple(found), start_s=1.2)
    return drawn._replace(**fixed)


STANDARD = {
    "calm": {"load": 0.5, "burst": 1.0},
    "full": {"load": 0.8, "burst": 1.0},
    "overload": {"load": 1.3, "burst": 1.0},
    "burst": {"load": 0.8, "burst": 2.0},
    "restart": {"load": 0.9, "burst": 1.0, "restart_at": 8.0},
    "impatient": {"load": 1.1, "burst": 1.3, "impatient_share": 0.3, "lost_share": 0.02},
}
"""Loads of the standard comparison: the parameters that each of them fixes."""

LARGE = {
    "large": {"load": 0.8, "burst": 1.4},
    "large_restart": {"load": 0.7, "burst": 1.0, "restart_at": 8.0},
}
"""Loads of a large fleet: the parameters that each of them fixes."""


def standard(name: str, seed: int) -> Workload:
    """Return one of the `STANDARD` or `LARGE` loads."""
    if name in LARGE:
        return draw_large(name, seed, **LARGE[name])
    return draw(name, seed, **STANDARD[name])


def capacity(workload: Workload, service: str) -> float:
    """Return the seconds of work that the endpoints of a service complete in a second at best."""
    endpoints = workload.endpoints
    knee = max(1, int(endpoints.knee * endpoints.slots))
    at_once = max(knee, endpoints.slots / (1.0 if endpoints.knee >= 1 else endpoints.contention))
    slow = 1 + endpoints.degraded_share * (endpoints.degraded_pace - 1)
    return endpoints.number * at_once / slow


class Arrival(typing.NamedTuple):
    """A client's request."""

    at: float
    kind: Kind
    domain: int
    """Index of the client's failure domain."""
    work_s: float
    impatient: bool


def arrivals(workload: Workload) -> list[Arrival]:
    """Return the requests of all clients in the order of their first attempts."""
    rng = random.Random(workload.seed)
    found = []
    for kind in workload.kinds:
        rate = kind.share * workload.load * capacity(workload, kind.service) / kind.work_s
        at = 0.0
        while kind.share and at < DURATION_S:
            busy = DURATION_S / 3 <= at < 2 * DURATION_S / 3
            at += rng.expovariate(rate * (workload.burst if busy else 1.0))
            found.append(
                Arrival(
                    at,
                    kind,
                    rng.randrange(len(DOMAINS)),
                    kind.work_s * rng.lognormvariate(-0.045, 0.3),
                    rng.random() < workload.impatient_share,
                )
            )
    return sorted(found, key=lambda arrival: arrival.at)
