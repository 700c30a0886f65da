from __future__ import annotations

from goldcrestgrade import reasons
from goldcrestgrade_node import crash_notices
from goldcrestgrade_node.attempts import results
from goldcrestgrade_node.routing import endpoint_stats, quarantine
from goldcrestgrade_testing import fleet, virtual_time

SPREAD_S = 5.0


def make_endpoint(node_id: str) -> endpoint_stats.EndpointStats:
    return endpoint_stats.EndpointStats(node_id, "r", "r-a", "127.0.0.1", 1, "", 10, incarnation=7)


def connected(running: fleet.Fleet) -> list[quarantine.Quarantine]:
    known = [quarantine.Quarantine() for _ in running.nodes]
    for node, own in zip(running.nodes, known, strict=True):
        crash_notices.connect(own, node.exchange, running.nodes[0].clocks)
    return known


def crash(known: quarantine.Quarantine, node_id: str, now: float) -> None:
    died = results.Broken(reasons.Uncertainty.ENDPOINT_DIED)
    quarantine.record_result(known, "r", make_endpoint(node_id), died, now - 0.1, now)


def test_crashes_seen_by_two_nodes_quarantine_a_request_at_every_node():
    async def scenario():
        running = fleet.Fleet(fleet.Shape(nodes=8), seed=1)
        await running.start()
        known = connected(running)
        now = running.nodes[0].clocks.monotonic()
        crash(known[0], "a", now)
        crash(known[1], "b", now)
        await running.wait_until(
            lambda: all(
                isinstance(own.permission("r", now + SPREAD_S), quarantine.Quarantined)
                for own in known
            ),
            SPREAD_S,
        )
        running.stop()
        return [own.permission("other", now) for own in known]

    assert virtual_time.run(scenario()) == [quarantine.ANY] * 8


def test_malformed_crash_notice_is_ignored():
    async def scenario():
        running = fleet.Fleet(fleet.Shape(nodes=8), seed=1)
        await running.start()
        known = connected(running)[0]
        until = running.nodes[0].clocks.wall() + 60.0
        notice = {"kind": crash_notices.KIND, "key": "k", "order": 0, "text": "[]", "until": until}
        running.nodes[0].exchange.merge_notices([notice])
        running.stop()
        return known.histories

    assert virtual_time.run(scenario()) == {}
