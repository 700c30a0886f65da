"""The tokens of one workspace at one node: its own accrual, and tokens from other nodes."""

from __future__ import annotations

import math
import typing

from goldcrestgrade import instants
from goldcrestgrade_node.mesh.quota import terms

SLICES = 16
"""Number of parts of a lifetime; tokens accrued in one part have the age of its beginning."""

TRANSFER_S = 0.05
"""Time that tokens take to another node, besides the slice by which they may age there."""

EPSILON = 1e-6
"""Tokens, and parts of a slice, that rounding may lack."""


class Lot(typing.NamedTuple):
    """Tokens that were accrued at one instant or later."""

    accrued_at: instants.Instant
    tokens: float


class Accrual(typing.NamedTuple):
    """What a node may accrue at an instant."""

    share: float
    """Share of the flow; 0 if the node must not accrue."""
    since: instants.Instant
    """Instant from which on the node may have at least this share."""


class Bucket:
    """Tokens of one workspace; owned by the event loop of the node."""

    def __init__(self, quota: terms.Terms) -> None:
        self.quota = quota
        self.share = 0.0
        self.own_from: instants.Instant = -instants.NEVER
        """Instant from which the node's own accrual has not been used."""
        self.received: dict[int, float] = {}
        """Tokens from other nodes by the slice of time in which they were accrued."""

    def settle(self, accrual: Accrual, now: instants.Instant) -> None:
        """Void old tokens and apply the node's present share.

        A share that falls applies to the time that has passed too, so the tokens become fewer.
        """
        self.share = accrual.share
        self.own_from = max(self.own_from, accrual.since, now - self.quota.lifetime_s)
        if not accrual.share:
            self.own_from = now
        oldest = now - self.quota.lifetime_s
        for part in [part for part in self.received if part * self._slice_s() < oldest]:
            del self.received[part]

    def total(self, now: instants.Instant) -> float:
        """Return the number of tokens after `settle` at `now`."""
        return self._own(now) + sum(self.received.values())

    def take(self, wanted: float, now: instants.Instant) -> list[Lot]:
        """Remove up to `wanted` tokens, the oldest first, and return them."""
        taken: list[Lot] = []
        for part in sorted(self.received):
            if wanted <= 0:
                return taken
            tokens = min(wanted, self.received[part])
            self.received[part] -= tokens
            if self.received[part] <= EPSILON:
                del self.received[part]
            taken.append(Lot(part * self._slice_s(), tokens))
            wanted -= tokens
        return taken + self._take_own(wanted, now)

    def take_for_transfer(self, wanted: float, now: instants.Instant) -> list[Lot]:
        """Remove up to `wanted` tokens of those that are not void when another node has them.

        The others remain, but for those of the own accrual, which soon become void.
        """
        oldest = now - self.quota.lifetime_s + self._slice_s() + TRANSFER_S
        kept = {part: n for part, n in self.received.items() if part * self._slice_s() < oldest}
        self.received = {part: n for part, n in self.received.items() if part not in kept}
        self.own_from = max(self.own_from, min(oldest, now))
        taken = self.take(wanted, now)
        self.received.update(kept)
        return taken

    def add(self, lots: typing.Iterable[Lot]) -> None:
        """Add tokens, each as old as the slice in which it was accrued."""
        for lot in lots:
            part = math.floor(lot.accrued_at / self._slice_s() + EPSILON)
            self.received[part] = self.received.get(part, 0.0) + lot.tokens

    def change(self, quota: terms.Terms) -> None:
        """Apply changed terms; tokens of a higher rate shrink to the new one at once."""
        kept = scaled(
            [Lot(part * self._slice_s(), n) for part, n in self.received.items()],
            self.quota.rate,
            quota.rate,
        )
        self.quota = quota
        self.received = {}
        self.add(kept)

    def _slice_s(self) -> float:
        return self.quota.lifetime_s / SLICES

    def _own(self, now: instants.Instant) -> float:
        return self.quota.flow * self.share * max(0.0, now - self.own_from)

    def _take_own(self, wanted: float, now: instants.Instant) -> list[Lot]:
        wanted = min(wanted, self._own(now))
        per_s = self.quota.flow * self.share
        taken = []
        while wanted > EPSILON:
            tokens = min(wanted, per_s * self._slice_s())
            taken.append(Lot(self.own_from, tokens))
            self.own_from += tokens / per_s
            wanted -= tokens
        return taken


def scaled(lots: typing.Iterable[Lot], rate: float, own_rate: float) -> list[Lot]:
    """Return the part of the tokens accrued at `rate` that a rate of `own_rate` would accrue."""
    factor = 1.0 if rate <= own_rate else own_rate / rate
    return [lot._replace(tokens=lot.tokens * factor) for lot in lots]
