"""The route table: which requests go to which services, and how they are handled."""

from __future__ import annotations

import collections
import hashlib
import itertools
import types
import typing

from goldcrestgrade import findings

DEFAULT_IDLE_TIMEOUT_S = 15.0
"""Idle timeout of client connections if the configuration sets none."""

DEFAULT_MAX_BODY_BYTES = 16 << 20
"""Largest request body if the configuration sets no limit."""

MIN_QUOTA_RATE = 1e-6
"""Smallest positive quota in requests a second; the time between two requests stays finite."""


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
    allowed_regions: frozenset[str] = frozenset()
    """Regions in which its requests may run; empty if they may run in any."""
    anonymous: bool = False
    """Whether its requests need no key of a workspace."""
    large_bodies: bool = False
    """Whether bodies are so large that their transfer counts in the choice of an endpoint."""


class Limits(typing.NamedTuple):
    """Limits on client connections and request bodies."""

    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


class Service(typing.NamedTuple):
    """Properties that all endpoints of a service share."""

    name: str
    health_path: str
    max_connections: int
    warm_up_s: float = 0.0
    """Time for which an endpoint is cold after its start, in seconds."""
    warm_up_rate: float = 0.0
    """Requests a second that a cold endpoint takes from all nodes; 0 if it has no limit."""


class Workspace(typing.NamedTuple):
    """A customer of the deployment, who identifies its requests by keys."""

    name: str
    key_digests: tuple[bytes, ...]
    priority: int
    """Priority of its requests, which replaces that of their route; 0 is the highest."""
    rate: float = 0.0
    """Requests a second over all nodes together; 0 if there is no quota."""
    burst: float = 0.0
    """Further requests that may come at once."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions in which its requests may run; empty if they may run in any."""


class RouteTable(typing.NamedTuple):
    """A configuration in the form in which requests look up their route."""

    version: int
    limits: Limits
    services: typing.Mapping[str, Service]
    by_host: typing.Mapping[str, tuple[Route, ...]]
    """Routes of each host, the longest prefix first."""
    workspaces: typing.Mapping[str, Workspace] = types.MappingProxyType({})
    """Workspaces by name; without any, requests carry no keys."""
    workspace_by_key: typing.Mapping[bytes, str] = types.MappingProxyType({})
    """Name of the workspace that holds a key, by the digest of the key."""


def build(
    version: int,
    limits: Limits,
    services: typing.Iterable[Service],
    routes: typing.Iterable[Route],
    workspaces: typing.Iterable[Workspace] = (),
) -> RouteTable:
    """Return the table of `routes`."""
    by_name = {workspace.name: workspace for workspace in workspaces}
    ordered = sorted(routes, key=lambda route: (route.host, -len(route.prefix)))
    return RouteTable(
        version,
        limits,
        {service.name: service for service in services},
        {
            host: tuple(group)
            for host, group in itertools.groupby(ordered, key=lambda route: route.host)
        },
        by_name,
        {
            digest: workspace.name
            for workspace in by_name.values()
            for digest in workspace.key_digests
        },
    )


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is looked up, so that no table holds the key itself."""
    return hashlib.blake2b(key.encode("utf-8", "surrogateescape"), digest_size=16).digest()


def allowed_regions(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
    """Return the regions in which a request may run, none if it may run in any.

    If route and workspace both name regions, both bind, so the result may be empty.
    """
    if not route.allowed_regions and (workspace is None or not workspace.allowed_regions):
        return None
    named = [
        regions
        for regions in (route.allowed_regions, workspace.allowed_regions if workspace else None)
        if regions
    ]
    return frozenset.intersection(*named)


class Excluded(typing.NamedTuple):
    """Whose requests may not all run in a region."""

    hosts: frozenset[str]
    """Hosts with a route whose requests may not run there."""
    workspaces: frozenset[str]


def excluded(table: RouteTable, region: str) -> Excluded:
    """Return the hosts and workspaces of which some request may not run in `region`.

    All other requests may run there, so that they need no look-up of their route.
    """
    return Excluded(
        frozenset(
            host
            for host, routes in table.by_host.items()
            if any(
                route.allowed_regions and region not in route.allowed_regions for route in routes
            )
        ),
        frozenset(
            workspace.name
            for workspace in table.workspaces.values()
            if workspace.allowed_regions and region not in workspace.allowed_regions
        ),
    )


def unknown_regions(table: RouteTable, known: typing.Container[str]) -> list[findings.Finding]:
    """Return a finding for each allowed region that is not in `known`."""
    named = itertools.chain(
        (("route", r.name, r.allowed_regions) for r in itertools.chain(*table.by_host.values())),
        (("workspace", w.name, w.allowed_regions) for w in table.workspaces.values()),
    )
    return [
        findings.Finding(
            f"version-{table.version}:{kind}:{name}", f"region {region!r} has no failure domain"
        )
        for kind, name, regions in named
        for region in sorted(regions)
        if region not in known
    ]


def check(table: RouteTable) -> list[findings.Finding]:
    """Return the errors of all routes, services and workspaces of `table`."""
    route_faults = itertools.chain.from_iterable(
        _route_faults(table, route) for route in itertools.chain(*table.by_host.values())
    )
    return [*route_faults, *_quantity_faults(table), *_shared_keys(table)]


def find(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of `host` with the longest prefix that matches `path`, or `None`.

    Case and port of `host` are ignored.
    """
    return next(
        (r for r in table.by_host.get(host_name(host), ()) if path.startswith(r.prefix)), None
    )


def host_name(host: str) -> str:
    """Return the name by which a table has the routes of a `Host` header."""
    return host.lower().partition(":")[0]


def _shared_keys(table: RouteTable) -> typing.Iterator[findings.Finding]:
    """Return a finding for each key of several workspaces; it names them and not the key."""
    holders: dict[bytes, list[str]] = collections.defaultdict(list)
    for workspace in table.workspaces.values():
        for digest in set(workspace.key_digests):
            holders[digest].append(workspace.name)
    for names in holders.values():
        if len(names) > 1:
            places = " and ".join(sorted(names))
            yield findings.Finding(
                f"version-{table.version}:workspaces", f"{places} hold the same key"
            )


def _quantity_faults(table: RouteTable) -> typing.Iterator[findings.Finding]:
    """Return a finding for each rate, limit or path that no service or workspace can have."""
    place = f"version-{table.version}"
    checks = [(table.limits.max_body_bytes >= 0, place, "the limit of bodies is negative")]
    for service in table.services.values():
        at = f"{place}:service:{service.name}"
        checks += [
            (service.health_path.startswith("/"), at, "the health path has no leading slash"),
            (service.warm_up_rate >= 0, at, "the warm-up rate is negative"),
        ]
    for workspace in table.workspaces.values():
        at = f"{place}:workspace:{workspace.name}"
        usable = workspace.rate == 0 or workspace.rate >= MIN_QUOTA_RATE
        checks += [
            (usable, at, f"a quota of {workspace.rate} requests a second is too small"),
            (workspace.burst >= 0, at, "the burst is negative"),
        ]
    yield from (findings.Finding(at, text) for holds, at, text in checks if not holds)


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
        (all(part.weight >= 0 for part in route.parts), "the weight of a service is negative"),
        (
            all(part.service in table.services for part in route.parts),
            "a service of the route is not declared",
        ),
    )
    yield from (findings.Finding(place, text) for holds, text in checks if not holds)
