"""The life of the endpoint beside this node."""

from __future__ import annotations

import logging
import typing

from goldcrestgrade import instants, records, statecharts

log = logging.getLogger(__name__)

HEARTBEAT_LEASE_S = 3.0
"""Time that an announcement holds; the endpoint announces itself again before."""

CHART = statecharts.load("goldcrestgrade_node.statecharts", "endpoint")


class AnnounceDocument(records.EndpointDocument):
    """Body of an announcement: the endpoint and the requests that it has in flight."""

    in_flight: int


class Lifecycle:
    """State of the own endpoint; owned by the event loop of the node."""

    def __init__(self, clocks: instants.Clocks, changed: typing.Callable[[], None]) -> None:
        self.clocks = clocks
        self.changed = changed
        self.state = records.EndpointState(CHART.initial)
        self.endpoint: records.EndpointDocument | None = None
        self.in_flight = 0
        self.lease_until: instants.Instant = 0.0

    def announce(self, document: AnnounceDocument) -> None:
        """Take in an announcement of the endpoint; raises `UnexpectedEvent` once it left."""
        self._step("announced")
        self.lease_until = self.clocks.monotonic() + HEARTBEAT_LEASE_S
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
            self.changed()

    def leave(self) -> None:
        """Begin the drain of the endpoint, at its own wish."""
        self._step("leave")

    def stop(self) -> None:
        """Begin the drain of the endpoint, since the node stops."""
        self._step("stop")

    def finish(self, timed_out: bool) -> None:
        """End the drain."""
        if self.state != records.EndpointState.LEFT:
            self._step("timed_out" if timed_out else "drained")

    def expire(self) -> None:
        """Drop the endpoint if its lease has passed."""
        if self.clocks.monotonic() >= self.lease_until and CHART.allows(self.state, "expired"):
            self._step("expired")

    def accepting(self) -> bool:
        """Tell whether the endpoint takes new work."""
        return self.state == records.EndpointState.READY

    def _step(self, event: str) -> None:
        state = records.EndpointState(CHART.next_state(self.state, event))
        if state != self.state:
            log.info("endpoint state", extra={"from_state": self.state, "to_state": state})
            self.state = state
            self.changed()
