from __future__ import annotations

import asyncio
import signal
import uuid

import aiohttp
import orjson

from goldcrestgrade import headers
from goldcrestgrade_testing import deployments, endpoint_server, processes

QUICK = endpoint_server.Behaviour(service_time_s=0.002)
SLOW = endpoint_server.Behaviour(service_time_s=0.4, jitter_share=0.5)
STALLED = endpoint_server.Behaviour(service_time_s=9.0, jitter_share=0.0)
SERVICE = {headers.SERVICE: deployments.SERVICE}


async def get(session: aiohttp.ClientSession, instance: deployments.Instance, number: int) -> None:
    """Send a GET through the node; check that its answer is complete and belongs to the request."""
    path = f"/letters/{number}"
    async with session.get(instance.calls_url + path, headers=SERVICE) as response:
        body = await response.read()
    assert (response.status, body[:1]) == (200, b"{"), (response.status, body)
    assert orjson.loads(body)["path"] == path


async def post(session: aiohttp.ClientSession, instance: deployments.Instance, key: str) -> bytes:
    fields = {**SERVICE, headers.IDEMPOTENCY_KEY: key}
    url = f"{instance.calls_url}/letters"
    async with session.post(url, headers=fields, data=b"letter") as response:
        body = await response.read()
    assert response.status == 200, body
    return body


async def get_until_stopped(stopped: asyncio.Event, deployment, instance) -> int:
    """Send GETs, five at a time, until `stopped` is set; return their number."""
    number = 0
    while not stopped.is_set():
        batch = range(number, number + 5)
        await asyncio.gather(*(get(deployment.session, instance, n) for n in batch))
        number += 5
        await asyncio.sleep(0.02)
    return number


async def wait_ended(process: processes.Process) -> int:
    return await asyncio.to_thread(process.wait, processes.STOP_TIMEOUT_S)


async def test_every_node_serves_idempotent_and_run_once_requests():
    async with deployments.running(2, QUICK) as deployment:
        for instance in deployment.instances:
            await get(deployment.session, instance, 1)
        key = uuid.UUID(int=1).hex
        first = await post(deployment.session, deployment.instances[0], key)
        second = await post(deployment.session, deployment.instances[0], key)
        third = await post(deployment.session, deployment.instances[1], key)
    assert orjson.loads(first)["key"] == key
    assert first == second == third


async def test_stop_of_a_node_under_load_interrupts_no_request():
    async with deployments.running(3, SLOW) as deployment:
        leaving, staying, _ = deployment.instances
        stopped = asyncio.Event()
        load = asyncio.create_task(get_until_stopped(stopped, deployment, staying))
        requests = [
            asyncio.create_task(get(deployment.session, leaving, number)) for number in range(15)
        ]
        await asyncio.sleep(0.2)
        leaving.node.terminate()
        status = await wait_ended(leaving.node)
        stopped.set()
        await asyncio.gather(*requests)
        served = await load
    assert status == 0
    assert served > 0


async def test_crash_of_an_endpoint_under_load_fails_no_idempotent_request():
    async with deployments.running(3, SLOW) as deployment:
        stopped = asyncio.Event()
        load = [
            asyncio.create_task(get_until_stopped(stopped, deployment, instance))
            for instance in deployment.instances
        ]
        await asyncio.sleep(0.5)
        deployment.instances[0].endpoint.kill()
        await asyncio.sleep(2.0)
        stopped.set()
        served = await asyncio.gather(*load)
    assert min(served) > 0


async def test_paused_node_delays_no_request_through_another_node_and_serves_after_resuming():
    async with deployments.running(2, QUICK) as deployment:
        paused, other = deployment.instances
        stopped = asyncio.Event()
        load = asyncio.create_task(get_until_stopped(stopped, deployment, other))
        paused.node.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(2.0)
        finally:
            paused.node.send_signal(signal.SIGCONT)
        await get(deployment.session, paused, 1)
        stopped.set()
        assert await load > 0


async def test_run_once_request_at_a_crashed_endpoint_is_unknown_with_reason_endpoint_died():
    async with deployments.running(1, STALLED) as deployment:
        (instance,) = deployment.instances
        fields = {**SERVICE, headers.IDEMPOTENCY_KEY: uuid.UUID(int=2).hex}
        url = f"{instance.calls_url}/letters"
        sending = asyncio.create_task(deployment.session.post(url, headers=fields, data=b"x"))
        await asyncio.sleep(2.0)
        instance.endpoint.kill()
        async with await sending as response:
            document = orjson.loads(await response.read())
    assert (document["outcome"], document["reason"]) == ("unknown", "endpoint_died")
