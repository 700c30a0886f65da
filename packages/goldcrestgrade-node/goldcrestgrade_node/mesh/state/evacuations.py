"""Evacuated failure domains: rows that the operator writes beside the configuration.

A row `evacuation/DOMAIN` evacuates a failure domain until the row is removed. Unlike the
configuration, which has a version of its own, the rows are ordered by position. A store that comes
back from a copy of its past gives out versions again, so positions of two eras are not comparable.
What was acknowledged then stays in use until the operator writes or removes the row again.
"""

from __future__ import annotations

import logging
import typing

from goldcrestgrade import counters, instants, reasons
from goldcrestgrade.storage import tables

log = logging.getLogger(__name__)

KEY_PREFIX = "evacuation/"
"""Prefix of the keys of the rows; the failure domain follows."""


def replaces_lost(
    known: tables.Change, received: tables.Change, known_versions: typing.Container[int]
) -> bool:
    """Return whether a row of a new era's snapshot replaces a state that the store has lost.

    `known_versions` are the versions at which the row was known to exist in earlier eras. A row of
    the snapshot at one of them is part of the copy, so the operator has not written it again, and
    a later removal stays in use. A row at any other version, and a removal in the new era, is the
    operator's latest word.
    """
    if received.position.era <= known.position.era:
        return received.position > known.position
    if received.value is None or known.value is not None:
        return True
    return received.position.version not in known_versions


class Evacuations:
    """Evacuated failure domains and ends of evacuations; owned by the node's event loop."""

    def __init__(self, clocks: instants.Clocks, counts: counters.Counts) -> None:
        self.clocks = clocks
        self.counts = counts
        self.domains: set[str] = set()
        """Failure domains that are evacuated."""
        self.ended_at: dict[str, instants.Instant] = {}
        """When the latest evacuation of a domain ended, as this node learned of it."""
        self.on_started: typing.Callable[[str], None] = lambda _: None
        """Called with the failure domain when an evacuation starts."""

    def apply_change(self, change: tables.Change) -> None:
        """Apply a change of an evacuation row."""
        domain = change.key.removeprefix(KEY_PREFIX)
        if (change.value is not None) == (domain in self.domains):
            return
        extra = {"failure_domain": domain, "position": str(change.position)}
        if change.value is not None:
            self.domains.add(domain)
            self.ended_at.pop(domain, None)
            self.counts.events[reasons.Event.EVACUATION_STARTED] += 1
            log.warning("evacuation started", extra=extra)
            self.on_started(domain)
        else:
            self.domains.discard(domain)
            self.ended_at[domain] = self.clocks.monotonic()
            self.counts.events[reasons.Event.EVACUATION_ENDED] += 1
            log.warning("evacuation ended", extra=extra)
        self.counts.evacuated = frozenset(self.domains)
