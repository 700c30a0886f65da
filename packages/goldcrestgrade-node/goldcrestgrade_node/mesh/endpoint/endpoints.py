"""The endpoint on this node's instance: its identity and whether it accepts new requests.

The address of an endpoint that has ended may be assigned to an endpoint of another service, and a
health check names no service. An endpoint is therefore used only for the service that it has
reported itself, in a heartbeat to this process or to an earlier one.

Any process can send a heartbeat. One whose numbers can't be right is refused. One that is wrong in
another way must neither hide that the endpoint drains nor end a drain, and is outranked after a
time: heartbeats are only seconds late.

An endpoint may start again under its id after its clock was set back. Its start time is then lower
than that of the incarnation before. That it leaves counts once the incarnation with the highest
start time misses a heartbeat; it becomes the current one once that has been silent for longer than
a heartbeat can be late.
"""

from __future__ import annotations

import collections
import logging
import typing

from goldcrestgrade import headers, instants
from goldcrestgrade_node.mesh.endpoint import coldness
from goldcrestgrade_node.mesh.transport import signals

log = logging.getLogger(__name__)

MAX_DEPARTED = 256
"""Largest number of departed endpoint incarnations that are remembered."""

MAX_REPORTED = 256
"""Largest number of endpoints whose reported services are remembered."""

CANDIDATE_CHECK_INTERVAL_S = 1.0
"""Shortest time between health checks that heartbeats of other endpoints cause."""

MAX_ID_BYTES = 128
"""Longest id of an endpoint; keys of rows, which hold it, have at most 200 bytes."""

MAX_SLOTS = 10_000
"""Largest plausible number of slots."""

MAX_WARM_UP_S = 3600.0
"""Longest plausible warm-up."""

MAX_LATENESS_S = 30.0
"""Time after which a heartbeat that was sent to an earlier process no longer arrives."""

MAX_DELAY_S = 10.0
"""Time after which a heartbeat is no longer expected to arrive after those that were sent later."""


MISSED_HEARTBEAT_S = 1.8
"""Time without a heartbeat after which one is missing; they are sent every 1.5 seconds.

Below the time in which an endpoint that leaves must get no more requests, 2 seconds.
"""


class Heartbeat(typing.NamedTuple):
    """What an endpoint reports about itself."""

    endpoint_id: str
    born_ms: int
    """Wall clock of its start, in milliseconds; distinguishes two incarnations with one id."""
    sequence: int
    address: str
    service: str
    failure_domain: str
    slots: int
    draining: bool
    warm_in_s: float
    """Seconds for which it is still slow after its start."""


class ConfiguredEndpoint(typing.NamedTuple):
    """The endpoint on this node's instance, as the settings describe it."""

    address: str
    service: str
    failure_domain: str


class Endpoint(typing.NamedTuple):
    """The incarnation that answers at the address of the own endpoint."""

    endpoint_id: str
    born_ms: int
    """0 if it is known only from a health check."""
    sequence: int
    slots: int
    draining: bool
    service: str = ""
    """Service that it has reported."""


