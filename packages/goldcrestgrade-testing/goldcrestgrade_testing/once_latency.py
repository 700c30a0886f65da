"""Measures the latency that a run-once request through a node adds to a direct one, on loopback."""

from __future__ import annotations

import argparse
import asyncio
import itertools
import os
import time
import typing

from goldcrestgrade.storage import http_tables, tables
from goldcrestgrade_testing import deployments, endpoint_server, processes
from goldcrestgrade_testing.latency import load_generator

REQUEST_RATES_PER_S = (20.0, 50.0, 200.0)
"""Requests per second on each of the two paths: through the node and directly to an endpoint."""

ENDPOINTS = 2
"""Number of endpoints that share the requests."""

LOAD_S = 15.0
"""Time for which requests are recorded at each rate."""

WARM_UP_S = 2.0
"""Time at each rate before requests are recorded."""

STORE_INTERVAL_S = 0.02
"""Time between two transactions that measure the round trip to the table service."""

TARGET_ADDED_MS = 5.0
"""Latency that a run-once request may add at p99, besides one round trip to the table service."""


class Row(typing.NamedTuple):
    """The measurements at one rate, in requests a second; all times are in milliseconds."""

    rate: float
    direct_p50: float
    direct_p99: float
    through_p50: float
    through_p99: float
    store_p50: float
    store_p99: float
    beyond_store_p99: float
    """Added latency at p99 minus the round trip to the table service at p99."""
    entry_cpu: float
    """Processor time that the entry node, which is also a guard, uses per request."""
    failures: int
    machine_load: float


async def measure(rates: typing.Iterable[float], seed: int) -> list[Row]:
    """Return a row for each of `rates`, in requests a second."""
    behaviour = endpoint_server.Behaviour(service_time_s=0.0, jitter_share=0.0, slots=1000)
    async with deployments.running(ENDPOINTS, behaviour) as deployment:
        return [await _measure_rate(deployment, rate, seed) for rate in rates]


async def _measure_rate(deployment: deployments.Deployment, rate: float, seed: int) -> Row:
    plan = load_generator.Plan(
        direct_urls=[f"{i.endpoint_url}/letters/1" for i in deployment.instances],
        node_url=f"{deployment.instances[0].calls_url}/letters/1",
        service=deployments.SERVICE,
        rate=rate,
        warm_up_s=WARM_UP_S,
        load_s=LOAD_S,
        seed=seed * 1000 + int(rate),
        run_once=True,
    )
    store_histogram_us = load_generator.new_histogram()
    entry = deployment.instances[0].node
    cpu_before_s = processes.cpu_s(entry)
    store_measurement = asyncio.create_task(_measure_store(deployment, store_histogram_us))
    result = await load_generator.run_in_process(plan)
    store_measurement.cancel()
    direct = load_generator.decode(result["direct"])
    through = load_generator.decode(result["through"])
    added_p99 = _percentile_ms(through, 99) - _percentile_ms(direct, 99)
    return Row(
        rate=rate,
        direct_p50=_percentile_ms(direct, 50),
        direct_p99=_percentile_ms(direct, 99),
        through_p50=_percentile_ms(through, 50),
        through_p99=_percentile_ms(through, 99),
        store_p50=_percentile_ms(store_histogram_us, 50),
        store_p99=_percentile_ms(store_histogram_us, 99),
        beyond_store_p99=added_p99 - _percentile_ms(store_histogram_us, 99),
        entry_cpu=(processes.cpu_s(entry) - cpu_before_s) * 1000 / result["calls"],
        failures=result["failures"],
        machine_load=os.getloadavg()[0],
    )


async def _measure_store(
    deployment: deployments.Deployment, store_histogram_us: typing.Any
) -> None:
    store = http_tables.HttpTables(deployment.session, deployment.platform_url)
    for number in itertools.count():
        write = tables.Write("measurements", f"row-{number % 100}", {"number": number})
        started = time.perf_counter()
        await store.transact(tables.Transaction((), (write,)))
        store_histogram_us.record_value(int((time.perf_counter() - started) * 1e6))
        await asyncio.sleep(STORE_INTERVAL_S)


def _percentile_ms(histogram_us: typing.Any, percentile: float) -> float:
    return float(histogram_us.get_value_at_percentile(percentile)) / 1000


def main() -> None:
    """Print a Markdown table for the seed on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    rows = asyncio.run(measure(REQUEST_RATES_PER_S, parser.parse_args().seed))
    lines = [" | ".join(Row._fields), " | ".join("---" for _ in Row._fields)]
    lines += [" | ".join(f"{value:.4g}" for value in row) for row in rows]
    print("\n".join(f"| {line} |" for line in lines))
    within_target = all(row.beyond_store_p99 <= TARGET_ADDED_MS for row in rows)
    print(f"\n{'within' if within_target else 'over'} one store round trip + {TARGET_ADDED_MS} ms")


if __name__ == "__main__":
    main()
