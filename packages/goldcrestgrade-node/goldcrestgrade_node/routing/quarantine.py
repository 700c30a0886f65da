"""Quarantine of poison requests, which crash the endpoints that run them.

A request is identified by its idempotency key, or else by its digest. Until it has been answered
once, it runs at no more endpoints at a time than it may still crash.

Endpoints may also crash while they run a harmless request. No answer shows that once all nodes
refuse it, so one node after the other may claim a trial: one attempt at one endpoint. An answer
ends the quarantine at all nodes.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
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

FIRST_TRIAL_DELAY_S = 5.0
"""Time from the latest crash until a quarantined request may be tried."""

TRIAL_INTERVAL_S = 8.0
"""Time from a trial until the next one."""

MAX_TRIALS = 2
"""Trials of a request in one quarantine, each of which may crash one more endpoint."""

TRIAL_RANK_DELAY_S = 1.0
"""Time that a node leaves to each node before it in the order of trials; above that of a notice."""

MAX_CLEARED_CHARS = 800
"""Largest total length of the names in a report of an answer, which has to fit into a notice."""

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


class Trial(typing.NamedTuple):
    """A trial that a node has claimed."""

    request: str
    number: int
    """Number of the trial in its quarantine, from 1."""
    deadline: instants.Instant
    """Until when it counts."""


class Cleared(typing.NamedTuple):
    """Crashes that don't count against a request, since an endpoint answered it later."""

    request: str
    endpoints: tuple[str, ...]
    """`Crash.endpoint` of each."""
    deadline: instants.Instant


NotifyCrash = typing.Callable[[Crash], None]
"""Reports a crash that this node observed to other nodes."""


def _ignore(_: typing.Any) -> None:
    pass


def _first_rank(_: str) -> int:
    return 0


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
        self.notify_trial: typing.Callable[[Trial], None] = _ignore
        """Reports a trial that this node claims to other nodes."""
        self.notify_cleared: typing.Callable[[Cleared], None] = _ignore
        """Reports an answer that this node received to other nodes."""
        self.trial_rank: typing.Callable[[str], int] = _first_rank
        """Returns how many nodes may claim a trial of a request before this one."""
        self.histories: dict[str, CrashHistory] = {}
        self.trials: dict[str, tuple[Trial, instants.Instant]] = {}
        """Latest trial of each request, and when this node learned of it."""
        self.cleared: dict[str, Cleared] = {}
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

    def claim_trial(self, request: str, now: instants.Instant) -> bool:
        """Claim a trial of a quarantined request for this node; return whether it was due."""
        history = self._history(request, now)
        if history is None or now < self._trial_at(request, history, now):
            return False
        trial = Trial(request, self._trial_count(request, now) + 1, history.deadline)
        self.apply_trial(trial, now)
        self.notify_trial(trial)
        return True

    def apply_trial(self, trial: Trial, now: instants.Instant) -> None:
        """Record a trial that this node or another one has claimed."""
        if trial.number > self._trial_count(trial.request, now):
            self.trials[trial.request] = trial, now
            _limit(self.trials)

    def retry_at(self, request: str, now: instants.Instant) -> instants.Instant:
        """Return when a quarantined request may next be sent."""
        history = self._history(request, now)
        if history is None:
            return now
        return min(history.deadline, self._trial_at(request, history, now))

    def _trial_at(
        self, request: str, history: CrashHistory, now: instants.Instant
    ) -> instants.Instant:
        """Return when this node may claim the next trial of a request."""
        if self._trial_count(request, now) >= MAX_TRIALS:
            return instants.NEVER
        due_at = max(history.crashed.values()) + FIRST_TRIAL_DELAY_S
        if request in self.trials:
            due_at = max(due_at, self.trials[request][1] + TRIAL_INTERVAL_S)
        return due_at + self.trial_rank(request) * TRIAL_RANK_DELAY_S

    def _trial_count(self, request: str, now: instants.Instant) -> int:
        if request in self.trials and self.trials[request][0].deadline <= now:
            del self.trials[request]
        return self.trials[request][0].number if request in self.trials else 0

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
        history = self._history(request, now)
        if history is not None:
            cleared = Cleared(request, _shortened(history.crashed), history.deadline)
            self.apply_cleared(cleared, now)
            self.notify_cleared(self.cleared[request])
        self.answered.pop(request, None)
        self.answered[request] = now
        if len(self.answered) > MAX_ANSWERED:
            del self.answered[next(iter(self.answered))]

    def apply_cleared(self, cleared: Cleared, now: instants.Instant) -> None:
        """Discard crashes before an answer, which this node or another one has received."""
        known = self.cleared.get(cleared.request)
        if known is not None and known.deadline > now:
            names = dict.fromkeys((*cleared.endpoints, *known.endpoints))
            cleared = Cleared(
                cleared.request, _shortened(names), max(cleared.deadline, known.deadline)
            )
        self.cleared[cleared.request] = cleared
        _limit(self.cleared)
        history = self._history(cleared.request, now)
        if history is None:
            return
        for name in cleared.endpoints:
            history.crashed.pop(name, None)
        if len(history.crashed) < MAX_CRASHES:
            self.trials.pop(cleared.request, None)
        if not history.crashed:
            del self.histories[cleared.request]

    def _cleared_names(self, request: str) -> tuple[str, ...]:
        return self.cleared[request].endpoints if request in self.cleared else ()

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
        prefix = f"{_incarnation_name(endpoint)}#"
        if any(at >= started_at for name, at in crashed.items() if name.startswith(prefix)):
            return
        names = itertools.chain(crashed, self._cleared_names(request))
        number = sum(name.startswith(prefix) for name in names)
        crash = Crash(request, f"{prefix}{number}", now + CRASH_HISTORY_S)
        self.apply_crash(crash, now)
        if self.notify_crash is not None:
            self.notify_crash(crash)

    def apply_crash(self, crash: Crash, now: instants.Instant) -> None:
        """Count a crash, observed here or by another node, against its request."""
        history = self._history(crash.request, now)
        crashed = {} if history is None else history.crashed
        if crash.endpoint in crashed or crash.endpoint in self._cleared_names(crash.request):
            return
        crashed[crash.endpoint] = now
        duration_s = QUARANTINE_S if len(crashed) >= MAX_CRASHES else CRASH_HISTORY_S
        self.histories[crash.request] = CrashHistory(crashed, now + duration_s)
        _limit(self.histories)

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


def _limit(by_request: dict[str, typing.Any]) -> None:
    """Remove the oldest request if there are too many."""
    if len(by_request) > MAX_CRASH_HISTORIES:
        del by_request[next(iter(by_request))]


def _shortened(names: typing.Iterable[str]) -> tuple[str, ...]:
    """Return the first names, up to `MAX_CLEARED_CHARS` together."""
    kept = list(names)
    totals = itertools.accumulate(map(len, kept))
    return tuple(
        name for name, total in zip(kept, totals, strict=True) if total <= MAX_CLEARED_CHARS
    )


def _incarnation_name(endpoint: endpoint_stats.EndpointStats) -> str:
    return f"{endpoint.node_id}/{endpoint.incarnation}"
