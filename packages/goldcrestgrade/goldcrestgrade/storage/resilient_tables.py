"""Client of the table service with timeouts, a circuit breaker and a request budget."""

from __future__ import annotations

import asyncio
import logging
import random
import typing

from goldcrestgrade import instants
from goldcrestgrade.storage import breaker, budget, tables

REQUEST_TIMEOUT_S = 0.4
"""Timeout of a request to the table service, and longest wait for the budget before it."""

TRIAL_TABLE = "claims"
"""Table that a trial request reads."""

TRIAL_KEY = "trial"
"""Key that a trial request reads; no such row exists."""

T = typing.TypeVar("T")

log = logging.getLogger(__name__)


class Unavailable(tables.ReadError):
    """A request was not sent because the breaker is open or the budget is spent."""

    def __init__(self, text: str, retry_at: instants.Instant) -> None:
        super().__init__(text)
        self.retry_at = retry_at


class ResilientTables:
    """A table service behind a breaker and a budget; owned by the event loop of its process."""

    def __init__(
        self, inner: tables.TableService, clocks: instants.Clocks, rng: random.Random
    ) -> None:
        self.inner = inner
        self.clocks = clocks
        self.breaker = breaker.Breaker(rng)
        self.budget = budget.Budget()
        self.trials: set[asyncio.Task[None]] = set()

    async def transact(self, transaction: tables.Transaction) -> tables.Result:
        """Commit `transaction`, or reject it without a request while the breaker is open."""
        try:
            deadline = await self._admit()
        except Unavailable as error:
            return tables.Rejected(str(error), error.retry_at)
        result: tables.Result = tables.Unanswered("table service did not answer in time")
        try:
            async with asyncio.timeout_at(deadline):
                result = await self.inner.transact(transaction)
        except TimeoutError:
            pass
        finally:
            self._record_result(isinstance(result, tables.Committed | tables.Conflicted))
        return result

    async def read(self, table: str, key: str) -> tables.Row | None:
        """Return a row as of its last commit; raises `ReadError`."""
        return await self._read(lambda: self.inner.read(table, key))

    async def scan(self, table: str, prefix: str, limit: int) -> list[tables.Row]:
        """Return at most `limit` rows by key order; raises `ReadError`."""
        return await self._read(lambda: self.inner.scan(table, prefix, limit))

    async def _read(self, send: typing.Callable[[], typing.Awaitable[T]]) -> T:
        deadline = await self._admit()
        answered = False
        try:
            async with asyncio.timeout_at(deadline):
                result = await send()
            answered = True
        except TimeoutError as error:
            raise tables.ReadError(
                f"no answer from the table service within {REQUEST_TIMEOUT_S} s"
            ) from error
        finally:
            self._record_result(answered)
        return result

    async def _admit(self) -> instants.Instant:
        now = self.clocks.monotonic()
        if not self.breaker.allows_requests():
            if self.breaker.begin_trial(now, now + REQUEST_TIMEOUT_S):
                self._begin_trial()
            raise Unavailable(
                "request to the table service not sent: circuit breaker is open",
                self.breaker.retry_at(now),
            )
        usable_at = self.budget.reserve(now, self.breaker.closed_at)
        if usable_at > now + REQUEST_TIMEOUT_S:
            self.budget.cancel_reservation()
            raise Unavailable(
                "request to the table service not sent: request budget is spent", usable_at
            )
        if usable_at > now:
            await asyncio.sleep(usable_at - now)
        return self.clocks.monotonic() + REQUEST_TIMEOUT_S

    def _begin_trial(self) -> None:
        # The trial is a separate read, so that no client request waits for its result.
        trial = asyncio.create_task(self._send_trial())
        self.trials.add(trial)
        trial.add_done_callback(self.trials.discard)

    async def _send_trial(self) -> None:
        answered = False
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await self.inner.read(TRIAL_TABLE, TRIAL_KEY)
            answered = True
        except (TimeoutError, tables.ReadError) as error:
            log.info(
                "trial request to the table service failed; circuit breaker opens again",
                extra={"error": repr(error)},
            )
        finally:
            self._record_result(answered)

    def _record_result(self, answered: bool) -> None:
        now = self.clocks.monotonic()
        if answered:
            self.breaker.record_success(now)
        else:
            self.breaker.record_failure(now)
