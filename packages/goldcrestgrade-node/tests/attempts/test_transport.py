from __future__ import annotations

import asyncio
import contextlib

import pytest

from goldcrestgrade import counters, instants, outcomes, reasons, sheet
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import exchanges, pools, results, shares, silence, transport
from goldcrestgrade_testing import raw_endpoint

IDEMPOTENT = sheet.Kind("any", run_once=False, timeout_s=5.0)
RUN_ONCE = sheet.Kind("any", run_once=True, timeout_s=5.0)


class Sender:
    """Sends attempts to one endpoint by one transport."""

    def __init__(self, http_transport: transport.HttpTransport, port: int) -> None:
        self.http_transport = http_transport
        self.port = port
        self.sent = 0

    async def send(
        self, method="GET", timeout_s=10.0, kind=IDEMPOTENT, body=b"", fields=(), host="127.0.0.1"
    ) -> results.AttemptResult:
        self.sent += 1
        deadline = self.http_transport.clocks.monotonic() + timeout_s
        request = requests.Request(
            f"r{self.sent}", "s", kind, method, f"/{self.sent}", fields, body, None, deadline, True
        )
        return await self.http_transport.send(
            transport.Attempt(f"r{self.sent}-1", request, host, self.port, "khomas")
        )


@contextlib.asynccontextmanager
async def sending(respond, limit=50):
    async with raw_endpoint.serving(respond) as endpoint:
        http_transport = transport.HttpTransport(instants.system_clocks(), counters.Counts())
        http_transport.set_shares("s", {("127.0.0.1", endpoint.port): shares.Direct(limit)})
        try:
            yield Sender(http_transport, endpoint.port), endpoint
        finally:
            await http_transport.close()


def always(reply: bytes, close: bool = False):
    async def respond(_, writer) -> None:
        writer.write(reply)
        if close:
            writer.close()

    return respond


async def own_target(request, writer) -> None:
    writer.write(raw_endpoint.answer(request.target.encode()))


def body_of(result: results.AttemptResult) -> bytes:
    assert isinstance(result, results.Answered)
    return result.answer.body


async def until(condition) -> None:
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
async def test_request_on_a_dropped_connection_is_not_resent(method):
    async def respond(request, writer):
        if request.target == "/1":
            writer.write(raw_endpoint.answer())
        else:
            writer.close()

    async with sending(respond) as (sender, endpoint):
        await sender.send()
        result = await sender.send(method)
    assert result == results.Broken(reasons.Uncertainty.ANSWER_LOST, reused=True)
    assert len(endpoint.requests) == 2


async def test_redirect_is_returned_to_the_client():
    reply = raw_endpoint.answer(status="302 Found", fields="location: /elsewhere\r\n")
    async with sending(always(reply)) as (sender, endpoint):
        result = await sender.send()
    assert result.answer == outcomes.Answer(302, (("location", "/elsewhere"),), b"")
    assert len(endpoint.requests) == 1


async def test_encoded_body_and_utf8_header_pass_unchanged():
    reply = raw_endpoint.answer(b"no gzip", fields="content-encoding: gzip\r\nx: á\r\n")
    async with sending(always(reply)) as (sender, _):
        result = await sender.send()
    assert body_of(result) == b"no gzip"
    assert dict(result.answer.headers)["x"].encode("latin-1") == "á".encode()


async def test_cookies_are_not_kept():
    reply = raw_endpoint.answer(fields="set-cookie: a=b\r\n")
    async with sending(always(reply)) as (sender, endpoint):
        await sender.send()
        await sender.send()
    assert endpoint.requests[1].field("cookie") is None


async def test_host_name_is_not_resolved():
    async with sending(own_target) as (sender, endpoint):
        result = await sender.send(host="localhost")
    assert isinstance(result, results.Unreachable)
    assert endpoint.connections == 0


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
    ],
)
async def test_short_answer_is_dropped_and_its_connection_not_reused(reply):
    async with sending(always(reply, close=True)) as (sender, endpoint):
        first, second = await sender.send(), await sender.send()
        counted = sender.http_transport.counts.broken_attempts["answer_cut"]
    assert first == second == results.Broken(reasons.Uncertainty.ANSWER_CUT)
    assert (endpoint.connections, counted) == (2, 2)


async def test_answer_without_length_is_not_accepted_as_complete():
    reply = b"HTTP/1.1 200 OK\r\n\r\nperhaps whole"
    async with sending(always(reply, close=True)) as (sender, _):
        result = await sender.send()
    assert result == results.Broken(reasons.Uncertainty.ANSWER_INVALID)


async def test_crossed_answer_is_dropped_and_its_connection_closed():
    reply = raw_endpoint.answer(b"other", fields="goldcrestgrade-attempt-id: r9-1\r\n")
    async with sending(always(reply)) as (sender, endpoint):
        first, second = await sender.send(), await sender.send()
    assert first == second == results.Broken(reasons.Uncertainty.ANSWER_CROSSED)
    assert endpoint.connections == 2


