"""The route table: which requests go to which services, and how they are handled."""

from __future__ import annotations

import itertools
import typing

from goldcrestgrade import findings

DEFAULT_IDLE_TIMEOUT_S = 15.0
"""Idle timeout of client connections if the configuration sets none."""

DEFAULT_MAX_BODY_BYTES = 16 << 20
"""Largest request body if the configuration sets no limit."""


class Part(typing.NamedTuple):
    """One of the services among which a route splits its requests."""

    service: str
    weight: float
    """Weight relative to the other parts of the route."""


class Route(typing.NamedTuple):
    """Handling of the requests to a host whose path begins with a prefix."""

    name: str
    host: str
    prefix: str
    run_once: bool
    """Whether a request may run at most once."""
    latency_target_s: float
    """Latency within which an answer has its full value to the client."""
    timeout_s: float
    """Longest time that a client waits for an answer."""
    priority: int
    """Priority; 0 is the highest."""
    attempts: int
    """Largest number of endpoints that one request is sent to."""
    parts: tuple[Part, ...]


class Limits(typing.NamedTuple):
    """Limits on client connections and request bodies."""

    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


class Service(typing.NamedTuple):
    """Properties that all endpoints of a service share."""

    name: str
    health_path: str
    max_connections: int


class RouteTable(typing.NamedTuple):
    """A configuration in the form in which requests look up their route."""

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
    """Return the errors of all routes of `table`."""
    return list(
        itertools.chain.from_iterable(
            _route_faults(table, route) for route in itertools.chain(*table.by_host.values())
        )
    )


def find(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of `host` with the longest prefix that matches `path`, or `None`.

    Case and port of `host` are ignored.
    """
    name = host.lower().partition(":")[0]
    return next(
        (route for route in table.by_host.get(name, ()) if path.startswith(route.prefix)), None
    )


def _route_faults(table: RouteTable, route: Route) -> typing.Iterator[findings.Finding]:
    place = f"version-{table.version}:{route.name}"
    checks = (
        (route.prefix.startswith("/"), f"prefix {route.prefix!r} does not begin with a slash"),
        (route.timeout_s > 0, f"timeout of {route.timeout_s} s is not positive"),
        (
            route.latency_target_s > 0,
            f"target latency of {route.latency_target_s} s is not positive",
        ),
        (route.attempts >= 1, f"number of attempts is {route.attempts}; at least 1 is required"),
        (any(part.weight > 0 for part in route.parts), "no service has a positive weight"),
        (
            all(part.service in table.services for part in route.parts),
            "a service of the route is not declared",
        ),
    )
    yield from (findings.Finding(place, text) for holds, text in checks if not holds)
