"""Measures the cost of membership and the sheet for a node, and fits it over the fleet size.

Fleets in virtual time show messages, bytes, store requests and durations. `loopback` measures the
processor time and the memory that HTTP adds, with node processes on loopback.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import statistics
import time
import tracemalloc
import typing
import zlib

import orjson

from goldcrestgrade import records, sheet
from goldcrestgrade_node.membership import members
from goldcrestgrade_testing import fleet, virtual_time

SETTLE_S = 60.0
"""Time from the propagation of the first sheet until the measurement of rates begins."""

WINDOW_S = 60.0
"""Duration of a measurement of rates."""

CHANGES_PER_DAY = 2600
"""Configuration changes per day at the target size."""

TARGET_NODES = 1700
TARGET_SERVICES = 270
DAY_S = 86_400


class Rates(typing.NamedTuple):
    """Load of a node and of the store in a measuring window, per second."""

    bytes_per_s: float
    """Mean of the bytes that a node sends and receives, headers included."""
    max_bytes_per_s: float
    """The same for the node with the most bytes."""
    requests_per_s: float
    cpu_ms_per_s: float
    crossing_bytes_per_s: float
    """Bytes between regions, of the whole fleet."""
    store_writes_per_s: float
    store_reads_per_s: float


class Row(typing.NamedTuple):
    """Result for one fleet size."""

    nodes: int
    join_s: float
    """Time from the start of the last node until every node knows all others."""
    sheet_p50_s: float
    sheet_max_s: float
    sheet_bytes: int
    idle: Rates
    busy: Rates
    replacing: Rates
    domain_lost_s: float
    """Time until every other node has dropped the nodes of a lost failure domain."""
    member_bytes: float
    """Memory of the membership state of one node."""


class Snapshot(typing.NamedTuple):
    """Counters of a fleet at one instant."""

    at: float
    cpu_s: float
    node_bytes: dict[str, int]
    requests: int
    crossing: int
    writes: int
    reads: int


def take_snapshot(running: fleet.Fleet) -> Snapshot:
    """Return the present counters of a fleet."""
    traffic = [node.traffic for node in running.nodes]
    return Snapshot(
        asyncio.get_running_loop().time(),
        time.process_time(),
        {
            node.instance.node_id: node.traffic.sent_bytes + node.traffic.received_bytes
            for node in running.running_nodes()
        },
        sum(t.requests for t in traffic),
        sum(t.cross_region_bytes for t in traffic),
        running.tables.writes,
        running.tables.reads,
    )


def rates(before: Snapshot, after: Snapshot) -> Rates:
    """Return the rates between two snapshots, for the nodes that ran at both."""
    window_s = after.at - before.at
    bytes_by_node = [
        size - before.node_bytes[node_id]
        for node_id, size in after.node_bytes.items()
        if node_id in before.node_bytes
    ]
    nodes = len(bytes_by_node)
    return Rates(
        sum(bytes_by_node) / window_s / nodes,
        max(bytes_by_node) / window_s,
        (after.requests - before.requests) / window_s / nodes,
        1000 * (after.cpu_s - before.cpu_s) / window_s / nodes,
        (after.crossing - before.crossing) / window_s,
        (after.writes - before.writes) / window_s,
        (after.reads - before.reads) / window_s,
    )


async def measure_idle(running: fleet.Fleet) -> Rates:
    """Return the rates while nothing changes."""
    before = take_snapshot(running)
    await asyncio.sleep(WINDOW_S)
    return rates(before, take_snapshot(running))


async def measure_changes(running: fleet.Fleet, services: int) -> Rates:
    """Return the rates while sheets and endpoints change as often as at the target size."""
    before = take_snapshot(running)
    number = 0
    deadline = asyncio.get_running_loop().time() + 2 * WINDOW_S
    while asyncio.get_running_loop().time() < deadline:
        day = f"2026-02-{number + 1:02d}"
        await running.accept(fleet.sheet_document(day, services))
        await asyncio.sleep(DAY_S / CHANGES_PER_DAY / 2)
        node = running.rng.choice(running.running_nodes())
        for state in (records.EndpointState.DRAINING, records.EndpointState.READY):
            node.announce_state(state)
            await asyncio.sleep(DAY_S / CHANGES_PER_DAY / 4)
        number += 1
    return rates(before, take_snapshot(running))


async def measure_replacement(running: fleet.Fleet) -> Rates:
    """Return the rates while a tenth of the nodes is replaced within a minute."""
    before = take_snapshot(running)
    leaving = running.rng.sample(running.running_nodes(), max(1, len(running.instances) // 10))
    async with asyncio.TaskGroup() as group:
        for node in leaving:
            group.create_task(running.replace(node))
            await asyncio.sleep(60.0 / len(leaving))
    return rates(before, take_snapshot(running))


async def measure_propagation(running: fleet.Fleet, services: int) -> tuple[float, float]:
    """Return the median and the largest time in seconds until a node has a sheet in force."""
    started = asyncio.get_running_loop().time()
    version = await running.accept(fleet.sheet_document("2026-01-01", services))
    await running.wait_until(lambda: running.is_in_force_everywhere(version), 60.0)
    times = [a.at - started for node in running.nodes for a in node.adoptions]
    return statistics.median(times), max(times)


async def measure_domain_loss(running: fleet.Fleet) -> float:
    """Return the seconds until every other node has dropped a lost failure domain."""
    domain = running.instances[0].failure_domain
    for node in running.running_nodes():
        if node.instance.failure_domain == domain:
            node.kill()
    return await running.wait_until(running.has_converged, 120.0)


def measure_member_bytes(running: fleet.Fleet) -> float:
    """Return the memory in bytes of a copy of one node's membership entries."""
    node = running.nodes[0]
    entries = list(node.known.entries.values())
    body = orjson.dumps(entries)
    gc.collect()
    tracemalloc.start()
    copy = members.Members(node.clocks)
    copy.merge(orjson.loads(body))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


