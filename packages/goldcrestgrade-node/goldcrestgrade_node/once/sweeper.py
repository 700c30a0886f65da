"""Removes claim rows whose keys are past their deadlines."""

from __future__ import annotations

import asyncio
import logging
import random
import typing

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.once import keys, rows

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 60.0
"""Mean time between two sweeps of one node."""

MAX_PAGE_ROWS = 100
"""Largest number of rows in one page."""

HEX_DIGITS = "0123456789abcdef"

FIRST_PREFIX_LENGTH = 2
"""Length of the random key prefix of a sweep; extended while its rows fill a page."""


def is_evictable(row: tables.Row, wall: instants.WallInstant) -> bool:
    """Return whether every node refuses the key of `row` at `wall`."""
    expires_at = typing.cast(rows.ClaimDocument, row.value)["expires_at"]
    return expires_at is not None and wall >= expires_at + keys.EVICTION_MARGIN_S


class Sweeper:
    """Reads pages of claim rows at random intervals and removes expired rows; owned by its task."""

    def __init__(
        self, store: tables.TableService, clocks: instants.Clocks, rng: random.Random
    ) -> None:
        self.store = store
        self.clocks = clocks
        self.rng = rng

    async def sweep_forever(self) -> None:
        """Sweep at random intervals until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S * self.rng.uniform(0.5, 1.5))
            try:
                await self.sweep(self._random_prefix(FIRST_PREFIX_LENGTH))
            except tables.ReadError as error:
                log.info(
                    "could not read claim rows; expired ones stay until a later sweep",
                    extra={"error": str(error)},
                )

    async def sweep(self, prefix: str) -> None:
        """Remove the expired rows of one page under `prefix`; raises `ReadError`.

        A full page may leave rows out, so a page under a longer prefix is swept as well.
        """
        page = await self.store.scan(rows.TABLE, prefix, MAX_PAGE_ROWS)
        if len(page) == MAX_PAGE_ROWS and len(prefix) < keys.HASH_LENGTH:
            await self.sweep(prefix + self.rng.choice(HEX_DIGITS))
        expired = [row for row in page if is_evictable(row, self.clocks.wall())]
        if expired:
            await self.store.transact(_removal_transaction(expired))

    def _random_prefix(self, length: int) -> str:
        return "".join(self.rng.choices(HEX_DIGITS, k=length))


def _removal_transaction(expired: list[tables.Row]) -> tables.Transaction:
    return tables.Transaction(
        conditions=tuple(tables.Condition(rows.TABLE, row.key, row.position) for row in expired),
        writes=tuple(tables.Write(rows.TABLE, row.key, None) for row in expired),
    )
