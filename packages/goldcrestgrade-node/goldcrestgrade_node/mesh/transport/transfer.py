"""Sends one request on a connection and receives its complete answer."""

from __future__ import annotations

import asyncio
import typing

import aiohttp

from goldcrestgrade import answer_memory, headers, instants, outcomes, reasons
from goldcrestgrade_node.attempts import exchanges, results
from goldcrestgrade_node.mesh.transport import bodies, connections

REFUSED = "refused"
"""Text of the result if the connection was refused."""

SILENT = "silent"
"""Text of the result if nothing answered the connection attempt within its time-out."""


class TransferResult(typing.NamedTuple):
    """The result of a transfer, with all headers of the answer."""

    result: results.Answered | results.Unreachable | results.Broken
    fields: typing.Mapping[str, str]
    """Headers by lower-case name, including those meant for nodes only."""
    skipped: int
    """Answers to other requests that arrived before this answer and were dropped."""
    reused: bool = False
    """Whether the connection had served a request before."""
    body_sent: bool = True
    """Whether the other side may have the whole body."""


async def send(
    pool: connections.ConnectionPool,
    prepared: exchanges.PreparedRequest,
    deadline: instants.Instant,
    max_idle_s: float,
    may_send: typing.Callable[[], bool],
    admitted_by: instants.Instant | None = None,
    memory: answer_memory.Reservation | None = None,
) -> TransferResult:
    """Send `prepared` and return the result, at `deadline` at the latest.

    With `admitted_by`, the request has an expectation, and its body is sent only if the other side
    asks for it until then. A failure before the other side can have the whole body is reported as
    unreachable. An answer takes its memory from `memory`, in place of that of an earlier one.
    """
    if memory is not None:
        memory.release()
    body: bodies.PartedBody | None = None
    if admitted_by is not None or len(prepared.body) >= bodies.ASK_MIN_BYTES:
        body = bodies.PartedBody(prepared.body, lambda: _allow_until(limit, deadline))
    exchange = exchanges.Exchange(
        typing.cast(typing.Any, pool.with_max_idle(max_idle_s)),
        prepared,
        deadline,
        may_send,
        body,
        memory,
    )
    complete = answered = False
    fields: dict[str, str] = {}
    result: results.Answered | results.Unreachable | results.Broken
    try:
        async with asyncio.timeout_at(deadline) as limit:
            await exchange.connect(None)
            assert exchange.opened is not None
            protocol = typing.cast(connections.Protocol, exchange.opened.protocol)
            if admitted_by is not None:
                protocol.limit_unsent_bytes(bodies.PART_BYTES)
                limit.reschedule(min(deadline, admitted_by))
            protocol.echo_header = prepared.echo_header
            protocol.attempt_id = prepared.attempt_id or None
            response = await exchange.send()
            early = not exchange.request.body_written or (
                body is not None and protocol.unacknowledged_bytes() > 0
            )
            fields = dict(headers.from_bytes(response.raw_headers))
            answer = await exchange.answer(response)
            answered = True
        # The other side may answer before it has read the body. It may then take the rest of the
        # body, or the next request, for anything.
        complete = not early
        protocol.keepalive_s = _keepalive_s(fields.get("keep-alive"))
        result = results.Answered(answer, None)
    except exchanges.InvalidAnswer as invalid:
        result = results.Broken(invalid.reason, exchange.reused)
        fields = {}
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        result = _failure_result(exchange, error)
    finally:
        exchange.close(complete)
        if memory is not None:
            if answered:
                memory.complete()
            else:
                memory.release()
    if admitted_by is not None and isinstance(result, results.Broken):
        assert body is not None
        if not body.last_part_begun:
            result = results.Unreachable(result.reason)
    skipped = 0
    if exchange.opened is not None:
        skipped = typing.cast(connections.Protocol, exchange.opened.protocol).skipped
    return TransferResult(
        result, fields, skipped, exchange.reused, body is None or body.last_part_begun
    )


def _allow_until(limit: asyncio.Timeout, deadline: instants.Instant) -> None:
    if not limit.expired():
        limit.reschedule(deadline)


def _failure_result(
    exchange: exchanges.Exchange, error: Exception
) -> results.Unreachable | results.Broken:
    if not exchange.sent:
        if isinstance(error, connections.ConnectTimeout):
            return results.Unreachable(SILENT)
        refused = isinstance(error, ConnectionRefusedError)
        return results.Unreachable(REFUSED if refused else repr(error))
    if isinstance(error, TimeoutError):
        return results.Broken(reasons.Uncertainty.TIMED_OUT, exchange.reused)
    if isinstance(error, aiohttp.ClientPayloadError):
        return results.Broken(reasons.Uncertainty.ANSWER_CUT, exchange.reused)
    if isinstance(error, aiohttp.ClientResponseError):
        return results.Broken(reasons.Uncertainty.ANSWER_INVALID, exchange.reused)
    return results.Broken(reasons.Uncertainty.ANSWER_LOST, exchange.reused)


def _keepalive_s(text: str | None) -> float:
    """Return the seconds for which an idle connection may be reused, from a `Keep-Alive` header."""
    options = {
        name.strip().lower(): value.strip()
        for name, _, value in (part.partition("=") for part in (text or "").split(","))
    }
    timeout_s = headers.parse_count(options.get("timeout"))
    if timeout_s is None:
        return connections.DEFAULT_KEEPALIVE_S
    return max(0.0, timeout_s - connections.KEEPALIVE_MARGIN_S)


def client_answer(
    outcome: outcomes.Outcome, request_id: str, now: instants.Instant
) -> outcomes.Answer:
    """Return the answer to a client, with a `Retry-After` in fractions of a second."""
    return outcomes.to_answer(outcome, request_id, now, outcomes.fractional_retry_after)
