"""What clients and endpoints saw in a run."""

from __future__ import annotations

import typing

Instant = float
"""Seconds on the clock of the soak."""


class Span(typing.NamedTuple):
    """A time from `begin` to `end`."""

    begin: Instant
    end: Instant


class Try(typing.NamedTuple):
    """One request of a client."""

    attempt: str
    instance: str
    lifetime: int
    """Number of the process of the instance that the client called."""
    path: str
    run_once: bool
    sent_at: Instant
    answered_at: Instant
    status: int
    """0 where the connection ended without an answer."""
    own: bool
    """Whether an answer is whole and belongs to this request."""
    retry_after: bool


class Run(typing.NamedTuple):
    """Work that an endpoint began."""

    attempt: str
    endpoint: str
    at: Instant


class Route(typing.NamedTuple):
    """A route that the operator added."""

    prefix: str
    written_at: Instant


class Disturbance(typing.NamedTuple):
    """A trouble that was injected."""

    kind: str
    instance: str
    """Empty where it concerns all."""
    span: Span


class History(typing.NamedTuple):
    """All that was seen."""

    tries: list[Try]
    runs: list[Run]
    routes: list[Route]
    drained_at: dict[str, Instant]
    """When a node acknowledged that an endpoint drains, by endpoint."""
    disturbances: list[Disturbance]
    stalls: list[Span]
    """Times in which the soak itself did not run."""
    recovered: dict[str, bool]
    """Whether each instance served all services in time after the last trouble."""
