"""Whether the own endpoint is cold, and how fast requests may start at it.

Load pattern: an endpoint returns cold, or becomes cold while it is busy, and crashes if it gets
requests much faster than its warm-up rate. All of its requests and health checks pass through this
node, so one bucket here holds the rate for all nodes together.

An endpoint is warm only for a short time and a bounded number of requests after a health check
that says so; otherwise its requests start at the warm-up rate. After such a check the bucket keeps
more unused tokens, so that an endpoint whose requests vary about the warm-up rate is rarely
checked: each check has a price and holds a slot. The answer of a health check
describes the endpoint at an instant after the check began, so requests that started since then
count as if they had reached a cold endpoint. Heartbeats may lag: they can only show that an
endpoint is cold.
"""

from __future__ import annotations

import logging
import typing

from goldcrestgrade import instants, routes
from goldcrestgrade_node.mesh.endpoint import rates

log = logging.getLogger(__name__)

MAX_STATEMENT_AGE_S = 0.4
"""Age from which a health check no longer shows that the endpoint is warm."""

RENEWAL_AGE_S = 0.2
"""Age of a health check from which the next one is requested, while requests need it."""

RENEWAL_SHARE = 0.5
"""Share of the unverified requests from which the next health check is requested."""

MAX_COLD_S = 30.0
"""Time after which a health check is made even if the endpoint has said that it stays cold."""

MARGIN = 4
"""Requests of the allowed ones that are never used.

They cover requests that were sent before a health check and arrive after it.
"""


class Terms(typing.NamedTuple):
    """How many requests a cold endpoint of a service may get."""

    rate: float
    """Requests a second, health checks included, for any length of time."""
    burst_s: float
    """Time for which an unused part of the rate is kept."""
    max_unverified: int
    """Requests that may start after a health check has begun that shows a warm endpoint."""
    warm_burst_s: float
    """The same as `burst_s` while the endpoint was warm at its latest health check.

    With all of the burst and the rate, `max_unverified` requests start in a second. Requests at
    about the warm-up rate then need a health check only when the burst is used up.
    """


class Check(typing.NamedTuple):
    """A health check that has begun."""

    begun_at: instants.Instant
    started: int
    """Requests and health checks that had started before."""
    doubts: int
    """Number of events before it that made the state unknown."""
    held: int = 0
    """Requests that had started but were not sent yet, since they waited for their bodies."""


def sustained_rate(service: routes.Service, overage: float) -> float:
    """Return the requests a second that a cold endpoint of a service may get for any time."""
    return service.warm_up_rate * max(1.0, overage)


def terms(service: routes.Service | None, overage: float, slack: float) -> Terms | None:
    """Return the terms of a service, or none if it names no warm-up rate.

    In any second a cold endpoint may get `warm_up_rate * overage + slack` requests. The first part
    is its rate, and the slack beyond the margin covers requests that arrive together.
    """
    if service is None or service.warm_up_rate <= 0:
        return None
    rate = sustained_rate(service, overage)
    burst_s = min(rates.BURST_S, max(0.0, slack - MARGIN) / rate)
    max_unverified = max(1, int(service.warm_up_rate * overage + slack) - MARGIN)
    return Terms(rate, burst_s, max_unverified, max(burst_s, max_unverified / rate - 1.0))


