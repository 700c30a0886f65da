"""Runs the real guards and entries in virtual time with in-memory endpoints and store."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import random
import typing
import uuid

from goldcrestgrade import instants, outcomes, reasons, records, sheet, telemetry
from goldcrestgrade.platform import resilient_tables, tables
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results, transport
from goldcrestgrade_node.entry import calls
from goldcrestgrade_node.once import (
    claims,
    executions,
    guard,
    messages,
    relay_client,
    sweeper,
    write_behind,
)
from goldcrestgrade_node.routing import choice, views
from goldcrestgrade_testing import (
    history,
    memory_network,
    memory_platform,
    schedules,
    virtual_time,
)

EPOCH: instants.WallInstant = 1_700_000_000.0
"""Wall instant at which a run starts."""

STORE_DELAY_S = 0.004
"""Round trip to the table service."""

SLOW_STORE_DELAYS_S = (0.1, 0.3, 1.2, 0.3)
"""Round trips to the table service while it is slow, by the guard that the fault names."""

LATE_EFFECT_S = 1.5
"""Time after which a late transaction takes effect."""

LOST_ANSWER_SHARE = 0.7
"""Share of transactions whose answers are lost during that fault."""

SERVICE_TIMES_S = (0.005, 0.02, 0.1, 0.4, 2.0)
"""Times that an endpoint works on a request."""

IDEMPOTENT_TIME_S = 0.005
"""Time that an endpoint works on an idempotent request."""

NEWS_DELAY_S = 0.5
"""Time after which entries know of a guard's new incarnation."""

QUIET_S = 6.0
"""Time after the last call in which late messages may still do harm."""

SWEEP_INTERVAL_S = 0.5
"""Time between two sweeps of a guard."""

SERVICE = "intake"

KIND = sheet.Kind("POST /*", run_once=True, timeout_s=5.0)


class Setup(typing.NamedTuple):
    """What is the same in all schedules of one kind."""

    published: int = len(schedules.GUARDS)
    """Number of guards that the entries know of."""
    service_times_s: tuple[float, ...] = SERVICE_TIMES_S
    sweep_interval_s: float = SWEEP_INTERVAL_S


class Endpoint:
    """An endpoint in memory; records its starts and answers."""

    def __init__(self, name: str, world: World) -> None:
        self.name = name
        self.log = world.log
        self.rng = world.rng
        self.service_times_s = world.setup.service_times_s
        self.sheds = 0
        self.up = True
        self.crashed = asyncio.Event()
        self.numbers = itertools.count(1)

    async def start(self, request: requests.Request, _attempt_id: str) -> results.AttemptResult:
        """Run `request` and return how the attempt ended."""
        if not self.up:
            return results.Unreached("no process")
        if self.sheds:
            return results.Shed(load=None)
        key = request.idempotency_key or ""
        now = asyncio.get_running_loop().time()
        self.log.add(history.Started(now, request.request_id, key, request.body, self.name))
        work_s = self.rng.choice(self.service_times_s)
        left_s = max(0.0, request.deadline - now)
        try:
            async with asyncio.timeout(min(work_s, left_s)):
                await self.crashed.wait()
        except TimeoutError:
            if left_s < work_s:
                return results.Broken(reasons.Uncertainty.TIMED_OUT)
            return self._answer(request, key)
        return results.Broken(reasons.Uncertainty.ENDPOINT_DIED)

    def _answer(self, request: requests.Request, key: str) -> results.Answered:
        body = b"%s %s %d" % (key.encode(), self.name.encode(), next(self.numbers))
        now = asyncio.get_running_loop().time()
        self.log.add(history.Ended(now, request.request_id, key, body))
        return results.Answered(outcomes.Answer(200, (), body), load=None)

    def crash(self) -> None:
        """Die with all requests."""
        self.up = False
        self.crashed.set()
        self.crashed = asyncio.Event()

    def restart(self) -> None:
        """Take requests again."""
        self.up = True


class StoreLink:
    """The table service as one guard reaches it."""

    def __init__(self, store: memory_platform.MemoryTables, process: GuardProcess) -> None:
        self.store = store
        self.process = process

    async def transact(self, transaction: tables.Transaction) -> tables.Result:
        """Commit `transaction`, whether the caller waits or not."""
        await self._reach()
        committing = asyncio.create_task(self.store.transact(transaction))
        self.process.world.background.add(committing)
        return await asyncio.shield(committing)

    async def read(self, table: str, key: str) -> tables.Row | None:
        """Return a row as of its last commit; raises `ReadError`."""
        await self._reach()
        return await self.store.read(table, key)

    async def scan(self, table: str, prefix: str, limit: int) -> list[tables.Row]:
        """Return at most `limit` rows by key order; raises `ReadError`."""
        await self._reach()
        return await self.store.scan(table, prefix, limit)

    async def _reach(self) -> None:
        await self.process.resumed.wait()
        if self.process.world.network.cut(self.process.region, 0):
            await asyncio.Event().wait()


