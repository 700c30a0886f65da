"""The route table: which requests go to which services, and how they are handled."""

from __future__ import annotations

import collections
import hashlib
import itertools
import string
import types
import typing
import urllib.parse

from goldcrestgrade import exceptions, findings

DEFAULT_IDLE_TIMEOUT_S = 15.0
"""Idle timeout of client connections if the configuration sets none."""

DEFAULT_MAX_BODY_BYTES = 16 << 20
"""Largest request body if the configuration sets no limit."""

DEFAULT_MAX_HEADER_BYTES = 64 * 1024
"""Largest headers of a request if the configuration sets no limit."""

DEFAULT_HEADER_TIMEOUT_S = 10.0
"""Time in which a client has to send the head of a request if the configuration sets none."""

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
    is_closed: bool = False
    """Whether its requests are rejected until a configuration says how to handle them."""


class Limits(typing.NamedTuple):
    """Limits on client connections and request bodies."""

    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S
    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S


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
    is_closed: bool = False
    """Whether its requests are rejected until a configuration says how to handle them."""


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


class FaultyRoute(typing.NamedTuple):
    """A route that can't be read, with what distinguishes its requests from others."""

    host: str
    prefix: str
    finding: findings.Finding


class FaultyService(typing.NamedTuple):
    """A service that can't be read."""

    name: str
    finding: findings.Finding


class FaultyWorkspace(typing.NamedTuple):
    """A workspace that can't be read, but whose keys are known."""

    name: str
    """Its name; empty if that can't be used."""
    key_digests: tuple[bytes, ...]
    finding: findings.Finding


class Draft(typing.NamedTuple):
    """A configuration as it was read, before its parts are checked."""

    version: int
    limits: Limits
    services: list[Service | FaultyService]
    routes: list[Route | FaultyRoute]
    workspaces: list[Workspace | FaultyWorkspace]

    def faults(self) -> list[findings.Finding]:
        """Return what can't be read."""
        parts = itertools.chain(self.services, self.routes, self.workspaces)
        return [
            part.finding
            for part in parts
            if isinstance(part, FaultyService | FaultyRoute | FaultyWorkspace)
        ]

    def strict_table(self) -> RouteTable:
        """Return the table; raises `InvalidDocument` with every fault."""
        if faults := self.faults():
            raise exceptions.InvalidDocument(faults)
        table = build(
            self.version,
            self.limits,
            (part for part in self.services if isinstance(part, Service)),
            (part for part in self.routes if isinstance(part, Route)),
            (part for part in self.workspaces if isinstance(part, Workspace)),
        )
        if faults := check(table):
            raise exceptions.InvalidDocument(faults)
        return table


class Salvaged(typing.NamedTuple):
    """A table of the sound parts of a configuration, and what was wrong with the others."""

    table: RouteTable
    faults: list[findings.Finding]


def salvage(draft: Draft, in_force: RouteTable | None) -> Salvaged:
    """Return the table of a draft with faults, so that its sound parts can be put in force.

    A faulty part keeps its form in force, if there is one. Otherwise a route or workspace is
    closed, so that its requests are not handled as those of another one. A faulty service is left
    out, which closes the routes to it. Raises `InvalidDocument` if several workspaces hold a key.
    """
    place = f"version-{draft.version}"
    faults = [*draft.faults(), *_limits_faults(place, draft.limits)]
    former = in_force or build(0, Limits(), (), ())
    services = _salvage_services(place, draft, former, faults)
    salvaged_routes = _salvage_routes(place, draft, services, former, faults)
    workspaces = _salvage_workspaces(place, draft, former, faults)
    limits = former.limits if any(_limits_faults(place, draft.limits)) else draft.limits
    table = build(draft.version, limits, services.values(), salvaged_routes, workspaces)
    if shared := list(_shared_keys(table)):
        raise exceptions.InvalidDocument([*faults, *shared])
    return Salvaged(table, faults)


def _salvage_services(
    place: str, draft: Draft, former: RouteTable, faults: list[findings.Finding]
) -> dict[str, Service]:
    services = {}
    for service in draft.services:
        found = [] if isinstance(service, FaultyService) else [*_service_faults(place, service)]
        faults += found
        if isinstance(service, Service) and not found:
            services[service.name] = service
        elif service.name in former.services:
            services[service.name] = former.services[service.name]
    return services


