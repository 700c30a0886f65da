"""Relay of requests over HTTP from one node to the endpoint's node."""

from __future__ import annotations

import asyncio
import math
import typing

from goldcrestgrade import headers, instants, outcomes, reasons
from goldcrestgrade_node import asgi
from goldcrestgrade_node.attempts import exchanges, results
from goldcrestgrade_node.entry import disconnects
from goldcrestgrade_node.mesh.transport import (
    connections,
    dialect,
    loads,
    requests,
    signals,
    transfer,
)

RUN_ONCE_MAX_IDLE_S = 10.0
"""Longest idle time after which a connection to a node is reused for a run-once request."""

IDEMPOTENT_MAX_IDLE_S = 20.0
"""The same for an idempotent request; below the idle limit of the other node's server."""

UNKNOWN_STATUS = 502
"""Status of a relay answer for an unknown outcome, in place of an endpoint's status."""

NOT_RUN_STATUS = 503
"""Status of a relay answer for a request that did not run."""

Serve = typing.Callable[[requests.Call], typing.Awaitable[requests.Served]]
"""Serves a request at the own endpoint."""


class RelayApp:
    """ASGI application that serves requests of other nodes at the own endpoint."""

    def __init__(
        self,
        serve: Serve,
        header_names: dialect.Dialect,
        max_body_bytes: typing.Callable[[], int],
        is_closing: typing.Callable[[], bool],
        clocks: instants.Clocks,
    ) -> None:
        self.serve = serve
        self.header_names = header_names
        self.max_body_bytes = max_body_bytes
        self.is_closing = is_closing
        self.clocks = clocks

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one relayed request."""
        started = self.clocks.monotonic()
        try:
            body = await asgi.read_body(receive, self.max_body_bytes())
        except asgi.Disconnected:
            return
        by_name = {name: value.decode("latin-1") for name, value in scope["headers"]}
        message = requests.Message(
            method=scope["method"],
            target=asgi.target_of(scope),
            host=by_name.get(b"host", ""),
            headers=headers.end_to_end(headers.from_bytes(scope["headers"])),
            body=body or b"",
        )
        attempt_id = by_name.get(self.header_names.attempt_id.encode(), "")
        text = by_name.get(headers.RELAY.encode(), "")
        call = requests.decode(text, attempt_id, message, self.clocks.monotonic())
        if call is None or body is None:
            refused = outcomes.NotRun(reasons.Refusal.INVALID_REQUEST)
            served = requests.Served(refused, None, arrived=False)
            await self._answer(send, served, attempt_id, started)
            return
        outcome = await self._serve_watched(call, receive)
        if outcome is not None:
            await self._answer(send, outcome, attempt_id, started)

    async def _serve_watched(
        self, call: requests.Call, receive: asgi.Receive
    ) -> requests.Served | None:
        worker = asyncio.current_task()
        assert worker is not None
        watch = disconnects.Watch(receive, worker)
        try:
            return await self.serve(call)
        except asyncio.CancelledError:
            if not watch.disconnected:
                raise
            worker.uncancel()
            return None
        finally:
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
            (headers.SERVED_IN, f"{now - started:.5f}"),
        ]
        if served.load is not None:
            relay_headers.append((headers.NODE_LOAD, loads.encode(served.load)))
        if served.arrived:
            relay_headers.append((headers.ARRIVED, "1"))
        if served.report is not None and served.report.signals != signals.NONE:
            relay_headers.append((headers.ENDPOINT_ID, served.report.endpoint_id))
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

    def __init__(self, header_names: dialect.Dialect, clocks: instants.Clocks) -> None:
        self.header_names = header_names
        self.clocks = clocks
        self.pools: dict[str, connections.ConnectionPool] = {}
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
        transferred = await transfer.send(
            pool,
            self._prepare(call),
            call.deadline,
            RUN_ONCE_MAX_IDLE_S if call.run_once else IDEMPOTENT_MAX_IDLE_S,
            lambda: self.clocks.monotonic() < call.deadline,
        )
        match transferred.result:
            case results.Unreachable(text=text):
                self.on_unreachable(address, text)
                return None
            case results.Broken(reason=reason):
                pool.close_idle()
                return requests.Served(outcomes.Unknown(reason), None, arrived=True)
            case results.Answered(answer=answer):
                served = self._served(answer, transferred.fields)
                served_s = _parse_seconds(transferred.fields.get(headers.SERVED_IN))
                return served._replace(served_s=served_s)

    def _prepare(self, call: requests.Call) -> exchanges.PreparedRequest:
        fields = [*call.headers, (headers.RELAY, requests.encode(call, self.clocks.monotonic()))]
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
                report = signals.Report(fields.get(headers.ENDPOINT_ID, ""), latest)
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


T = typing.TypeVar("T", reasons.Refusal, reasons.Uncertainty)


def _parse_reason(kind: type[T], text: str) -> T | None:
    """Return the reason `text`, or none if it is unknown; other versions may send other reasons."""
    try:
        return kind(text)
    except ValueError:
        return None