async def test_late_answer_does_not_reach_the_next_request():
    async def respond(request, writer):
        if request.target == "/1":
            await asyncio.sleep(0.4)
        await own_target(request, writer)

    async with sending(respond) as (sender, endpoint):
        first = await sender.send(timeout_s=0.1)
        await asyncio.sleep(0.5)
        second = await sender.send()
    assert first == results.Broken(reasons.Uncertainty.TIMED_OUT)
    assert body_of(second) == b"/2"
    assert endpoint.connections == 2


async def test_second_answer_to_one_request_does_not_reach_the_next_request():
    async def respond(request, writer):
        await own_target(request, writer)
        if request.target == "/1":
            await asyncio.sleep(0.05)
            writer.write(raw_endpoint.answer(b"stray"))

    async with sending(respond) as (sender, _):
        await sender.send()
        await asyncio.sleep(0.3)
        second = await sender.send()
    assert body_of(second) == b"/2"


async def test_group_of_silent_connections_causes_one_timeout():
    silent: set[int] = set()

    async def respond(request, writer):
        if request.connection in silent:
            await asyncio.sleep(30.0)
        await asyncio.sleep(0.05)
        await own_target(request, writer)

    async with sending(respond) as (sender, endpoint):
        await asyncio.gather(*(sender.send() for _ in range(5)))
        silent.update(endpoint.open_connections)
        await asyncio.sleep(0.01)
        first = await sender.send(timeout_s=0.3)
        later = [await sender.send(timeout_s=2.0) for _ in range(5)]
        closed = sender.http_transport.counts.events["suspect_connection_closed"]
    assert first == results.Broken(reasons.Uncertainty.TIMED_OUT, reused=True)
    assert [body_of(result) for result in later] == [b"/7", b"/8", b"/9", b"/10", b"/11"]
    assert closed == 4


async def test_silent_connection_is_given_up_long_before_the_deadline_of_the_request():
    async def respond(request, writer):
        if request.connection > 1 or request.target == "/1":
            await own_target(request, writer)

    async with sending(respond) as (sender, _):
        await sender.send()
        begun = sender.http_transport.clocks.monotonic()
        second = await sender.send(timeout_s=60.0)
        ended = sender.http_transport.clocks.monotonic()
        third = await sender.send()
    assert second == results.Broken(reasons.Uncertainty.TIMED_OUT, reused=True)
    assert ended - begun < 30.0
    assert body_of(third) == b"/3"


async def test_slow_answer_on_a_new_connection_is_waited_for():
    async def respond(request, writer):
        await asyncio.sleep(silence.MIN_SILENCE_S + 0.5)
        await own_target(request, writer)

    async with sending(respond) as (sender, _):
        first = await sender.send()
        second = await sender.send()
    assert [body_of(first), body_of(second)] == [b"/1", b"/2"]


async def test_idle_connection_is_closed_before_the_server_closes_it(monkeypatch):
    assert pools.KEEPALIVE_S < 5.0
    monkeypatch.setattr(pools, "KEEPALIVE_S", 0.2)
    async with sending(own_target) as (sender, endpoint):
        await sender.send()
        assert endpoint.open_connections
        await until(lambda: not endpoint.open_connections)


@pytest.mark.parametrize(
    "fields", ["x: " + "y" * 20_000 + "\r\n", "".join(f"x{n}: y\r\n" for n in range(200))]
)
async def test_answer_with_too_large_a_head_is_dropped(fields):
    async with sending(always(raw_endpoint.answer(fields=fields))) as (sender, _):
        result = await sender.send()
    assert result == results.Broken(reasons.Uncertainty.ANSWER_INVALID)


async def test_headers_of_one_connection_and_internal_headers_of_an_answer_are_removed():
    fields = (
        "connection: keep-alive, x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=5\r\nx-end: 1\r\n"
        "goldcrestgrade-outcome: not_run\r\ngoldcrestgrade-request-id: r\r\nendpoint-load: 3\r\n"
    )
    async with sending(always(raw_endpoint.answer(fields=fields))) as (sender, _):
        result = await sender.send()
    assert result == results.Answered(outcomes.Answer(200, (("x-end", "1"),), b""), load=3)


async def test_answers_without_a_body_leave_their_connection_reusable():
    replies = {
        "HEAD": b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
        "GET": b"HTTP/1.1 304 Not Modified\r\ncontent-length: 10\r\n\r\n",
        "DELETE": b"HTTP/1.1 204 No Content\r\n\r\n",
        "PUT": b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + raw_endpoint.answer(b"hinted"),
    }

    async def respond(request, writer):
        writer.write(replies[request.method])

    async with sending(respond) as (sender, endpoint):
        answers = [(await sender.send(method)).answer for method in replies]
    assert answers == [
        outcomes.Answer(200, (("content-length", "10"),), b""),
        outcomes.Answer(304, (), b""),
        outcomes.Answer(204, (), b""),
        outcomes.Answer(200, (), b"hinted"),
    ]
    assert endpoint.connections == 1


async def test_switch_of_protocols_is_refused():
    reply = b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n"
    async with sending(always(reply)) as (sender, endpoint):
        result = await sender.send()
        await until(lambda: not endpoint.open_connections)
    assert result == results.Broken(reasons.Uncertainty.ANSWER_INVALID)


