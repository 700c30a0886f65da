"""The buckets of all workspaces that have a quota, at one node."""

from __future__ import annotations

import math
import typing

from goldcrestgrade import instants, routes
from goldcrestgrade_node.mesh.quota import bucket, terms

AccrualOf = typing.Callable[[str, instants.Instant], bucket.Accrual]
"""Returns what this node may accrue for a workspace at an instant."""


class Charge(typing.NamedTuple):
    """The token that a request took."""

    rate: float
    """Rate for which it was accrued; 0 if the workspace had no quota."""
    lots: list[bucket.Lot]


class Offer(typing.NamedTuple):
    """Tokens of one workspace in an answer to another node."""

    rate: float
    """Rate for which they were accrued; a receiver with a lower one takes a part of them."""
    lots: list[tuple[int, float]]
    """Age in milliseconds, rounded up, and number of tokens."""


Offers = dict[str, Offer]
"""Offer by workspace."""


class Ledger:
    """Buckets by workspace; owned by the event loop of the node.

    Load pattern: thousands of workspaces have a quota and few send requests to one node, so a
    bucket exists from the first use of its workspace at this node.
    """

    def __init__(self, accrual_of: AccrualOf) -> None:
        self.accrual_of = accrual_of
        self.quotas: dict[str, terms.Terms] = {}
        self.known_from: dict[str, instants.Instant] = {}
        """Instant from which a workspace has had a quota here."""
        self.buckets: dict[str, bucket.Bucket] = {}

    def apply(self, table: routes.RouteTable, rules: terms.Rules, now: instants.Instant) -> None:
        """Put the quotas of a configuration in force; lower ones shrink buckets at once."""
        self.quotas = {
            workspace.name: terms.derive(workspace.rate, workspace.burst, rules)
            for workspace in table.workspaces.values()
            if workspace.rate > 0
        }
        self.known_from = {name: self.known_from.get(name, now) for name in self.quotas}
        self.buckets = {name: b for name, b in self.buckets.items() if name in self.quotas}
        for name, known in self.buckets.items():
            if known.quota != self.quotas[name]:
                known.change(self.quotas[name])

    def settled(self, workspace: str, now: instants.Instant) -> bucket.Bucket:
        """Return the bucket of a workspace with a quota, without tokens that are void."""
        known = self.buckets.get(workspace)
        if known is None:
            known = self.buckets[workspace] = bucket.Bucket(self.quotas[workspace])
        accrual = self.accrual_of(workspace, now)
        since = max(accrual.since, self.known_from[workspace])
        known.settle(accrual._replace(since=since), now)
        return known

    def total(self, workspace: str, now: instants.Instant) -> float:
        """Return the number of tokens of a workspace."""
        return self.settled(workspace, now).total(now)

    def spend(self, workspace: str, now: instants.Instant) -> Charge | None:
        """Take the token of one request, or none if there is not a whole one."""
        known = self.settled(workspace, now)
        if known.total(now) < 1.0 - bucket.EPSILON:
            return None
        return Charge(known.quota.rate, known.take(1.0, now))

    def give_back(self, workspace: str, charge: Charge) -> None:
        """Return the token of a request that did not run; it stays as old as it is.

        If the quota was lowered meanwhile, it shrinks like the tokens that were in the bucket.
        """
        known = self.buckets.get(workspace)
        if known is not None:
            known.add(bucket.scaled(charge.lots, charge.rate, known.quota.rate))

    def offer(self, workspace: str, wanted: float, now: instants.Instant) -> Offer:
        """Take up to `wanted` tokens for another node."""
        known = self.settled(workspace, now)
        return Offer(
            known.quota.rate,
            [
                (math.ceil(1000 * (now - lot.accrued_at)), lot.tokens)
                for lot in known.take_for_transfer(wanted, now)
            ],
        )

    def receive(self, workspace: str, offer: Offer, asked_at: instants.Instant) -> None:
        """Add tokens from the answer to a message that this node sent at `asked_at`.

        The age of a token counts from then on, whatever the answer took, so that neither a slow
        link nor a frozen process makes tokens younger. The answer to a message is used once.
        """
        quota = self.quotas.get(workspace)
        if quota is None:
            return
        known = self.buckets.setdefault(workspace, bucket.Bucket(quota))
        lots = [bucket.Lot(asked_at - age_ms / 1000, tokens) for age_ms, tokens in offer.lots]
        known.add(bucket.scaled(lots, offer.rate, quota.rate))
