"""A node restarts after it confirmed that its endpoint leaves, and a heartbeat arrives late."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import aiohttp  # noqa: E402
import support  # noqa: E402

from goldcrestgrade_testing.fleet_platform import endpoint  # noqa: E402

PLACEMENTS = {
    "n1": support.Placement("khomas-a", "khomas", "intake"),
    "n2": support.Placement("khomas-b", "khomas", "intake"),
    "n3": support.Placement("khomas-a", "khomas", "archive"),
    "n4": support.Placement("khomas-b", "khomas", "archive"),
}
ROUTE = support.route("submit", "intake", "non_idempotent", target="500ms")
DRAIN_S = 2.0
CONTACT_S = 3.0
LATE_S = 3.0
"""Time for which one heartbeat is on its way."""

RESTART_DELAY_S = 0.3
"""Time after which the platform restarts a killed process."""

SERVING_S = 12.0
"""Time for which the endpoint serves on after it said that it leaves."""

REQUEST_INTERVAL_S = 0.05


async def delayed_heartbeat(
    leaving: support.Instance, session: aiohttp.ClientSession, record: support.Record
) -> None:
    """Send a heartbeat that takes `LATE_S` until it reaches the node."""
    body = leaving.endpoint.heartbeat(leaving.address("endpoint"), leaving.placement.failure_domain)
    record.write(f"endpoint sends a heartbeat that arrives late: {body['status']}")
    await asyncio.sleep(LATE_S)
    url = f"http://{leaving.address('heartbeats')}/-/instances/{leaving.endpoint.endpoint_id}"
    try:
        async with session.put(url, json=body, timeout=aiohttp.ClientTimeout(total=1)) as response:
            record.write(f"late heartbeat arrived; node answers {response.status}")
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        record.write(f"late heartbeat not delivered: {error!r}")


async def send_requests(fleet: support.Fleet, record: support.Record, until: float) -> None:
    """Send run-once requests to the nodes beside the other service until an instant."""

    async def send(instance: support.Instance, attempt_id: str) -> None:
        record.write(f"{attempt_id} sent to {instance.name}")
        try:
            async with fleet.session.post(
                f"http://{instance.address('calls')}/submit/{attempt_id}",
                data=b"letter",
                headers={
                    "host": support.HOSTNAME,
                    "x-attempt-id": attempt_id,
                    "x-deadline-ms": "2000",
                },
                timeout=aiohttp.ClientTimeout(total=3),
            ) as response:
                await response.read()
                record.write(f"{attempt_id} answered {response.status}")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            record.write(f"{attempt_id} has no answer: {error!r}")

    targets = itertools.cycle(fleet.instances[2:])
    tasks = []
    for number in itertools.count(1):
        if time.monotonic() >= until:
            break
        tasks.append(asyncio.create_task(send(next(targets), f"a{number}")))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)


async def case(record: support.Record) -> int:
    """Have an endpoint leave, restart its node, and see whether requests reach it again."""
    async with support.running(
        PLACEMENTS,
        [ROUTE],
        lambda name, placement: endpoint.Endpoint(
            f"i-{name}",
            placement.service,
            endpoint.Behaviour(service_time_s=0.1, slots=9),
            name,
        ),
    ) as fleet:
        leaving = fleet.instances[0]
        assert leaving.heartbeats is not None and leaving.process is not None
        late = asyncio.create_task(delayed_heartbeat(leaving, fleet.session, record))
        await asyncio.sleep(0.2)
        # The endpoint never reports a drain: it deregisters, and its health check fails.
        leaving.heartbeats.cancel()
        leaving.endpoint.behaviour.draining = True
        url = f"http://{leaving.address('heartbeats')}/-/instances/{leaving.endpoint.endpoint_id}"
        born = {"born": leaving.endpoint.born_ms}
        async with fleet.session.delete(url, json=born) as response:
            if response.status != 200:
                return support.NOT_RUN
        confirmed_at = time.monotonic()
        record.write("node confirms that the endpoint leaves")
        sending = asyncio.create_task(send_requests(fleet, record, confirmed_at + SERVING_S))
        restarted_at = confirmed_at
        if support.TROUBLE:
            await asyncio.sleep(0.2)
            record.write("SIGKILL to node n1")
            leaving.process.kill()
            leaving.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            restarted_at = time.monotonic()
            record.write("node n1 starts again")
            fleet.start_node(leaving)
        await asyncio.gather(sending, late)
        return judge(fleet, max(confirmed_at + DRAIN_S, restarted_at + CONTACT_S), record)


def judge(fleet: support.Fleet, bound_at: float, record: support.Record) -> int:
    """Return whether requests reached the endpoint after the bound, by nodes in touch."""
    leaving = fleet.instances[0].endpoint
    for instance in fleet.instances:
        for attempt_id, endpoint_id, at in instance.endpoint.started_runs:
            record.write(f"{attempt_id} run by {endpoint_id}", at)
    record.write("bound: no request may reach i-n1 from here on", bound_at)
    late = [run for run in leaving.started_runs if run[2] > bound_at]
    record.write(f"{len(late)} requests reached i-n1 after the bound")
    if not fleet.instances[1].endpoint.started_runs:
        return support.NOT_RUN
    return support.BROKEN if late else support.HELD


if __name__ == "__main__":
    support.run(case, FOLDER)
