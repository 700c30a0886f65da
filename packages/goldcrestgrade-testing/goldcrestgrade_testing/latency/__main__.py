"""Measures the latency and the processor time that a node adds to a request."""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import statistics
import sys
import typing

import orjson

from goldcrestgrade_testing import deployments, endpoint_server, processes
from goldcrestgrade_testing.latency import load_generator

RATES = (50, 100, 200, 400, 800)
"""Requests per second through the node."""

ENDPOINTS = 2
"""Number of endpoints that share the requests."""

CLIENT_PROCESSES = 2
"""Number of processes that share the sending of requests."""

WARM_UP_S = 1.5
"""Time for which requests at each rate are sent before any is recorded."""

TARGET_ADDED_P99_MS = 1.2
"""Target for the p99 latency through the node less the p99 latency of direct requests."""


class Row(typing.NamedTuple):
    """Measurements at one rate."""

    rate: int
    direct_p50_ms: float
    direct_p99_ms: float
    through_p50_ms: float
    through_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    ratio_p99: float
    node_cpu_us: float
    """Processor time of the node per request."""
    caller_lag_p99_ms: float
    failures: int
    machine_load: float
    """Mean number of runnable processes on the machine over the last minute."""


def main() -> int:
    """Run the measurement and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="duration of the load at each rate"
    )
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--rates", type=int, nargs="+", default=RATES)
    parser.add_argument(
        "--one-segment",
        action="store_true",
        help="endpoints write the head and the body of an answer together",
    )
    parser.add_argument("--json", type=pathlib.Path, help="file to which the figures are written")
    arguments = parser.parse_args()
    behaviour = endpoint_server.Behaviour(
        service_time_s=0.0, jitter_share=0.0, slots=1000, one_segment=arguments.one_segment
    )
    rows = asyncio.run(
        measure(behaviour, arguments.rates, arguments.seconds, arguments.repeats, arguments.seed)
    )
    if arguments.json:
        arguments.json.write_bytes(orjson.dumps([row._asdict() for row in rows]))
    print(table(rows))
    return 1 if any(row.failures for row in rows) else 0


def table(rows: typing.Sequence[Row]) -> str:
    """Return the rows as a Markdown table, with the median over all rows at the end."""
    lines = [" | ".join(Row._fields), " | ".join("---" for _ in Row._fields)]
    lines += [" | ".join(f"{value:.4g}" for value in row) for row in rows]
    added = statistics.median(row.added_p99_ms for row in rows)
    verdict = "within" if added <= TARGET_ADDED_P99_MS else "over"
    summary = f"median added p99 {added:.2f} ms, {verdict} the target of {TARGET_ADDED_P99_MS} ms"
    return "\n".join(f"| {line} |" for line in lines) + f"\n\n{summary}"


async def measure(
    behaviour: endpoint_server.Behaviour,
    rates: typing.Iterable[int],
    load_s: float,
    repeats: int,
    seed: int,
) -> list[Row]:
    """Return a row for each rate and repetition."""
    async with deployments.running(ENDPOINTS, behaviour) as deployment:
        return [
            await _measure_rate(deployment.instances, rate, load_s, seed + repeat)
            for repeat in range(repeats)
            for rate in rates
        ]


async def _measure_rate(
    instances: list[deployments.Instance], rate: int, load_s: float, seed: int
) -> Row:
    plan = load_generator.Plan(
        direct_urls=[f"{instance.endpoint_url}/letters/1" for instance in instances],
        node_url=f"{instances[0].calls_url}/letters/1",
        service=deployments.SERVICE,
        rate=rate / CLIENT_PROCESSES,
        warm_up_s=WARM_UP_S,
        load_s=load_s,
        seed=seed,
    )
    cpu_before_s = processes.cpu_s(instances[0].node)
    results = await asyncio.gather(
        *(
            load_generator.run_in_process({**plan, "seed": seed * 100 + n})
            for n in range(CLIENT_PROCESSES)
        )
    )
    cpu_s = processes.cpu_s(instances[0].node) - cpu_before_s
    direct = _merged(result["direct"] for result in results)
    through = _merged(result["through"] for result in results)
    lag = _merged(result["lag"] for result in results)
    return Row(
        rate=rate,
        direct_p50_ms=_ms(direct, 50),
        direct_p99_ms=_ms(direct, 99),
        through_p50_ms=_ms(through, 50),
        through_p99_ms=_ms(through, 99),
        added_p50_ms=_ms(through, 50) - _ms(direct, 50),
        added_p99_ms=_ms(through, 99) - _ms(direct, 99),
        ratio_p99=_ms(through, 99) / _ms(direct, 99),
        node_cpu_us=cpu_s * 1e6 / sum(result["calls"] for result in results),
        caller_lag_p99_ms=_ms(lag, 99),
        failures=sum(result["failures"] for result in results),
        machine_load=os.getloadavg()[0],
    )


def _merged(encoded: typing.Iterable[str]) -> typing.Any:
    merged = load_generator.new_histogram()
    for text in encoded:
        merged.add(load_generator.decode(text))
    return merged


def _ms(latencies: typing.Any, percentile: float) -> float:
    return float(latencies.get_value_at_percentile(percentile)) / 1000


if __name__ == "__main__":
    sys.exit(main())
