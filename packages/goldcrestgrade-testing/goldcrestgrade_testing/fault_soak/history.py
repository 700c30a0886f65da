"""What clients and endpoints saw in a run."""

from __future__ import annotations

import typing

Instant = float
"""Seconds on the clock of the soak."""


class Span(typing.NamedTuple):
    """A time from `begin` to `end`."""

    begin: Instant
    end: Instant


class Request(typing.NamedTuple):
    """One request of a client."""

    attempt_id: str
    instance: str
    node_pid: int
    """Number of the process of the instance that the client called."""
    path: str
    run_once: bool
    sent_at: Instant
    answered_at: Instant
    status: int
    """0 where the connection ended without an answer."""
    is_own_answer: bool
    """Whether an answer is whole and belongs to this request."""
    has_retry_after: bool


class Run(typing.NamedTuple):
    """Work that an endpoint began."""

    attempt_id: str
    endpoint_id: str
    began_at: Instant


class Route(typing.NamedTuple):
    """A route that the operator added."""

    prefix: str
    written_at: Instant


class InjectedFault(typing.NamedTuple):
    """A trouble that was injected."""

    kind: str
    instance: str
    """Empty where it concerns all."""
    span: Span


class History(typing.NamedTuple):
    """All that was seen."""

    requests: list[Request]
    runs: list[Run]
    routes: list[Route]
    drained_at: dict[str, Instant]
    """When a node acknowledged that an endpoint drains, by endpoint."""
    injected_faults: list[InjectedFault]
    stalls: list[Span]
    """Times in which the soak itself did not run."""
    recovered: dict[str, bool]
    """Whether each instance served all services in time after the last trouble."""
