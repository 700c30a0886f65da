"""Attempts over HTTP: each sends one request, at most once, on one connection."""

from __future__ import annotations

import asyncio
import typing

import aiohttp
import orjson
import yarl

from goldcrestgrade import counters, headers, http_client, instants, outcomes, reasons
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import exchanges, pools, results, shares, silence

DEFAULT_MAX_CONNECTIONS = 200
"""Largest number of connections to a node, and to an endpoint whose share is unknown."""

FORWARD_PATH = "/v1/forward"
"""Path on the control address to which attempts are relayed."""

FORWARD_HEADER = "goldcrestgrade-forward"
"""Header that carries the `forwarding.ForwardDocument` of a relayed attempt, as JSON."""

UNUSED_POOL_S = 60.0
"""Time without use after which the connection pool of an endpoint is dropped."""

Address = tuple[str, int]
"""Host and port of an endpoint."""


class Attempt(typing.NamedTuple):
    """One sending of a request to one endpoint."""

    attempt_id: str
    request: requests.Request
    host: str
    port: int
    caller_region: str
    attempt_deadline: instants.Instant = instants.NEVER
    """Deadline of this attempt, if it is earlier than the request's."""
    control_url: str | None = None
    """Base URL of the endpoint's node, if the attempt may be relayed."""
    on_new_connection: bool = False
    """Whether the attempt must use a new connection."""