class OwnEndpoint:
    """State of the own endpoint; owned by the node's event loop."""

    def __init__(
        self,
        configured: ConfiguredEndpoint,
        clocks: instants.Clocks,
        on_change: typing.Callable[[], None],
    ) -> None:
        self.configured = configured
        self.clocks = clocks
        self.on_change = on_change
        self.current: Endpoint | None = None
        self.reported_services: collections.OrderedDict[str, str] = collections.OrderedDict()
        """Service that an endpoint has reported at this address, by its id."""
        self.unreported: tuple[str, int] | None = None
        """Id and slots of an endpoint that passed the latest health check and is not reported."""
        self.candidate: Heartbeat | None = None
        """Heartbeat that is applied once a health check shows that its sender has the address."""
        self.next_candidate_check_at: instants.Instant = -instants.NEVER
        self.on_candidate: typing.Callable[[], None] = lambda: None
        """Called when a candidate needs a health check."""
        self.is_known_service: typing.Callable[[str], bool] = lambda _: True
        """Returns whether the configuration in force has a service."""
        self.unreachable = False
        """Whether its address has refused a connection since the last heartbeat or health check."""
        self.departed: collections.OrderedDict[str, int] = collections.OrderedDict()
        """Highest departed `born_ms` by endpoint id; a health check makes none of these current."""
        self.earlier_until: dict[str, instants.Instant] = {}
        """Until when earlier incarnations count as departed, too, by id of a departed endpoint.

        They do so for good without an entry, as for departures that stated no start time.
        """
        self.earlier_leaves = False
        """Whether an incarnation with the current id and an earlier start time says that it leaves.

        Either this comes late, or the clock was set back before the endpoint started again.
        """
        self.has_early_heartbeats_only = False
        """Whether each heartbeat of the current incarnation may be one to an earlier process."""
        self.has_no_heartbeat = True
        """Whether none has come yet."""
        self.early_until: instants.Instant = clocks.monotonic() + MAX_LATENESS_S
        """Until then, a first heartbeat may be one that was sent to an earlier process."""
        self.further_early_until: instants.Instant = clocks.monotonic() + MAX_DELAY_S
        """Until then, further ones may be, too."""
        self.checked: tuple[str, bool] | None = None
        """Id in the latest answer to a health check, and whether any with this id was healthy."""
        self.heard_at: instants.Instant = -instants.NEVER
        """When the latest heartbeat in order came."""
        self.is_drain_doubted = False
        """Whether the latest heartbeat says, as the first one, that a drain has ended."""
        self.slots = 0
        self.signals = signals.NONE
        """Signals in the latest answer of the endpoint, or as other nodes received them."""
        self.answered = False
        """Whether the endpoint has answered a request of this node."""
        self.known_to_stay = False
        """Whether a health check has shown that the endpoint does not leave."""
        self.coldness = coldness.Coldness(clocks)
        self.on_signals: typing.Callable[[signals.Signals], None] = lambda _: None

    def record_answer(self, report: signals.Report) -> None:
        """Record the signals in the answer to a request."""
        if self._is_current(report.endpoint_id):
            self.answered = True
            # An answer that was sent before the endpoint began to leave may arrive later.
            leaving = self.signals.leaving or report.signals.leaving
            self._set_signals(report.signals._replace(leaving=leaving))

    def record_health_answer(self, report: signals.Report, healthy: bool) -> None:
        """Record the signals in the answer to a health check.

        Only answers to requests show that a limit has ended. A healthy endpoint does not leave,
        whatever other nodes report of an earlier incarnation with its id.
        """
        if not self._is_current(report.endpoint_id):
            return
        rate_limit, leaving = report.signals
        if healthy and not leaving and not self.answered:
            self.known_to_stay = True
        else:
            leaving = leaving or self.signals.leaving
        if rate_limit is None:
            rate_limit = self.signals.rate_limit
        self._set_signals(signals.Signals(rate_limit, leaving))

    def adopt_report(self, report: signals.Report) -> None:
        """Apply the report of another node on an endpoint that has not answered this one yet.

        Load pattern: this node restarts, and the requests of the other nodes go on.
        """
        if self._is_current(report.endpoint_id) and not self.answered:
            leaving = report.signals.leaving and not self.known_to_stay
            self._set_signals(report.signals._replace(leaving=leaving))

    def _is_current(self, endpoint_id: str) -> bool:
        return self.current is not None and self.current.endpoint_id == endpoint_id

    def _set_signals(self, latest: signals.Signals) -> None:
        if latest != self.signals:
            log.info("endpoint signals changed", extra=latest._asdict())
            self.signals = latest
            self.on_signals(latest)

    def leaves(self) -> bool:
        """Return whether the endpoint drains, says that it leaves, or may have left before."""
        current = self.current
        return self.signals.leaving or (
            current is not None
            and (current.draining or self._earlier_has_left() or self._may_have_left(current))
        )

    def _earlier_has_left(self) -> bool:
        """Return whether an incarnation with an earlier start time leaves and is the living one."""
        is_missing = self.clocks.monotonic() >= self.heard_at + MISSED_HEARTBEAT_S
        return self.earlier_leaves and is_missing

    def service(self) -> str:
        """Return the service of the endpoint, or the configured one while none is known."""
        return self.configured.service if self.current is None else self.current.service

    def service_to_check(self) -> str:
        """Return the service by whose health path the next health check is made."""
        return self.service() if self.candidate is None else self.candidate.service

    def needs_check(self) -> bool:
        """Return whether a health check may show which endpoint has the address.

        One that is not reported becomes usable by its heartbeat only.
        """
        if self.current is None:
            return self.unreported is None or self.candidate is not None
        return (
            self.unreachable
            or self.candidate is not None
            or self.is_unchecked()
            or self._may_have_left(self.current)
        )

    def is_unchecked(self) -> bool:
        """Return whether only early heartbeats say that the endpoint is in use."""
        current = self.current
        return (
            current is not None
            and self.has_early_heartbeats_only
            and (self.checked is None or self.checked[0] != current.endpoint_id)
        )

    def _may_have_left(self, current: Endpoint) -> bool:
        """Return whether all heartbeats may be late ones of an endpoint that has left.

        An earlier process of this node may have confirmed that it left, and the store may not have
        the row. Such an endpoint sends no further heartbeats, and its health check fails.
        """
        return self.has_early_heartbeats_only and self.checked == (current.endpoint_id, False)

    def usable(self) -> Endpoint | None:
        """Return the endpoint if it accepts new requests, else none."""
        current = self.current
        return None if current is None or self.leaves() or self.unreachable else current

    def apply_heartbeat(self, heartbeat: Heartbeat) -> str:
        """Apply a heartbeat and return how it was classified.

        `foreign`: from an endpoint other than the configured one; `implausible`: with a number that
        can't be right, or an id that can't be used; `departed`: from an incarnation that has left;
        `stale`: older than the current state, so that only a drain was applied; `first`: no
        endpoint was known before; `taken`: any other that was applied. A foreign one of another
        service, and one whose sender may have lost the address, is applied after a health check.
        """
        if (heartbeat.address, heartbeat.failure_domain) != (
            self.configured.address,
            self.configured.failure_domain,
        ):
            return "foreign"
        known = self.current
        is_current = known is not None and known.endpoint_id == heartbeat.endpoint_id
        if heartbeat.service != (self.service() if is_current else self.configured.service):
            if not is_current and self._is_plausible(heartbeat):
                self._set_candidate(heartbeat)
            return "foreign"
        if not self._is_plausible(heartbeat):
            return "implausible"
        if self._has_departed(heartbeat):
            return "departed"
        if self.unreported is not None and self.unreported[0] != heartbeat.endpoint_id:
            self._set_candidate(heartbeat)
            return "stale"
        if not self._is_newer(heartbeat):
            if known is not None and heartbeat.draining and _is_of(known, heartbeat):
                self.is_drain_doubted = False
                self._set_current(known._replace(draining=True))
            elif is_current and heartbeat.draining:
                self._record_earlier_leaving()
            return "stale"
        self._adopt(heartbeat)
        return "taken" if known is not None else "first"

    def _adopt(self, heartbeat: Heartbeat) -> None:
        """Make the sender of a heartbeat the current endpoint, in the state that it reports."""
        self.heard_at = self.clocks.monotonic()
        self.unreachable = False
        self.slots = heartbeat.slots
        self._record_service(heartbeat.endpoint_id, heartbeat.service)
        self._set_current(
            Endpoint(
                heartbeat.endpoint_id,
                heartbeat.born_ms,
                heartbeat.sequence,
                heartbeat.slots,
                self._is_draining(heartbeat),
                heartbeat.service,
            ),
            by_heartbeat=True,
        )
        self.coldness.record_heartbeat(heartbeat.warm_in_s)

    def _record_earlier_leaving(self) -> None:
        """Record that an incarnation with the current id and an earlier start time leaves."""
        if not self.earlier_leaves:
            log.info("incarnation with an earlier start time leaves")
        self.earlier_leaves = True
        self.on_change()

    def _has_departed(self, heartbeat: Heartbeat) -> bool:
        departed_ms = self.departed.get(heartbeat.endpoint_id, -1)
        if departed_ms <= heartbeat.born_ms:
            return departed_ms == heartbeat.born_ms
        earlier_until = self.earlier_until.get(heartbeat.endpoint_id, instants.NEVER)
        return self.clocks.monotonic() < earlier_until

    def _set_candidate(self, heartbeat: Heartbeat) -> None:
        """Keep a heartbeat until a health check shows which endpoint has the address."""
        if self._has_departed(heartbeat) or not self.is_known_service(heartbeat.service):
            return
        known = self.candidate
        if known is not None and (known.born_ms, known.sequence) > heartbeat[1:3]:
            return
        self.candidate = heartbeat
        now = self.clocks.monotonic()
        if now >= self.next_candidate_check_at:
            self.next_candidate_check_at = now + CANDIDATE_CHECK_INTERVAL_S
            self.on_candidate()

    def discard_candidate(self) -> None:
        """Discard the candidate after a health check that showed no id; its sender reports again.

        Later health checks would be made by the health path of its service.
        """
        self.candidate = None

    def restore_service(self, endpoint_id: str, service: str) -> None:
        """Apply the service that an endpoint has reported to an earlier process of this node."""
        if endpoint_id in self.reported_services:
            return
        self._record_service(endpoint_id, service)
        if self.unreported is not None and self.unreported[0] == endpoint_id:
            self.apply_health_check(*self.unreported, healthy=True)

    def configure(self, configured: ConfiguredEndpoint) -> None:
        """Apply changed settings; an endpoint that is known keeps the service it has reported."""
        self.configured = configured
        if self.candidate is not None:
            self.on_candidate()

    def _record_service(self, endpoint_id: str, service: str) -> None:
        self.reported_services[endpoint_id] = service
        self.reported_services.move_to_end(endpoint_id)
        while len(self.reported_services) > MAX_REPORTED:
            self.reported_services.popitem(last=False)

    def record_departure(self, endpoint_id: str, born_ms: int | None) -> str:
        """Record that an endpoint left and return how its departure was classified.

        `left`: it was the current endpoint; `stale`: its start time is earlier than that of the
        current incarnation, which counts as leaving if its next heartbeat is missing; `unknown`: it
        was any other endpoint.
        """
        if born_ms is not None and not self.is_plausible_start(born_ms):
            born_ms = None
        current = self.current
        matches = current is not None and current.endpoint_id == endpoint_id
        if matches and current is not None and born_ms is not None and current.born_ms > born_ms:
            self._remember_departure(endpoint_id, born_ms, is_exact=True)
            self._record_earlier_leaving()
            return "stale"
        known_born = current.born_ms if matches and current is not None else 0
        # Without a known start time, every incarnation that started before now counts as departed.
        started_ms = born_ms or known_born or int(1000 * self.clocks.wall())
        self._remember_departure(endpoint_id, started_ms, is_exact=born_ms is not None)
        if matches:
            self._set_current(None)
        return "left" if matches else "unknown"

    def restore_departure(self, endpoint_id: str, born_ms: int) -> None:
        """Apply a departure that an earlier process of this node has confirmed."""
        self._remember_departure(endpoint_id, born_ms)
        current = self.current
        if (
            current is not None
            and current.endpoint_id == endpoint_id
            and current.born_ms <= born_ms
        ):
            log.info("endpoint has left before", extra={"endpoint": endpoint_id})
            self._set_current(None)

    def _remember_departure(self, endpoint_id: str, born_ms: int, is_exact: bool = False) -> None:
        if born_ms >= self.departed.setdefault(endpoint_id, 0):
            self.departed[endpoint_id] = born_ms
            if is_exact:
                self.earlier_until[endpoint_id] = self.clocks.monotonic() + MAX_LATENESS_S
            else:
                self.earlier_until.pop(endpoint_id, None)
        self.departed.move_to_end(endpoint_id)
        while len(self.departed) > MAX_DEPARTED:
            oldest_id, _ = self.departed.popitem(last=False)
            self.earlier_until.pop(oldest_id, None)

    def apply_health_check(self, endpoint_id: str, slots: int | None, healthy: bool) -> None:
        """Apply a health check.

        A healthy endpoint that is not the current one and has not left becomes the current one if
        it has reported its service; otherwise none is known until its heartbeat.
        """
        if not is_id(endpoint_id):
            log.warning("id in the answer to a health check can't be used; ignored")
            return
        current = self.current
        self.unreachable = False
        before = self.leaves()
        self.checked = endpoint_id, healthy or self.checked == (endpoint_id, True)
        self.unreported = None
        if current is not None and current.endpoint_id == endpoint_id:
            self.candidate = None
            if self.leaves() != before:
                log.info("endpoint with early heartbeats checked", extra={"healthy": healthy})
                self.on_change()
            return
        candidate, self.candidate = self.candidate, None
        if not healthy:
            return
        if candidate is not None and candidate.endpoint_id == endpoint_id:
            if not self._has_departed(candidate):
                self._adopt(candidate)
            return
        if endpoint_id in self.departed:
            return
        service = self.reported_services.get(endpoint_id)
        if service is None or not self.is_known_service(service):
            log.warning(
                "endpoint has not reported its service; unused until its heartbeat",
                extra={"endpoint": endpoint_id, "before": _visible(current)},
            )
            self._set_current(None)
            self.unreported = endpoint_id, slots or 1
            return
        self.slots = slots or self.slots or 1
        self._set_current(Endpoint(endpoint_id, 0, -1, self.slots, False, service))

    def record_refused_connection(self) -> None:
        """Record that the endpoint's address refused a connection."""
        self.unreported = None
        self.coldness.record_doubt("refused connection")
        if not self.unreachable:
            self.unreachable = True
            self.on_change()

    def record_replacement(self) -> None:
        """Record that another incarnation answers at the address."""
        self._set_current(None)

    def is_plausible_start(self, born_ms: int) -> bool:
        """Return whether an endpoint can have started at a time in Unix milliseconds."""
        return born_ms <= 1000 * (self.clocks.wall() + instants.MAX_CLOCK_STEP_S)

    def _is_plausible(self, heartbeat: Heartbeat) -> bool:
        return (
            is_id(heartbeat.endpoint_id)
            and self.is_plausible_start(heartbeat.born_ms)
            and heartbeat.slots <= MAX_SLOTS
            and heartbeat.warm_in_s <= MAX_WARM_UP_S
        )

    def _is_draining(self, heartbeat: Heartbeat) -> bool:
        """Return whether the endpoint drains after a heartbeat in order.

        Endpoints don't end a drain. If one seems to, one of its heartbeats is wrong, and the next
        one tells which.
        """
        current = self.current
        is_drained = current is not None and current.draining and _is_of(current, heartbeat)
        ends_drain = is_drained and not heartbeat.draining
        self.is_drain_doubted = ends_drain and not self.is_drain_doubted
        return heartbeat.draining or self.is_drain_doubted

    def _is_newer(self, heartbeat: Heartbeat) -> bool:
        current = self.current
        if current is None:
            return True
        is_late_possible = self.clocks.monotonic() < self.heard_at + MAX_DELAY_S
        if current.born_ms != heartbeat.born_ms and current.born_ms:
            is_same_id = current.endpoint_id == heartbeat.endpoint_id
            return heartbeat.born_ms > current.born_ms or (is_same_id and not is_late_possible)
        if current.endpoint_id != heartbeat.endpoint_id:
            # The current one is known from a health check; the heartbeat may be of an older one.
            return current.born_ms != 0
        return heartbeat.sequence > current.sequence or not is_late_possible

    def _set_current(self, endpoint: Endpoint | None, by_heartbeat: bool = False) -> None:
        before, left_before = self.current, self.leaves()
        self.current = endpoint
        self.unreported = None
        if by_heartbeat or not is_same_incarnation(before, endpoint):
            self.earlier_leaves = False
        if not is_same_incarnation(before, endpoint):
            self.has_no_heartbeat = True
            self.has_early_heartbeats_only = False
            self.answered = self.known_to_stay = False
            self.coldness.record_doubt("new incarnation", new_incarnation=True)
            self._set_signals(signals.NONE)
        if by_heartbeat:
            now = self.clocks.monotonic()
            if self.has_no_heartbeat:
                self.has_early_heartbeats_only = now < self.early_until
            elif now >= self.further_early_until:
                self.has_early_heartbeats_only = False
            self.has_no_heartbeat = False
        if _visible(before) != _visible(endpoint) or self.leaves() != left_before:
            log.info(
                "own endpoint changed",
                extra={
                    "before": _visible(before),
                    "after": _visible(endpoint),
                    "leaves": self.leaves(),
                },
            )
            self.on_change()


def is_id(text: str) -> bool:
    """Return whether a text can be the id of an endpoint, which is part of headers and of keys."""
    return 0 < len(text.encode("utf-8", "replace")) <= MAX_ID_BYTES and headers.is_writable(text)


def is_same_incarnation(before: Endpoint | None, after: Endpoint | None) -> bool:
    """Return whether both are known and describe one incarnation, perhaps at different times."""
    if before is None or after is None or before.endpoint_id != after.endpoint_id:
        return False
    return before.born_ms == after.born_ms or 0 in (before.born_ms, after.born_ms)


def _is_of(endpoint: Endpoint, heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat was sent by an incarnation."""
    return (endpoint.endpoint_id, endpoint.born_ms) == (heartbeat.endpoint_id, heartbeat.born_ms)


def _visible(endpoint: Endpoint | None) -> tuple[str, str, bool] | None:
    if endpoint is None:
        return None
    return endpoint.endpoint_id, endpoint.service, endpoint.draining
