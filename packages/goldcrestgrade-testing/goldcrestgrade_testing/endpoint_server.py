"""Stand-in for an endpoint over HTTP, with slots, a service time and faults."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import random
import sys
import typing

import aiohttp
import orjson
import pydantic
import typing_extensions
from uvicorn.protocols.http import httptools_impl

from goldcrestgrade import headers, http_client, outcomes, settings
from goldcrestgrade_node import asgi, servers
from goldcrestgrade_node.endpoint import lifecycle

ANNOUNCE_INTERVAL_S = 0.5
"""Time between two announcements to the endpoint's node."""

REGION_DELAY_S = 0.008
"""Simulated one-way delay between two regions."""

STALL_POLL_INTERVAL_S = 0.01
"""Time between two checks whether a stall has ended."""


@dataclasses.dataclass
class Behaviour:
    """How an endpoint treats its requests; tests may change it while the endpoint runs."""

    service_time_s: float = 0.005
    jitter_share: float = 0.5
    """Largest deviation of a service time, as a share of `service_time_s`."""
    slots: int = 10
    queue_limit: int = 200
    """Largest number of queued requests; above it, the endpoint sheds."""
    lying_load: int | None = None
    """Load that it reports instead of its number of in-flight requests, if set."""
    failing: bool = False
    """Answers every request at once with status 500."""
    cold_requests: int = 0
    """Number of requests after the start that take `cold_time_s` each."""
    cold_time_s: float = 0.0
    shedding: bool = False
    """Rejects every request before it has an effect."""
    stalled: bool = False
    """Does not answer the requests that it has started until this is false."""
    draining: bool = False
    """Sheds new requests and deregisters from its node."""
    one_segment: bool = False
    """Writes the head of an answer together with its body, as many servers do; uvicorn does not."""
    crash_marker: str | None = None
    """A request whose target contains this text makes the endpoint crash."""


class EndpointSettings(typing_extensions.TypedDict):
    """Settings of a stand-in that runs as a process of its own."""

    service: str
    name: str
    region: str
    address: settings.Address
    control_url: str
    shared_key: str
    behaviour: Behaviour


SETTINGS: pydantic.TypeAdapter[EndpointSettings] = pydantic.TypeAdapter(EndpointSettings)


def crash_process() -> typing.NoReturn:
    """End the process with status 70 and no cleanup."""
    os._exit(70)


class Execution(typing.NamedTuple):
    """One start of a request at the endpoint; `target` is its path without the query."""

    idempotency_key: str
    request_id: str
    target: str


