"""Runs a short fault scenario on loopback against the stand-ins of the platform."""

from __future__ import annotations

import asyncio
import collections
import itertools
import sys
import typing

from goldcrestgrade_testing.fleet_platform import endpoint, fleet, store

DOMAINS = (("khomas-a", "khomas"), ("khomas-b", "khomas"), ("oshana-a", "oshana"))
"""Pairs of a failure domain and its region."""

SERVICES = ("archive", "corrections")

CLIENTS = 12
"""Number of clients; each sends one request at a time."""

PAUSE_S = 0.02
"""Pause of a client between an answer and its next request."""

STEP_S = 2.0
"""Time between two steps of the scenario."""


class Scenario:
    """Sends the requests of the clients and checks their answers; owned by one event loop."""

    def __init__(self, running_fleet: fleet.Fleet) -> None:
        self.fleet = running_fleet
        self.statuses: collections.Counter[tuple[str, int]] = collections.Counter()
        self.violations: list[str] = []
        self.finished = False

    async def send_requests(self, instance: fleet.Instance, run_once: bool) -> None:
        """Send requests through the node of `instance` until the scenario is finished."""
        segment, method = ("file/", "POST") if run_once else ("", "GET")
        for service in itertools.cycle(SERVICES):
            if self.finished:
                return
            answer = await self.fleet.call(instance, f"/{service}/{segment}", method)
            self.statuses["run-once" if run_once else "idempotent", answer.status] += 1
            self.check(answer, run_once)
            await asyncio.sleep(PAUSE_S)

    def check(self, answer: fleet.Answer, run_once: bool) -> None:
        """Record each guarantee that `answer` violates."""
        runs = self.fleet.run_count(answer.attempt_id)
        checks = (
            (run_once and runs > 1, "a run-once request ran more than once"),
            (answer.status == 503 and runs > 0 and run_once, "a refused run-once request ran"),
            (
                answer.status == 503 and "retry-after" not in answer.fields,
                "a refusal has no Retry-After header",
            ),
            (
                answer.status == 200 and answer.body != b"body of " + answer.attempt_id.encode(),
                "the answer belongs to another request",
            ),
        )
        self.violations += [f"{answer.attempt_id}: {text}" for violated, text in checks if violated]


async def _steps(running_fleet: fleet.Fleet) -> typing.AsyncIterator[str]:
    first, second, *_ = running_fleet.instances
    yield "no fault"
    first.endpoint.fail_next_answers(endpoint.AnswerFault("lost", 3))
    second.endpoint.fail_next_answers(endpoint.AnswerFault("late", 3))
    yield "answers of one endpoint are lost, those of another follow a stray answer"
    for instance in running_fleet.instances:
        instance.store_access.outage = store.Outage.SILENT
    yield "the store does not answer"
    for instance in running_fleet.instances:
        instance.store_access.outage = store.Outage.NONE
    first.endpoint.behaviour.draining = True
    yield "an endpoint drains"
    first.endpoint.behaviour.draining = False
    assert second.process is not None
    second.process.kill()
    second.process.wait()
    running_fleet.start_node(second)
    yield "a node is killed and restarted"
    await running_fleet.wait_ready([second])
    await running_fleet.replace_endpoint(second, "i-reborn")
    yield "an endpoint crashes and a new one starts at its address"


async def run() -> int:
    """Run the scenario, print a table of statuses and return the exit status."""
    placements = {
        f"{domain}-{number}": fleet.Placement(domain, region, service)
        for domain, region in DOMAINS
        for number, service in enumerate(SERVICES, 1)
    }
    async with fleet.running(placements) as running_fleet:
        scenario = Scenario(running_fleet)
        clients = [
            asyncio.create_task(
                scenario.send_requests(
                    running_fleet.instances[n % len(placements)], run_once=n % 3 == 0
                )
            )
            for n in range(CLIENTS)
        ]
        async for step in _steps(running_fleet):
            print(step)
            await asyncio.sleep(STEP_S)
        scenario.finished = True
        await asyncio.gather(*clients)
    for (kind, status), count in sorted(scenario.statuses.items()):
        print(f"{kind:12} {status or 'no answer'!s:10} {count:6}")
    print("\n".join(scenario.violations) or "no guarantee was violated")
    return 1 if scenario.violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
