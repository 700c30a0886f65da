from __future__ import annotations

import asyncio
import contextlib
import random

from goldcrestgrade import headers, http_client
from goldcrestgrade_testing import endpoint_server, raw_endpoint, serving


@contextlib.asynccontextmanager
async def serving_endpoint(**behaviour):
    crashes = []
    endpoint = endpoint_server.Endpoint(
        "archive",
        "a",
        "khomas",
        endpoint_server.Behaviour(service_time_s=0.0, **behaviour),
        random.Random(1),
        crash=lambda: crashes.append(1),
    )
    async with serving.serving(endpoint) as port, http_client.open_session(50, 5.0) as session:

        async def get(path="/x"):
            async with session.get(f"http://127.0.0.1:{port}{path}") as response:
                await response.read()
                return response

        yield endpoint, get, crashes


async def wait_until(condition) -> None:
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


async def test_first_request_of_a_cold_endpoint_takes_the_cold_time():
    async with serving_endpoint(cold_requests=1, cold_time_s=0.5) as (_, get, __):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await get()
        assert loop.time() - started_at >= 0.5


async def test_shedding_endpoint_rejects_a_request_without_starting_it():
    async with serving_endpoint(shedding=True) as (endpoint, get, _):
        response = await get()
    assert (response.status, headers.NOT_RUN in response.headers) == (503, True)
    assert not endpoint.executions


async def test_stalled_endpoint_answers_after_the_stall():
    async with serving_endpoint(stalled=True) as (endpoint, get, _):
        request = asyncio.create_task(get())
        await wait_until(lambda: endpoint.executions)
        assert not request.done()
        endpoint.behaviour.stalled = False
        assert (await request).status == 200


async def test_only_a_request_with_the_crash_marker_crashes_the_endpoint():
    async with serving_endpoint(crash_marker="poison") as (_, get, crashes):
        await get("/x")
        assert not crashes
        await get("/x?poison")
        assert crashes


async def test_endpoint_with_a_lying_load_reports_that_load():
    async with serving_endpoint(lying_load=0, slots=1) as (_, get, __):
        responses = await asyncio.gather(*(get() for _ in range(5)))
    assert {response.headers[headers.LOAD] for response in responses} == {"0"}


async def test_disconnect_of_the_client_cancels_the_request():
    async with serving_endpoint(stalled=True) as (endpoint, get, _):
        request = asyncio.create_task(get())
        await wait_until(lambda: endpoint.executions)
        request.cancel()
        await wait_until(lambda: endpoint.cancelled)
    assert endpoint.in_flight == 0


async def test_draining_endpoint_deregisters_from_its_node_and_sheds():
    async def respond(_, writer):
        writer.write(raw_endpoint.answer())

    async with (
        serving_endpoint() as (endpoint, get, _),
        raw_endpoint.serving(respond) as node,
        http_client.open_session(4, 5.0) as session,
    ):
        url = f"http://127.0.0.1:{node.port}"
        address = {"host": "127.0.0.1", "port": 1}
        announcing = asyncio.create_task(
            endpoint_server.announce_until_draining(endpoint, address, url, "key", session)
        )
        await wait_until(lambda: node.requests)
        endpoint.behaviour.draining = True
        await asyncio.wait_for(announcing, 10.0)
        assert (await get()).status == 503
    assert [request.method for request in node.requests][-1] == "DELETE"
