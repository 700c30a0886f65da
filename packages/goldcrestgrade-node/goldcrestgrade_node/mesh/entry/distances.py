"""Round trips to other failure domains, taken from the requests that are relayed there anyway.

The node that serves a relayed request says how long it had it; the rest of the time is spent on the
way. The shortest of these times in a window counts, so that queues on links and busy nodes do not.

Load pattern: regions are 2 to 80 ms apart. A request whose latency target is 250 ms has time for a
nearby region and none for a distant one, and a distant endpoint has less time left for it than the
node that the client is connected to.
"""

from __future__ import annotations

import typing

from goldcrestgrade import instants
from goldcrestgrade_node.mesh.state import directory

WINDOW_S = 10.0
"""Time after which a shortest round trip is forgotten, at the latest after twice as long."""

MAX_SAMPLE_S = 2.0
"""Longest sample that is used; a longer one shows a fault and not a distance."""


class Shortest(typing.NamedTuple):
    """Shortest round trips, in seconds, in the current window and the one before."""

    current_s: float
    previous_s: float | None
    ends_at: instants.Instant
    """End of the current window."""

    def value_s(self) -> float:
        """Return the shortest round trip of both windows."""
        return self.current_s if self.previous_s is None else min(self.current_s, self.previous_s)


class RoundTrips:
    """Round trips by failure domain and by region; owned by the node's event loop."""

    def __init__(self) -> None:
        self.by_domain: dict[directory.Location, Shortest] = {}
        self.by_region: dict[str, Shortest] = {}
        self.looked_up_s: dict[directory.Location, float | None] = {}
        """Results of `known_s` since the last sample that may have changed one.

        It is called for each instance of a service for each request.
        """

    def record(
        self, place: directory.Location, elapsed_s: float, served_s: float, now: instants.Instant
    ) -> None:
        """Record that a request took `elapsed_s`, `served_s` of them at a node in `place`."""
        sample_s = elapsed_s - served_s
        if not 0 <= sample_s <= MAX_SAMPLE_S:
            return
        of_domain = self.by_domain.get(place)
        of_region = self.by_region.get(place.region)
        self.by_domain[place] = with_sample(of_domain, sample_s, now)
        self.by_region[place.region] = with_sample(of_region, sample_s, now)
        if (
            of_domain is None
            or of_region is None
            or self.by_domain[place].value_s() != of_domain.value_s()
            or self.by_region[place.region].value_s() != of_region.value_s()
        ):
            self.looked_up_s.clear()

    def known_s(self, place: directory.Location) -> float | None:
        """Return the round trip to `place`, to its region if no other is known, or none."""
        try:
            return self.looked_up_s[place]
        except KeyError:
            known = self.by_domain.get(place) or self.by_region.get(place.region)
            found_s = None if known is None else known.value_s()
            self.looked_up_s[place] = found_s
            return found_s


def with_sample(known: Shortest | None, sample_s: float, now: instants.Instant) -> Shortest:
    """Return the shortest round trips after one more sample."""
    if known is None or now >= known.ends_at + WINDOW_S:
        return Shortest(sample_s, None, now + WINDOW_S)
    if now >= known.ends_at:
        return Shortest(sample_s, known.current_s, now + WINDOW_S)
    return known._replace(current_s=min(known.current_s, sample_s))
