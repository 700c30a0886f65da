"""One guard with its endpoint, as a process that can be paused, crashed, stopped and restarted."""

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
"""Wall instant at which a run starts."""

SERVICE_TIMES_S = (0.005, 0.02, 0.1, 0.4, 2.0)
"""Times that an endpoint works on a request."""

SWEEP_INTERVAL_S = 0.5
"""Time between two sweeps of a guard."""


class Setup(typing.NamedTuple):
    """What is the same in all schedules of one kind."""

    published_guards: int = len(schedules.GUARDS)
    """Number of guards that the entries know of."""
    service_times_s: tuple[float, ...] = SERVICE_TIMES_S
    sweep_interval_s: float = SWEEP_INTERVAL_S


class Environment(typing.NamedTuple):
    """What a guard process shares with the rest of the run."""

    setup: Setup
    log: history.History
    rng: random.Random
    network: memory_network.Network
    store: memory_platform.MemoryTables
    background_transactions: set[asyncio.Task[tables.Result]]
    """Transactions that go on when their sender gives up."""
    requests_at_dead_endpoints: list[requests.Request]
    """Requests whose attempts ended with the death of an endpoint."""
    on_restart: typing.Callable[[], None]
    """Called when a new incarnation has started."""


class StoreLink:
    """The table service as one guard reaches it."""

    def __init__(self, store: memory_platform.MemoryTables, process: GuardProcess) -> None:
        self.store = store
        self.process = process

    async def transact(self, transaction: tables.Transaction) -> tables.Result:
        """Commit `transaction`, whether the caller waits or not."""
        await self._wait_until_reachable()
        committing = asyncio.create_task(self.store.transact(transaction))
        self.process.environment.background_transactions.add(committing)
        return await asyncio.shield(committing)

    async def read(self, table: str, key: str) -> tables.Row | None:
        """Return a row as of its last commit; raises `ReadError`."""
        await self._wait_until_reachable()
        return await self.store.read(table, key)

    async def scan(self, table: str, prefix: str, limit: int) -> list[tables.Row]:
        """Return at most `limit` rows by key order; raises `ReadError`."""
        await self._wait_until_reachable()
        return await self.store.scan(table, prefix, limit)

    async def _wait_until_reachable(self) -> None:
        await self.process.resumed.wait()
        if self.process.environment.network.is_cut(self.process.region, 0):
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
        """Start a new incarnation."""
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
        """Return the reply to `message`, when the process is not paused."""
        await self.resumed.wait()
        reply = await self.guard.receive(message)
        await self.resumed.wait()
        return reply

    def pause(self) -> None:
        """Let the process do nothing until it is resumed as often as paused."""
        self.pause_count += 1
        self.resumed.clear()

    def resume(self) -> None:
        """Undo one pause."""
        self.pause_count -= 1
        if self.pause_count == 0:
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
            self.start_incarnation()
            self.environment.on_restart()

    async def stop(self) -> None:
        """End as planned: take no new work, finish the old, and go."""
        self.stopping = True
        while self.up and (self.guard.tasks or not self.guard.writer.is_idle()):
            await asyncio.sleep(0.1)
        self.crash()


async def _sweep_forever(guard_sweeper: sweeper.Sweeper, interval_s: float) -> None:
    while True:
        await asyncio.sleep(interval_s)
        with contextlib.suppress(tables.ReadError):
            await guard_sweeper.sweep("")