class Endpoint:
    """ASGI application of an endpoint of one service; owned by its event loop."""

    def __init__(
        self,
        service: str,
        name: str,
        region: str,
        behaviour: Behaviour,
        rng: random.Random,
        crash: typing.Callable[[], None] = crash_process,
    ) -> None:
        self.service = service
        self.name = name
        self.region = region
        self.behaviour = behaviour
        self.rng = rng
        self.crash = crash
        self.in_flight = 0
        self.cancelled = 0
        """Number of requests cancelled because their client disconnected."""
        self.slots = asyncio.Semaphore(behaviour.slots)
        self.executions: list[Execution] = []

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one request, unless its client disconnects first."""
        body = await asgi.read_body(receive)
        request_headers = dict(asgi.headers_of(scope))
        if request_headers.get(headers.CALLER_REGION, self.region) != self.region:
            await asyncio.sleep(2 * REGION_DELAY_S)
        answer = await self._answer(scope, receive, request_headers, body or b"")
        if answer is None:
            return
        answer = answer._replace(
            headers=(
                *answer.headers,
                (headers.ATTEMPT_ID, request_headers.get(headers.ATTEMPT_ID, "")),
                (headers.LOAD, str(self._reported_load())),
            )
        )
        await asgi.send_answer(send, answer, request_headers.get(headers.REQUEST_ID, ""))

    async def _answer(
        self, scope: asgi.Scope, receive: asgi.Receive, request_headers: dict[str, str], body: bytes
    ) -> outcomes.Answer | None:
        if self._sheds():
            return outcomes.Answer(503, ((headers.NOT_RUN, "1"),), b"")
        if self.behaviour.failing:
            return outcomes.Answer(500, (), b"failed")
        if self.behaviour.crash_marker and self.behaviour.crash_marker in asgi.target_of(scope):
            self.crash()
        if not await self._work_until_disconnect(scope, receive, request_headers):
            return None
        document = {
            "endpoint": self.name,
            "path": scope["path"],
            "key": request_headers.get(headers.IDEMPOTENCY_KEY),
            "received_bytes": len(body),
        }
        return outcomes.Answer(200, (("content-type", "application/json"),), orjson.dumps(document))

    async def _work_until_disconnect(
        self, scope: asgi.Scope, receive: asgi.Receive, request_headers: dict[str, str]
    ) -> bool:
        """Work on a request; return false if its client disconnects first."""
        self.in_flight += 1
        work = asyncio.create_task(self._work_in_slot(scope, request_headers))
        disconnect = asyncio.create_task(asgi.wait_disconnected(receive))
        try:
            await asyncio.wait((work, disconnect), return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                work.result()
                return True
            self.cancelled += 1
            return False
        finally:
            self.in_flight -= 1
            work.cancel()
            disconnect.cancel()

    async def _work_in_slot(self, scope: asgi.Scope, request_headers: dict[str, str]) -> None:
        async with self.slots:
            self._record_start(scope, request_headers)
            await asyncio.sleep(self._service_time_s())
            while self.behaviour.stalled:
                await asyncio.sleep(STALL_POLL_INTERVAL_S)

    def _sheds(self) -> bool:
        full = self.in_flight >= self.behaviour.slots + self.behaviour.queue_limit
        return full or self.behaviour.shedding or self.behaviour.draining

    def _record_start(self, scope: asgi.Scope, request_headers: dict[str, str]) -> None:
        self.executions.append(
            Execution(
                request_headers.get(headers.IDEMPOTENCY_KEY, ""),
                request_headers.get(headers.REQUEST_ID, ""),
                scope["path"],
            )
        )

    def _service_time_s(self) -> float:
        if len(self.executions) <= self.behaviour.cold_requests:
            return self.behaviour.cold_time_s
        share = self.behaviour.jitter_share
        return self.behaviour.service_time_s * self.rng.uniform(1 - share, 1 + share)

    def _reported_load(self) -> int:
        reported = self.behaviour.lying_load
        return self.in_flight if reported is None else reported


async def announce_until_draining(
    endpoint: Endpoint,
    address: settings.Address,
    control_url: str,
    shared_key: str,
    session: aiohttp.ClientSession,
) -> None:
    """Announce `endpoint` to its node until it drains, then deregister it; ignore failures."""
    while not endpoint.behaviour.draining:
        document = lifecycle.AnnounceDocument(
            service=endpoint.service,
            host=address["host"],
            port=address["port"],
            slots=endpoint.behaviour.slots,
            connections=220,
            in_flight=endpoint.in_flight,
        )
        await _send_to_node(session, "POST", control_url, shared_key, orjson.dumps(document))
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)
    await _send_to_node(session, "DELETE", control_url, shared_key, b"")


async def _send_to_node(
    session: aiohttp.ClientSession, method: str, control_url: str, shared_key: str, body: bytes
) -> None:
    try:
        async with session.request(
            method,
            f"{control_url}/v1/endpoint",
            data=body,
            headers={headers.CONTROL_KEY: shared_key},
            timeout=aiohttp.ClientTimeout(total=1.0),
        ) as response:
            await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        pass


async def serve(endpoint: Endpoint, address: settings.Address) -> None:
    """Serve `endpoint` over HTTP at `address` until cancelled."""
    one_segment = endpoint.behaviour.one_segment
    protocol = servers.NodeProtocol if one_segment else httptools_impl.HttpToolsProtocol
    await servers.create(endpoint, address, protocol).serve()


def main() -> None:
    """Run one endpoint with the `EndpointSettings` given as JSON in the first argument."""
    asyncio.run(_run(SETTINGS.validate_json(sys.argv[1])))


async def _run(config: EndpointSettings) -> None:
    endpoint = Endpoint(
        config["service"],
        config["name"],
        config["region"],
        config["behaviour"],
        random.Random(config["address"]["port"]),
    )
    async with http_client.open_session(4, 20.0) as session, asyncio.TaskGroup() as group:
        group.create_task(serve(endpoint, config["address"]))
        group.create_task(
            announce_until_draining(
                endpoint, config["address"], config["control_url"], config["shared_key"], session
            )
        )


if __name__ == "__main__":
    main()