class PausableCommitter(claims.Committer):
    """A committer whose process may be paused between its result and the next step."""

    resumed: asyncio.Event

    async def claim(self, claim: claims.Claim) -> claims.ClaimResult:
        """Return whether `claim` stands, once the process is not paused."""
        result = await super().claim(claim)
        await self.resumed.wait()
        return result


class GuardProcess:
    """One guard with its endpoint; may be paused, crashed, stopped and restarted."""

    def __init__(self, name: str, region: int, skew_s: float, world: World) -> None:
        self.name = name
        self.region = region
        self.skew_s = skew_s
        self.world = world
        self.endpoint = Endpoint(name, world)
        self.control_url = f"http://{name}:80"
        self.incarnation = 0
        self.up = False
        self.stopping = False
        self.crashed = asyncio.Event()
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.pauses = 0
        self.tasks: list[asyncio.Task[None]] = []

    def boot(self) -> None:
        """Start a new incarnation."""
        clocks = instants.loop_clocks(EPOCH + self.skew_s)
        store = resilient_tables.ResilientTables(
            StoreLink(self.world.store, self), clocks, self.world.rng
        )
        committer = PausableCommitter(store, clocks)
        committer.resumed = self.resumed
        writer = write_behind.WriteBehind(store, clocks)
        self.incarnation += 1
        self.guard = guard.Guard(
            executions.Identity(self.name, self.incarnation, self.control_url),
            committer,
            writer,
            memory_network.MemoryPort(self.world.network, self.region, self.skew_s),
            self.endpoint.start,
            lambda: not self.stopping,
            self.world.quarantined.append,
            clocks,
        )
        sweeping = sweeper.Sweeper(store, clocks, self.world.rng)
        self.tasks = [
            asyncio.create_task(task)
            for task in (
                committer.run(),
                writer.run(),
                self.guard.evict_forever(),
                _sweep_forever(sweeping, self.world.setup.sweep_interval_s),
            )
        ]
        self.up = True
        self.stopping = False
        self.crashed = asyncio.Event()

    async def receive(self, message: messages.Message) -> messages.Reply:
        """Return the reply to `message`, when the process is not paused."""
        await self.resumed.wait()
        reply = await self.guard.receive(message)
        await self.resumed.wait()
        return reply

    def pause(self) -> None:
        """Let the process do nothing until it is resumed as often as paused."""
        self.pauses += 1
        self.resumed.clear()

    def resume(self) -> None:
        """Undo one pause."""
        self.pauses -= 1
        if self.pauses == 0:
            self.resumed.set()

    def crash(self) -> None:
        """Die with all that the process knew."""
        if not self.up:
            return
        self.up = False
        self.crashed.set()
        for task in [*self.tasks, *self.guard.tasks]:
            task.cancel()

    def restart(self) -> None:
        """Start again after a crash or a stop."""
        if not self.up:
            self.boot()
            self.world.announce(self)

    async def stop(self) -> None:
        """End as planned: take no new work, finish the old, and go."""
        self.stopping = True
        while self.up and (self.guard.tasks or not self.guard.writer.idle()):
            await asyncio.sleep(0.1)
        self.crash()


