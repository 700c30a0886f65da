"""Attempts over HTTP: one request, sent at most once, on one connection."""

from __future__ import annotations

import asyncio
import typing

import aiohttp

from goldcrestgrade import headers, http_client, instants, outcomes, reasons, telemetry
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import exchanges, pools, results

DEFAULT_LIMIT = 200
"""Connections to an endpoint of which no share is known."""

UNUSED_POOL_S = 60.0
"""Time after which the pool of an endpoint that is no longer called is dropped."""

Address = tuple[str, int]
"""Host and port of an endpoint."""


class Attempt(typing.NamedTuple):
    """One request on its way to one endpoint."""

    attempt_id: str
    request: requests.Request
    host: str
    port: int
    caller_region: str
    answer_by: instants.Instant = instants.NEVER
    """Deadline of this attempt, where it ends before the request's."""


class HttpTransport:
    """Sends attempts to endpoints; owns the connections to them."""

    def __init__(self, clocks: instants.Clocks, counts: telemetry.Counts) -> None:
        self.clocks = clocks
        self.counts = counts
        self.limits: dict[Address, int] = {}
        self.pools: dict[Address, pools.Pool] = {}
        self.fresh = http_client.open_connector(keepalive_s=0)

    async def send(self, attempt: Attempt) -> results.AttemptResult:
        """Send `attempt` and return how it ended, at the latest at its deadline."""
        started = self.clocks.monotonic()
        deadline = min(attempt.request.deadline, attempt.answer_by)
        if deadline <= started:
            return results.Unreached("deadline passed")
        pool = self._pool((attempt.host, attempt.port), started)
        exchange = exchanges.Exchange(
            pool, self._prepared(attempt), deadline, self._before(deadline)
        )
        result: results.AttemptResult | None = None
        try:
            async with asyncio.timeout_at(deadline):
                # A run-once request isn't risked on a connection that may have gone silent.
                await exchange.connect(self.fresh if attempt.request.kind.run_once else None)
                response = await exchange.send()
                result = _result(response, await exchange.answer(response))
                return result
        except exchanges.Invalid as invalid:
            return self._broken(exchange, invalid.reason)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return self._failed(exchange, error, started)
        finally:
            if not _has_rest(result):
                exchange.close()

    def set_limits(self, limits: dict[Address, int]) -> None:
        """Set how many connections to each endpoint this node may hold."""
        self.limits = limits
        for address, pool in self.pools.items():
            pool.slots.resize(limits.get(address, DEFAULT_LIMIT))

    async def close(self) -> None:
        """Close all connections."""
        await self.fresh.close()
        await asyncio.gather(*(pool.close() for pool in self.pools.values()))

    def _before(self, deadline: instants.Instant) -> typing.Callable[[], bool]:
        # The monotonic clock stands still while an instance is suspended; the wall clock does not.
        wall_deadline = self.clocks.to_wall(deadline)

        def before() -> bool:
            return self.clocks.monotonic() < deadline and self.clocks.wall() < wall_deadline

        return before

    def _failed(
        self, exchange: exchanges.Exchange, error: Exception, started: instants.Instant
    ) -> results.AttemptResult:
        if not exchange.sent:
            return results.Unreached(str(error) or "no connection in time")
        if isinstance(error, TimeoutError):
            self._suspect(exchange, started)
            return self._broken(exchange, reasons.Uncertainty.TIMED_OUT)
        if isinstance(error, aiohttp.ClientPayloadError):
            return self._broken(exchange, reasons.Uncertainty.ANSWER_CUT)
        if isinstance(error, aiohttp.ClientResponseError):
            return self._broken(exchange, reasons.Uncertainty.ANSWER_INVALID)
        return self._broken(exchange, reasons.Uncertainty.ANSWER_LOST)

    def _broken(self, exchange: exchanges.Exchange, reason: reasons.Uncertainty) -> results.Broken:
        self.counts.broken_attempts[reason] += 1
        reused = exchange.opened is not None and exchange.opened.reused
        return results.Broken(reason, reused)

    def _suspect(self, exchange: exchanges.Exchange, started: instants.Instant) -> None:
        """Close connections that may be as silent as the one of `exchange`."""
        if exchange.answering or exchange.opened is None or not exchange.opened.reused:
            return
        self.counts.events["silent_connection"] += 1
        self.counts.events["suspect_connection_closed"] += exchange.pool.close_idle(started)

    def _pool(self, address: Address, now: instants.Instant) -> pools.Pool:
        pool = self.pools.get(address)
        if pool is None:
            self._drop_unused(now)
            pool = pools.Pool(*address, self.limits.get(address, DEFAULT_LIMIT))
            self.pools[address] = pool
        pool.last_used = now
        return pool

    def _drop_unused(self, now: instants.Instant) -> None:
        for address, pool in list(self.pools.items()):
            if pool.slots.taken == 0 and now - pool.last_used > UNUSED_POOL_S:
                pool.close_idle(now)
                del self.pools[address]

    def _prepared(self, attempt: Attempt) -> exchanges.Prepared:
        request = attempt.request
        fields = [
            *request.headers,
            (headers.REQUEST_ID, request.request_id),
            (headers.ATTEMPT_ID, attempt.attempt_id),
            (headers.DEADLINE, f"{self.clocks.to_wall(request.deadline):.6f}"),
            (headers.CALLER_REGION, attempt.caller_region),
            (headers.NO_RETRY, "1"),
        ]
        return exchanges.Prepared(
            request.method,
            request.target,
            fields,
            request.body,
            attempt.attempt_id,
            streamed=not request.kind.run_once,
        )


def _result(response: aiohttp.ClientResponse, answer: outcomes.Answer) -> results.AttemptResult:
    load = parse_load(response.headers.get(headers.LOAD))
    if response.status == 503 and headers.NOT_RUN in response.headers:
        return results.Shed(load)
    return results.Answered(answer, load)


def _has_rest(result: results.AttemptResult | None) -> bool:
    return isinstance(result, results.Answered) and result.answer.rest is not None


def parse_load(text: str | None) -> int | None:
    """Return the load in a header, or none where it is absent or not a number."""
    return int(text) if text is not None and text.isdecimal() and len(text) < 7 else None
