"""The route table: which requests go to which services, and how they may be handled."""

from __future__ import annotations

import itertools
import typing

from goldcrestgrade import findings

DEFAULT_IDLE_TIMEOUT_S = 15.0
"""Idle time of client connections where the table gives none."""

DEFAULT_MAX_BODY_BYTES = 16 << 20
"""Largest request body where the table gives no limit."""


class Part(typing.NamedTuple):
    """One of the services among which a route divides its requests."""

    service: str
    weight: float
    """Share relative to the other parts."""


class Route(typing.NamedTuple):
    """How the requests of a host below a path prefix are handled."""

    name: str
    host: str
    prefix: str
    run_once: bool
    """Whether a request runs at most once."""
    latency_target_s: float
    """Latency within which an answer has its full use."""
    timeout_s: float
    """Longest time that a client is kept waiting."""
    priority: int
    """Rank; 0 is the highest."""
    attempts: int
    """Largest number of endpoints that one request is sent to."""
    parts: tuple[Part, ...]


class Limits(typing.NamedTuple):
    """Bounds on what a client may send."""

    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


class Service(typing.NamedTuple):
    """What is common to the endpoints of a service."""

    name: str
    health_path: str
    max_connections: int


class RouteTable(typing.NamedTuple):
    """An accepted configuration in the form that requests use."""

    version: int
    limits: Limits
    services: typing.Mapping[str, Service]
    by_host: typing.Mapping[str, tuple[Route, ...]]
    """Routes of each host, the longest prefix first."""


def build(
    version: int,
    limits: Limits,
    services: typing.Iterable[Service],
    routes: typing.Iterable[Route],
) -> RouteTable:
    """Return the table of `routes`."""
    ordered = sorted(routes, key=lambda route: (route.host, -len(route.prefix)))
    return RouteTable(
        version,
        limits,
        {service.name: service for service in services},
        {
            host: tuple(group)
            for host, group in itertools.groupby(ordered, key=lambda route: route.host)
        },
    )


def check(table: RouteTable) -> list[findings.Finding]:
    """Return every fault of `table`."""
    return list(
        itertools.chain.from_iterable(
            _route_faults(table, route) for route in itertools.chain(*table.by_host.values())
        )
    )


def find(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of `host` with the longest prefix that begins `path`, or none."""
    name = host.lower().partition(":")[0]
    return next(
        (route for route in table.by_host.get(name, ()) if path.startswith(route.prefix)), None
    )


def _route_faults(table: RouteTable, route: Route) -> typing.Iterator[findings.Finding]:
    place = f"version-{table.version}:{route.name}"
    checks = (
        (route.prefix.startswith("/"), "the prefix does not begin with a slash"),
        (route.timeout_s > 0, "the timeout is not positive"),
        (route.latency_target_s > 0, "the target latency is not positive"),
        (route.attempts >= 1, "there must be at least one attempt"),
        (any(part.weight > 0 for part in route.parts), "no service has a positive weight"),
        (
            all(part.service in table.services for part in route.parts),
            "a service is not declared",
        ),
    )
    yield from (findings.Finding(place, text) for holds, text in checks if not holds)