class Coldness:
    """What is known of the own endpoint's warm-up; owned by the node's event loop."""

    def __init__(self, clocks: instants.Clocks) -> None:
        self.clocks = clocks
        self.terms: Terms | None = None
        """None if the service names no warm-up; all requests may then start at once."""
        self.bucket = rates.RateLimiter(clocks)
        """Tokens at the warm-up rate; below 0 after requests that a warm endpoint got."""
        self.cold_until: instants.Instant = 0.0
        """Known to be cold until then."""
        self.cold_by_heartbeat = False
        """Whether only a heartbeat says so."""
        self.warm: Check | None = None
        """Latest health check that showed a warm endpoint; none if the state is unknown or cold."""
        self.latest_started = -1
        """`Check.started` of the latest check that was answered; earlier ones are ignored."""
        self.started = 0
        """Requests and health checks that have started."""
        self.held = 0
        """Requests that have started and are not sent before their bodies are received."""
        self.doubts = 0
        self.logged = ""
        """State in the latest log line."""
        self.on_doubt: typing.Callable[[], None] = lambda: None
        """Called when a health check is needed."""
        self.on_cold: typing.Callable[[instants.Instant], None] = lambda _: None
        """Called with the instant until which the endpoint is cold."""
        self.on_warm: typing.Callable[[], None] = lambda: None
        """Called when a health check has shown that the endpoint is warm."""
        self.on_change: typing.Callable[[str], None] = lambda _: None
        """Called with the new state if it has changed."""

    def set_terms(self, latest: Terms | None) -> None:
        """Set the terms of the service; a warm-up that begins has no unused tokens."""
        if latest == self.terms:
            return
        self.terms = latest
        self.bucket.set_rate(None if latest is None else latest.rate)
        self._set_burst()
        self._note("configuration")
        if latest is not None and self.state() == "unknown":
            self.on_doubt()

    def state(self) -> str:
        """Return `cold`, `warm` or `unknown`, which counts as cold."""
        if self.clocks.monotonic() < self.cold_until:
            return "cold"
        return "unknown" if self.warm is None else "warm"

    def is_known_cold(self) -> bool:
        """Return whether a health check would tell nothing that is not known."""
        return self.terms is not None and self.clocks.monotonic() < self.cold_until

    def limit(self) -> float | None:
        """Return the warm-up rate if it applies until a health check shows otherwise."""
        return None if self.terms is None or self.state() == "warm" else self.terms.rate

    def wait_s(self, ahead: int = 0) -> float:
        """Return the seconds until a request may start behind `ahead` others."""
        if self.terms is None:
            return 0.0
        token_wait_s = self.bucket.wait_s(ahead)
        if token_wait_s == 0 or self._unverified_left() > ahead:
            return 0.0
        if self.warm is not None and self._age_s() < MAX_STATEMENT_AGE_S:
            # The next health check, which is under way, allows further requests.
            return min(token_wait_s, MAX_STATEMENT_AGE_S - self._age_s())
        left_s = self.cold_until - self.clocks.monotonic()
        return min(token_wait_s, left_s) if left_s > 0 else token_wait_s

    def acquire(self) -> None:
        """Count a request that starts, and request a health check if the last one is old."""
        self._count()
        if self.is_check_due():
            self.on_doubt()

    def is_check_due(self) -> bool:
        """Return whether requests need a new health check soon."""
        if self.terms is None or self.is_known_cold():
            return False
        if self.warm is None:
            return True
        if self.bucket.wait_s() == 0:
            return False
        renewal_left = RENEWAL_SHARE * self.terms.max_unverified
        return self._age_s() >= RENEWAL_AGE_S or self._unverified_left() <= renewal_left

    def is_check_awaited(self) -> bool:
        """Return whether a request should wait for a health check instead of a token."""
        return self.is_check_due() and self.wait_s() > 0

    def begin_check(self) -> Check:
        """Count a health check that starts."""
        check = Check(self.clocks.monotonic(), self.started, self.doubts, self.held)
        self._count()
        return check

    def record_refused_check(self) -> None:
        """Return the token of a health check that the endpoint's address refused.

        Checks of an endpoint that is down for long would leave no tokens for its return.
        """
        self.bucket.release()

    def record_check(self, check: Check, left_s: float | None) -> None:
        """Record the answer of a health check: the seconds for which the endpoint stays cold.

        None if the answer doesn't say; it then shows no end of a known cold time.
        """
        if self.terms is None or check.started < self.latest_started:
            return
        if left_s is None and self.is_known_cold():
            return
        self.latest_started = check.started
        if left_s:
            self.warm = None
            self._set_burst()
            self._set_cold(self.clocks.monotonic() + left_s)
            self.cold_by_heartbeat = False
        elif check.doubts == self.doubts:
            self.warm, self.cold_until = check, 0.0
            self._set_burst()
            self.bucket.set_tokens(self.bucket.capacity() - self._unverified(check))
            self.on_warm()
        self._note("health check")

    def record_heartbeat(self, left_s: float) -> None:
        """Record a heartbeat: the seconds for which the endpoint stayed cold when it was sent.

        If a health check has shown a warm endpoint, the heartbeat may have been sent before.
        """
        if left_s and self.warm is not None:
            self.record_doubt("heartbeat")
        elif left_s:
            self.cold_by_heartbeat = self.cold_by_heartbeat or not self.is_known_cold()
            self._set_cold(max(self.cold_until, self.clocks.monotonic() + left_s))
            self._note("heartbeat")
        elif self.cold_by_heartbeat and self.is_known_cold():
            # One of two heartbeats is wrong; a health check tells which.
            self.cold_until = 0.0
            self._note("heartbeat")
            self.on_doubt()
        elif self.terms is not None and self.state() == "unknown":
            self.on_doubt()

    def record_doubt(self, cause: str, new_incarnation: bool = False) -> None:
        """Record an event after which the endpoint may be another one or cold."""
        self.doubts += 1
        self.warm = None
        self._set_burst()
        if new_incarnation:
            self.cold_until = 0.0
        self._note(cause)
        if self.terms is not None and not self.is_known_cold():
            self.on_doubt()

    def _count(self) -> None:
        self.started += 1
        self.bucket.acquire()

    def _age_s(self) -> float:
        return instants.NEVER if self.warm is None else self._since(self.warm.begun_at)

    def _since(self, at: instants.Instant) -> float:
        return self.clocks.monotonic() - at

    def _unverified_left(self) -> int:
        """Return how many requests may start by the latest health check."""
        if self.terms is None or self.warm is None or self._age_s() >= MAX_STATEMENT_AGE_S:
            return 0
        return self.terms.max_unverified - self._unverified(self.warm)

    def _unverified(self, check: Check) -> int:
        """Return how many requests may have reached the endpoint after a check began.

        A request that was held for its body reaches it later than it started.
        """
        return self.started - check.started + check.held

    def _set_burst(self) -> None:
        """Set how many unused tokens are kept, by whether the latest check showed a warm state."""
        if self.terms is not None:
            is_warm = self.warm is not None
            self.bucket.set_burst(self.terms.warm_burst_s if is_warm else self.terms.burst_s)

    def _set_cold(self, until: instants.Instant) -> None:
        until = min(until, self.clocks.monotonic() + MAX_COLD_S)
        self.cold_until = until
        if self.terms is not None:
            self.on_cold(until)

    def _note(self, cause: str) -> None:
        state = self.state()
        if self.terms is None or state == self.logged:
            return
        log.info(
            "warm-up state changed",
            extra={
                "before": self.logged,
                "after": state,
                "cause": cause,
                "left_s": round(max(0.0, self.cold_until - self.clocks.monotonic()), 3),
            },
        )
        self.logged = state
        self.on_change(state)
