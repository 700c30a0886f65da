"""Stand-in of an endpoint over HTTP, with slots, a service time and faults."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import typing

import aiohttp
import orjson

from goldcrestgrade import headers, outcomes, settings
from goldcrestgrade_node import asgi, servers
from goldcrestgrade_node.endpoint import lifecycle

ANNOUNCE_INTERVAL_S = 0.5
"""Time between announcements to the node beside the endpoint."""

REGION_DELAY_S = 0.008
"""One-way delay of a request from another region."""


@dataclasses.dataclass
class Behaviour:
    """How an endpoint treats its requests; tests change it while it runs."""

    service_time_s: float = 0.005
    jitter_share: float = 0.5
    """Share of the service time that varies."""
    slots: int = 10
    queue_limit: int = 200
    """Requests that wait at most; beyond, the endpoint sheds."""
    lying_load: int | None = None
    """Load that it reports whatever it has."""
    failing: bool = False
    """Answers every request at once with status 500."""


class Execution(typing.NamedTuple):
    """One start of a request at the endpoint."""

    idempotency_key: str
    request_id: str
    target: str


class Endpoint:
    """An endpoint of one service; owned by its event loop."""

    def __init__(
        self, service: str, name: str, region: str, behaviour: Behaviour, rng: random.Random
    ) -> None:
        self.service = service
        self.name = name
        self.region = region
        self.behaviour = behaviour
        self.rng = rng
        self.in_flight = 0
        self.slots = asyncio.Semaphore(behaviour.slots)
        self.executions: list[Execution] = []

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one request."""
        body = await asgi.read_body(receive)
        received = dict(asgi.headers_of(scope))
        if received.get(headers.CALLER_REGION, self.region) != self.region:
            await asyncio.sleep(2 * REGION_DELAY_S)
        answer = await self._answer(scope, received, body or b"")
        answer = answer._replace(
            headers=(
                *answer.headers,
                (headers.ATTEMPT_ID, received.get(headers.ATTEMPT_ID, "")),
                (headers.LOAD, str(self._load())),
            )
        )
        await asgi.send_answer(send, answer, received.get(headers.REQUEST_ID, ""))

    async def _answer(
        self, scope: asgi.Scope, received: dict[str, str], body: bytes
    ) -> outcomes.Answer:
        if self.in_flight >= self.behaviour.slots + self.behaviour.queue_limit:
            return outcomes.Answer(503, ((headers.NOT_RUN, "1"),), b"")
        if self.behaviour.failing:
            return outcomes.Answer(500, (), b"failed")
        self.in_flight += 1
        try:
            async with self.slots:
                self._record(scope, received)
                await asyncio.sleep(self._service_time_s())
        finally:
            self.in_flight -= 1
        document = {
            "endpoint": self.name,
            "path": scope["path"],
            "key": received.get(headers.IDEMPOTENCY_KEY),
            "received_bytes": len(body),
        }
        return outcomes.Answer(200, (("content-type", "application/json"),), orjson.dumps(document))

    def _record(self, scope: asgi.Scope, received: dict[str, str]) -> None:
        self.executions.append(
            Execution(
                received.get(headers.IDEMPOTENCY_KEY, ""),
                received.get(headers.REQUEST_ID, ""),
                scope["path"],
            )
        )

    def _service_time_s(self) -> float:
        share = self.behaviour.jitter_share
        return self.behaviour.service_time_s * self.rng.uniform(1 - share, 1 + share)

    def _load(self) -> int:
        lie = self.behaviour.lying_load
        return self.in_flight if lie is None else lie

    def repeated_keys(self) -> list[str]:
        """Return the keys that this endpoint started more than once."""
        keys = sorted(e.idempotency_key for e in self.executions if e.idempotency_key)
        return [key for key, group in itertools.groupby(keys) if len(list(group)) > 1]


async def announce_forever(
    endpoint: Endpoint,
    address: settings.Address,
    control_url: str,
    shared_key: str,
    session: aiohttp.ClientSession,
) -> None:
    """Announce `endpoint` to its node again and again, until cancelled or until it has left."""
    while True:
        document = lifecycle.AnnounceDocument(
            service=endpoint.service,
            host=address["host"],
            port=address["port"],
            slots=endpoint.behaviour.slots,
            connections=220,
            in_flight=endpoint.in_flight,
        )
        try:
            async with session.post(
                f"{control_url}/v1/endpoint",
                data=orjson.dumps(document),
                headers={headers.CONTROL_KEY: shared_key},
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def serve(endpoint: Endpoint, address: settings.Address) -> None:
    """Serve `endpoint` at `address` until cancelled."""
    await servers.create(endpoint, address).serve()
