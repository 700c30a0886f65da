"""The last contact of the own region with each other region."""

from __future__ import annotations

import typing

from goldcrestgrade import instants

SILENT_AFTER_S = 30.0
"""Time without contact after which a region counts as silent."""


class Contacts:
    """The instant of the last contact with each region; owned by the event loop of the node."""

    def __init__(self, own_region: str, clocks: instants.Clocks) -> None:
        self.own_region = own_region
        self.clocks = clocks
        self.last_contact_at: dict[str, instants.Instant] = {}

    def record_direct(self, region: str) -> None:
        """Record that this node exchanged a message with a node of `region`."""
        if region != self.own_region:
            self.last_contact_at[region] = self.clocks.monotonic()

    def merge_relayed(self, ages_s: typing.Mapping[str, float]) -> None:
        """Merge the contact ages, in seconds, that a node of the own region reported."""
        now = self.clocks.monotonic()
        for region, age_s in ages_s.items():
            if region != self.own_region and age_s < SILENT_AFTER_S:
                self.last_contact_at[region] = max(
                    self.last_contact_at.get(region, now - age_s), now - age_s
                )

    def recent_ages_s(self) -> dict[str, float]:
        """Return the seconds since the last contact with each region that is not silent."""
        now = self.clocks.monotonic()
        ages_s = {region: round(now - last, 1) for region, last in self.last_contact_at.items()}
        return {region: age_s for region, age_s in ages_s.items() if age_s < SILENT_AFTER_S}

    def silent_regions(self, regions: typing.Iterable[str]) -> frozenset[str]:
        """Return the regions without contact for `SILENT_AFTER_S`.

        A region of `regions` that was unknown so far counts as contacted now.
        """
        now = self.clocks.monotonic()
        for region in regions:
            if region != self.own_region:
                self.last_contact_at.setdefault(region, now)
        return frozenset(
            region for region, last in self.last_contact_at.items() if now - last >= SILENT_AFTER_S
        )
