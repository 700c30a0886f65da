"""Relay of requests over HTTP from one node to the endpoint's node."""

from __future__ import annotations

import asyncio
import logging
import math
import typing

from goldcrestgrade import answer_memory, counters, headers, instants, outcomes, reasons
from goldcrestgrade_node import asgi
from goldcrestgrade_node.attempts import exchanges, results
from goldcrestgrade_node.entry import disconnects
from goldcrestgrade_node.mesh.transport import (
    bodies,
    connections,
    dialect,
    loads,
    requests,
    signals,
    transfer,
)

log = logging.getLogger(__name__)

RUN_ONCE_MAX_IDLE_S = 10.0
"""Longest idle time after which a connection to a node is reused for a run-once request."""

IDEMPOTENT_MAX_IDLE_S = 20.0
"""The same for an idempotent request; below the idle limit of the other node's server."""

UNKNOWN_STATUS = 502
"""Status of a relay answer for an unknown outcome, in place of an endpoint's status."""

NOT_RUN_STATUS = 503
"""Status of a relay answer for a request that did not run."""

QUEUE_RETRY_S = 0.3
"""Delay after which a request that waited too long for its admission may be sent there again."""

RELAY_HEADER = headers.RELAY.encode()
"""Header with the description of a request, as in a scope."""

Serve = typing.Callable[[requests.Call, bodies.FetchBody | None], typing.Awaitable[requests.Served]]
"""Serves a request at the own endpoint; its body may have to be fetched."""


class BodyTerms(typing.NamedTuple):
    """What bounds the bodies that other nodes send."""

    memory: bodies.BodyMemory
    link_mbps: typing.Callable[[], float]
    """Bandwidth of this node's link in megabits a second; 0 if it is not known."""
    counts: counters.Counts
    answers: answer_memory.AnswerMemory


