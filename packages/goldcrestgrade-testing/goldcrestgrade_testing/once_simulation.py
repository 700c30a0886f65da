"""Simulation of run-once requests in virtual time.

Guards and entry nodes run the code of the product; endpoints, network and table service are in
memory.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import uuid

from goldcrestgrade import counters, instants, outcomes, records, sheet
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results, transport
from goldcrestgrade_node.entry import calls
from goldcrestgrade_node.once import relay_client
from goldcrestgrade_node.routing import choice, views
from goldcrestgrade_testing import (
    guard_process,
    history,
    memory_endpoint,
    memory_network,
    memory_platform,
    schedules,
    virtual_time,
)

STORE_ROUND_TRIP_S = 0.004
"""Round trip to the table service."""

SLOW_STORE_ROUND_TRIPS_S = (0.1, 0.3, 1.2, 0.3)
"""Round trips to a slow table service, by the guard index of the fault, `ALL_GUARDS` included."""

LATE_EFFECT_S = 1.5
"""Delay of the effect of transactions during the fault `STORE_EFFECTS_LATE`."""

LOST_ANSWER_SHARE = 0.7
"""Share of transactions whose answers are lost during the fault `STORE_ANSWERS_LOST`."""

IDEMPOTENT_SERVICE_TIME_S = 0.005
"""Service time of an idempotent request."""

ANNOUNCEMENT_DELAY_S = 0.5
"""Time from the start of an incarnation of a guard until the entry nodes know it."""

LATE_MESSAGE_WINDOW_S = 6.0
"""Time that a run continues after the last request and fault, so that late messages arrive."""

SERVICE = "intake"

KIND = sheet.Kind("POST /*", run_once=True, timeout_s=5.0)


class Simulation:
    """One run of a schedule."""

    def __init__(
        self, schedule: schedules.Schedule, setup: guard_process.Setup | None = None
    ) -> None:
        self.schedule = schedule
        self.setup = setup or guard_process.Setup()
        self.rng = random.Random(schedule.seed)
        self.log = history.History()
        self.active_faults: memory_network.ActiveFaults = collections.Counter()
        self.network = memory_network.Network(self.active_faults, self.rng)
        self.store = memory_platform.MemoryTables(
            memory_platform.Faults(delay_s=STORE_ROUND_TRIP_S, rng=self.rng)
        )
        environment = guard_process.Environment(
            setup=self.setup,
            log=self.log,
            rng=self.rng,
            network=self.network,
            store=self.store,
            background_transactions=set(),
            requests_at_dead_endpoints=[],
            on_restart=self.schedule_announcement,
        )
        last_index = len(schedules.GUARDS) - 1
        self.guards = [
            guard_process.GuardProcess(
                name, int(n == last_index), schedule.clock_skews_s[n], environment
            )
            for n, name in enumerate(schedules.GUARDS)
        ]
        self.network.receivers.update({g.control_url: g for g in self.guards})
        self.views = [views.Views(asyncio.get_running_loop().time) for _ in schedules.ENTRIES]
        self.entries = [self._create_entry_node(n) for n in range(len(schedules.ENTRIES))]

    async def run(self) -> None:
        """Run the schedule to its end."""
        for process in self.guards:
            process.start_incarnation()
        self._publish_records()
        faults = [asyncio.create_task(self._inject_fault(fault)) for fault in self.schedule.faults]
        await asyncio.gather(
            *(
                self._send_request(f"i{n}", operation, planned, f"i{n}t{m}")
                for n, operation in enumerate(self.schedule.operations)
                for m, planned in enumerate(operation.requests)
            )
        )
        await asyncio.gather(*faults)
        await asyncio.sleep(LATE_MESSAGE_WINDOW_S)

    def schedule_announcement(self) -> None:
        """Publish the records of the guards to the entry nodes after `ANNOUNCEMENT_DELAY_S`."""
        asyncio.get_running_loop().call_later(ANNOUNCEMENT_DELAY_S, self._publish_records)

    def _publish_records(self) -> None:
        for entry_views in self.views:
            entry_views.update(
                SERVICE,
                [_node_record(process) for process in self.guards[: self.setup.published_guards]],
            )

    def _create_entry_node(self, number: int) -> calls.Calls:
        clocks = instants.loop_clocks(guard_process.EPOCH)
        region = int(number == len(schedules.ENTRIES) - 1)
        guard_client = memory_network.MemoryGuardClient(self.network, region, 0.0)
        return calls.Calls(
            choice.Locality(f"r{region}", f"r{region}-a"),
            self.views[number],
            _send_idempotent,
            relay_client.RelayClient(guard_client, clocks).run,
            clocks,
            counters.Counts(),
            self.rng,
        )

    async def _send_request(
        self,
        name: str,
        operation: schedules.Operation,
        planned: schedules.PlannedRequest,
        call_id: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(planned.begins_at)
        key = dated_key(operation, name) if operation.has_dated_key else name
        body = b"other" if planned.has_other_body else b"body"
        deadline = loop.time() + planned.timeout_s
        self.log.add(history.Sent(loop.time(), call_id, key, body, deadline))
        request = requests.Request(
            call_id, SERVICE, KIND, "POST", "/x", (), body, key, deadline, True
        )
        outcome = await self.entries[planned.entry].run(request)
        self.log.add(_outcome_event(outcome, loop.time(), call_id))

    async def _inject_fault(self, fault: schedules.Fault) -> None:
        await asyncio.sleep(fault.begins_at)
        self.active_faults[fault.kind] += 1
        self._set_store_faults()
        cleanup = contextlib.ExitStack()
        if fault.kind == schedules.FaultKind.STORE_SLOW:
            self.store.faults.delay_s = SLOW_STORE_ROUND_TRIPS_S[fault.guard]
        affects_all_guards = fault.guard == schedules.ALL_GUARDS
        for process in self.guards if affects_all_guards else [self.guards[fault.guard]]:
            _begin_guard_fault(fault.kind, process, cleanup)
        await asyncio.sleep(fault.ends_at - fault.begins_at)
        self.active_faults[fault.kind] -= 1
        self._set_store_faults()
        cleanup.close()

    def _set_store_faults(self) -> None:
        kinds = schedules.FaultKind
        faults = self.store.faults
        faults.down = self.active_faults[kinds.STORE_DOWN] > 0
        faults.silent = self.active_faults[kinds.STORE_SILENT] > 0
        faults.lost_answer_share = (
            LOST_ANSWER_SHARE if self.active_faults[kinds.STORE_ANSWERS_LOST] else 0.0
        )
        faults.late_effect_s = (
            LATE_EFFECT_S if self.active_faults[kinds.STORE_EFFECTS_LATE] else 0.0
        )
        if not self.active_faults[kinds.STORE_SLOW]:
            faults.delay_s = STORE_ROUND_TRIP_S


def simulate(schedule: schedules.Schedule) -> Simulation:
    """Run `schedule` in virtual time and return the simulation at its end."""

    async def run_schedule() -> Simulation:
        simulation = Simulation(schedule)
        await simulation.run()
        return simulation

    return virtual_time.run(run_schedule())


def dated_key(operation: schedules.Operation, name: str) -> str:
    """Return a version 7 UUID with the time of the first request of `operation`."""
    made_at = guard_process.EPOCH + min(planned.begins_at for planned in operation.requests)
    serial = int.from_bytes(name.encode()[-7:], "big")
    return str(uuid.UUID(int=int(made_at * 1000) << 80 | 7 << 76 | 2 << 62 | serial))


def _begin_guard_fault(
    kind: schedules.FaultKind, process: guard_process.GuardProcess, cleanup: contextlib.ExitStack
) -> None:
    match kind:
        case schedules.FaultKind.GUARD_PAUSED:
            process.pause()
            cleanup.callback(process.resume)
        case schedules.FaultKind.GUARD_CRASHED:
            process.crash()
            cleanup.callback(process.restart)
        case schedules.FaultKind.GUARD_STOPPED:
            stopping = asyncio.create_task(process.stop())
            cleanup.callback(process.restart)
            cleanup.callback(process.crash)
            cleanup.callback(stopping.cancel)
        case schedules.FaultKind.ENDPOINT_CRASHED:
            process.endpoint.crash()
            cleanup.callback(process.endpoint.restart)
        case schedules.FaultKind.ENDPOINT_SHEDS:
            process.endpoint.shed_faults += 1
            cleanup.callback(_stop_shedding, process.endpoint)


def _stop_shedding(endpoint: memory_endpoint.Endpoint) -> None:
    endpoint.shed_faults -= 1


async def _send_idempotent(_attempt: transport.Attempt) -> results.AttemptResult:
    await asyncio.sleep(IDEMPOTENT_SERVICE_TIME_S)
    return results.Answered(outcomes.Answer(200, (), b""), load=None)


def _outcome_event(outcome: outcomes.Outcome, at: instants.Instant, call_id: str) -> history.Event:
    match outcome:
        case outcomes.Ran(answer=answer):
            return history.Answered(at, call_id, answer.body)
        case outcomes.NotRun(reason=refusal, retry_at=retry_at):
            return history.Refused(at, call_id, refusal, retry_at)
        case outcomes.Unknown(reason=uncertainty):
            return history.Undecided(at, call_id, uncertainty)


def _node_record(process: guard_process.GuardProcess) -> records.NodeRecord:
    return records.NodeRecord(
        node_id=process.name,
        incarnation=process.incarnation,
        revision=1,
        region=f"r{process.region}",
        failure_domain=f"r{process.region}-a",
        control_host=process.name,
        control_port=80,
        state=records.EndpointState.READY,
        endpoint={
            "service": SERVICE,
            "host": process.name,
            "port": 1,
            "slots": 10,
            "connections": 220,
        },
        sheet_version=1,
        expires_at=guard_process.EPOCH * 2,
    )
