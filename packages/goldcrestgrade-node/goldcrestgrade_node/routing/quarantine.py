"""Quarantine of poison requests, which crash the endpoints that run them.

A request is identified by its idempotency key, or else by its digest. Until it has been answered
once, it runs at no more endpoints at a time than it may still crash.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

import xxhash

from goldcrestgrade import instants, outcomes, reasons
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results
from goldcrestgrade_node.routing import endpoint_stats

MAX_CRASHES = 2
"""Endpoints that one request may crash before it is quarantined."""

CRASH_HISTORY_S = 120.0
"""Time for which a crash counts against a request."""

QUARANTINE_S = 600.0
"""Time for which a request is quarantined."""

MAX_CRASH_HISTORIES = 1024
"""Largest number of requests with a crash history, quarantined ones included."""

MAX_ANSWERED = 4096
"""Largest number of requests remembered as answered."""

ANSWERED_S = 1.0
"""Time after its answer for which the crash of another endpoint doesn't count against a request.

Without it, the loss of a rack would quarantine the requests that every client sends.
"""

CRASH_REASONS = frozenset(
    {
        reasons.Uncertainty.ANSWER_LOST,
        reasons.Uncertainty.ANSWER_CUT,
        reasons.Uncertainty.ENDPOINT_DIED,
    }
)
"""Reasons of a broken attempt that a crash of its endpoint may have caused."""


class Crash(typing.NamedTuple):
    """The crash of an endpoint while it ran a request."""

    request: str
    endpoint: str
    """Node id and incarnation of the endpoint, with the number of its crash."""
    deadline: instants.Instant
    """Until when the crash counts against the request."""


NotifyCrash = typing.Callable[[Crash], None]
"""Reports a crash that this node observed to other nodes."""


@dataclasses.dataclass(slots=True)
class CrashHistory:
    """The crashes that a request may have caused."""

    crashed: dict[str, instants.Instant]
    """When each crash was recorded, by `Crash.endpoint`."""
    deadline: instants.Instant


@dataclasses.dataclass(frozen=True, slots=True)
class AnyEndpoint:
    """The request may be sent to any endpoint."""

    tag: typing.Literal["any"] = "any"


@dataclasses.dataclass(frozen=True, slots=True)
class OnlyAt:
    """The request may be sent only to endpoints that already run it."""

    node_ids: frozenset[str]
    tag: typing.Literal["only_at"] = "only_at"


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """The request may be sent to no endpoint."""

    until: instants.Instant
    tag: typing.Literal["quarantined"] = "quarantined"


Permission = AnyEndpoint | OnlyAt | Quarantined

ANY = AnyEndpoint()


class Quarantine:
    """The crash histories that a node knows; owned by its event loop."""

    def __init__(self, notify_crash: NotifyCrash | None = None) -> None:
        self.notify_crash = notify_crash
        self.histories: dict[str, CrashHistory] = {}
        self.answered: dict[str, instants.Instant] = {}
        """When each recently answered request was answered, oldest first."""
        self.running: dict[str, collections.Counter[str]] = {}
        """In-flight attempts of each request, by node."""

    def permission(self, request: str, now: instants.Instant) -> Permission:
        """Return where `request` may be sent."""
        history = self._history(request, now)
        crashes = 0 if history is None else len(history.crashed)
        if history is not None and crashes >= MAX_CRASHES:
            return Quarantined(history.deadline)
        if request in self.answered:
            return ANY
        attempts_by_node = self.running.get(request)
        if attempts_by_node is None or crashes + len(attempts_by_node) < MAX_CRASHES:
            return ANY
        return OnlyAt(frozenset(attempts_by_node))

    def start_attempt(self, request: str, endpoint: endpoint_stats.EndpointStats) -> None:
        """Record that an attempt of `request` at `endpoint` begins."""
        self.running.setdefault(request, collections.Counter())[endpoint.node_id] += 1

    def end_attempt(self, request: str, endpoint: endpoint_stats.EndpointStats) -> None:
        """Record that an attempt of `request` at `endpoint` ended."""
        attempts_by_node = self.running[request]
        attempts_by_node[endpoint.node_id] -= 1
        if not attempts_by_node[endpoint.node_id]:
            del attempts_by_node[endpoint.node_id]
        if not attempts_by_node:
            del self.running[request]

    def record_answer(self, request: str, now: instants.Instant) -> None:
        """Record that an endpoint answered a request, and discard its crash history."""
        self.histories.pop(request, None)
        self.answered.pop(request, None)
        self.answered[request] = now
        if len(self.answered) > MAX_ANSWERED:
            del self.answered[next(iter(self.answered))]

    def record_crash(
        self,
        request: str,
        endpoint: endpoint_stats.EndpointStats,
        started_at: instants.Instant,
        now: instants.Instant,
    ) -> None:
        """Count a crash of `endpoint` against a request that it ran since `started_at`.

        Several attempts that one crash ended count once. Other nodes are notified of the crash.
        """
        if now - self.answered.get(request, -instants.NEVER) < ANSWERED_S:
            return
        self.answered.pop(request, None)
        history = self._history(request, now)
        crashed = {} if history is None else history.crashed
        crash_times = [
            at for name, at in crashed.items() if name.startswith(f"{_incarnation_name(endpoint)}#")
        ]
        if any(at >= started_at for at in crash_times):
            return
        crash = Crash(
            request, f"{_incarnation_name(endpoint)}#{len(crash_times)}", now + CRASH_HISTORY_S
        )
        self.apply_crash(crash, now)
        if self.notify_crash is not None:
            self.notify_crash(crash)

    def apply_crash(self, crash: Crash, now: instants.Instant) -> None:
        """Count a crash, observed here or by another node, against its request."""
        history = self._history(crash.request, now)
        crashed = {} if history is None else history.crashed
        if crash.endpoint in crashed:
            return
        crashed[crash.endpoint] = now
        duration_s = QUARANTINE_S if len(crashed) >= MAX_CRASHES else CRASH_HISTORY_S
        self.histories[crash.request] = CrashHistory(crashed, now + duration_s)
        if len(self.histories) > MAX_CRASH_HISTORIES:
            del self.histories[next(iter(self.histories))]

    def _history(self, request: str, now: instants.Instant) -> CrashHistory | None:
        history = self.histories.get(request)
        if history is not None and history.deadline <= now:
            del self.histories[request]
            return None
        return history


def request_key(request: requests.Request) -> str:
    """Return the key that all attempts of a request and its resends share."""
    if request.idempotency_key is None:
        return requests.digest(request)
    return xxhash.xxh3_128_hexdigest(f"{request.service}\0{request.idempotency_key}".encode())


def record_result(
    quarantine: Quarantine,
    request: str,
    endpoint: endpoint_stats.EndpointStats,
    result: results.AttemptResult | outcomes.Outcome,
    started_at: instants.Instant,
    now: instants.Instant,
) -> None:
    """Record how an attempt, or a request relayed to a guard, ended."""
    match result:
        case results.Answered() | outcomes.Ran():
            quarantine.record_answer(request, now)
        case results.Broken(reason=reason) | outcomes.Unknown(reason=reason):
            if reason in CRASH_REASONS:
                quarantine.record_crash(request, endpoint, started_at, now)


def _incarnation_name(endpoint: endpoint_stats.EndpointStats) -> str:
    return f"{endpoint.node_id}/{endpoint.incarnation}"
