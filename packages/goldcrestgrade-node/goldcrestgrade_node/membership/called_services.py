"""The services that a node recently sent requests to, as published in its record."""

from __future__ import annotations

from goldcrestgrade import instants

RETENTION_S = 600.0
"""Time after the last request for which a service stays in the record."""

MIN_CHANGE_INTERVAL_S = 5.0
"""Shortest time between two changes of the set that is published to other nodes."""


class CalledServices:
    """The instant of the last request to each service; owned by the event loop of the node."""

    def __init__(self) -> None:
        self.last_request_at: dict[str, instants.Instant] = {}
        self.published: frozenset[str] = frozenset()
        """Services in the latest record of the node."""
        self.next_change_at: instants.Instant = 0.0

    def record_request(self, service: str, now: instants.Instant) -> None:
        """Record that a request was sent to `service` at `now`."""
        self.last_request_at[service] = now

    def is_due(self, now: instants.Instant) -> bool:
        """Return whether the set has changed and may be published again."""
        return now >= self.next_change_at and self._current(now) != self.published

    def publish(self, now: instants.Instant) -> frozenset[str]:
        """Return the services for a new record, and remember them as published."""
        current = self._current(now)
        if current != self.published:
            self.next_change_at = now + MIN_CHANGE_INTERVAL_S
        self.published = current
        return current

    def _current(self, now: instants.Instant) -> frozenset[str]:
        return frozenset(
            service for service, at in self.last_request_at.items() if now - at < RETENTION_S
        )
