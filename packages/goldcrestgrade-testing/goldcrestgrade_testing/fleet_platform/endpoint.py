"""Stand-in for an endpoint on the platform, with slots, load reports and faulty answers."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import math
import time
import typing

import aiohttp

from goldcrestgrade_testing import raw_endpoint
from goldcrestgrade_testing.fault_soak import proxy

POLL_INTERVAL_S = 0.01
"""Interval at which a queued request checks for a free slot.

It is also the pause between the first bytes of an answer and the reset that cuts it off.
"""


ENDLESS_BLOCK_BYTES = 64 * 1024
"""Bytes that are written at once of an answer without end."""


class AnswerFault(typing.NamedTuple):
    """A fault of the next answers of an endpoint."""

    kind: str
    """One of:

    - `cut`: the connection closes before the last 3 bytes of the answer;
    - `reset`: the connection is reset after the first 3 bytes of the body;
    - `spoiled`: bytes that are not HTTP replace the answer, then the connection closes;
    - `doubled`: a stray answer, of another attempt, follows the answer;
    - `late`: the stray answer precedes the answer;
    - `unframed`: the answer has no `Content-Length`, and the connection closes after the body;
    - `refused`: the request is refused and does not run, and the refusal is repeated before the
      next answer on its connection;
    - `lost`: the connection is reset without an answer;
    - `mute`: no answer follows and the connection stays open;
    - `endless`: the body is chunked and has no end;
    - `endless_junk`: bytes without end that are not HTTP replace the answer;
    - `endless_hints`: interim answers without end replace the answer.
    """
    times: int
    """Number of answers that have the fault."""


@dataclasses.dataclass
class Behaviour:
    """How an endpoint handles its requests; tests change it while the endpoint runs."""

    service_time_s: float = 0.02
    slots: int = 4
    """Concurrency limit."""
    max_queued: int = 16
    pace: float = 1.0
    """Factor on `service_time_s`; 1.0 is normal."""
    failing: bool = False
    """Whether requests are answered with 500."""
    draining: bool = False
    rate_limit: float | None = None
    """Requests a second that answers name as the limit of all nodes together."""
    leaving: bool = False
    """Whether answers say that the endpoint leaves; heartbeats don't."""
    crash_marker: str | None = None
    """A request whose target contains this text makes the endpoint crash.

    The endpoint then stops listening and drops its connections.
    """
    warm_up: WarmUp | None = None


class WarmUp(typing.NamedTuple):
    """How an endpoint behaves while it is cold."""

    seconds: float
    """Time for which it is cold."""
    rate: float
    """Requests a second that it names in the configuration."""
    crash_above: float = math.inf
    """Requests in a second, health checks included, above which it crashes."""


