"""Case 12: three upstreams crash while they run requests for one popular page."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

import stage

RECOVERY_S = 15.0
"""`recovery` of the sites."""

CALM_S = 6.0
"""Time of the traffic that is judged before the disruption, and after the recovery."""

WORK_S = 0.09
"""Work of a request, as of `browse-kit`."""

PAGE = "/katalog/today"
"""Page that all requesters read."""

ONLY_KILLED = os.environ.get("ONLY_KILLED") == "1"
"""Whether the upstreams do not crash, so that the effect of the final fault alone is seen."""

ZONES = ("cz-east-a", "cz-west-a", "cz-east-b", "cz-west-b")

MACHINES = 21

CRASHED = ("machine-1", "machine-2", "machine-3")
"""Machines whose upstreams crash: a share of 0.143, below the 0.15 of `srv_crash`."""

BUSY_TIMEOUT_S = 10.0
"""Longest wait for a moment at which each of them runs a request."""


async def play(deployment: stage.Stage) -> list[str]:
    """Return the served shares if the system does not recover."""
    deployment.configure("katalog")
    for number in range(MACHINES):
        zone = ZONES[number % len(ZONES)]
        await deployment.add_machine(f"machine-{number + 1}", zone, "katalog")
    await deployment.wait_ready()
    await deployment.wait_used("/katalog/a")
    for upstream in deployment.upstreams:
        upstream.work_s = WORK_S

    served: list[tuple[float, bool]] = []
    end = time.monotonic() + CALM_S + 8.0 + RECOVERY_S + CALM_S
    requesters = [
        deployment.spawn(send_requests(deployment, machine, end, served))
        for machine in deployment.machines.values()
        for _ in range(2)
    ]
    await asyncio.sleep(CALM_S)
    if stage.IS_TROUBLED and not ONLY_KILLED:
        await crash_upstreams(deployment)
    fault_at = time.monotonic()
    deployment.configure("katalog")
    if stage.IS_TROUBLED:
        # The final fault: right after a desired state is confirmed, all processes are killed.
        for machine in deployment.machines.values():
            deployment.kill_node(machine)
        await asyncio.sleep(0.5)
        for machine in deployment.machines.values():
            deployment.start_node(machine)
        await deployment.wait_ready()
    back_at = time.monotonic()
    deployment.record.write("the machines are back")
    await asyncio.gather(*requesters)
    before = share([ok for at, ok in served if at < fault_at])
    after = share([ok for at, ok in served if at > back_at + RECOVERY_S])
    deployment.record.write(f"served before the fault {before:.3f}, after the recovery {after:.3f}")
    if before >= 0.25 and after < 0.25:
        return [f"served {before:.3f} before the final fault and {after:.3f} after the recovery"]
    return []


def share(outcomes: list[bool]) -> float:
    """Return the share of requests that were served."""
    return sum(outcomes) / max(1, len(outcomes))


async def send_requests(
    deployment: stage.Stage,
    machine: stage.Machine,
    end: float,
    served: list[tuple[float, bool]],
) -> None:
    """Read the page again and again until `end`; record when, and whether it was served."""
    while time.monotonic() < end:
        sent_at = time.monotonic()
        _, status, _ = await deployment.request(machine, "GET", PAGE)
        served.append((sent_at, status == 200))
        await asyncio.sleep(0.1)


async def crash_upstreams(deployment: stage.Stage) -> None:
    """Crash three upstreams at once while each runs a request; others start 1 s later."""
    machines = [deployment.machines[name] for name in CRASHED]
    crashed = [deployment.upstream(f"i-{name}") for name in CRASHED]
    deadline = time.monotonic() + BUSY_TIMEOUT_S
    while not all(upstream.running for upstream in crashed):
        if time.monotonic() > deadline:
            raise stage.CannotRun("the upstreams were never busy at once")
        await asyncio.sleep(0.005)
    for machine, upstream in zip(machines, crashed, strict=True):
        deployment.stop_reports(machine)
        await upstream.stop()
    await asyncio.sleep(1.0)
    for machine in machines:
        successor = deployment.new_upstream(f"i-{machine.name}-2", machine.service, machine.zone)
        successor.work_s = WORK_S
        await successor.start(machine.ports["endpoint"])
        deployment.start_reports(machine, successor)


sys.exit(stage.main(pathlib.Path(__file__).parent, play))
