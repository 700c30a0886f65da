"""The desired state has grown by many routes and changes, and the links of machines are thin."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import aiohttp  # noqa: E402
import support  # noqa: E402

from goldcrestgrade_testing.fleet_platform import endpoint  # noqa: E402

PLACEMENTS = {
    "n1": support.Placement("khomas-a", "khomas", "archive"),
    "n2": support.Placement("khomas-a", "khomas", "archive"),
    "n3": support.Placement("khomas-b", "khomas", "archive"),
    "n4": support.Placement("khomas-b", "khomas", "archive"),
}
LINK_MBPS = 5.0
"""Bandwidth of the link of each machine, which carries only its traffic with the store here."""

ROUTES = [support.route("read", "archive")]
ADDED_ROUTES = 1620 if support.TROUBLE else 1
CONFIG_APPLY_S = 3.0
CHANGES = 14
CHECKS = 3
"""Requests for the newest route at each node after the time in which it has to be in force."""

CHECK_INTERVAL_S = 0.5
PHASE_S = 0.7
"""Changes come at any moment of the polls between the system and the store."""


async def ask(fleet: support.Fleet, instance: support.Instance, path: str, attempt_id: str) -> int:
    """Send a request to a node and return the status of its answer, 0 without an answer."""
    try:
        async with fleet.session.get(
            f"http://{instance.address('calls')}{path}",
            headers={
                "host": support.HOSTNAME,
                "x-attempt-id": attempt_id,
                "x-deadline-ms": "2000",
            },
            timeout=aiohttp.ClientTimeout(total=3),
        ) as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0


async def case(record: support.Record) -> int:
    """Change the desired state many times, and ask each node for the newest route."""
    async with support.running(
        PLACEMENTS,
        ROUTES,
        lambda name, placement: endpoint.Endpoint(
            f"i-{name}", placement.service, endpoint.Behaviour(service_time_s=0.02), name
        ),
        {"link_mbps": LINK_MBPS},
        LINK_MBPS,
    ) as fleet:
        # All machines have been in touch for longer than `contact` before the change.
        await asyncio.sleep(4.0)
        added = [support.route(f"added-{n}", "archive") for n in range(ADDED_ROUTES)]
        outdated = 0
        for number in range(1, CHANGES + 1):
            newest = support.route(f"newest-{number}", "archive")
            await asyncio.sleep(random.uniform(0.0, PHASE_S))
            fleet.configure([*ROUTES, *added, newest], version=5 + 2 * number)
            confirmed_at = time.monotonic()
            size = len(fleet.store.rows["op", "", "config"]["value"])
            record.write(f"store confirms version {5 + 2 * number}, {size} bytes")
            await asyncio.sleep(CONFIG_APPLY_S + 0.01)
            for check, instance in itertools.product(range(CHECKS), fleet.instances):
                sent_after_s = time.monotonic() - confirmed_at
                attempt_id = f"{instance.name}-{number}-{check}"
                status = await ask(fleet, instance, f"/newest-{number}/x", attempt_id)
                record.write(f"{attempt_id} sent {sent_after_s:.3f} s after: {status}")
                outdated += status == 404
                if instance is fleet.instances[-1]:
                    await asyncio.sleep(CHECK_INTERVAL_S)
        for instance in fleet.instances:
            for attempt_id, endpoint_id, at in instance.endpoint.started_runs:
                record.write(f"{attempt_id} run by {endpoint_id}", at)
        record.write(f"{outdated} requests refused by an older version after {CONFIG_APPLY_S} s")
        return support.BROKEN if outdated else support.HELD


if __name__ == "__main__":
    support.run(case, FOLDER)
