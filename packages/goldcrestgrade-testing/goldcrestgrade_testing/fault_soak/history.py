"""Records of what clients and endpoints observed in a run of the soak."""

from __future__ import annotations

import typing

Instant = float
"""Seconds on the monotonic clock of the soak process."""


class Span(typing.NamedTuple):
    """The time between two instants."""

    begin: Instant
    end: Instant


class Request(typing.NamedTuple):
    """One request of a client and its answer."""

    attempt_id: str
    instance: str
    node_pid: int
    """Process id of the instance's node, which changes with a restart; 0 if none was started."""
    path: str
    run_once: bool
    sent_at: Instant
    answered_at: Instant
    status: int
    """0 if no answer arrived: the connection failed or the client timed out."""
    is_own_answer: bool
    """Whether the answer is complete and belongs to this request."""
    has_retry_after: bool
    endpoint_id: str = ""
    """Endpoint that made the answer; empty if a node made it."""
    names_rate_limit: bool = False
    """Whether the answer names a rate limit of the endpoint."""
    says_leaving: bool = False
    """Whether the answer says that the endpoint leaves."""
    workspace: str = ""
    """Workspace whose key the request carried; empty if it carried none."""
    key: str = ""
    """That key."""


class Run(typing.NamedTuple):
    """One start of work on a request at an endpoint."""

    attempt_id: str
    endpoint_id: str
    began_at: Instant


class Arrival(typing.NamedTuple):
    """One request that reached an endpoint, whether the endpoint ran or rejected it."""

    attempt_id: str
    endpoint_id: str
    at: Instant


class RateLimit(typing.NamedTuple):
    """The rate limit that an endpoint names from an instant on."""

    at: Instant
    rate: float | None
    """Requests a second; none if the endpoint names no limit any more."""


class Quota(typing.NamedTuple):
    """The quota of a workspace."""

    rate: float
    burst: float


class Route(typing.NamedTuple):
    """A route that was added to the configuration during the run."""

    prefix: str
    written_at: Instant
    service: str = ""


class Evacuation(typing.NamedTuple):
    """An evacuation of a failure domain by the operator."""

    endpoint_ids: frozenset[str]
    """Endpoints of the failure domain."""
    span: Span
    """From the acknowledgement of the row to that of its removal."""


class InjectedFault(typing.NamedTuple):
    """A fault that was injected, and when it was active."""

    kind: str
    instance: str
    """Name of the affected instance; empty if the fault affects the whole fleet."""
    span: Span


class History(typing.NamedTuple):
    """Everything that was observed in one run."""

    requests: list[Request]
    runs: list[Run]
    routes: list[Route]
    drained_at: dict[str, Instant]
    """Instant at which the endpoint's node first acknowledged its drain, by endpoint id."""
    injected_faults: list[InjectedFault]
    stalls: list[Span]
    """Times in which the soak process itself was delayed."""
    recovered: dict[str, bool]
    """Whether each instance served all services in time after the last fault, by instance name."""
    arrivals: typing.Sequence[Arrival] = ()
    rate_limits: typing.Mapping[str, typing.Sequence[RateLimit]] = {}
    """Changes of its rate limit by endpoint id, in order."""
    hosts: typing.Mapping[str, str] = {}
    """Name of the instance that runs an endpoint, by endpoint id."""
    cold_arrivals: typing.Mapping[str, typing.Sequence[Instant]] = {}
    """When cold endpoints got requests and health checks, by endpoint id, in order."""
    evacuations: typing.Sequence[Evacuation] = ()
    withdrawn_at: typing.Mapping[str, Instant] = {}
    """Instant at which a key was withdrawn, by key."""
    run_workspaces: typing.Sequence[tuple[str, str | None]] = ()
    """Attempt id of each attempt that ran at an endpoint, and the workspace that it named there."""
    services: typing.Mapping[str, str] = {}
    """Service of an endpoint, by endpoint id."""
    quotas: typing.Mapping[str, Quota] = {}
    """Quota by workspace, in force from the start."""
