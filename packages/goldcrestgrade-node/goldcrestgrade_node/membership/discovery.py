"""Discovery of peers through lease rows in the table service and addresses in the settings."""

from __future__ import annotations

import asyncio
import logging
import random
import typing

import pydantic
import xxhash

from goldcrestgrade import instants, records
from goldcrestgrade.storage import tables

log = logging.getLogger(__name__)

TABLE = "nodes"
"""Table with one lease row per node; it serves discovery only."""

SCAN_LIMIT = 16
"""Largest number of lease rows in one scan."""

LEASE_INTERVAL_S = 60.0
"""Time between two writes of the own lease row, before jitter."""

LEASE_DURATION_S = 200.0
"""Time after which a lease row expires unless it is written again."""

INITIAL_INTERVAL_S = 0.5
"""Time between the first two writes after the start; doubles up to `LEASE_INTERVAL_S`."""

EVICT_AFTER_S = 3600.0
"""Time after its expiry at which other nodes delete a lease row that its node did not delete."""

_RECORD: pydantic.TypeAdapter[records.NodeRecord] = pydantic.TypeAdapter(records.NodeRecord)

Join = typing.Callable[[str], typing.Awaitable[None]]
"""Exchanges state with the node at a URL, whether or not it is known yet."""


class Discovery:
    """The task that writes the own lease row and joins nodes found in the rows of others."""

    def __init__(
        self,
        own_record: typing.Callable[[], records.NodeRecord],
        seeds: typing.Sequence[str],
        store: tables.TableService,
        join: Join,
        clocks: instants.Clocks,
        rng: random.Random,
    ) -> None:
        self.own_record = own_record
        self.seeds = seeds
        self.store = store
        self.join = join
        self.clocks = clocks
        self.rng = rng
        self.joined = asyncio.Event()
        """Set once the first search for peers has ended, whether or not it found any."""

    async def run(self) -> None:
        """Write the lease row and search for peers until cancelled."""
        interval_s = INITIAL_INTERVAL_S
        while True:
            await self._write_lease()
            urls = await self.find_peer_urls()
            await asyncio.gather(*(self.join(url) for url in urls))
            self.joined.set()
            await asyncio.sleep(interval_s * self.rng.uniform(0.8, 1.2))
            interval_s = min(LEASE_INTERVAL_S, 2 * interval_s)

    async def find_peer_urls(self) -> list[str]:
        """Return the control URLs of at most two nodes from lease rows and two from the settings.

        Each scan covers, at random, the rows of the own failure domain or the whole table.
        """
        own = self.own_record()
        rows = await self._read_records(self.rng.choice((f"{own['failure_domain']}/", "")))
        live = [
            records.control_url(record) for record in rows if record["expires_at"] > self._now()
        ]
        own_url = records.control_url(own)
        pools = ([url for url in pool if url != own_url] for pool in (live, self.seeds))
        return [url for pool in pools for url in self.rng.sample(pool, min(2, len(pool)))]

    async def leave(self) -> None:
        """Delete the own lease row."""
        write = tables.Write(TABLE, row_key(self.own_record()), None)
        await self.store.transact(tables.Transaction((), (write,)))

    def _now(self) -> instants.WallInstant:
        return self.clocks.wall()

    async def _write_lease(self) -> None:
        row = records.lease(self.own_record(), self._now() + LEASE_DURATION_S)
        write = tables.Write(TABLE, row_key(row), typing.cast(tables.Value, row))
        await self.store.transact(tables.Transaction((), (write,)))

    async def _read_records(self, prefix: str) -> list[records.NodeRecord]:
        try:
            rows = await self.store.scan(TABLE, prefix, SCAN_LIMIT)
        except tables.ReadError as error:
            log.info(
                "lease rows could not be read; peers come from the settings only",
                extra={"error": str(error)},
            )
            return []
        await self._delete_expired(rows)
        return [record for row in rows if (record := _parse(row)) is not None]

    async def _delete_expired(self, rows: list[tables.Row]) -> None:
        limit = self._now() - EVICT_AFTER_S
        parsed = ((row, _parse(row)) for row in rows)
        old = [row for row, record in parsed if record is None or record["expires_at"] < limit]
        if old:
            await self.store.transact(
                tables.Transaction(
                    tuple(tables.Condition(TABLE, row.key, row.position) for row in old),
                    tuple(tables.Write(TABLE, row.key, None) for row in old),
                )
            )


def row_key(record: records.NodeRecord) -> str:
    """Return the key of a node's lease row; the nodes of a failure domain share a prefix."""
    digest = xxhash.xxh3_64_hexdigest(record["node_id"].encode())[:4]
    return f"{record['failure_domain']}/{digest}-{record['node_id']}"


def _parse(row: tables.Row) -> records.NodeRecord | None:
    try:
        return _RECORD.validate_python(row.value)
    except pydantic.ValidationError:
        return None
