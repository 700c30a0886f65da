from __future__ import annotations

import asyncio
import random

import pytest

from goldcrestgrade import counters, instants, sheet
from goldcrestgrade.storage import tables
from goldcrestgrade_node.configuration import adoption
from goldcrestgrade_node.membership import peers
from goldcrestgrade_testing import fleet, memory_platform, virtual_time

PEER = "http://10.0.0.1:80"


def body_of(day: str) -> bytes:
    return sheet.encode(fleet.sheet_document(day))


class StubPeers:
    """A peer that holds one sheet, or none."""

    def __init__(self, copy: peers.SheetCopy | None = None, delay_s: float = 0.0) -> None:
        self.copy = copy
        self.delay_s = delay_s

    async def post(self, url: str, path: str, body: bytes) -> bytes:
        raise peers.PeerError("not used")

    async def fetch_sheet(self, url: str) -> peers.SheetCopy:
        await asyncio.sleep(self.delay_s)
        if self.copy is None:
            raise peers.PeerError("down")
        return self.copy


def make_adoption(
    store: memory_platform.MemoryTables, objects: memory_platform.MemoryObjects, remote: StubPeers
) -> adoption.Adoption:
    return adoption.Adoption(
        store,
        objects,
        remote,
        lambda _adopted: None,
        lambda: True,
        instants.loop_clocks(),
        counters.Counts(),
        random.Random(1),
    )


def store_with(
    version: int, day: str
) -> tuple[memory_platform.MemoryTables, memory_platform.MemoryObjects]:
    store, objects = memory_platform.MemoryTables(), memory_platform.MemoryObjects()
    body = body_of(day)
    head = sheet.HeadDocument(
        version=version,
        day=day,
        object_name=sheet.object_name(body),
        accepted_at=0.0,
        operator="o",
        apply_id="a",
    )
    objects.objects[head["object_name"]] = body
    store.commit(
        tables.Transaction((), (tables.Write(sheet.HEAD_TABLE, sheet.HEAD_KEY, dict(head)),))
    )
    return store, objects


def test_store_that_answers_with_an_older_version_is_ignored_and_counted():
    async def scenario() -> None:
        sheets = make_adoption(*store_with(3, "2026-01-03"), StubPeers())
        sheets.adopt_if_newer(4, body_of("2026-01-04"))
        await sheets.poll()
        assert sheets.version == 4
        assert sheets.counts.events["sheet_stale_ignored"] == 1

    virtual_time.run(scenario())


def test_peer_that_claims_a_new_version_and_sends_an_old_one_is_ignored():
    async def scenario() -> None:
        old = peers.SheetCopy(2, body_of("2026-01-02"))
        sheets = make_adoption(*store_with(4, "2026-01-04"), StubPeers(old))
        sheets.adopt_if_newer(4, body_of("2026-01-04"))
        fetching = asyncio.create_task(sheets.fetch_forever())
        sheets.record_peer_version(9, PEER)
        await asyncio.sleep(1.0)
        fetching.cancel()
        assert sheets.version == 4
        assert sheets.counts.events["sheet_stale_ignored"] == 1

    virtual_time.run(scenario())


def test_restarted_node_does_not_adopt_an_older_version_than_a_peer_reports():
    async def scenario() -> None:
        newer = peers.SheetCopy(5, body_of("2026-01-05"))
        sheets = make_adoption(*store_with(4, "2026-01-04"), StubPeers(newer, delay_s=3.0))
        adopted_versions: list[int] = []
        sheets.on_adopted = lambda adopted: adopted_versions.append(adopted.version)
        joined = asyncio.Event()
        tasks = [
            asyncio.create_task(sheets.poll_forever(joined)),
            asyncio.create_task(sheets.fetch_forever()),
        ]
        sheets.record_peer_version(5, PEER)
        joined.set()
        await asyncio.sleep(30.0)
        for task in tasks:
            task.cancel()
        assert adopted_versions == [5]

    virtual_time.run(scenario())


def test_reported_version_that_no_peer_serves_blocks_the_store_for_a_limited_time():
    async def scenario() -> None:
        sheets = make_adoption(*store_with(4, "2026-01-04"), StubPeers())
        joined = asyncio.Event()
        task = asyncio.create_task(sheets.poll_forever(joined))
        sheets.record_peer_version(1_000_000, PEER)
        joined.set()
        await asyncio.sleep(adoption.REPORTED_VERSION_HOLD_S + 2 * adoption.FAST_POLL_INTERVAL_S)
        task.cancel()
        assert sheets.version == 4

    virtual_time.run(scenario())


def test_invalid_sheet_is_ignored_and_counted():
    async def scenario() -> None:
        sheets = make_adoption(*store_with(4, "2026-01-04"), StubPeers())
        assert not sheets.adopt_if_newer(5, b"{}")
        assert sheets.counts.events["sheet_invalid_ignored"] == 1

    virtual_time.run(scenario())


@pytest.mark.parametrize("seed", (1, 2))
def test_sheet_reaches_all_nodes_when_the_store_fails_after_the_first_adoption(seed: int):
    async def scenario() -> None:
        running = fleet.Fleet(fleet.Shape(nodes=32), seed)
        await running.start()
        version = await running.accept(fleet.sheet_document("2026-01-01"))
        await running.wait_until(
            lambda: any(n.sheets.version == version for n in running.nodes), 5.0
        )
        running.faults.down = True
        await running.wait_until(lambda: running.is_in_force_everywhere(version), 12.0)
        assert running.version_regressions() == 0
        running.stop()

    virtual_time.run(scenario())
