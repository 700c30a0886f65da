"""Adoption of sheets: a node adopts only versions above the one in force."""

from __future__ import annotations

import asyncio
import logging
import random
import typing
import zlib

import pydantic

from goldcrestgrade import counters, exceptions, instants, sheet
from goldcrestgrade.storage import tables
from goldcrestgrade_node.membership import peers

log = logging.getLogger(__name__)

FAST_POLL_INTERVAL_S = 1.5
"""Mean time between reads of the head row by the few nodes of a region that poll frequently."""

SLOW_POLL_INTERVAL_S = 60.0
"""Mean time between reads of the head row by all other nodes."""

JOIN_TIMEOUT_S = 5.0
"""Longest wait for peers at startup before the head row in the table service is used."""

REPORTED_VERSION_HOLD_S = 10.0
"""Time for which a version reported by a peer keeps the node from adopting a lower one."""

MAX_OFFERS = 32
"""Largest number of queued offers; further ones are dropped."""

_HEAD: pydantic.TypeAdapter[sheet.HeadDocument] = pydantic.TypeAdapter(sheet.HeadDocument)


class Offer(typing.NamedTuple):
    """A version that the peer at `url` has in force."""

    version: int
    url: str


class Adoption:
    """Holds the sheet in force and adopts newer ones; owned by the event loop of the node."""

    def __init__(
        self,
        store: tables.TableService,
        objects: tables.ObjectStore,
        remote: peers.Peers,
        on_adopted: typing.Callable[[sheet.Sheet], None],
        polls_frequently: typing.Callable[[], bool],
        clocks: instants.Clocks,
        counts: counters.Counts,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.objects = objects
        self.remote = remote
        self.on_adopted = on_adopted
        self.polls_frequently = polls_frequently
        self.clocks = clocks
        self.counts = counts
        self.rng = rng
        self.offers: asyncio.Queue[Offer] = asyncio.Queue(MAX_OFFERS)
        self.in_force: sheet.Sheet | None = None
        self.compressed_version = 0
        self.compressed_body = b""
        self.reported_version = 0
        self.reported_version_held_until: instants.Instant = 0.0
        """Deadline until which no version below the reported one is adopted."""

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return 0 if self.in_force is None else self.in_force.version

    def compressed(self) -> bytes:
        """Return the body of the sheet in force, compressed by zlib as nodes exchange it."""
        if self.compressed_version != self.version:
            self.compressed_body = zlib.compress(self.in_force.body if self.in_force else b"")
            self.compressed_version = self.version
        return self.compressed_body

    def adopt_if_newer(self, version: int, body: bytes) -> bool:
        """Adopt the sheet in `body` if its version is newer; return whether it was adopted.

        Stale and invalid sheets are ignored and counted.
        """
        if self._is_stale(version):
            return False
        try:
            self.in_force = sheet.compile_sheet(version, body)
        except exceptions.InvalidDocument as error:
            self.counts.events["sheet_invalid_ignored"] += 1
            log.error("invalid sheet ignored", extra={"version": version, "error": str(error)})
            return False
        log.info("sheet adopted", extra={"version": version})
        self.on_adopted(self.in_force)
        return True

    def record_peer_version(self, version: int, url: str) -> None:
        """Record that the peer at `url` has `version` in force; queue a fetch if it is newer."""
        if version <= self.version:
            return
        if version > self.reported_version:
            self.reported_version = version
            self.reported_version_held_until = self.clocks.monotonic() + REPORTED_VERSION_HOLD_S
        if not self.offers.full():
            self.offers.put_nowait(Offer(version, url))

    async def fetch_forever(self) -> None:
        """Fetch newer sheets from the peers that offer them, until cancelled."""
        while True:
            offer = await self.offers.get()
            if offer.version > self.version:
                await self.fetch(offer.url)

    async def fetch(self, peer_url: str) -> None:
        """Fetch the sheet of a peer and adopt it if it is newer."""
        try:
            copy = await self.remote.fetch_sheet(peer_url)
        except peers.PeerError as error:
            log.info(
                "could not fetch a sheet from a peer", extra={"peer": peer_url, "error": str(error)}
            )
            return
        self.adopt_if_newer(copy.version, copy.body)

    async def poll_forever(self, joined: asyncio.Event) -> None:
        """Poll the head row until cancelled; begin once `joined` is set or at `JOIN_TIMEOUT_S`."""
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await joined.wait()
        except TimeoutError:
            log.info("no peer answered within the join timeout; reading the head row now")
        next_slow_poll_at = self.clocks.monotonic()
        while True:
            now = self.clocks.monotonic()
            if now >= next_slow_poll_at or self.in_force is None or self.polls_frequently():
                next_slow_poll_at = now + SLOW_POLL_INTERVAL_S * self.rng.uniform(0.5, 1.5)
                await self.poll()
            await asyncio.sleep(FAST_POLL_INTERVAL_S * self.rng.uniform(0.8, 1.2))

    async def poll(self) -> None:
        """Read the head row and adopt its sheet if it is newer; failures are logged."""
        try:
            row = await self.store.read(sheet.HEAD_TABLE, sheet.HEAD_KEY)
            if row is not None:
                await self._adopt_head(_HEAD.validate_python(row.value))
        except (tables.ReadError, tables.ObjectError, pydantic.ValidationError) as error:
            log.info(
                "could not read the head row or its sheet; retrying at the next poll",
                extra={"error": str(error)},
            )

    async def _adopt_head(self, head: sheet.HeadDocument) -> None:
        if self._is_stale(head["version"]):
            return
        body = await self.objects.get(head["object_name"])
        if body is not None:
            self.adopt_if_newer(head["version"], body)

    def _is_stale(self, version: int) -> bool:
        is_held = self.clocks.monotonic() < self.reported_version_held_until
        newest = max(self.version, self.reported_version if is_held else 0)
        self.counts.events["sheet_stale_ignored"] += version < newest
        return version < newest or version == self.version
