"""Measures store writes of run-once requests and their outcomes in an outage, in virtual time."""

from __future__ import annotations

import argparse
import asyncio
import collections
import typing

from goldcrestgrade import instants, outcomes, sheet
from goldcrestgrade_node import requests
from goldcrestgrade_node.once import sweeper
from goldcrestgrade_testing import fast_time, guard_process, history, once_simulation, schedules

OUTAGE_S = 600.0
"""Length of an outage of the table service."""

OUTAGE_BEGINS_AT: instants.Instant = 5.0

CLAIM_WAIT_WINDOW_S = 1.0
"""Time from the start of an outage within which a refusal may wait for the claim's deadline."""

MAX_IMMEDIATE_LATENCY_S = 0.02
"""Latency up to which a refusal counts as immediate."""

OUTAGE_REQUESTS_PER_S = 5.0
"""Run-once requests a second in an outage."""

IDEMPOTENT_INTERVAL_S = 0.5
"""Time between two idempotent requests in an outage."""

SETUP = guard_process.Setup(
    service_times_s=(0.005, 0.02), sweep_interval_s=sweeper.SWEEP_INTERVAL_S
)

IDEMPOTENT_KIND = sheet.Kind("GET /*", run_once=False, timeout_s=5.0)


class Load(typing.NamedTuple):
    """Result of run-once requests without faults at one rate, on one guard."""

    calls: int
    answered: int
    writes: int
    """Transactions sent to the table service."""

    def writes_per_call(self) -> float:
        """Return the mean number of transactions for each request."""
        return self.writes / self.calls


class Outage(typing.NamedTuple):
    """Outcomes of the requests that began in an outage of the table service."""

    ends: dict[str, int]
    """Number of run-once requests by the name of the event that ended them."""
    longest_first_s: float
    """Longest latency of a refusal of a request that began within `CLAIM_WAIT_WINDOW_S`."""
    later: int
    """Refusals of requests that began later."""
    later_at_once: int
    """Refusals counted in `later` whose latency is at most `MAX_IMMEDIATE_LATENCY_S`."""
    longest_later_s: float
    without_retry_at: int
    """Refusals without a retry time."""
    idempotent: int
    idempotent_answered: int
    longest_idempotent_s: float


def measure_load(seed: int, rate: float, calls: int) -> Load:
    """Return the store writes of `calls` requests at `rate` a second on one guard."""

    async def run() -> once_simulation.Simulation:
        simulation = once_simulation.Simulation(
            schedules.single_calls(seed, calls, rate), SETUP._replace(published_guards=1)
        )
        await simulation.run()
        return simulation

    simulation = fast_time.run(run())
    answered = sum(isinstance(event, history.Answered) for event in simulation.log.events)
    return Load(calls, answered, simulation.store.writes)


def measure_outage(seed: int, kind: schedules.FaultKind) -> Outage:
    """Return how requests end in an outage of `kind`."""
    fault = schedules.Fault(kind, OUTAGE_BEGINS_AT, OUTAGE_BEGINS_AT + OUTAGE_S, 0)
    count = int(OUTAGE_REQUESTS_PER_S * OUTAGE_S)
    schedule = schedules.single_calls(seed, count, OUTAGE_REQUESTS_PER_S, (fault,))

    async def run() -> tuple[once_simulation.Simulation, list[float]]:
        simulation = once_simulation.Simulation(schedule, SETUP)
        idempotent = asyncio.create_task(_send_idempotent_requests(simulation))
        await simulation.run()
        return simulation, await idempotent

    simulation, idempotent_latencies_s = fast_time.run(run())
    return _summarize_outage(simulation.log.events, idempotent_latencies_s)


async def _send_idempotent_requests(simulation: once_simulation.Simulation) -> list[float]:
    """Send idempotent requests during the outage; return the latencies of those answered."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(OUTAGE_BEGINS_AT)
    latencies: list[float] = []
    for number in range(int(OUTAGE_S / IDEMPOTENT_INTERVAL_S)):
        started = loop.time()
        request = requests.Request(
            f"r{number}",
            once_simulation.SERVICE,
            IDEMPOTENT_KIND,
            "GET",
            "/x",
            (),
            b"",
            None,
            started + IDEMPOTENT_KIND.timeout_s,
            True,
        )
        outcome = await simulation.entries[0].run(request)
        if isinstance(outcome, outcomes.Ran):
            latencies.append(loop.time() - started)
        await asyncio.sleep(IDEMPOTENT_INTERVAL_S)
    return latencies


def _summarize_outage(events: list[history.Event], idempotent_latencies_s: list[float]) -> Outage:
    requests_by_id = {e.call_id: e for e in events if isinstance(e, history.Sent)}
    ends = [
        (requests_by_id[e.call_id].at, e)
        for e in events
        if isinstance(e, history.Answered | history.Refused | history.Undecided)
        and OUTAGE_BEGINS_AT <= requests_by_id[e.call_id].at < OUTAGE_BEGINS_AT + OUTAGE_S
    ]
    refused = [(began_at, e) for began_at, e in ends if isinstance(e, history.Refused)]
    window_end = OUTAGE_BEGINS_AT + CLAIM_WAIT_WINDOW_S
    first_s = [e.at - began_at for began_at, e in refused if began_at < window_end]
    later_s = [e.at - began_at for began_at, e in refused if began_at >= window_end]
    return Outage(
        ends=dict(collections.Counter(type(e).__name__ for _, e in ends)),
        longest_first_s=max(first_s, default=0.0),
        later=len(later_s),
        later_at_once=sum(latency_s <= MAX_IMMEDIATE_LATENCY_S for latency_s in later_s),
        longest_later_s=max(later_s, default=0.0),
        without_retry_at=sum(e.retry_at is None for _, e in refused),
        idempotent=int(OUTAGE_S / IDEMPOTENT_INTERVAL_S),
        idempotent_answered=len(idempotent_latencies_s),
        longest_idempotent_s=max(idempotent_latencies_s, default=0.0),
    )


def main() -> None:
    """Print the figures for the seed on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for rate, calls in ((2.0, 200), (20.0, 1000), (200.0, 4000)):
        figures = measure_load(seed, rate, calls)
        print(f"{rate:g} calls/s: {figures.writes_per_call():.3f} writes a call, {figures}")
    for kind in (schedules.FaultKind.STORE_DOWN, schedules.FaultKind.STORE_SILENT):
        print(f"outage {kind}: {measure_outage(seed, kind)}")


if __name__ == "__main__":
    main()
