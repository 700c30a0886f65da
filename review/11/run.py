"""Case 11: the address of an upstream that is gone goes to an upstream of another service."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

import stage

TRAFFIC_S = 12.0


async def play(deployment: stage.Stage) -> list[str]:
    """Return the requests that ran at a service to which no desired state allows them to go."""
    deployment.configure("katalog", "rezervace")
    first = await deployment.add_machine("machine-1", "cz-east-a", "katalog")
    second = await deployment.add_machine("machine-2", "cz-east-b", "katalog")
    third = await deployment.add_machine("machine-3", "cz-east-b", "rezervace")
    await deployment.wait_ready()
    await deployment.wait_used("/katalog/a", "/rezervace/a")
    await asyncio.sleep(stage.CONTACT_S)

    if stage.IS_TROUBLED:
        deployment.spawn(replace_with_reuse(deployment, first))
    end = time.monotonic() + TRAFFIC_S
    await asyncio.gather(
        *(
            send_requests(deployment, machine, method, path, end)
            for machine in (first, second, third)
            for method, path in (("GET", "/katalog/kit"), ("POST", "/katalog/file/kit"))
        )
    )
    return [
        f"{run.attempt_id} {run.method} {run.target} ran at {upstream.upstream_id}, an upstream of "
        f"{upstream.service}"
        for upstream in deployment.upstreams
        for run in upstream.runs
        if not run.target.startswith(f"/{upstream.service}/")
    ]


async def send_requests(
    deployment: stage.Stage, machine: stage.Machine, method: str, path: str, end: float
) -> None:
    """Send one request after the other until `end`."""
    while time.monotonic() < end:
        await deployment.request(machine, method, path)
        await asyncio.sleep(0.1)


async def replace_with_reuse(deployment: stage.Stage, machine: stage.Machine) -> None:
    """An upstream crashes for good, and its address goes to one of another service."""
    deployment.stop_reports(machine)
    await deployment.upstream("i-machine-1").stop()
    deployment.change_service(machine, "rezervace")
    await asyncio.sleep(stage.REUSE_AFTER_S + 1.0)
    successor = deployment.new_upstream("i-successor", "rezervace", machine.zone)
    await successor.start(machine.ports["endpoint"])
    deployment.start_reports(machine, successor)


sys.exit(stage.main(pathlib.Path(__file__).parent, play))
