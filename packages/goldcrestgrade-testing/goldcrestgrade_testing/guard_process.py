"""Simulated process of one guard with its endpoint, for runs in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing

from goldcrestgrade import instants
from goldcrestgrade.storage import resilient_tables, tables
from goldcrestgrade_node import requests
from goldcrestgrade_node.once import claims, executions, guard, messages, sweeper, write_behind
from goldcrestgrade_testing import (
    history,
    memory_endpoint,
    memory_network,
    memory_platform,
    schedules,
)

EPOCH: instants.WallInstant = 1_700_000_000.0
"""Wall instant at which a run begins; its virtual time begins at 0."""

SERVICE_TIMES_S = (0.005, 0.02, 0.1, 0.4, 2.0)
"""Service times of endpoints; each request draws one."""

SWEEP_INTERVAL_S = 0.5
"""Time between two sweeps of a guard for expired claim rows."""


class Setup(typing.NamedTuple):
    """Configuration of a run that does not come from its schedule."""

    published_guards: int = len(schedules.GUARDS)
    """Number of guards that the entry nodes know."""
    service_times_s: tuple[float, ...] = SERVICE_TIMES_S
    sweep_interval_s: float = SWEEP_INTERVAL_S


class Environment(typing.NamedTuple):
    """Parts of a run that all guard processes share."""

    setup: Setup
    log: history.History
    rng: random.Random
    network: memory_network.Network
    store: memory_platform.MemoryTables
    background_transactions: set[asyncio.Task[tables.Result]]
    """Transactions in progress; they continue when their sender stops waiting."""
    requests_at_dead_endpoints: list[requests.Request]
    """Requests whose attempt ended with the crash of an endpoint."""
    on_restart: typing.Callable[[], None]
    """Called after the start of a new incarnation."""


class StoreLink:
    """Access of a guard to the table service; waits while the guard is paused or cut off."""

    def __init__(self, store: memory_platform.MemoryTables, process: GuardProcess) -> None:
        self.store = store
        self.process = process

    async def transact(self, transaction: tables.Transaction) -> tables.Result:
        """Commit `transaction`, even if the sender stops waiting."""
        await self._wait_until_reachable()
        committing = asyncio.create_task(self.store.transact(transaction))
        self.process.environment.background_transactions.add(committing)
        return await asyncio.shield(committing)

    async def read(self, table: str, key: str) -> tables.Row | None:
        """Return a row as of its last commit; raises `ReadError`."""
        await self._wait_until_reachable()
        return await self.store.read(table, key)

    async def scan(self, table: str, prefix: str, limit: int) -> list[tables.Row]:
        """Return the first `limit` rows whose keys begin with `prefix`; raises `ReadError`."""
        await self._wait_until_reachable()
        return await self.store.scan(table, prefix, limit)

    async def _wait_until_reachable(self) -> None:
        await self.process.resumed.wait()
        if self.process.environment.network.is_cut(self.process.region, 0):
            await asyncio.Event().wait()


class PausableCommitter(claims.Committer):
    """A committer whose process may be paused between the result of a claim and the next step."""

    resumed: asyncio.Event

    async def claim(self, claim: claims.Claim) -> claims.ClaimResult:
        """Return the result of `claim`; wait while the process is paused."""
        result = await super().claim(claim)
        await self.resumed.wait()
        return result


class GuardProcess:
    """A guard with its endpoint; it can be paused, crashed, stopped and restarted."""

    def __init__(self, name: str, region: int, skew_s: float, environment: Environment) -> None:
        self.name = name
        self.region = region
        self.skew_s = skew_s
        self.environment = environment
        self.endpoint = memory_endpoint.Endpoint(
            name, environment.setup.service_times_s, environment.log, environment.rng
        )
        self.control_url = f"http://{name}:80"
        self.incarnation = 0
        self.up = False
        self.stopping = False
        self.crashed = asyncio.Event()
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.pause_count = 0
        self.tasks: list[asyncio.Task[None]] = []

    def start_incarnation(self) -> None:
        """Start a new incarnation with no state but that of the table service."""
        clocks = instants.loop_clocks(EPOCH + self.skew_s)
        store = resilient_tables.ResilientTables(
            StoreLink(self.environment.store, self), clocks, self.environment.rng
        )
        committer = PausableCommitter(store, clocks)
        committer.resumed = self.resumed
        writer = write_behind.WriteBehind(store, clocks)
        self.incarnation += 1
        self.guard = guard.Guard(
            executions.Identity(self.name, self.incarnation, self.control_url),
            committer,
            writer,
            memory_network.MemoryGuardClient(self.environment.network, self.region, self.skew_s),
            self.endpoint.start,
            lambda: not self.stopping,
            self.environment.requests_at_dead_endpoints.append,
            clocks,
        )
        guard_sweeper = sweeper.Sweeper(store, clocks, self.environment.rng)
        self.tasks = [
            asyncio.create_task(task)
            for task in (
                committer.run(),
                writer.run(),
                self.guard.evict_forever(),
                _sweep_forever(guard_sweeper, self.environment.setup.sweep_interval_s),
            )
        ]
        self.up = True
        self.stopping = False
        self.crashed = asyncio.Event()

    async def receive(self, message: messages.Message) -> messages.Reply:
        """Return the reply to `message`; wait while the process is paused."""
        await self.resumed.wait()
        reply = await self.guard.receive(message)
        await self.resumed.wait()
        return reply

    def pause(self) -> None:
        """Pause the process until it has been resumed as often as paused."""
        self.pause_count += 1
        self.resumed.clear()

    def resume(self) -> None:
        """Undo one pause; pauses of several faults may overlap."""
        self.pause_count -= 1
        if self.pause_count == 0:
            self.resumed.set()

    def crash(self) -> None:
        """End the process and lose its state in memory."""
        if not self.up:
            return
        self.up = False
        self.crashed.set()
        for task in [*self.tasks, *self.guard.tasks]:
            task.cancel()

    def restart(self) -> None:
        """Start again after a crash or a stop."""
        if not self.up:
            self.start_incarnation()
            self.environment.on_restart()

    async def stop(self) -> None:
        """Refuse new requests, finish the others, write their outcomes and end the process."""
        self.stopping = True
        while self.up and (self.guard.tasks or not self.guard.writer.is_idle()):
            await asyncio.sleep(0.1)
        self.crash()


async def _sweep_forever(guard_sweeper: sweeper.Sweeper, interval_s: float) -> None:
    while True:
        await asyncio.sleep(interval_s)
        with contextlib.suppress(tables.ReadError):
            await guard_sweeper.sweep("")
