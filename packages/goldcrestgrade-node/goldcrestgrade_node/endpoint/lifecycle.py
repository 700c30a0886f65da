"""The life of the endpoint beside this node."""

from __future__ import annotations

import logging
import typing

import pydantic

from goldcrestgrade import instants, records, statecharts

log = logging.getLogger(__name__)

HEARTBEAT_LEASE_S = 3.0
"""Time that an announcement holds; the endpoint announces itself again before."""

DRAIN_SPREAD_S = 2.0
"""Time in which all nodes hear that an endpoint drains."""

CHART = statecharts.load("goldcrestgrade_node.statecharts", "endpoint")


class AnnounceDocument(records.EndpointDocument):
    """Body of an announcement: the endpoint and the requests that it has in flight."""

    in_flight: typing.Annotated[int, pydantic.Field(ge=0, le=1_000_000)]


class Cut(typing.NamedTuple):
    """What a drain that did not end by itself cut off."""

    endpoint_calls: int
    """Requests in flight at the endpoint by its last announcement."""
    announced_s_ago: float
    """Age of that announcement in seconds."""


class Lifecycle:
    """State of the own endpoint; owned by the event loop of the node."""

    def __init__(self, clocks: instants.Clocks, changed: typing.Callable[[], None]) -> None:
        self.clocks = clocks
        self.changed = changed
        self.state = records.EndpointState(CHART.initial)
        self.endpoint: records.EndpointDocument | None = None
        self.in_flight = 0
        self.announced_at: instants.Instant = -HEARTBEAT_LEASE_S
        self.spread_at: instants.Instant = instants.NEVER
        """When all nodes have heard that the endpoint drains."""

    def announce(self, document: AnnounceDocument) -> None:
        """Take in an announcement of the endpoint; raises `UnexpectedEvent` once it left."""
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

    def advance(self, claimed: int) -> None:
        """Drop the endpoint if its lease has passed, and end its drain once nothing is in flight.

        `claimed` is the number of run-once requests that the guard has not ended.
        """
        if self.silent() and CHART.allows(self.state, "expired"):
            self._step("expired")
        elif self.state == records.EndpointState.DRAINING and not claimed and self.idle():
            self.finish(timed_out=False)

    def accepting(self) -> bool:
        """Tell whether the endpoint takes new work."""
        return self.state == records.EndpointState.READY

    def silent(self) -> bool:
        """Tell whether the endpoint let its lease pass, so that it has nothing in flight."""
        return self.clocks.monotonic() >= self.announced_at + HEARTBEAT_LEASE_S

    def idle(self) -> bool:
        """Tell whether the endpoint said, after all nodes knew, that nothing is in flight."""
        return self.announced_at >= self.spread_at and self.in_flight == 0

    def cut(self) -> Cut:
        """Return what ends with the endpoint now."""
        age_s = self.clocks.monotonic() - self.announced_at
        return Cut(0 if self.silent() else self.in_flight, round(age_s, 3))

    def _step(self, event: str) -> None:
        state = records.EndpointState(CHART.next_state(self.state, event))
        if state != self.state:
            log.info("endpoint state", extra={"from_state": self.state, "to_state": state})
            self.state = state
            if state == records.EndpointState.DRAINING:
                self.spread_at = self.clocks.monotonic() + DRAIN_SPREAD_S
            self.changed()
