from __future__ import annotations

import asyncio
import collections
import contextlib

import pytest

from goldcrestgrade import counters, instants, outcomes, reasons, records, sheet
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import exchanges, forwarding, results, shares, transport
from goldcrestgrade_node.control import app as control_app
from goldcrestgrade_testing import raw_endpoint, serving

KEY = "key"


@contextlib.asynccontextmanager
async def forwarding_to(respond, key=KEY):
    """Yield a function that sends through the endpoint's node, and the endpoint."""
    counts = counters.Counts()
    clocks = instants.system_clocks()
    relaying = transport.HttpTransport(clocks, counts)
    entry = transport.HttpTransport(clocks, counts, key)
    async with raw_endpoint.serving(respond) as endpoint:
        document = records.EndpointDocument(
            service="s", host="127.0.0.1", port=endpoint.port, slots=1, connections=220
        )
        relays = {
            transport.FORWARD_PATH: forwarding.ForwardApp(
                relaying.send, lambda: document, lambda _: None, clocks, collections.Counter()
            )
        }
        control = control_app.with_relays(control_app.create([KEY], {}), relays, [KEY])
        async with serving.serving(control) as port:
            entry.set_shares("s", {("127.0.0.1", endpoint.port): shares.Relay()})

            async def send(method="GET", service="s", body=b""):
                kind = sheet.Kind("any", run_once=False, timeout_s=5.0)
                deadline = clocks.monotonic() + 10.0
                fields = (("x", "á"),)
                request = requests.Request(
                    "r1", service, kind, method, "/x?y", fields, body, None, deadline, True
                )
                url = f"http://127.0.0.1:{port}"
                entry.shares[service] = entry.shares["s"]
                return await entry.send(
                    transport.Attempt(
                        "r1-1", request, "127.0.0.1", endpoint.port, "khomas", control_url=url
                    )
                )

            yield send, endpoint
            await entry.close()
            await relaying.close()


def reply(bytes_sent):
    async def respond(_, writer) -> None:
        writer.write(bytes_sent)

    return respond


async def test_relayed_attempt_is_answered_as_if_it_were_direct():
    answer = raw_endpoint.answer(b"whole", fields="x: 1\r\nendpoint-load: 3\r\n")
    async with forwarding_to(reply(answer)) as (send, endpoint):
        result = await send("PUT", body=b"letter")
    assert isinstance(result, results.Answered)
    assert (result.load, result.answer.body) == (3, b"whole")
    assert ("x", "1") in result.answer.headers
    received = endpoint.requests[0]
    assert (received.method, received.target, received.body) == ("PUT", "/x?y", b"letter")
    assert received.field("x").encode("utf-8", "surrogateescape") == "á".encode()
    assert received.field("goldcrestgrade-control-key") is None


async def test_relayed_head_answer_keeps_its_length():
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"
    async with forwarding_to(reply(answer)) as (send, _):
        result = await send("HEAD")
    assert dict(result.answer.headers)["content-length"] == "10"


async def test_relayed_attempt_that_the_endpoint_sheds_is_shed():
    answer = raw_endpoint.answer(status="503 Busy", fields="endpoint-not-run: 1\r\n")
    async with forwarding_to(reply(answer)) as (send, _):
        assert isinstance(await send(), results.Shed)


async def test_relayed_attempt_for_another_service_is_shed():
    async with forwarding_to(reply(raw_endpoint.answer())) as (send, endpoint):
        assert isinstance(await send(service="other"), results.Shed)
    assert not endpoint.requests


async def test_relayed_attempt_whose_connection_drops_is_lost():
    async def respond(_, writer):
        writer.close()

    async with forwarding_to(respond) as (send, endpoint):
        assert await send() == results.Broken(reasons.Uncertainty.ANSWER_LOST)
    assert len(endpoint.requests) == 1


async def test_relayed_attempt_with_a_wrong_key_ends_as_invalid_answer():
    async with forwarding_to(reply(raw_endpoint.answer()), key="wrong") as (send, endpoint):
        assert await send() == results.Broken(reasons.Uncertainty.ANSWER_INVALID)
    assert not endpoint.requests


@pytest.mark.parametrize(
    "sent", [2 * exchanges.MAX_BUFFERED_BYTES, 2 * exchanges.MAX_BUFFERED_BYTES - 1]
)
async def test_large_relayed_answer_is_streamed_and_its_cut_shows(sent):
    size = 2 * exchanges.MAX_BUFFERED_BYTES

    async def respond(_, writer):
        writer.write(f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n".encode())
        writer.write(b"x" * sent)
        writer.close()

    async with forwarding_to(respond) as (send, _):
        result = await send()
        complete = await received_completely(result.answer)
    assert complete == (sent == size)


async def test_cancelled_relayed_attempt_closes_the_connection_to_the_endpoint():
    async def respond(_, __):
        pass

    async with forwarding_to(respond) as (send, endpoint):
        attempt = asyncio.create_task(send())
        async with asyncio.timeout(10.0):
            while not endpoint.requests:
                await asyncio.sleep(0.01)
            attempt.cancel()
            while endpoint.open_connections:
                await asyncio.sleep(0.01)


async def received_completely(answer: outcomes.Answer) -> bool:
    try:
        while await answer.rest.read():
            pass
    except outcomes.AnswerCut:
        return False
    finally:
        answer.rest.close()
    return True