def _salvage_routes(
    place: str,
    draft: Draft,
    services: typing.Container[str],
    former: RouteTable,
    faults: list[findings.Finding],
) -> typing.Iterator[Route]:
    by_key = {(r.host, r.prefix): r for r in itertools.chain(*former.by_host.values())}
    for route in draft.routes:
        if isinstance(route, Route):
            found = list(_route_faults(place, services, route))
            faults += found
            if not found:
                yield route
                continue
        kept = by_key.get((route.host, route.prefix))
        if kept is not None and not any(_route_faults(place, services, kept)):
            yield kept
        else:
            yield _closed_route(route.host, route.prefix)


def _closed_route(host: str, prefix: str) -> Route:
    return Route(
        f"closed {host}{prefix}", host, prefix, True, 1.0, 1.0, 0, 1, parts=(), is_closed=True
    )


def _salvage_workspaces(
    place: str, draft: Draft, former: RouteTable, faults: list[findings.Finding]
) -> typing.Iterator[Workspace]:
    sound: list[Workspace] = []
    others: list[Workspace | FaultyWorkspace] = []
    for workspace in draft.workspaces:
        if isinstance(workspace, Workspace):
            found = list(_workspace_faults(place, workspace))
            faults += found
            (others if found else sound).append(workspace)
        else:
            others.append(workspace)
    yield from sound
    taken = {workspace.name for workspace in sound}
    for number, workspace in enumerate(others):
        holders = (former.workspace_by_key.get(digest, "") for digest in workspace.key_digests)
        names = itertools.chain((workspace.name,), holders)
        kept_name = next((n for n in names if n in former.workspaces and n not in taken), None)
        if kept_name is None:
            kept = Workspace(f"closed {number}", (), 0, is_closed=True)
        else:
            taken.add(kept_name)
            kept = former.workspaces[kept_name]
        # Keys that the configuration withdraws are no longer accepted in any case.
        yield kept._replace(key_digests=workspace.key_digests)


def encode_prefix(prefix: str) -> str:
    """Return a prefix as paths of requests have it: characters beyond ASCII as encoded bytes."""
    return urllib.parse.quote(prefix, safe=string.printable)


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
    place = f"version-{table.version}"
    return [
        *itertools.chain.from_iterable(
            _route_faults(place, table.services, route)
            for route in itertools.chain(*table.by_host.values())
        ),
        *_limits_faults(place, table.limits),
        *itertools.chain.from_iterable(_service_faults(place, s) for s in table.services.values()),
        *itertools.chain.from_iterable(
            _workspace_faults(place, workspace) for workspace in table.workspaces.values()
        ),
        *_shared_keys(table),
    ]


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


def _limits_faults(place: str, limits: Limits) -> typing.Iterator[findings.Finding]:
    if limits.max_body_bytes < 0:
        yield findings.Finding(place, "the limit of bodies is negative")
    if limits.max_header_bytes <= 0:
        yield findings.Finding(place, "the limit of headers is not positive")
    if limits.header_timeout_s <= 0:
        yield findings.Finding(place, "the time to send headers is not positive")


def _service_faults(place: str, service: Service) -> typing.Iterator[findings.Finding]:
    """Return a finding for each quantity or path that no service can have."""
    checks = (
        (service.health_path.startswith("/"), "the health path has no leading slash"),
        (service.warm_up_rate >= 0, "the warm-up rate is negative"),
    )
    at = f"{place}:service:{service.name}"
    yield from (findings.Finding(at, text) for holds, text in checks if not holds)


def _workspace_faults(place: str, workspace: Workspace) -> typing.Iterator[findings.Finding]:
    """Return a finding for each quantity that no workspace can have."""
    usable = workspace.rate == 0 or workspace.rate >= MIN_QUOTA_RATE
    checks = (
        (usable, f"a quota of {workspace.rate} requests a second is too small"),
        (workspace.burst >= 0, "the burst is negative"),
    )
    at = f"{place}:workspace:{workspace.name}"
    yield from (findings.Finding(at, text) for holds, text in checks if not holds)


def _route_faults(
    place: str, services: typing.Container[str], route: Route
) -> typing.Iterator[findings.Finding]:
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
            all(part.service in services for part in route.parts),
            "a service of the route is not declared",
        ),
    )
    at = f"{place}:{route.name}"
    yield from (findings.Finding(at, text) for holds, text in checks if not holds)
