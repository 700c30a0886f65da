"""Messages to a guard, and its replies."""

from __future__ import annotations

import dataclasses
import typing

from goldcrestgrade import instants, outcomes
from goldcrestgrade_node import requests


class Run(typing.NamedTuple):
    """Asks the guard to run a request at most once."""

    attempt_id: str
    request: requests.Request
    guard_incarnation: int
    """Incarnation of the guard that may run the request; any other refuses it."""


class ResolveAttempt(typing.NamedTuple):
    """Asks for the outcome of an attempt; the guard bars an attempt that has not arrived."""

    attempt_id: str
    guard_incarnation: int
    """Incarnation of the guard to which the attempt was sent."""
    deadline: instants.Instant
    """Deadline of the request."""
    reply_by: instants.Instant
    """Deadline of the reply, even if the request still runs."""


class Release(typing.NamedTuple):
    """Asks the guard that holds a claim to give it up, or to report how its request ended."""

    attempt_id: str
    """Attempt of the asking guard."""
    row_key: str
    token: str
    guard_incarnation: int
    """Incarnation of the guard that made the claim."""
    reply_by: instants.Instant
    """Deadline of the reply, even if the request still runs."""


Message = Run | ResolveAttempt | Release


@dataclasses.dataclass(frozen=True, slots=True)
class Resolved:
    """The request ended with this outcome."""

    outcome: outcomes.Outcome
    tag: typing.Literal["settled"] = "settled"


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The request of the claim has not started and will not."""

    tag: typing.Literal["released"] = "released"


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """The request had not ended by the deadline of the reply."""

    tag: typing.Literal["running"] = "running"


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """The guard does not know the claim or attempt, for example that of an earlier incarnation."""

    tag: typing.Literal["gone"] = "gone"


Verdict = Resolved | Released | Running | Gone


class Reply(typing.NamedTuple):
    """Reply of a guard; `attempt_id` is that of the message."""

    attempt_id: str
    verdict: Verdict


class Unreachable(Exception):
    """No byte of a message reached the guard."""


class ReplyLost(Exception):
    """A message was sent, but no complete reply to it came back."""


class GuardClient(typing.Protocol):
    """Sends messages to guards."""

    async def exchange(
        self, control_url: str, message: Message, deadline: instants.Instant
    ) -> Reply:
        """Return the reply by `deadline`; raises `Unreachable` or `ReplyLost`."""
        ...