class Endpoint:
    """One incarnation of an endpoint; owned by one event loop."""

    def __init__(
        self, endpoint_id: str, service: str, behaviour: Behaviour, instance: str = ""
    ) -> None:
        self.endpoint_id = endpoint_id
        self.instance = instance
        """Name of the instance that it runs on."""
        self.service = service
        self.behaviour = behaviour
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.in_flight = 0
        self.queued = 0
        self.running_targets: collections.Counter[str] = collections.Counter()
        """Number of requests in work, by path and query."""
        self.run_counts: collections.Counter[str] = collections.Counter()
        """Number of times the endpoint began to work on an attempt of a client, by attempt id."""
        self.started_runs: list[tuple[str, str, float]] = []
        """Attempt id, endpoint id and monotonic start instant of each run."""
        self.arrivals: list[tuple[str, str, float]] = []
        """Attempt id, endpoint id and monotonic instant of each request, health checks excluded."""
        self.rate_limits: list[tuple[float, float | None]] = []
        """Monotonic instant and rate of each change of the rate limit; no rate if it ended."""
        self.cold_until = 0.0
        """Monotonic instant until which it is cold."""
        self.cold_arrivals: list[float] = []
        """Monotonic instants of requests and health checks while cold, without those with 421."""
        self.crashed_cold = False
        """Whether it crashed since it got too many requests while cold."""
        self.drain_acknowledged_at: float | None = None
        """Monotonic instant at which the node first answered a heartbeat that reports a drain."""
        self.calling_services: dict[str, str | None] = {}
        """Service of the client, from `x-caller-service`, by attempt id."""
        self.workspaces: dict[str, str | None] = {}
        """Workspace that `x-tenant-id` names, by attempt id."""
        self.deadlines_ms: dict[str, int] = {}
        """Value of `x-deadline-ms` by attempt id; -1 if the header was missing."""
        self.expected_instances: set[str | None] = set()
        """Values of `x-expected-instance` that requests carried."""
        self.repeated_refusals: dict[int, bytes] = {}
        """Refusal that precedes the next answer on a connection, by the connection's number."""
        self.answer_faults: collections.deque[str] = collections.deque()
        """Kinds of fault of the next answers, in order."""
        self.raw = raw_endpoint.RawEndpoint(self.respond)
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on loopback; `port` 0 chooses a free one."""
        self.server = await asyncio.start_server(self._serve, raw_endpoint.HOST, port)
        self.raw.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.raw.serve_connection(reader, writer)
        finally:
            self.writers.discard(writer)

    def become_cold(self) -> None:
        """Begin a warm-up now, as after a start; does nothing without a warm-up."""
        if self.behaviour.warm_up is not None:
            self.cold_until = time.monotonic() + self.behaviour.warm_up.seconds

    def _cold_left_ms(self) -> int:
        return max(0, math.ceil(1000 * (self.cold_until - time.monotonic())))

    async def _crashes_cold(self) -> bool:
        """Count a request or health check; crash if a cold endpoint got too many in a second."""
        warm_up, now = self.behaviour.warm_up, time.monotonic()
        if warm_up is None or now >= self.cold_until:
            return False
        self.cold_arrivals.append(now)
        recent = itertools.takewhile(lambda at: at > now - 1.0, reversed(self.cold_arrivals))
        if sum(1 for _ in recent) <= warm_up.crash_above:
            return False
        self.crashed_cold = True
        await self.stop()
        return True

    def set_rate_limit(self, rate: float | None) -> None:
        """Name `rate` as the limit in all answers from now on, or no limit if it is none."""
        self.behaviour.rate_limit = rate
        self.rate_limits.append((time.monotonic(), rate))

    def fail_next_answers(self, fault: AnswerFault) -> None:
        """Apply `fault` to the next answers that have no planned fault yet."""
        self.answer_faults.extend([fault.kind] * fault.times)

    def heartbeat(self, address: str, failure_domain: str) -> dict[str, typing.Any]:
        """Return the body of the next heartbeat, in the format of the platform."""
        self.sequence += 1
        return {
            "address": address,
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": failure_domain,
                "capacity": self.behaviour.slots,
            },
            "status": {
                "state": "draining" if self.behaviour.draining else "ready",
                "sequence": self.sequence,
                "warmup_left": f"{self._cold_left_ms()}ms",
            },
        }

    async def respond(self, request: raw_endpoint.RawRequest, writer: asyncio.StreamWriter) -> None:
        """Answer one request, or the health check at `/healthz`.

        A request that is meant for another endpoint gets 421. If the queue is full, a request gets
        503.
        """
        attempt_id = request.field("x-attempt-id") or ""
        if request.target == "/healthz":
            ending = self.behaviour.draining or self.behaviour.leaving
            status = "503 Service Unavailable" if ending else "200 OK"
            if await self._crashes_cold():
                return
            left_ms = self._cold_left_ms()
            field = "" if self.behaviour.warm_up is None else f"x-warmup-ms: {left_ms}\r\n"
            self._write(writer, self._encode_answer(b"", status, "", field))
            return
        self.arrivals.append((attempt_id, self.endpoint_id, time.monotonic()))
        expected = request.field("x-expected-instance")
        self.expected_instances.add(expected)
        if expected not in (None, self.endpoint_id):
            self._write(writer, self._encode_answer(b"", "421 Misdirected Request", attempt_id))
            return
        if await self._crashes_cold():
            return
        is_full = self.in_flight + self.queued >= self.behaviour.slots + self.behaviour.max_queued
        is_faulty = bool(self.answer_faults) and self.answer_faults[0] == "refused"
        if is_full or is_faulty:
            refusal = self._encode_answer(b"", "503 Busy", attempt_id, "x-not-executed: 1\r\n")
            self._write(writer, refusal)
            if is_faulty:
                self.answer_faults.popleft()
                self.repeated_refusals[request.connection] = refusal
            return
        self._write(writer, self.repeated_refusals.pop(request.connection, b""))
        await self._run(request, attempt_id, writer)

    async def _run(
        self, request: raw_endpoint.RawRequest, attempt_id: str, writer: asyncio.StreamWriter
    ) -> None:
        self.queued += 1
        while self.in_flight >= self.behaviour.slots:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.queued -= 1
        self.in_flight += 1
        self.running_targets[request.target] += 1
        self.run_counts[attempt_id] += 1
        self.started_runs.append((attempt_id, self.endpoint_id, time.monotonic()))
        self.calling_services[attempt_id] = request.field("x-caller-service")
        self.workspaces[attempt_id] = request.field("x-tenant-id")
        self.deadlines_ms[attempt_id] = int(request.field("x-deadline-ms") or -1)
        try:
            marker = self.behaviour.crash_marker
            if marker is not None and marker in request.target:
                await self.stop()
                return
            await asyncio.sleep(self.behaviour.service_time_s * self.behaviour.pace)
        finally:
            self.in_flight -= 1
            self.running_targets[request.target] -= 1
        status = "500 Failed" if self.behaviour.failing else "200 OK"
        signature = f"x-upstream-signature: {self.endpoint_id}.{attempt_id}\r\n"
        await self._answer(writer, b"body of " + attempt_id.encode(), status, attempt_id, signature)

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        body: bytes,
        status: str,
        attempt_id: str,
        signature: str,
    ) -> None:
        answer = self._encode_answer(body, status, attempt_id, signature)
        stray_answer = self._encode_answer(b"another", "200 OK", "another-try", signature)
        fault = self.answer_faults.popleft() if self.answer_faults else None
        match fault:
            case "cut":
                self._write(writer, answer[:-3])
                writer.close()
            case "reset":
                self._write(writer, self._encode_head(status, attempt_id, signature) + body[:3])
                await writer.drain()
                await asyncio.sleep(POLL_INTERVAL_S)
                if not writer.is_closing():
                    proxy.reset(writer)
            case "spoiled":
                self._write(writer, b"\x00\x01 no answer at all \r\n\r\n")
                writer.close()
            case "doubled":
                self._write(writer, answer + stray_answer)
            case "late":
                self._write(writer, stray_answer + answer)
            case "unframed":
                self._write(writer, self._encode_head(status, attempt_id, signature) + body)
                writer.close()
            case "lost":
                if not writer.is_closing():
                    proxy.reset(writer)
            case "mute":
                pass
            case "endless" | "endless_junk" | "endless_hints":
                first, repeated = self._endless(fault, status, attempt_id, signature)
                self._write(writer, first)
                await raw_endpoint.write_endlessly(writer, repeated)
            case _:
                self._write(writer, answer)

    def _endless(
        self, kind: str, status: str, attempt_id: str, signature: str
    ) -> tuple[bytes, bytes]:
        """Return the first bytes of an answer without end, and those that follow."""
        if kind == "endless_junk":
            return b"", b"x" * ENDLESS_BLOCK_BYTES
        if kind == "endless_hints":
            hint = b"HTTP/1.1 103 Early Hints\r\n\r\n"
            return b"", hint * (ENDLESS_BLOCK_BYTES // len(hint))
        chunked = "transfer-encoding: chunked\r\n"
        chunk = b"%x\r\n" % ENDLESS_BLOCK_BYTES + b"x" * ENDLESS_BLOCK_BYTES + b"\r\n"
        return self._encode_head(status, attempt_id, signature + chunked), chunk

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)

    def _header_fields(self, attempt_id: str, fields: str) -> str:
        load = f"{self.in_flight},{self.queued},{self.behaviour.slots}"
        pace = round(100 * self.behaviour.pace)
        if self.behaviour.rate_limit is not None:
            fields += f"server-limit: {self.behaviour.rate_limit}\r\n"
        if self.behaviour.leaving:
            fields += "server-leaving: 1\r\n"
        echoed = f"x-attempt-id: {attempt_id}\r\n" if attempt_id else ""
        return (
            f"{echoed}x-instance-id: {self.endpoint_id}\r\nx-upstream-load: {load},{pace}\r\n"
            f"keep-alive: timeout=10\r\n{fields}"
        )

    def _encode_answer(self, body: bytes, status: str, attempt_id: str, fields: str = "") -> bytes:
        return raw_endpoint.answer(body, status, self._header_fields(attempt_id, fields))

    def _encode_head(self, status: str, attempt_id: str, fields: str) -> bytes:
        return f"HTTP/1.1 {status}\r\n{self._header_fields(attempt_id, fields)}\r\n".encode()


async def send_heartbeats(
    endpoint: Endpoint,
    address: str,
    failure_domain: str,
    heartbeat_address: str,
    interval_s: float,
    after_s: float = 0.0,
) -> None:
    """Send heartbeats of an endpoint to its node until cancelled, the first after `after_s`."""
    await asyncio.sleep(after_s)
    async with aiohttp.ClientSession() as session:
        while True:
            await send_heartbeat(session, endpoint, address, failure_domain, heartbeat_address)
            await asyncio.sleep(interval_s)


async def send_heartbeat(
    session: aiohttp.ClientSession,
    endpoint: Endpoint,
    address: str,
    failure_domain: str,
    heartbeat_address: str,
) -> None:
    """Send one heartbeat of an endpoint to its node; a failure is ignored."""
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        heartbeat = endpoint.heartbeat(address, failure_domain)
        response = await session.put(
            f"http://{heartbeat_address}/-/instances/{endpoint.endpoint_id}",
            json=heartbeat,
            timeout=aiohttp.ClientTimeout(total=1.0),
        )
        draining = heartbeat["status"]["state"] == "draining"
        if draining and response.ok and endpoint.drain_acknowledged_at is None:
            endpoint.drain_acknowledged_at = time.monotonic()
