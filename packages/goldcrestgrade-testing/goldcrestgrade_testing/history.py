"""Append-only history of a simulated run, and the check of the run-once guarantees on it."""

from __future__ import annotations

import collections
import itertools
import typing

from goldcrestgrade import findings, instants


class Sent(typing.NamedTuple):
    """A client sent a request."""

    at: instants.Instant
    call_id: str
    key: str
    body: bytes
    deadline: instants.Instant


class Answered(typing.NamedTuple):
    """A client received the answer of an endpoint."""

    at: instants.Instant
    call_id: str
    body: bytes


class Refused(typing.NamedTuple):
    """A client received the outcome that its request did not run."""

    at: instants.Instant
    call_id: str
    reason: str
    retry_at: instants.Instant | None = None
    """Instant given in the refusal from which the client may retry, or none."""


class Undecided(typing.NamedTuple):
    """A client received the outcome that its request may have run."""

    at: instants.Instant
    call_id: str
    reason: str


class Started(typing.NamedTuple):
    """An endpoint started a request."""

    at: instants.Instant
    call_id: str
    key: str
    body: bytes
    endpoint: str


class Ended(typing.NamedTuple):
    """An endpoint finished a request with an answer."""

    at: instants.Instant
    call_id: str
    key: str
    answer: bytes


Event = Sent | Answered | Refused | Undecided | Started | Ended


class History:
    """The events of one run, in the order in which they happened."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def add(self, event: Event) -> None:
        """Append `event`."""
        self.events.append(event)


class Index(typing.NamedTuple):
    """The events of a history by the key or the request that they concern, with their positions."""

    requests: dict[str, Sent]
    starts_by_key: dict[str, list[tuple[int, Started]]]
    starts_by_call: dict[str, list[tuple[int, Started]]]
    answers_by_key: dict[str, list[tuple[int, Ended]]]


Rule = typing.Callable[[Index, int, Event], str | None]
"""Returns which guarantee the event at a position violates, or none."""


def check(events: typing.Sequence[Event], skew_s: float = 0.0) -> list[findings.Finding]:
    """Return the guarantees that `events` violate if wall clocks differ by up to `skew_s`."""
    index = _build_index(events)
    rules: tuple[Rule, ...] = (
        _started_once,
        _refused_did_not_start,
        _answer_belongs_to_key,
        _answer_follows_start,
        _started_by_deadline(skew_s),
    )
    return [
        findings.Finding(f"history:{position}", text)
        for (position, event), rule in itertools.product(enumerate(events), rules)
        if (text := rule(index, position, event)) is not None
    ]


def _build_index(events: typing.Sequence[Event]) -> Index:
    index = Index(
        requests={},
        starts_by_key=collections.defaultdict(list),
        starts_by_call=collections.defaultdict(list),
        answers_by_key=collections.defaultdict(list),
    )
    for position, event in enumerate(events):
        match event:
            case Sent():
                index.requests[event.call_id] = event
            case Started():
                index.starts_by_key[event.key].append((position, event))
                index.starts_by_call[event.call_id].append((position, event))
            case Ended():
                index.answers_by_key[event.key].append((position, event))
    return index


def _started_once(index: Index, position: int, event: Event) -> str | None:
    if not isinstance(event, Started) or index.starts_by_key[event.key][0][0] == position:
        return None
    return f"a request with key {event.key} started more than once"


def _refused_did_not_start(index: Index, _position: int, event: Event) -> str | None:
    if not isinstance(event, Refused) or not index.starts_by_call.get(event.call_id):
        return None
    return f"request {event.call_id} was refused as not run ({event.reason}), but started"


def _answer_belongs_to_key(index: Index, _position: int, event: Event) -> str | None:
    if not isinstance(event, Answered):
        return None
    key = index.requests[event.call_id].key
    if any(event.body == ended.answer for _, ended in index.answers_by_key.get(key, ())):
        return None
    return f"request {event.call_id} got an answer that no endpoint gave for its key {key}"


def _answer_follows_start(index: Index, position: int, event: Event) -> str | None:
    if not isinstance(event, Answered):
        return None
    request = index.requests[event.call_id]
    follows_start = any(
        start_position < position and started.body == request.body
        for start_position, started in index.starts_by_key.get(request.key, ())
    )
    return (
        None
        if follows_start
        else f"request {event.call_id} was answered before any start with its key and body"
    )


def _started_by_deadline(skew_s: float) -> Rule:
    def rule(index: Index, _position: int, event: Event) -> str | None:
        if not isinstance(event, Started):
            return None
        if event.at <= index.requests[event.call_id].deadline + skew_s:
            return None
        return f"request {event.call_id} started more than {skew_s:g} s after its deadline"

    return rule
