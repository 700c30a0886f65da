"""Life cycle of this node's endpoint."""

from __future__ import annotations

import logging
import typing

import pydantic

from goldcrestgrade import instants, records, statecharts

log = logging.getLogger(__name__)

HEARTBEAT_LEASE_S = 3.0
"""Time for which an announcement is valid; the endpoint repeats it before it expires."""

DRAIN_PROPAGATION_S = 2.0
"""Time within which all nodes learn that an endpoint drains."""

CHART = statecharts.load("goldcrestgrade_node.statecharts", "endpoint")


class AnnounceDocument(records.EndpointDocument):
    """Body of an announcement: the endpoint and the requests that it has in flight."""

    in_flight: typing.Annotated[int, pydantic.Field(ge=0, le=1_000_000)]


class CutOffWork(typing.NamedTuple):
    """Requests of the endpoint that are cut off because its drain ends early."""

    endpoint_calls: int
    """Requests in flight at the endpoint according to its last announcement."""
    announced_s_ago: float
    """Age of that announcement in seconds."""


class Lifecycle:
    """State of this node's endpoint; owned by the event loop of the node."""

    def __init__(self, clocks: instants.Clocks, on_change: typing.Callable[[], None]) -> None:
        self.clocks = clocks
        self.on_change = on_change
        self.state = records.EndpointState(CHART.initial)
        self.endpoint: records.EndpointDocument | None = None
        self.in_flight = 0
        self.announced_at: instants.Instant = -HEARTBEAT_LEASE_S
        self.drain_propagated_at: instants.Instant = instants.NEVER
        """Time from which all nodes know that the endpoint drains."""

    def announce(self, document: AnnounceDocument) -> None:
        """Apply an announcement of the endpoint; raises `UnexpectedEvent` if it has left."""
        self._step("announced")
        self.announced_at = self.clocks.monotonic()
        self.in_flight = document["in_flight"]
        endpoint = records.EndpointDocument(
            service=document["service"],
            host=document["host"],
            port=document["port"],
            slots=document["slots"],
            connections=document["connections"],
        )
        if endpoint != self.endpoint:
            self.endpoint = endpoint
            self.on_change()

    def leave(self) -> None:
        """Begin the drain because the endpoint leaves or an operator drains it."""
        self._step("leave")

    def stop(self) -> None:
        """Begin the drain because the node stops."""
        self._step("stop")

    def finish(self, timed_out: bool) -> None:
        """End the drain."""
        if self.state != records.EndpointState.LEFT:
            self._step("timed_out" if timed_out else "drained")

    def advance(self, claimed: int) -> None:
        """Expire the endpoint if its lease has passed, or end its drain once nothing is in flight.

        `claimed` is the number of run-once requests that the guard has not finished.
        """
        if self.lease_expired() and CHART.allows(self.state, "expired"):
            self._step("expired")
        elif self.state == records.EndpointState.DRAINING and not claimed and self.is_idle():
            self.finish(timed_out=False)

    def is_accepting(self) -> bool:
        """Return whether the endpoint accepts new requests."""
        return self.state == records.EndpointState.READY

    def lease_expired(self) -> bool:
        """Return whether the lease has expired; the endpoint's requests then count as ended."""
        return self.clocks.monotonic() >= self.announced_at + HEARTBEAT_LEASE_S

    def is_idle(self) -> bool:
        """Return whether the endpoint has announced that nothing is in flight.

        Only announcements made after all nodes knew of the drain count.
        """
        return self.announced_at >= self.drain_propagated_at and self.in_flight == 0

    def cut_off_work(self) -> CutOffWork:
        """Return the endpoint's requests that are cut off if the drain ends now."""
        age_s = self.clocks.monotonic() - self.announced_at
        return CutOffWork(0 if self.lease_expired() else self.in_flight, round(age_s, 3))

    def _step(self, event: str) -> None:
        state = records.EndpointState(CHART.next_state(self.state, event))
        if state != self.state:
            log.info("endpoint state changed", extra={"from_state": self.state, "to_state": state})
            self.state = state
            if state == records.EndpointState.DRAINING:
                self.drain_propagated_at = self.clocks.monotonic() + DRAIN_PROPAGATION_S
            self.on_change()