class World:
    """One run of a schedule."""

    def __init__(self, schedule: schedules.Schedule, setup: Setup | None = None) -> None:
        self.schedule = schedule
        self.setup = setup or Setup()
        self.rng = random.Random(schedule.seed)
        self.log = history.History()
        self.quarantined: list[requests.Request] = []
        self.active: memory_network.Active = collections.Counter()
        self.network = memory_network.Network(self.active, self.rng)
        self.store = memory_platform.MemoryTables(
            memory_platform.Faults(delay_s=STORE_DELAY_S, rng=self.rng)
        )
        self.background: set[asyncio.Task[tables.Result]] = set()
        last = len(schedules.GUARDS) - 1
        self.guards = [
            GuardProcess(name, int(n == last), schedule.skews_s[n], self)
            for n, name in enumerate(schedules.GUARDS)
        ]
        self.network.receivers.update({g.control_url: g for g in self.guards})
        self.views = [views.Views(asyncio.get_running_loop().time) for _ in schedules.ENTRIES]
        self.entries = [self._entry(n) for n in range(len(schedules.ENTRIES))]

    async def run(self) -> None:
        """Play the schedule to its end."""
        for process in self.guards:
            process.boot()
        self._publish()
        faults = [asyncio.create_task(self._fault(fault)) for fault in self.schedule.faults]
        await asyncio.gather(
            *(
                self._try(f"i{n}", intention, attempt, f"i{n}t{m}")
                for n, intention in enumerate(self.schedule.intentions)
                for m, attempt in enumerate(intention.tries)
            )
        )
        await asyncio.gather(*faults)
        await asyncio.sleep(QUIET_S)

    def announce(self, _process: GuardProcess) -> None:
        """Let the entries know of a new incarnation after a while."""
        asyncio.get_running_loop().call_later(NEWS_DELAY_S, self._publish)

    def _publish(self) -> None:
        for known in self.views:
            known.update(
                SERVICE, [_record(process) for process in self.guards[: self.setup.published]]
            )

    def _entry(self, number: int) -> calls.Calls:
        clocks = instants.loop_clocks(EPOCH)
        region = int(number == len(schedules.ENTRIES) - 1)
        port = memory_network.MemoryPort(self.network, region, 0.0)
        return calls.Calls(
            choice.Caller(f"r{region}", f"r{region}-a"),
            self.views[number],
            _send_idempotent,
            relay_client.RelayClient(port, clocks).run,
            clocks,
            telemetry.Counts(),
            self.rng,
        )

    async def _try(
        self, name: str, intention: schedules.Intention, attempt: schedules.Try, call_id: str
    ) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(attempt.begins_at)
        key = dated_key(intention, name) if intention.dated else name
        body = b"other" if attempt.changed else b"body"
        deadline = loop.time() + attempt.timeout_s
        self.log.add(history.Called(loop.time(), call_id, key, body, deadline))
        request = requests.Request(
            call_id, SERVICE, KIND, "POST", "/x", (), body, key, deadline, True
        )
        outcome = await self.entries[attempt.entry].run(request)
        self.log.add(_event(outcome, loop.time(), call_id))

    async def _fault(self, fault: schedules.Fault) -> None:
        await asyncio.sleep(fault.begins_at)
        self.active[fault.kind] += 1
        self._set_store_faults()
        ending = contextlib.ExitStack()
        if fault.kind == schedules.FaultKind.STORE_SLOW:
            self.store.faults.delay_s = SLOW_STORE_DELAYS_S[fault.guard]
        everyone = fault.guard == schedules.ALL_GUARDS
        for process in self.guards if everyone else [self.guards[fault.guard]]:
            _begin(fault.kind, process, ending)
        await asyncio.sleep(fault.ends_at - fault.begins_at)
        self.active[fault.kind] -= 1
        self._set_store_faults()
        ending.close()

    def _set_store_faults(self) -> None:
        kinds = schedules.FaultKind
        faults = self.store.faults
        faults.down = self.active[kinds.STORE_DOWN] > 0
        faults.silent = self.active[kinds.STORE_SILENT] > 0
        faults.lost_share = LOST_ANSWER_SHARE if self.active[kinds.STORE_ANSWERS_LOST] else 0.0
        faults.late_effect_s = LATE_EFFECT_S if self.active[kinds.STORE_EFFECTS_LATE] else 0.0
        if not self.active[kinds.STORE_SLOW]:
            faults.delay_s = STORE_DELAY_S


def play(schedule: schedules.Schedule) -> World:
    """Return the world after a run of `schedule` in virtual time."""

    async def played() -> World:
        world = World(schedule)
        await world.run()
        return world

    return virtual_time.run(played())


def dated_key(intention: schedules.Intention, name: str) -> str:
    """Return a version 7 UUID made at the first try of `intention`."""
    made_at = EPOCH + min(attempt.begins_at for attempt in intention.tries)
    serial = int.from_bytes(name.encode()[-7:], "big")
    return str(uuid.UUID(int=int(made_at * 1000) << 80 | 7 << 76 | 2 << 62 | serial))


def _begin(kind: schedules.FaultKind, process: GuardProcess, ending: contextlib.ExitStack) -> None:
    match kind:
        case schedules.FaultKind.GUARD_PAUSED:
            process.pause()
            ending.callback(process.resume)
        case schedules.FaultKind.GUARD_CRASHED:
            process.crash()
            ending.callback(process.restart)
        case schedules.FaultKind.GUARD_STOPPED:
            stopping = asyncio.create_task(process.stop())
            ending.callback(process.restart)
            ending.callback(process.crash)
            ending.callback(stopping.cancel)
        case schedules.FaultKind.ENDPOINT_CRASHED:
            process.endpoint.crash()
            ending.callback(process.endpoint.restart)
        case schedules.FaultKind.ENDPOINT_SHEDS:
            process.endpoint.sheds += 1
            ending.callback(_stop_shedding, process.endpoint)


def _stop_shedding(endpoint: Endpoint) -> None:
    endpoint.sheds -= 1


async def _send_idempotent(_attempt: transport.Attempt) -> results.AttemptResult:
    await asyncio.sleep(IDEMPOTENT_TIME_S)
    return results.Answered(outcomes.Answer(200, (), b""), load=None)


async def _sweep_forever(sweeping: sweeper.Sweeper, interval_s: float) -> None:
    while True:
        await asyncio.sleep(interval_s)
        with contextlib.suppress(tables.ReadError):
            await sweeping.sweep("")


def _event(outcome: outcomes.Outcome, at: instants.Instant, call_id: str) -> history.Event:
    match outcome:
        case outcomes.Ran(answer=answer):
            return history.Answered(at, call_id, answer.body)
        case outcomes.NotRun(reason=refusal, retry_at=retry_at):
            return history.Refused(at, call_id, refusal, retry_at)
        case outcomes.Unknown(reason=uncertainty):
            return history.Undecided(at, call_id, uncertainty)


def _record(process: GuardProcess) -> records.NodeRecord:
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
        expires_at=EPOCH * 2,
    )
