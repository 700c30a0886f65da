"""Failures in a simulated fleet that runs the real membership tasks in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import pytest

from goldcrestgrade import records
from goldcrestgrade_node.membership import exchange, members
from goldcrestgrade_testing import fleet, virtual_time

SEEDS = (1, 2)
"""Seeds that each scenario runs with."""

SIXTEEN = fleet.Shape(nodes=16)

EIGHT = fleet.Shape(nodes=8, services=1)
"""Shape of the scenarios that last hours of virtual time."""

Scenario = typing.Callable[[fleet.Fleet], typing.Awaitable[None]]


def run(scenario: Scenario, seed: int, shape: fleet.Shape = SIXTEEN) -> None:
    async def main() -> None:
        running = fleet.Fleet(shape, seed)
        with contextlib.closing(_Stop(running)):
            await running.start()
            await scenario(running)
            assert running.version_regressions() == 0

    virtual_time.run(main())


class _Stop(typing.NamedTuple):
    running: fleet.Fleet

    def close(self) -> None:
        self.running.stop()


def partition_regions(network: fleet.Network) -> None:
    network.drops_requests = lambda a, b: a.region != b.region


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_failure_domain_is_removed_from_every_view(seed: int):
    async def scenario(running: fleet.Fleet) -> None:
        for node in running.running_nodes():
            if node.instance.failure_domain == "region-0-1":
                node.kill()
        await running.wait_until(running.has_converged, 30.0)
        survivor = running.running_nodes()[0]
        assert {r["failure_domain"] for r in survivor.known.ready("service-000")} == {
            "region-0-0",
            "region-1-0",
            "region-1-1",
        }

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_node_unreachable_from_only_one_node_is_not_suspected(seed: int):
    async def scenario(running: fleet.Fleet) -> None:
        observer, target = running.nodes[0], running.nodes[4]
        running.network.drops_requests = lambda a, b: a is observer and b is target
        await asyncio.sleep(120.0)
        assert running.has_converged()
        assert running.event_counts()["suspicion_not_confirmed"] > 0
        assert running.event_counts()["node_suspected"] == 0

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_node_removed_wrongly_returns_once_it_is_reachable(seed: int):
    async def scenario(running: fleet.Fleet) -> None:
        target = running.nodes[3]
        running.network.drops_requests = lambda a, b: target in (a, b)
        others = [node for node in running.nodes if node is not target]
        await running.wait_until(lambda: not any(_knows(node, target) for node in others), 60.0)
        running.network.drops_requests = lambda _a, _b: False
        await running.wait_until(running.has_converged, 30.0)

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS[:1])
def test_paused_node_does_not_restore_a_node_lost_meanwhile(seed: int):
    async def scenario(running: fleet.Fleet) -> None:
        paused, lost = running.nodes[0], running.nodes[1]
        paused.pause()
        lost.kill()
        await asyncio.sleep(2 * members.TOMBSTONE_LIFETIME_S)
        others = [node for node in running.running_nodes() if node is not paused]
        assert not any(_knows(node, lost) for node in others)
        paused.resume()
        await running.wait_until(running.has_converged, 30.0)
        assert not any(_knows(node, lost) for node in running.running_nodes())
        assert paused.counts.events["paused"] == 1

    run(scenario, seed, EIGHT)


@pytest.mark.parametrize("seed", SEEDS)
def test_fleet_converges_after_a_tenth_of_its_nodes_is_replaced_within_a_minute(seed: int):
    async def scenario(running: fleet.Fleet) -> None:
        for node in running.running_nodes()[:4]:
            await running.replace(node)
            await asyncio.sleep(12.0)
        await running.wait_until(running.has_converged, 10.0)

    run(scenario, seed, fleet.Shape(nodes=40))


async def drain_propagation_s(running: fleet.Fleet, leaving: fleet.Node) -> float:
    leaving.announce_state(records.EndpointState.DRAINING)
    service = leaving.instance.service
    return await running.wait_until(
        lambda: (
            not any(
                leaving.instance.node_id in {r["node_id"] for r in node.known.ready(service)}
                for node in running.running_nodes()
            )
        ),
        20.0,
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_draining_endpoint_leaves_every_view_within_two_seconds(seed: int):
    async def scenario(running: fleet.Fleet) -> None:
        assert await drain_propagation_s(running, running.nodes[5]) <= 2.0

    run(scenario, seed, fleet.Shape(nodes=64))


@pytest.mark.parametrize("seed", SEEDS)
def test_each_draining_endpoint_of_an_idle_fleet_leaves_every_view_within_two_seconds(seed: int):
    async def scenario(running: fleet.Fleet) -> None:
        await asyncio.sleep(60.0)
        for leaving in running.nodes[:10]:
            assert await drain_propagation_s(running, leaving) <= 2.0
            await asyncio.sleep(3.0)
            leaving.announce_state(records.EndpointState.READY)
            await asyncio.sleep(40.0)

    run(scenario, seed, fleet.Shape(nodes=64))


@pytest.mark.parametrize("seed", SEEDS[:1])
def test_sheet_accepted_during_a_partition_is_in_force_on_both_sides_afterwards(seed: int):
    async def scenario(running: fleet.Fleet) -> None:
        first = await running.accept(fleet.sheet_document("2026-01-01"))
        await running.wait_until(lambda: running.is_in_force_everywhere(first), 5.0)
        accepting_side = [node for node in running.nodes if node.region == "region-0"]
        for node in running.nodes:
            if node not in accepting_side:
                node.sheets.store = fleet.memory_platform.MemoryTables(
                    fleet.memory_platform.Faults(down=True)
                )
        partition_regions(running.network)
        second = await running.accept(fleet.sheet_document("2026-01-02"))
        await asyncio.sleep(3600.0)
        assert all(
            n.sheets.version == (second if n in accepting_side else first) for n in running.nodes
        )
        assert {r["region"] for r in accepting_side[0].known.ready("service-000")} == {"region-0"}
        running.network.drops_requests = lambda _a, _b: False
        await running.wait_until(lambda: running.is_in_force_everywhere(second), 12.0)
        await running.wait_until(running.has_converged, 30.0)

    run(scenario, seed, EIGHT)


@pytest.mark.parametrize("seed", SEEDS[:1])
def test_node_joins_through_its_settings_while_the_table_service_is_down(seed: int):
    async def scenario(running: fleet.Fleet) -> None:
        version = await running.accept(fleet.sheet_document("2026-01-01"))
        await running.wait_until(lambda: running.is_in_force_everywhere(version), 5.0)
        running.faults.down = True
        await asyncio.sleep(2 * 3600.0)
        assert running.has_converged()
        running.seeds = [running.nodes[7].url]
        instance = running.instances[0]._replace(node_id="node-new", host="10.9.0.1")
        running.add(instance)
        await running.wait_until(running.has_converged, 10.0)
        await running.wait_until(lambda: running.is_in_force_everywhere(version), 10.0)

    run(scenario, seed, EIGHT)


def test_notice_reaches_every_node_and_is_removed_at_its_deadline():
    notified: list[str] = []

    async def scenario(running: fleet.Fleet) -> None:
        for node in running.nodes:
            name = node.instance.node_id
            node.exchange.notices.subscribe(
                "quarantine", lambda _notice, name=name: notified.append(name)
            )
        until = running.nodes[0].clocks.wall() + 60.0
        notice = {"kind": "quarantine", "key": "d1", "order": 1, "text": "{}", "until": until}
        running.nodes[0].exchange.merge_notices([notice])
        await running.wait_until(lambda: len(notified) == len(running.nodes), 10.0)
        await asyncio.sleep(60.0 + 2 * exchange.TICK_INTERVAL_S)
        assert not any(node.exchange.notices.by_key for node in running.nodes)

    run(scenario, 1)


def _knows(node: fleet.Node, other: fleet.Node) -> bool:
    return node.known.record(other.instance.node_id) is not None
