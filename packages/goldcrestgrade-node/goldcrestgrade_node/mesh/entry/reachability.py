"""Failure domains that are unreachable from this node; pure decisions and their state.

Load pattern: 15 of 59 instances, a whole failure domain, become silent together for some seconds,
at 6 requests a second at each entry node. Each attempt there would cost a connection time-out of
0.4 s, and each request several in turn. Three different silent instances decide for the domain, and
requests that wait for a connection there go on at once.

A machine that runs without its process refuses or resets connections, which shows that the network
works. One or two crashed instances therefore never count, and neither does one silent instance,
however often it is tried.

Load pattern: the failure domain of this node is the one that is cut off. Then instances of all
other domains are silent, so silence of two domains counts for all of them, and the others need not
be tried.
"""

from __future__ import annotations

import logging
import typing

from goldcrestgrade import counters, reasons

log = logging.getLogger(__name__)

MIN_SILENT_INSTANCES = 3
"""Different silent instances, without a response in between, for which a domain is unreachable."""

MIN_SILENT_DOMAINS = 2
"""Other domains with several silent instances for which this node counts as cut off."""

MIN_SILENT_IN_DOMAIN = 2
"""Silent instances from which a domain counts for `MIN_SILENT_DOMAINS`, so never a single one."""

Silent = typing.Mapping[str, typing.Collection[str]]
"""Ids of the nodes whose silence followed the latest response of their domain, by domain."""


def unreachable_domains(
    own_domain: str, silent: Silent, silent_outside: Silent, known_domains: typing.Collection[str]
) -> frozenset[str]:
    """Return the failure domains that count as unreachable.

    `silent_outside` holds the silent instances of other domains since the latest response of any of
    them. If several domains have enough of these, all other domains are unreachable.
    """
    found = {domain for domain, ids in silent.items() if len(ids) >= MIN_SILENT_INSTANCES}
    silent_domains = sum(len(ids) >= MIN_SILENT_IN_DOMAIN for ids in silent_outside.values())
    if silent_domains >= MIN_SILENT_DOMAINS:
        found.update(domain for domain in known_domains if domain != own_domain)
    return frozenset(found)


class Reachability:
    """Silent instances and the domains that are unreachable; owned by the node's event loop."""

    def __init__(
        self,
        own_id: str,
        own_domain: str,
        known_domains: typing.Callable[[], typing.Collection[str]],
        counts: counters.Counts,
    ) -> None:
        self.own_id = own_id
        self.own_domain = own_domain
        self.known_domains = known_domains
        self.counts = counts
        self.silent: dict[str, set[str]] = {}
        self.silent_outside: dict[str, set[str]] = {}
        self.unreachable: frozenset[str] = frozenset()
        self.on_unreachable: typing.Callable[[str], None] = lambda _: None
        """Called with each failure domain that becomes unreachable."""
        self.on_reached: typing.Callable[[str], None] = lambda _: None
        """Called with each failure domain that responds again."""

    def record_silence(self, domain: str, node_id: str) -> None:
        """Record a connection attempt to a node that timed out."""
        self.silent.setdefault(domain, set()).add(node_id)
        if domain != self.own_domain:
            self.silent_outside.setdefault(domain, set()).add(node_id)
        self._update()

    def record_response(self, domain: str) -> None:
        """Record that an instance of a domain responded, even by refusing a connection."""
        if not self.silent and not self.unreachable:
            return
        self.silent.pop(domain, None)
        if domain != self.own_domain:
            self.silent_outside.clear()
        self._update()

    def _update(self) -> None:
        before = self.unreachable
        self.unreachable = self.counts.unreachable = unreachable_domains(
            self.own_domain, self.silent, self.silent_outside, self.known_domains()
        )
        for domain in sorted(self.unreachable - before):
            self.counts.events[reasons.Event.DOMAIN_UNREACHABLE] += 1
            silent = sorted(self.silent.get(domain, ()))
            log.warning(
                "failure domain unreachable", extra={"failure_domain": domain, "silent": silent}
            )
            self.on_unreachable(domain)
        for domain in sorted(before - self.unreachable):
            self.counts.events[reasons.Event.DOMAIN_REACHED] += 1
            log.warning("failure domain reached again", extra={"failure_domain": domain})
            self.on_reached(domain)