class HttpTransport:
    """Sends attempts to endpoints; owns the connections to them."""

    def __init__(
        self, clocks: instants.Clocks, counts: counters.Counts, shared_key: str = ""
    ) -> None:
        self.clocks = clocks
        self.counts = counts
        self.shared_key = shared_key
        self.shares: dict[str, dict[Address, shares.Share]] = {}
        """Connection shares of this node, by service and address."""
        self.pools: dict[Address, pools.Pool] = {}
        self.unpooled = http_client.open_connector(keepalive_s=0)

    async def send(self, attempt: Attempt) -> results.AttemptResult:
        """Send `attempt` and return its result, at its deadline at the latest."""
        started = self.clocks.monotonic()
        deadline = min(attempt.request.deadline, attempt.attempt_deadline)
        if deadline <= started:
            return results.Unreachable("deadline passed before the attempt began")
        exchange = self._exchange(attempt, deadline, started)
        result: results.AttemptResult | None = None
        try:
            async with asyncio.timeout_at(deadline) as timeout:
                # A run-once request isn't sent on a reused connection, which may have gone silent.
                needs_new_connection = attempt.on_new_connection or attempt.request.kind.run_once
                await exchange.connect(self.unpooled if needs_new_connection else None)
                if exchange.reused and attempt.request.retries_allowed:
                    timeout.reschedule(self._silence_deadline(exchange, deadline))
                response = await exchange.send()
                timeout.reschedule(deadline)
                exchange.pool.record_latency(self.clocks.monotonic() - started)
                answer = await exchange.answer(response)
                result = _result(response, answer, exchange.prepared.echo_required)
                return result
        except exchanges.InvalidAnswer as invalid:
            return self._broken(exchange, invalid.reason)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return self._result_of_error(exchange, error, started)
        finally:
            if not _has_rest(result):
                exchange.close(complete=isinstance(result, results.Answered | results.Shed))

    def set_shares(self, service: str, new_shares: dict[Address, shares.Share]) -> None:
        """Set the connection shares of this node at the endpoints of `service`."""
        self.shares[service] = new_shares
        for address, share in new_shares.items():
            if address in self.pools and isinstance(share, shares.Direct):
                self.pools[address].slots.resize(share.limit)

    async def close(self) -> None:
        """Close all connections."""
        await self.unpooled.close()
        await asyncio.gather(*(pool.close() for pool in self.pools.values()))

    def _is_before(self, deadline: instants.Instant) -> typing.Callable[[], bool]:
        # The monotonic clock stops while an instance is suspended; the wall clock does not.
        wall_deadline = self.clocks.to_wall(deadline)

        def is_before_deadline() -> bool:
            return self.clocks.monotonic() < deadline and self.clocks.wall() < wall_deadline

        return is_before_deadline

    def _result_of_error(
        self, exchange: exchanges.Exchange, error: Exception, started: instants.Instant
    ) -> results.AttemptResult:
        if not exchange.sent:
            return results.Unreachable(str(error) or "no connection before the deadline")
        if isinstance(error, TimeoutError):
            self._close_suspect_connections(exchange, started)
            return self._broken(exchange, reasons.Uncertainty.TIMED_OUT)
        if isinstance(error, aiohttp.ClientPayloadError):
            return self._broken(exchange, reasons.Uncertainty.ANSWER_CUT)
        if isinstance(error, aiohttp.ClientResponseError):
            return self._broken(exchange, reasons.Uncertainty.ANSWER_INVALID)
        return self._broken(exchange, reasons.Uncertainty.ANSWER_LOST)

    def _broken(self, exchange: exchanges.Exchange, reason: reasons.Uncertainty) -> results.Broken:
        self.counts.broken_attempts[reason] += 1
        return results.Broken(reason, exchange.reused)

    def _close_suspect_connections(
        self, exchange: exchanges.Exchange, started: instants.Instant
    ) -> None:
        """Close idle connections that may have gone silent like the one of `exchange`."""
        if exchange.head_received or not exchange.reused:
            return
        self.counts.events[reasons.Event.SILENT_CONNECTION] += 1
        self.counts.events[reasons.Event.SUSPECT_CONNECTION_CLOSED] += exchange.pool.close_idle(
            started
        )

    def _silence_deadline(
        self, exchange: exchanges.Exchange, deadline: instants.Instant
    ) -> instants.Instant:
        now = self.clocks.monotonic()
        return silence.silence_deadline(now, deadline, exchange.pool.slowest_answer_s)

    def _exchange(
        self, attempt: Attempt, deadline: instants.Instant, now: instants.Instant
    ) -> exchanges.Exchange:
        address = (attempt.host, attempt.port)
        share = self.shares.get(attempt.request.service, {}).get(address)
        if isinstance(share, shares.Relay) and attempt.control_url is not None:
            self.counts.events[reasons.Event.ATTEMPT_RELAYED] += 1
            pool = self._pool(_control_address(attempt.control_url), DEFAULT_MAX_CONNECTIONS, now)
            return exchanges.Exchange(
                pool, self._relayed(attempt), deadline, self._is_before(deadline)
            )
        limit = share.limit if isinstance(share, shares.Direct) else DEFAULT_MAX_CONNECTIONS
        return exchanges.Exchange(
            self._pool(address, limit, now),
            self._prepared(attempt),
            deadline,
            self._is_before(deadline),
        )

    def _pool(self, address: Address, limit: int, now: instants.Instant) -> pools.Pool:
        pool = self.pools.get(address)
        if pool is None:
            self._drop_unused_pools(now)
            pool = pools.Pool(*address, limit)
            self.pools[address] = pool
        pool.last_used = now
        return pool

    def _drop_unused_pools(self, now: instants.Instant) -> None:
        for address, pool in list(self.pools.items()):
            if pool.slots.taken == 0 and now - pool.last_used > UNUSED_POOL_S:
                pool.close_idle(now)
                del self.pools[address]

    def _prepared(self, attempt: Attempt) -> exchanges.PreparedRequest:
        request = attempt.request
        fields = [
            *request.headers,
            (headers.REQUEST_ID, request.request_id),
            (headers.ATTEMPT_ID, attempt.attempt_id),
            (headers.DEADLINE, f"{self.clocks.to_wall(request.deadline):.6f}"),
            (headers.CALLER_REGION, attempt.caller_region),
            (headers.NO_RETRY, "1"),
        ]
        return exchanges.PreparedRequest(
            request.method,
            request.target,
            fields,
            request.body,
            attempt.attempt_id,
            streamed=not request.kind.run_once,
        )

    def _relayed(self, attempt: Attempt) -> exchanges.PreparedRequest:
        request = attempt.request
        document = {
            "attempt_id": attempt.attempt_id,
            "request_id": request.request_id,
            "service": request.service,
            "target": request.target,
            "headers": request.headers,
            "deadline": self.clocks.to_wall(request.deadline),
            "caller_region": attempt.caller_region,
        }
        fields = [
            (headers.CONTROL_KEY, self.shared_key),
            (FORWARD_HEADER, orjson.dumps(document).decode("latin-1")),
        ]
        return exchanges.PreparedRequest(
            request.method,
            FORWARD_PATH,
            fields,
            request.body,
            attempt.attempt_id,
            streamed=True,
            echo_required=True,
        )


def _control_address(control_url: str) -> Address:
    url = yarl.URL(control_url)
    return url.host or "", url.port or 0


def _result(
    response: aiohttp.ClientResponse, answer: outcomes.Answer, relayed: bool
) -> results.AttemptResult:
    load = parse_load(response.headers.get(headers.LOAD))
    if response.status == 503 and headers.NOT_RUN in response.headers:
        return results.Shed(load)
    if response.headers.get(headers.OUTCOME) == "unknown" and relayed:
        return results.Broken(_uncertainty(response.headers.get(headers.REASON, "")))
    return results.Answered(answer, load)


def _uncertainty(text: str) -> reasons.Uncertainty:
    """Return the reason named `text`; one that only newer nodes know counts as a lost answer."""
    known = {str(reason): reason for reason in reasons.Uncertainty}
    return known.get(text, reasons.Uncertainty.ANSWER_LOST)


def _has_rest(result: results.AttemptResult | None) -> bool:
    return isinstance(result, results.Answered) and result.answer.rest is not None


def parse_load(text: str | None) -> int | None:
    """Return the load in a header, or None if it is absent or not a number of at most 6 digits."""
    return int(text) if text is not None and text.isdecimal() and len(text) < 7 else None
