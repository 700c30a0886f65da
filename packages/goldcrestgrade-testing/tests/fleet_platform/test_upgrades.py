"""Nodes of a former build and of this one, replaced one after the other under load."""

import asyncio
import io
import subprocess
import sys
import tarfile

import pytest

from goldcrestgrade_testing.fleet_platform import fleet

FORMER_LANDINGS = ("f93f975", "67a56d3")
"""Commits of the latest landings; nodes understand two landings back."""

PLACEMENTS = {
    "east-1": fleet.Placement("east", "r1", "archive"),
    "east-2": fleet.Placement("east", "r1", "archive"),
    "west-1": fleet.Placement("west", "r2", "archive"),
}

CLIENTS = 12
SERVICE_TIME_S = 0.1


def available_landings():
    """Return the former landings that the history of this checkout holds."""
    return [
        commit
        for commit in FORMER_LANDINGS
        if subprocess.run(
            ["git", "cat-file", "-e", f"{commit}^{{commit}}"], cwd=fleet.ROOT, capture_output=True
        ).returncode
        == 0
    ]


def start_command(folder):
    return (sys.executable, str(folder / "platform" / "start.py"))


@pytest.fixture
def former_build(request, tmp_path):
    """Return the command that starts a node of a former build."""
    archive = subprocess.run(
        ["git", "archive", request.param, "platform", "packages"],
        cwd=fleet.ROOT,
        capture_output=True,
        check=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(tmp_path, filter="data")
    return start_command(tmp_path)


async def offer(running_fleet, ended, answers):
    """Send requests of several clients to all nodes that are ready, until `ended` is set.

    Each of them is sent to a node of either region, so that some are relayed between builds.
    """

    async def client(number):
        while not ended.is_set():
            number += 1
            instance = running_fleet.instances[number % len(running_fleet.instances)]
            if not await running_fleet.is_ready(instance):
                await asyncio.sleep(0.05)
                continue
            run_once = number % 2 == 0
            path = "/archive/file/x" if run_once else "/archive/letters"
            answer = await running_fleet.call(instance, path, "POST" if run_once else "GET")
            answers.append((run_once, answer))
            if answer.status == 503:
                await asyncio.sleep(float(answer.fields["retry-after"]))

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))


async def replace_nodes(running_fleet, command):
    """Stop each node in turn, and start it with another build."""
    running_fleet.start_command = command
    for instance in running_fleet.instances:
        instance.process.terminate()
        await asyncio.to_thread(instance.process.wait)
        running_fleet.start_node(instance)
        await running_fleet.wait_ready([instance])


@pytest.mark.parametrize("former_build", available_landings(), indirect=True)
async def test_upgrade_and_return_under_load_keep_the_guarantees(former_build):
    """Guards against messages or rows of one build that the other takes for something else."""
    answers = []
    async with fleet.running(
        PLACEMENTS, SERVICE_TIME_S, start_command=former_build
    ) as running_fleet:
        for instance in running_fleet.instances:
            instance.endpoint.behaviour.slots = 2
        ended = asyncio.Event()
        load = asyncio.create_task(offer(running_fleet, ended, answers))
        await replace_nodes(running_fleet, start_command(fleet.ROOT))
        await replace_nodes(running_fleet, former_build)
        ended.set()
        await load
        for run_once, answer in answers:
            runs = running_fleet.run_count(answer.attempt_id)
            assert not (run_once and runs > 1)
            assert answer.status == 200 or runs == 0 or answer.status in (502, 504)
    statuses = [answer.status for _, answer in answers]
    assert statuses.count(200) > 0.5 * len(statuses)
    assert set(statuses) <= {200, 502, 503, 504}
