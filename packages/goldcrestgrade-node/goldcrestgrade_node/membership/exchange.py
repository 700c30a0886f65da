"""Exchange of node records between peers, and discovery through the table service."""

from __future__ import annotations

import asyncio
import logging
import random
import typing

import aiohttp
import orjson
import pydantic
import typing_extensions

from goldcrestgrade import headers, records, settings
from goldcrestgrade.platform import tables
from goldcrestgrade_node.membership import members

log = logging.getLogger(__name__)

TABLE = "nodes"
"""Table that holds a lease row for each node, for discovery only."""

DISCOVERY_LIMIT = 2000
"""Largest number of lease rows read."""

EXCHANGE_INTERVAL_S = 0.5
"""Time between exchanges that a node begins."""

LEASE_INTERVAL_S = 10.0
"""Time between writes of the own lease row."""

EXCHANGE_TIMEOUT_S = 2.0
"""Longest wait for the answer of a peer."""


class ExchangeDocument(typing_extensions.TypedDict):
    """What peers send each other: the records that they hold."""

    records: list[records.NodeRecord]


EXCHANGE: pydantic.TypeAdapter[ExchangeDocument] = pydantic.TypeAdapter(ExchangeDocument)


class Exchange:
    """The tasks that keep the records of a node and its peers alike."""

    def __init__(
        self,
        own: members.OwnRecord,
        known: members.Members,
        seeds: typing.Sequence[settings.Address],
        session: aiohttp.ClientSession,
        shared_key: str,
        store: tables.TableService,
        touched: typing.Callable[[set[str]], None],
        rng: random.Random,
    ) -> None:
        self.own = own
        self.known = known
        self.seeds = [f"http://{seed['host']}:{seed['port']}" for seed in seeds]
        self.session = session
        self.shared_key = shared_key
        self.store = store
        self.touched = touched
        self.rng = rng

    def receive(self, document: ExchangeDocument) -> ExchangeDocument:
        """Take in what a peer sent and return what this node holds."""
        self.touched(self.known.merge(document["records"]))
        return self.document()

    def document(self) -> ExchangeDocument:
        """Return every record that this node holds."""
        return ExchangeDocument(records=list(self.known.by_id.values()))

    async def exchange_forever(self) -> None:
        """Exchange with one random peer at a time until cancelled."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S * self.rng.uniform(0.5, 1.5))
            self.touched(self.known.expire())
            peers = self._peers()
            if peers:
                await self._exchange(self.rng.choice(peers))

    async def lease_forever(self) -> None:
        """Write the own lease row, and read those of others, until cancelled."""
        while True:
            await self._lease()
            await asyncio.sleep(LEASE_INTERVAL_S * self.rng.uniform(0.8, 1.2))

    async def farewell(self) -> None:
        """Tell a few peers of the latest own record."""
        peers = self._peers()
        chosen = self.rng.sample(peers, min(3, len(peers)))
        await asyncio.gather(*(self._exchange(peer) for peer in chosen))

    def _peers(self) -> list[str]:
        own_id = self.own.record["node_id"]
        found = [
            records.control_url(record)
            for record in self.known.by_id.values()
            if record["node_id"] != own_id and record["state"] != records.EndpointState.LEFT
        ]
        return found or [
            seed for seed in self.seeds if seed != records.control_url(self.own.record)
        ]

    async def _exchange(self, peer: str) -> None:
        try:
            async with self.session.post(
                f"{peer}/v1/exchange",
                data=orjson.dumps(self.document()),
                headers={headers.CONTROL_KEY: self.shared_key},
                timeout=aiohttp.ClientTimeout(total=EXCHANGE_TIMEOUT_S),
            ) as response:
                body = await response.read()
                if response.status == 200:
                    self.touched(self.known.merge(EXCHANGE.validate_json(body)["records"]))
        except (TimeoutError, aiohttp.ClientError, OSError, pydantic.ValidationError) as error:
            log.info("exchange failed", extra={"peer": peer, "error": repr(error)})

    async def _lease(self) -> None:
        record = self.own.record
        write = tables.Write(TABLE, record["node_id"], typing.cast(tables.Value, record))
        await self.store.transact(tables.Transaction((), (write,)))
        try:
            rows = await self.store.scan(TABLE, "", DISCOVERY_LIMIT)
        except tables.ReadError as error:
            log.info("discovery failed", extra={"error": str(error)})
            return
        found = typing.cast("list[records.NodeRecord]", [row.value for row in rows])
        now = self.known.clocks.wall()
        self.touched(self.known.merge(r for r in found if r["expires_at"] > now))