async def test_request_carries_only_what_it_was_given():
    async with sending(own_target) as (sender, endpoint):
        await sender.send("POST", body=b"letter", fields=(("x", "1"),))
    names = sorted(name for name, _ in endpoint.requests[0].fields)
    assert names == [
        "content-length",
        "goldcrestgrade-attempt-id",
        "goldcrestgrade-caller-region",
        "goldcrestgrade-deadline",
        "goldcrestgrade-no-retry",
        "goldcrestgrade-request-id",
        "host",
        "x",
    ]
    assert endpoint.requests[0].body == b"letter"


async def test_large_answer_is_streamed_only_as_fast_as_it_is_read():
    total = 64 << 20
    written = 0

    async def respond(_, writer):
        nonlocal written
        writer.write(f"HTTP/1.1 200 OK\r\ncontent-length: {total}\r\n\r\n".encode())
        while written < total:
            writer.write(b"x" * 65536)
            written += 65536
            await writer.drain()

    async with sending(respond) as (sender, endpoint):
        result = await sender.send()
        await asyncio.sleep(0.5)
        written_before_reading = written
        result.answer.rest.close()
        await until(lambda: not endpoint.open_connections)
        taken = sender.http_transport.pools["127.0.0.1", endpoint.port].slots.taken
    assert written_before_reading < total // 2
    assert len(result.answer.body) > exchanges.MAX_BUFFERED_BYTES
    assert result.answer.rest.length == total
    assert taken == 0


async def test_cut_of_a_streamed_answer_is_raised():
    async def respond(_, writer):
        size = 2 * exchanges.MAX_BUFFERED_BYTES
        writer.write(f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n".encode())
        writer.write(b"x" * (size - 1))
        writer.close()

    async with sending(respond) as (sender, _):
        result = await sender.send()
        with pytest.raises(outcomes.AnswerCut):
            while await result.answer.rest.read():
                pass
        result.answer.rest.close()


async def test_streamed_answer_ends_at_its_deadline():
    async def respond(_, writer):
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        writer.write(b"200000\r\n" + b"x" * 0x200000 + b"\r\n")

    async with sending(respond) as (sender, endpoint):
        result = await sender.send(timeout_s=0.5)
        with pytest.raises(outcomes.AnswerCut):
            while await result.answer.rest.read():
                pass
        await until(lambda: not endpoint.open_connections)


async def test_run_once_requests_use_a_new_connection_each():
    async with sending(own_target) as (sender, endpoint):
        for _ in range(3):
            await sender.send("POST", kind=RUN_ONCE)
    assert endpoint.connections == 3


async def test_run_once_answer_over_the_limit_is_dropped():
    reply = raw_endpoint.answer(b"x" * (exchanges.MAX_UNSTREAMED_BYTES + 1))
    async with sending(always(reply)) as (sender, _):
        result = await sender.send("POST", kind=RUN_ONCE)
    assert result == results.Broken(reasons.Uncertainty.ANSWER_TOO_LARGE)


async def test_cancelled_attempt_closes_its_connection():
    async def respond(_, __):
        await asyncio.sleep(0.0)

    async with sending(respond) as (sender, endpoint):
        attempt = asyncio.create_task(sender.send())
        await until(lambda: endpoint.requests)
        attempt.cancel()
        await until(lambda: not endpoint.open_connections)


async def test_connections_to_an_endpoint_stay_within_their_limit():
    async def respond(request, writer):
        await asyncio.sleep(0.05)
        await own_target(request, writer)

    async with sending(respond, limit=2) as (sender, endpoint):
        sent = await asyncio.gather(*(sender.send() for _ in range(6)))
    assert sorted(map(body_of, sent)) == [f"/{n}".encode() for n in range(1, 7)]
    assert endpoint.max_open_connections == 2


async def test_wait_for_a_connection_ends_at_the_deadline_as_not_sent():
    async def respond(request, writer):
        if request.target != "/1":
            await own_target(request, writer)

    async with sending(respond, limit=1) as (sender, endpoint):
        first = asyncio.create_task(sender.send(timeout_s=1.0))
        await until(lambda: endpoint.requests)
        second = await sender.send(timeout_s=0.1)
        await first
        third = await sender.send()
    assert isinstance(second, results.Unreachable)
    assert body_of(third) == b"/3"


async def test_request_is_not_written_after_a_suspension_past_its_deadline(monkeypatch):
    async with sending(always(raw_endpoint.answer())) as (sender, endpoint):
        suspended = []
        connect = exchanges.Exchange.connect

        async def connect_then_suspend(self, unpooled):
            await connect(self, unpooled)
            suspended.append(60.0)

        monkeypatch.setattr(exchanges.Exchange, "connect", connect_then_suspend)
        wall = sender.http_transport.clocks.wall
        sender.http_transport.clocks = sender.http_transport.clocks._replace(
            wall=lambda: wall() + sum(suspended)
        )
        result = await sender.send(method="POST", kind=RUN_ONCE)
        assert isinstance(result, results.Unreachable)
        assert endpoint.requests == []
