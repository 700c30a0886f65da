"""Append-only history of a run, and the checker that judges the promises from it alone."""

from __future__ import annotations

import collections
import itertools
import typing

from goldcrestgrade import findings, instants


class Sent(typing.NamedTuple):
    """A caller made a call."""

    at: instants.Instant
    call_id: str
    key: str
    body: bytes
    deadline: instants.Instant


class Answered(typing.NamedTuple):
    """A caller got the answer of an endpoint."""

    at: instants.Instant
    call_id: str
    body: bytes


class Refused(typing.NamedTuple):
    """A caller was told that its call did not run."""

    at: instants.Instant
    call_id: str
    reason: str
    retry_at: instants.Instant | None = None
    """When the caller was told to come back."""


class Undecided(typing.NamedTuple):
    """A caller was told that its call may have run."""

    at: instants.Instant
    call_id: str
    reason: str


class Started(typing.NamedTuple):
    """An endpoint started the request of a call."""

    at: instants.Instant
    call_id: str
    key: str
    body: bytes
    endpoint: str


class Ended(typing.NamedTuple):
    """An endpoint ended the request of a call with an answer."""

    at: instants.Instant
    call_id: str
    key: str
    answer: bytes


Event = Sent | Answered | Refused | Undecided | Started | Ended


class History:
    """The events of one run in the order in which they happened."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def add(self, event: Event) -> None:
        """Append `event`."""
        self.events.append(event)


class Index(typing.NamedTuple):
    """The events of a history by what they concern."""

    requests: dict[str, Sent]
    starts_by_key: dict[str, list[tuple[int, Started]]]
    starts_by_call: dict[str, list[tuple[int, Started]]]
    answers_by_key: dict[str, list[tuple[int, Ended]]]


Rule = typing.Callable[[Index, int, Event], str | None]
"""Returns what is wrong with the event at a place, or none."""


def check(events: typing.Sequence[Event], skew_s: float = 0.0) -> list[findings.Finding]:
    """Return every broken promise in `events`, where wall clocks differ by up to `skew_s`."""
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
    return f"key {event.key} started more than once"


def _refused_did_not_start(index: Index, _position: int, event: Event) -> str | None:
    if not isinstance(event, Refused) or not index.starts_by_call.get(event.call_id):
        return None
    return f"call {event.call_id} was refused as not run ({event.reason}) and started"


def _answer_belongs_to_key(index: Index, _position: int, event: Event) -> str | None:
    if not isinstance(event, Answered):
        return None
    key = index.requests[event.call_id].key
    if any(event.body == ended.answer for _, ended in index.answers_by_key.get(key, ())):
        return None
    return f"call {event.call_id} got an answer that no endpoint gave for its key"


def _answer_follows_start(index: Index, position: int, event: Event) -> str | None:
    if not isinstance(event, Answered):
        return None
    request = index.requests[event.call_id]
    follows_start = any(
        start_position < position and started.body == request.body
        for start_position, started in index.starts_by_key.get(request.key, ())
    )
    return (
        None if follows_start else f"call {event.call_id} was answered without a start of its key"
    )


def _started_by_deadline(skew_s: float) -> Rule:
    def rule(index: Index, _position: int, event: Event) -> str | None:
        if not isinstance(event, Started):
            return None
        if event.at <= index.requests[event.call_id].deadline + skew_s:
            return None
        return f"call {event.call_id} started past its deadline"

    return rule
