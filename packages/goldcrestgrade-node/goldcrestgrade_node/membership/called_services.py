"""The services that a node called of late, as its record tells them."""

from __future__ import annotations

from goldcrestgrade import instants

RETENTION_S = 600.0
"""Time after its last call for which a service counts as called."""

MIN_CHANGE_INTERVAL_S = 5.0
"""Shortest time between two changes that are told to other nodes."""


class CalledServices:
    """When a node last called each service; owned by the event loop of the node."""

    def __init__(self) -> None:
        self.last_request_at: dict[str, instants.Instant] = {}
        self.published: frozenset[str] = frozenset()
        """Services in the latest record."""
        self.next_change_at: instants.Instant = 0.0

    def record_request(self, service: str, now: instants.Instant) -> None:
        """Note a call of `service`."""
        self.last_request_at[service] = now

    def is_due(self, now: instants.Instant) -> bool:
        """Tell whether the record is to be revised."""
        return now >= self.next_change_at and self._current(now) != self.published

    def publish(self, now: instants.Instant) -> frozenset[str]:
        """Return the services for a new record."""
        current = self._current(now)
        if current != self.published:
            self.next_change_at = now + MIN_CHANGE_INTERVAL_S
        self.published = current
        return current

    def _current(self, now: instants.Instant) -> frozenset[str]:
        return frozenset(
            service for service, at in self.last_request_at.items() if now - at < RETENTION_S
        )