async def measure(nodes: int, seed: int) -> Row:
    """Return the result for a fleet of this number of nodes."""
    shape = fleet.shape_of(nodes)
    running = fleet.Fleet(shape, seed)
    await running.start(spread_s=0.0)
    joined_s = asyncio.get_running_loop().time()
    p50_s, max_s = await measure_propagation(running, shape.services)
    in_force = running.nodes[0].sheets.in_force
    await asyncio.sleep(SETTLE_S)
    idle_rates = await measure_idle(running)
    row = Row(
        nodes,
        joined_s,
        p50_s,
        max_s,
        0 if in_force is None else len(in_force.body),
        idle_rates,
        await measure_changes(running, shape.services),
        await measure_replacement(running),
        await measure_domain_loss(running),
        measure_member_bytes(running),
    )
    running.stop()
    return row


def fit_line(points: typing.Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return the intercept and the slope of the least-squares line through `points`."""
    fit = statistics.linear_regression(*zip(*points, strict=True))
    return fit.intercept, fit.slope


def measure_sheet(services: int) -> tuple[int, int, float]:
    """Return the bytes, the compressed bytes and the milliseconds to compile a sheet.

    `services` is the number of services in the sheet.
    """
    body = sheet.encode(fleet.sheet_document("2026-01-01", services))
    started = time.process_time()
    sheet.compile_sheet(1, body)
    return len(body), len(zlib.compress(body)), 1000 * (time.process_time() - started)


def main() -> None:
    """Measure each fleet size and print the results and the fits."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="+", default=[8, 32, 128, 256])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rows = []
    for nodes in options.sizes:
        rows.append(virtual_time.run(measure(nodes, options.seed)))
        print(orjson.dumps(_flatten(rows[-1])).decode(), flush=True)
    print("sheet of the target: bytes, compressed, compile ms:", measure_sheet(TARGET_SERVICES))
    most_regions = max(fleet.shape_of(row.nodes).regions for row in rows)
    comparable = [row for row in rows if fleet.shape_of(row.nodes).regions == most_regions]
    if len(comparable) > 1:
        print(
            "fits over the sizes with", most_regions, "regions:", [row.nodes for row in comparable]
        )
        _print_fits(comparable)


def _print_fits(rows: list[Row]) -> None:
    for name in _flatten(rows[0]):
        points = [(float(row.nodes), float(_flatten(row)[name])) for row in rows]
        intercept, per_node = fit_line(points)
        at_target = intercept + per_node * TARGET_NODES
        print(f"{name:28} {intercept:12.3f} + {per_node:10.5f} n   at target {at_target:12.3f}")


def _flatten(row: Row) -> dict[str, float]:
    nested = {"idle": row.idle, "busy": row.busy, "replacing": row.replacing}
    flat = {
        f"{name}_{key}": value
        for name, measured in nested.items()
        for key, value in measured._asdict().items()
    }
    plain = {key: value for key, value in row._asdict().items() if key not in nested}
    return {key: round(value, 3) for key, value in (plain | flat).items()}


if __name__ == "__main__":
    main()