class RelayApp:
    """ASGI application that serves requests of other nodes at the own endpoint."""

    def __init__(
        self,
        serve: Serve,
        header_names: dialect.Dialect,
        max_body_bytes: typing.Callable[[], int],
        is_closing: typing.Callable[[], bool],
        clocks: instants.Clocks,
        terms: BodyTerms,
    ) -> None:
        self.serve = serve
        self.attempt_id_header = header_names.attempt_id.encode()
        self.max_body_bytes = max_body_bytes
        self.is_closing = is_closing
        self.clocks = clocks
        self.terms = terms
        self.incoming_bytes = 0
        """Bytes of bodies of admitted requests that other nodes are sending."""

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one relayed request."""
        if asgi.SATURATED in scope:
            await self._refuse_saturated(scope, send)
            return
        reservation = bodies.Reservation(self.terms.memory)
        answer = answer_memory.Reservation(self.terms.answers)
        try:
            await self._serve(scope, receive, send, reservation, answer)
        except asgi.Disconnected:
            return
        finally:
            reservation.release()
            answer.close()

    async def _serve(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        reservation: bodies.Reservation,
        answer: answer_memory.Reservation,
    ) -> None:
        started = self.clocks.monotonic()
        by_name = {name: value.decode("latin-1") for name, value in scope["headers"]}
        length = bodies.length_of(by_name)
        limit = self.max_body_bytes()
        asked = by_name.get(b"expect", "").lower() == bodies.EXPECTATION and length is not None
        body: bytes | reasons.Refusal = b""
        if not asked:
            body = await bodies.read(receive, limit, reservation, length)
        elif length is not None and length > limit:
            body = reasons.Refusal.BODY_TOO_LARGE
        elif length is not None and not reservation.grow_to(length):
            body = reasons.Refusal.SATURATED
        message = requests.Message(
            method=scope["method"],
            target=asgi.target_of(scope),
            host=headers.decode_value(by_name.get(b"host", "").encode("latin-1")),
            headers=headers.end_to_end(headers.from_request(scope["headers"])),
            body=body if isinstance(body, bytes) else b"",
        )
        attempt_id = by_name.get(self.attempt_id_header, "")
        # Nodes of earlier builds send UTF-8.
        text = by_name.get(RELAY_HEADER, "").encode("latin-1")
        call = requests.decode(text, attempt_id, message, self.clocks.monotonic())
        if call is None or body == reasons.Refusal.BODY_TOO_LARGE:
            refused = outcomes.NotRun(reasons.Refusal.INVALID_REQUEST)
            served = requests.Served(refused, None, arrived=False)
            await self._answer(send, served, attempt_id, started)
            return
        call = call._replace(answer_memory=answer)
        if asked and isinstance(body, bytes) and self._is_link_full(call, length or 0):
            body = reasons.Refusal.SATURATED
        elif body == reasons.Refusal.SATURATED:
            self.terms.counts.events[reasons.Event.BODY_MEMORY_FULL] += 1
        if body == reasons.Refusal.SATURATED:
            log.info(
                "body refused before it was read",
                extra={
                    "request_id": attempt_id,
                    "bytes": length,
                    "held_bytes": self.terms.memory.held_bytes,
                    "incoming_bytes": self.incoming_bytes,
                },
            )
            retry_at = self.clocks.monotonic() + bodies.MEMORY_RETRY_S
            refused = outcomes.NotRun(reasons.Refusal.SATURATED, retry_at)
            unserved = requests.Served(refused, None, arrived=False)
            await self._answer(send, unserved, attempt_id, started)
            return
        if asked:
            assert length is not None
            ended = await self._serve_asked(call, receive, length, reservation)
        else:
            ended = await self._serve_watched(call, receive)
        if ended is not None:
            await self._answer(send, ended, attempt_id, started)

    async def _refuse_saturated(self, scope: asgi.Scope, send: asgi.Send) -> None:
        """Refuse a request before its body is read, as too many are under way."""
        started = self.clocks.monotonic()
        fields = dict(scope["headers"])
        attempt_id = fields.get(self.attempt_id_header, b"").decode("latin-1")
        refused = outcomes.NotRun(reasons.Refusal.SATURATED, started + bodies.MEMORY_RETRY_S)
        unserved = requests.Served(refused, None, arrived=False)
        await self._answer(send, unserved, attempt_id, started)

    def _is_link_full(self, call: requests.Call, length: int) -> bool:
        return bodies.is_link_full(
            self.incoming_bytes,
            length,
            self.terms.link_mbps(),
            call.deadline if call.late_allowed else call.target_at,
            self.clocks.monotonic(),
        )

    async def _serve_watched(
        self, call: requests.Call, receive: asgi.Receive
    ) -> requests.Served | None:
        worker = asyncio.current_task()
        assert worker is not None
        watch = disconnects.Watch(receive, worker)
        try:
            return await self.serve(call, None)
        except asyncio.CancelledError:
            if not watch.disconnected:
                raise
            worker.uncancel()
            return None
        finally:
            watch.stop()

    async def _serve_asked(
        self,
        call: requests.Call,
        receive: asgi.Receive,
        length: int,
        reservation: bodies.Reservation,
    ) -> requests.Served | None:
        """Serve a request whose sender waits for admission before it sends the body.

        The first `receive` asks for the body, so the sender is watched only after the body.
        """
        worker = asyncio.current_task()
        assert worker is not None
        watches: list[disconnects.Watch] = []

        async def fetch() -> bytes | reasons.Refusal:
            now = self.clocks.monotonic()
            until = bodies.body_deadline(length, self.terms.link_mbps(), call.deadline, now)
            self.incoming_bytes += length
            try:
                async with asyncio.timeout_at(until):
                    body = await bodies.read(receive, length, reservation, length)
            except (TimeoutError, asgi.Disconnected) as error:
                self.terms.counts.events[reasons.Event.BODY_NOT_RECEIVED] += 1
                log.warning(
                    "body of an admitted request not received; its slot is given back",
                    extra={
                        "request_id": call.attempt_id,
                        "bytes": length,
                        "waited_s": round(self.clocks.monotonic() - now, 3),
                        "error": repr(error),
                    },
                )
                return reasons.Refusal.BODY_NOT_RECEIVED
            finally:
                self.incoming_bytes -= length
            watches.append(disconnects.Watch(receive, worker))
            return body

        try:
            return await self.serve(call, fetch)
        except asyncio.CancelledError:
            if not any(watch.disconnected for watch in watches):
                raise
            worker.uncancel()
            return None
        finally:
            for watch in watches:
                watch.stop()

    async def _answer(
        self,
        send: asgi.Send,
        served: requests.Served,
        attempt_id: str,
        started: instants.Instant,
    ) -> None:
        now = self.clocks.monotonic()
        relay_headers = [
            (headers.ATTEMPT_ID, attempt_id),
            (headers.ASKS, "1"),
            (headers.SERVED_IN, f"{now - started:.5f}"),
        ]
        if served.load is not None:
            relay_headers.append((headers.NODE_LOAD, loads.encode(served.load)))
        if served.arrived:
            relay_headers.append((headers.ARRIVED, "1"))
        if served.forwarded:
            relay_headers.append((headers.FORWARDED, "1"))
        if served.report is not None and served.report.signals != signals.NONE:
            relay_headers.append((headers.ENDPOINT_ID, headers.quote(served.report.endpoint_id)))
        match served.outcome:
            case outcomes.Ran(answer=answer):
                relay_headers.append((headers.OUTCOME, "ran"))
            case outcomes.NotRun(reason=refusal, retry_at=retry_at):
                relay_headers += [(headers.OUTCOME, "not_run"), (headers.REASON, refusal)]
                relay_headers.append((headers.RETRY_IN, f"{max(0.0, (retry_at or now) - now):.3f}"))
                answer = outcomes.Answer(NOT_RUN_STATUS, (), b"")
            case outcomes.Unknown(reason=uncertainty):
                relay_headers += [(headers.OUTCOME, "unknown"), (headers.REASON, uncertainty)]
                answer = outcomes.Answer(UNKNOWN_STATUS, (), b"")
        fields = (*answer.headers, *relay_headers)
        await asgi.send_plain(send, answer._replace(headers=fields), self.is_closing())


class RelayClient:
    """Relays requests to other nodes; owns the connections to them."""

    def __init__(
        self, header_names: dialect.Dialect, clocks: instants.Clocks, counts: counters.Counts
    ) -> None:
        self.header_names = header_names
        self.clocks = clocks
        self.counts = counts
        self.asking: set[str] = set()
        """Addresses of nodes that are known to admit a request by its head."""
        self.pools: dict[str, connections.ConnectionPool] = {}
        self.answered_at: dict[str, instants.Instant] = {}
        """When a node last answered a request, by address."""
        self.on_unreachable: typing.Callable[[str, str], None] = lambda _address, _text: None
        """Called with an address that was unreachable and the text of the result."""

    def abandon_connecting(self, address: str) -> None:
        """End the connection attempts to an address; their requests count as not sent there."""
        pool = self.pools.get(address)
        if pool is not None:
            pool.abandon_connecting()

    async def serve(self, address: str, call: requests.Call) -> requests.Served | None:
        """Have the node at `address` serve a request; return none if the node was unreachable."""
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = connections.ConnectionPool(address)
        started = self.clocks.monotonic()
        transferred = await self._transfer(pool, address, call)
        if _is_stale_connection(transferred):
            # The other node has closed the idle connection; nothing has run there.
            pool.close_idle()
            transferred = await self._transfer(pool, address, call)
        if headers.ASKS in transferred.fields:
            self.asking.add(address)
        match transferred.result:
            case results.Unreachable(text=reasons.Uncertainty.TIMED_OUT) if (
                self.answered_at.get(address, -instants.NEVER) > started
            ):
                # The node answers others, so the request waits in its queue. It has no body there.
                retry_at = self.clocks.monotonic() + QUEUE_RETRY_S
                queued = outcomes.NotRun(reasons.Refusal.SATURATED, retry_at)
                return requests.Served(queued, None, arrived=False)
            case results.Unreachable(text=text):
                self.asking.discard(address)
                self.on_unreachable(address, text)
                log.info(
                    "node not reached",
                    extra={"request_id": call.attempt_id, "address": address, "error": text},
                )
                now = self.clocks.monotonic()
                if now < call.deadline:
                    return None
                expired = outcomes.NotRun(reasons.Refusal.EXPIRED_WAITING, now)
                return requests.Served(expired, None, arrived=False)
            case results.Broken(reason=reason):
                pool.close_idle()
                return requests.Served(outcomes.Unknown(reason), None, arrived=True)
            case results.Answered(answer=answer):
                self.answered_at[address] = self.clocks.monotonic()
                served = self._served(answer, transferred.fields)
                return served._replace(
                    served_s=_parse_seconds(transferred.fields.get(headers.SERVED_IN)),
                    forwarded=headers.FORWARDED in transferred.fields,
                )

    async def _transfer(
        self, pool: connections.ConnectionPool, address: str, call: requests.Call
    ) -> transfer.TransferResult:
        """Send a request to a node; ask for admission first if its body is large."""
        now = self.clocks.monotonic()
        asked = len(call.body) >= bodies.ASK_MIN_BYTES and address in self.asking
        transferred = await transfer.send(
            pool,
            self._prepare(call, asked),
            call.deadline,
            RUN_ONCE_MAX_IDLE_S if call.run_once else IDEMPOTENT_MAX_IDLE_S,
            lambda: self.clocks.monotonic() < call.deadline,
            bodies.admission_deadline(call.target_at, call.deadline, now) if asked else None,
            call.answer_memory,
        )
        if asked:
            self.counts.events[reasons.Event.BODY_ASKED] += 1
            answered = isinstance(transferred.result, results.Answered)
            self.counts.events[reasons.Event.BODY_SAVED] += answered and not transferred.body_sent
        return transferred

    def _prepare(self, call: requests.Call, asked: bool) -> exchanges.PreparedRequest:
        fields = [*call.headers, (headers.RELAY, requests.encode(call, self.clocks.monotonic()))]
        if asked:
            fields.append(("Expect", bodies.EXPECTATION))
        return exchanges.PreparedRequest(
            call.method,
            call.target,
            fields,
            call.body,
            call.attempt_id,
            streamed=False,
            echo_required=True,
            host=call.host,
        )

    def _served(self, answer: outcomes.Answer, fields: typing.Mapping[str, str]) -> requests.Served:
        now = self.clocks.monotonic()
        load = loads.parse(fields.get(headers.NODE_LOAD))
        arrived = headers.ARRIVED in fields
        match fields.get(headers.OUTCOME):
            case "ran":
                latest = signals.parse(fields, self.header_names)
                endpoint_id = headers.unquote(fields.get(headers.ENDPOINT_ID, ""))
                report = signals.Report(endpoint_id, latest)
                return requests.Served(outcomes.Ran(answer), load, arrived, report)
            case "not_run":
                refusal = _parse_reason(reasons.Refusal, fields.get(headers.REASON, ""))
                retry_at = now + float(fields.get(headers.RETRY_IN, "0"))
                return requests.Served(
                    outcomes.NotRun(refusal or reasons.Refusal.SATURATED, retry_at), load, arrived
                )
            case _:
                uncertainty = _parse_reason(reasons.Uncertainty, fields.get(headers.REASON, ""))
                return requests.Served(
                    outcomes.Unknown(uncertainty or reasons.Uncertainty.ANSWER_LOST), load, True
                )


def _parse_seconds(text: str | None) -> float | None:
    """Return the seconds in a header, or none if it is missing or malformed."""
    try:
        seconds = float(text or "")
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None


def _is_stale_connection(transferred: transfer.TransferResult) -> bool:
    """Return whether a request that asked for admission failed on a connection closed before."""
    lost = results.Unreachable(reasons.Uncertainty.ANSWER_LOST)
    return transferred.reused and transferred.result == lost


T = typing.TypeVar("T", reasons.Refusal, reasons.Uncertainty)


def _parse_reason(kind: type[T], text: str) -> T | None:
    """Return the reason `text`, or none if it is unknown; other versions may send other reasons."""
    try:
        return kind(text)
    except ValueError:
        return None
