"""A client's request as the nodes pass it on, and its encoding between them."""

from __future__ import annotations

import json
import typing

import orjson
import xxhash

from goldcrestgrade import answer_memory, headers, instants, outcomes, routes
from goldcrestgrade_node.mesh.endpoint import decision
from goldcrestgrade_node.mesh.transport import loads, signals


class Call(typing.NamedTuple):
    """A request that was read completely and matched to a route."""

    attempt_id: str
    """Id that the client gave its attempt; empty if it gave none."""
    route: str
    service: str
    run_once: bool
    priority: int
    caller: str
    """Service of the instance on which the request originated."""
    method: str
    target: str
    """Path and query, as the client sent them."""
    host: str
    """Host header, as the client sent it."""
    headers: outcomes.Headers
    body: bytes
    target_at: instants.Instant
    """Latency target as an instant; a later answer has lost most of its use."""
    deadline: instants.Instant
    late_allowed: bool = False
    """Whether it may be admitted although it is expected to miss its latency target."""
    report: signals.Report | None = None
    """Signals of the endpoint that the request is sent to, as the entry node last received them."""
    workspace: str = ""
    """Workspace on whose behalf the request is made; empty if there is none."""
    allowed_regions: frozenset[str] | None = None
    """Regions in which it may run; none if it may run in any."""
    large_body: bool = False
    """Whether the transfer of its body counts in the choice of an endpoint."""
    round_trip_s: float = 0.0
    """Time on the way to the other node and back, which that node does not have."""
    configuration: int = 0
    """Version of the configuration by which the key of its workspace was accepted."""
    forward_allowed: bool = False
    """Whether the node that receives it may forward it within its region if it rejects it."""
    trial: bool = False
    """Whether it runs although it is quarantined, to show whether it crashes an endpoint."""
    answer_memory: answer_memory.Reservation | None = None
    """Memory that this process has reserved for the answer."""

    @property
    def route_key(self) -> str:
        """Service and route; each such key has its own service time estimate."""
        return f"{self.service} {self.route}"

    def admission_request(self) -> decision.Request:
        """Return what the admission controller of an endpoint needs to evaluate the request."""
        return decision.Request(
            self.route_key,
            self.priority,
            self.target_at,
            self.deadline,
            self.late_allowed,
            self.workspace,
        )


class Served(typing.NamedTuple):
    """Result of a request at the endpoint's node."""

    outcome: outcomes.Outcome
    load: loads.Load | None
    """Load of the endpoint after the request, if known."""
    arrived: bool
    """Whether the endpoint has received the request."""
    report: signals.Report | None = None
    """Signals in the answer of the endpoint, if it answered."""
    served_s: float | None = None
    """Time for which another node had the request; none if it was served here."""
    forwarded: bool = False
    """Whether that node sent it on to others, which then ran or rejected it; `load` is its own."""


def call(
    route: routes.Route,
    service: str,
    caller: str,
    attempt_id: str,
    message: Message,
    now: instants.Instant,
    client_timeout_s: float,
    workspace: routes.Workspace | None = None,
    elapsed_s: float = 0.0,
) -> Call:
    """Return the call for a request that matched `route`; its client waits `client_timeout_s`.

    `elapsed_s` is the time since the client's first attempt, from which the latency target counts.
    """
    return Call(
        attempt_id=attempt_id,
        route=route.name,
        service=service,
        run_once=route.run_once,
        priority=route.priority if workspace is None else workspace.priority,
        caller=caller,
        method=message.method,
        target=message.target,
        host=message.host,
        headers=message.headers,
        body=message.body,
        target_at=now + route.latency_target_s - elapsed_s,
        deadline=now + min(route.timeout_s, client_timeout_s),
        workspace="" if workspace is None else workspace.name,
        allowed_regions=routes.allowed_regions(route, workspace),
        large_body=route.large_bodies,
    )


class Message(typing.NamedTuple):
    """A request as it was read from a connection."""

    method: str
    target: str
    host: str
    headers: outcomes.Headers
    """Headers that are forwarded to the endpoint."""
    body: bytes


class RelayDocument(typing.TypedDict):
    """JSON document of the relay header, which a node sends with a request to another node."""

    route: str
    service: str
    once: bool
    rank: int
    caller: str
    target_ms: int
    """Milliseconds until the latency target; negative once it is missed."""
    left_ms: int
    """Milliseconds until the deadline."""
    late: bool
    report: typing.NotRequired[ReportDocument]
    """Signals of the endpoint as the sending node last received them; left out if none."""
    workspace: typing.NotRequired[str]
    regions: typing.NotRequired[list[str]]
    """Regions in which the request may run; left out if it may run in any."""
    large: typing.NotRequired[bool]
    configuration: typing.NotRequired[int]
    """Version by which the key of the workspace was accepted; left out without a workspace."""
    forward: typing.NotRequired[bool]
    """Whether the receiving node may forward it in its region; nodes of earlier builds do not."""
    trial: typing.NotRequired[bool]
    """Whether it runs although it is quarantined; nodes of earlier builds refuse it."""


