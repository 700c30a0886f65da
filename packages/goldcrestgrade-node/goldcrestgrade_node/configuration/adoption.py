"""Adoption of the sheet: a node only ever moves to a higher version."""

from __future__ import annotations

import asyncio
import logging
import random
import typing

import aiohttp

from goldcrestgrade import exceptions, headers, sheet, telemetry
from goldcrestgrade.platform import tables

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 2.0
"""Time between reads of the head row."""

FETCH_TIMEOUT_S = 2.0
"""Longest wait for a sheet from a peer."""

VERSION_HEADER = "goldcrestgrade-sheet-version"
"""Header that names the version of a sheet sent by a peer."""


class Adoption:
    """The sheet in force at a node; owned by the event loop of the node."""

    def __init__(
        self,
        store: tables.TableService,
        objects: tables.ObjectStore,
        session: aiohttp.ClientSession,
        shared_key: str,
        adopted: typing.Callable[[sheet.Sheet], None],
        counts: telemetry.Counts,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.objects = objects
        self.session = session
        self.shared_key = shared_key
        self.adopted = adopted
        self.counts = counts
        self.rng = rng
        self.in_force: sheet.Sheet | None = None

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return 0 if self.in_force is None else self.in_force.version

    def offer(self, version: int, body: bytes) -> bool:
        """Adopt `body` if its version is higher than the one in force."""
        if version <= self.version:
            self.counts.events["sheet_stale_ignored"] += version < self.version
            return False
        try:
            self.in_force = sheet.compile_sheet(version, body)
        except exceptions.InvalidDocument as error:
            self.counts.events["sheet_invalid_ignored"] += 1
            log.error("sheet invalid", extra={"version": version, "error": str(error)})
            return False
        log.info("sheet adopted", extra={"version": version})
        self.adopted(self.in_force)
        return True

    async def poll_forever(self) -> None:
        """Read the head row again and again until cancelled."""
        while True:
            try:
                await self._poll()
            except (tables.ReadError, tables.ObjectError) as error:
                log.info("head row not read", extra={"error": str(error)})
            await asyncio.sleep(POLL_INTERVAL_S * self.rng.uniform(0.5, 1.5))

    async def fetch(self, peer_url: str) -> None:
        """Ask a peer for its sheet and adopt it if it is newer."""
        try:
            async with self.session.get(
                f"{peer_url}/v1/sheet",
                headers={headers.CONTROL_KEY: self.shared_key},
                timeout=aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S),
            ) as response:
                body = await response.read()
                if response.status == 200:
                    self.offer(int(response.headers[VERSION_HEADER]), body)
        except (TimeoutError, aiohttp.ClientError, OSError, KeyError, ValueError) as error:
            log.info("sheet not fetched", extra={"peer": peer_url, "error": repr(error)})

    async def _poll(self) -> None:
        row = await self.store.read(sheet.HEAD_TABLE, sheet.HEAD_KEY)
        if row is None:
            return
        head = typing.cast(sheet.HeadDocument, row.value)
        if head["version"] < self.version:
            self.counts.events["sheet_stale_ignored"] += 1
        if head["version"] <= self.version:
            return
        body = await self.objects.get(head["object_name"])
        if body is not None:
            self.offer(head["version"], body)
