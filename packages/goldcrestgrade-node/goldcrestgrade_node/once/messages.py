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
    """Incarnation that is addressed; another one refuses the message."""


class ResolveAttempt(typing.NamedTuple):
    """Asks what became of an attempt; one that the guard has not seen is barred."""

    attempt_id: str
    guard_incarnation: int
    """Incarnation that the attempt was sent to."""
    deadline: instants.Instant
    """Deadline of the request."""
    reply_by: instants.Instant
    """When a reply is wanted, even if the request still runs."""


class Release(typing.NamedTuple):
    """Asks the guard that holds a claim to give it up, or to tell how its request ended."""

    attempt_id: str
    """Attempt of the asking guard."""
    row_key: str
    token: str
    guard_incarnation: int
    """Incarnation that made the claim."""
    reply_by: instants.Instant
    """When a reply is wanted, even if the request still runs."""


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
    """The request had not ended by the deadline of the question."""

    tag: typing.Literal["running"] = "running"


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """The claim is of an earlier incarnation, of which nothing is known."""

    tag: typing.Literal["gone"] = "gone"


Verdict = Resolved | Released | Running | Gone


class Reply(typing.NamedTuple):
    """What a guard replies; `attempt_id` repeats that of the message."""

    attempt_id: str
    verdict: Verdict


class Unreachable(Exception):
    """No byte of a message reached the guard."""


class ReplyLost(Exception):
    """A message was sent and no whole reply of its own came back."""


class GuardClient(typing.Protocol):
    """Sends messages to guards."""

    async def exchange(
        self, control_url: str, message: Message, deadline: instants.Instant
    ) -> Reply:
        """Return the reply by `deadline`; raises `Unreachable` or `ReplyLost`."""
        ...