REQUIRED_KINDS: typing.Mapping[str, type | tuple[type, ...]] = {
    "route": str,
    "service": str,
    "once": bool,
    "rank": int,
    "caller": str,
    "target_ms": (int, float),
    "left_ms": (int, float),
    "late": bool,
}
"""Types of the fields that a relay header must have."""

OPTIONAL_KINDS: typing.Mapping[str, type] = {
    "report": dict,
    "workspace": str,
    "regions": list,
    "large": bool,
    "configuration": int,
    "forward": bool,
    "trial": bool,
}
"""Types of the fields that a relay header may have."""


class ReportDocument(typing.TypedDict):
    """Part of the relay header."""

    endpoint: str
    rate: float | None
    leaving: bool


def encode(call_: Call, now: instants.Instant) -> str:
    """Return the relay header of a request."""
    document = RelayDocument(
        route=call_.route,
        service=call_.service,
        once=call_.run_once,
        rank=call_.priority,
        caller=call_.caller,
        target_ms=round(1000 * (call_.target_at - call_.round_trip_s - now)),
        left_ms=round(1000 * (call_.deadline - call_.round_trip_s - now)),
        late=call_.late_allowed,
    )
    if call_.report is not None and call_.report.signals != signals.NONE:
        latest = call_.report.signals
        document["report"] = ReportDocument(
            endpoint=call_.report.endpoint_id, rate=latest.rate_limit, leaving=latest.leaving
        )
    if call_.workspace:
        document["workspace"] = call_.workspace
        document["configuration"] = call_.configuration
    if call_.allowed_regions is not None:
        document["regions"] = sorted(call_.allowed_regions)
    if call_.large_body:
        document["large"] = True
    if call_.forward_allowed:
        document["forward"] = True
    if call_.trial:
        document["trial"] = True
    text = orjson.dumps(document)
    # Nodes of earlier builds decode the header as Latin-1.
    return text.decode() if text.isascii() else json.dumps(document)


def decode(
    text: str | bytes, attempt_id: str, message: Message, now: instants.Instant
) -> Call | None:
    """Return the request that another node relays, or none if the header is malformed."""
    try:
        document = orjson.loads(text)
        _check_kinds(document)
        return Call(
            attempt_id=attempt_id,
            route=document["route"],
            service=document["service"],
            run_once=document["once"],
            priority=document["rank"],
            caller=document["caller"],
            method=message.method,
            target=message.target,
            host=message.host,
            headers=message.headers,
            body=message.body,
            target_at=now + document["target_ms"] / 1000,
            deadline=now + document["left_ms"] / 1000,
            late_allowed=document["late"],
            report=_decode_report(document.get("report")),
            workspace=document.get("workspace", ""),
            allowed_regions=frozenset(document["regions"]) if "regions" in document else None,
            large_body=document.get("large", False),
            configuration=document.get("configuration", 0),
            forward_allowed=document.get("forward", False),
            trial=document.get("trial", False),
        )
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return None


def _check_kinds(document: dict[str, typing.Any]) -> None:
    """Raise `TypeError` if a field has another type than nodes write, and `KeyError`."""
    for name, kind in REQUIRED_KINDS.items():
        if not isinstance(document[name], kind):
            raise TypeError(f"{name} has another type")
    for name, value in document.items():
        if not isinstance(value, OPTIONAL_KINDS.get(name, object)):
            raise TypeError(f"{name} has another type")
    if not headers.is_writable(document["caller"] + document.get("workspace", "")):
        raise TypeError("caller or workspace can't be written to a header")


def _decode_report(document: ReportDocument | None) -> signals.Report | None:
    if document is None:
        return None
    rate, leaving, endpoint_id = document["rate"], document["leaving"], document["endpoint"]
    if not isinstance(endpoint_id, str) or not isinstance(leaving, bool):
        raise TypeError("report of an endpoint is malformed")
    if rate is not None and not (isinstance(rate, int | float) and rate >= 0):
        raise TypeError("rate limit is malformed")
    return signals.Report(endpoint_id, signals.Signals(rate, leaving))


def digest(call_: Call) -> str:
    """Return a digest of service, caller, method, target and body."""
    hasher = xxhash.xxh3_128()
    for part in (call_.service, call_.caller, call_.method, call_.target):
        hasher.update(part.encode("utf-8", "surrogateescape"))
        hasher.update(b"\0")
    hasher.update(call_.body)
    return hasher.hexdigest()
