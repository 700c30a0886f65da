"""A planned stop while clients have pipelined requests in flight."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import support  # noqa: E402

from goldcrestgrade_testing.fleet_platform import endpoint  # noqa: E402

PLACEMENTS = {
    f"n{number}": support.Placement(domain, "north", "lookup")
    for number, domain in enumerate(("osu", "osu", "tema", "tema"), 1)
}
SERVICE_TIMES_S = {"n1": 0.1, "n2": 0.14, "n3": 0.2, "n4": 0.3}
"""Endpoints of one service differ in speed."""

ROUTE = support.route("lookup", "lookup", timeout="1536ms", target="614ms")
DEADLINE_MS = 1536
GRACE_S = 6.0
CONTACT_S = 4.0
CONNECTIONS = 4
PIPELINED = 3
"""Requests that a client sends before the first answer."""

PAUSE_S = 0.3
"""Time between the last answer to a client and its next requests."""


@dataclasses.dataclass
class Request:
    """One attempt of a client."""

    attempt_id: str
    place: int
    """Number of requests before it on its connection that were not answered when it was sent."""
    sent_at: float
    answered_at: float | None = None
    status: int = 0
    ended_at: float | None = None
    """When the connection ended without its answer."""


class Client:
    """A client that keeps its connection and sends requests in groups."""

    def __init__(self, name: str, port: int, record: support.Record) -> None:
        self.name = name
        self.port = port
        self.record = record
        self.requests: list[Request] = []
        self.numbers = itertools.count(1)

    async def run(self, until: float) -> None:
        """Send groups of requests until an instant or until the node accepts no connection."""
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(support.HOST, self.port)
            except OSError as error:
                self.record.write(f"{self.name} finds no node: {error!r}")
                return
            try:
                while time.monotonic() < until and await self.exchange(reader, writer):
                    await asyncio.sleep(PAUSE_S * random.uniform(0.5, 1.5))
            finally:
                writer.close()

    async def exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a group of requests and read its answers; return whether the connection stays."""
        group = [
            Request(f"{self.name}-{next(self.numbers)}", place, time.monotonic())
            for place in range(PIPELINED)
        ]
        self.requests += group
        writer.write(b"".join(self.encode(request) for request in group))
        self.record.write(f"{self.name} sends {[request.attempt_id for request in group]}")
        for number, request in enumerate(group):
            try:
                status, fields, body = await support.read_answer(reader)
            except (asyncio.IncompleteReadError, OSError) as error:
                for left in group[number:]:
                    left.ended_at = time.monotonic()
                    self.record.write(f"{left.attempt_id} has no answer: {type(error).__name__}")
                return False
            request.answered_at, request.status = time.monotonic(), status
            self.record.write(
                f"{request.attempt_id} answered {status}"
                f" connection={fields.get('connection', '')} body={body[:40]!r}"
            )
        return fields.get("connection", "") != "close"

    def encode(self, request: Request) -> bytes:
        """Return a request as it is sent."""
        return (
            f"GET /lookup/{request.attempt_id} HTTP/1.1\r\nhost: {support.HOSTNAME}\r\n"
            f"x-attempt-id: {request.attempt_id}\r\nx-deadline-ms: {DEADLINE_MS}\r\n\r\n"
        ).encode()


async def case(record: support.Record) -> int:
    """Stop one node with SIGTERM while its clients have requests in flight."""
    async with support.running(
        PLACEMENTS,
        [ROUTE],
        lambda name, placement: endpoint.Endpoint(
            f"i-{name}",
            placement.service,
            endpoint.Behaviour(service_time_s=SERVICE_TIMES_S[name], slots=4),
            name,
        ),
    ) as fleet:
        first = fleet.instances[0]
        until = time.monotonic() + CONTACT_S + 8.0
        clients = [
            Client(f"c{number}", first.ports["calls"], record) for number in range(CONNECTIONS)
        ]
        tasks = [asyncio.create_task(client.run(until)) for client in clients]
        await asyncio.sleep(CONTACT_S + 1.0 + random.uniform(0.0, 0.5))
        stopped_at = time.monotonic()
        if support.TROUBLE:
            record.write("SIGTERM to node n1")
            assert first.process is not None
            first.process.terminate()
        await asyncio.gather(*tasks)
        return judge(fleet, clients, stopped_at, record)


def judge(
    fleet: support.Fleet, clients: list[Client], stopped_at: float, record: support.Record
) -> int:
    """Return whether a request that an endpoint had begun was cut off by the stop."""
    runs = collections.defaultdict(list)
    for instance in fleet.instances:
        for attempt_id, endpoint_id, at in instance.endpoint.started_runs:
            runs[attempt_id].append((at, endpoint_id))
    requests = [request for client in clients for request in client.requests]
    cut = []
    for request in requests:
        for at, endpoint_id in runs[request.attempt_id]:
            record.write(f"{request.attempt_id} begun by {endpoint_id}", at)
        if request.ended_at is None:
            continue
        took_s = request.ended_at - request.sent_at
        passed_on = any(at < request.ended_at for at, _ in runs[request.attempt_id])
        in_last_sixth = request.ended_at >= stopped_at + 5 / 6 * GRACE_S
        counts = passed_on and 1000 * took_s < DEADLINE_MS and not in_last_sixth
        record.write(
            f"{request.attempt_id} cut off {took_s:.3f} s after it was sent,"
            f" passed on: {passed_on}, counts: {counts}"
        )
        cut += [request] if counts else []
    record.write(f"{len(requests)} requests, {len(cut)} cut off after an endpoint had begun them")
    if not any(request.status == 200 for request in requests):
        return support.NOT_RUN
    return support.BROKEN if cut else support.HELD


if __name__ == "__main__":
    support.run(case, FOLDER)
