from __future__ import annotations

import asyncio
import collections
import contextlib

import orjson
import pytest

from goldcrestgrade import instants, outcomes, sheet
from goldcrestgrade_node import asgi, servers
from goldcrestgrade_node.entry import app
from goldcrestgrade_testing import serving

SHEET = sheet.compile_sheet(
    1,
    sheet.encode(
        sheet.SheetDocument(
            day="2026-01-01",
            services=[
                sheet.ServiceDocument(
                    name="archive",
                    regions=["khomas"],
                    kinds=[
                        sheet.KindDocument(method="GET", path="/*", run_once=False, timeout_s=5.0),
                        sheet.KindDocument(method="POST", path="/*", run_once=True, timeout_s=5.0),
                    ],
                )
            ],
        )
    ),
)


class Rest:
    """Rest of an answer; after its parts it raises `AnswerCut` if `cut` is set."""

    def __init__(self, parts: list[bytes], length: int | None, cut: bool) -> None:
        self.parts = list(parts)
        self.length = length
        self.cut = cut
        self.closed = False

    async def read(self) -> bytes:
        if not self.parts and self.cut:
            raise outcomes.AnswerCut("cut")
        return self.parts.pop(0) if self.parts else b""

    def close(self) -> None:
        self.closed = True


class Runner:
    """Runs requests for an entry application; all of them end with the same answer."""

    def __init__(self, answer: outcomes.Answer) -> None:
        self.answer = answer
        self.requests = []
        self.cancelled = 0
        self.released = asyncio.Event()
        self.released.set()
        self.events = collections.Counter()

    async def run(self, request):
        self.requests.append(request)
        try:
            await self.released.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return outcomes.Ran(self.answer)


@contextlib.asynccontextmanager
async def serving_entry(answer=outcomes.Answer(200, (), b"whole")):  # noqa: B008
    runner = Runner(answer)
    application = app.EntryApp(
        runner.run,
        lambda: SHEET,
        lambda _: None,
        lambda: False,
        instants.system_clocks(),
        runner.events,
    )
    async with serving.serving(application) as port:
        yield runner, port


def request(*lines: str, method: str = "GET", body: bytes = b"") -> bytes:
    fixed = (f"{method} /x HTTP/1.1", "host: archive", "connection: close")
    return "\r\n".join((*fixed, *lines, "", "")).encode("latin-1") + body


def reason_in(received: bytes) -> tuple[int, str]:
    status = int(received.split(b" ", 2)[1])
    return status, orjson.loads(received.partition(b"\r\n\r\n")[2])["reason"]


@pytest.mark.parametrize("text", ["nan", "inf", "-inf", "-5", "1e99", "soon", "", "9" * 30, "1_0"])
async def test_malformed_deadline_is_refused(text):
    async with serving_entry() as (runner, port):
        received = await serving.exchange(port, request(f"goldcrestgrade-deadline: {text}"))
    assert reason_in(received) == (400, "invalid_request")
    assert not runner.requests


async def test_passed_deadline_is_refused():
    async with serving_entry() as (runner, port):
        received = await serving.exchange(port, request("goldcrestgrade-deadline: 1.5"))
    assert reason_in(received) == (504, "deadline_passed")
    assert not runner.requests


@pytest.mark.parametrize(
    "line",
    [
        "host: intake",
        "connection: idempotency-key",
        "connection: close, goldcrestgrade-deadline",
        "x: \xff",
    ],
)
async def test_ambiguous_request_is_refused(line):
    async with serving_entry() as (runner, port):
        received = await serving.exchange(port, request(line))
    assert reason_in(received) == (400, "invalid_request")
    assert not runner.requests


async def test_key_given_twice_is_refused():
    lines = ("content-length: 0", "idempotency-key: a", "idempotency-key: b")
    async with serving_entry() as (runner, port):
        received = await serving.exchange(port, request(*lines, method="POST"))
    assert reason_in(received) == (400, "invalid_request")
    assert not runner.requests


@pytest.mark.parametrize(
    "lines",
    [
        ("content-length: 1", "content-length: 2"),
        ("content-length: 1", "transfer-encoding: chunked"),
        ("transfer-encoding: chunked, identity",),
    ],
)
async def test_request_with_conflicting_framing_is_refused(lines):
    async with serving_entry() as (runner, port):
        received = await serving.exchange(port, request(*lines, body=b"1\r\nx\r\n0\r\n\r\n"))
    assert received.startswith(b"HTTP/1.1 400 ")
    assert not runner.requests


@pytest.mark.parametrize("method", ["TRACE", "CONNECT"])
async def test_tunnels_and_traces_are_refused(method):
    async with serving_entry() as (runner, port):
        received = await serving.exchange(port, request(method=method))
    assert received.startswith(b"HTTP/1.1 400 ")
    assert not runner.requests


async def test_internal_headers_and_headers_of_one_connection_are_removed():
    lines = (
        "connection: close, x-hop",
        "x-hop: 1",
        "te: trailers",
        "expect: 100-continue",
        "goldcrestgrade-attempt-id: r",
        "goldcrestgrade-control-key: k",
        "goldcrestgrade-request-id: r",
        "goldcrestgrade-no-retry: 1",
        "endpoint-load: 1",
        "x-end: 1",
    )
    async with serving_entry() as (runner, port):
        await serving.exchange(port, request(*lines))
    assert runner.requests[0].headers == (("x-end", "1"),)
    assert not runner.requests[0].retries_allowed


async def test_head_over_the_limit_is_cut_off_before_its_end():
    start = b"GET /x HTTP/1.1\r\nx: "
    sent = start + b"y" * (servers.MAX_HEAD_BYTES + 1 - len(start))
    async with serving_entry() as (runner, port):
        received = await serving.exchange(port, sent)
    assert received.startswith(b"HTTP/1.1 431 ")
    assert not runner.requests


async def test_request_with_expect_continue_gets_100_before_it_sends_its_body():
    head = request("content-length: 1", "expect: 100-continue", "idempotency-key: a", method="POST")
    async with serving_entry() as (_, port):
        reader, writer = await asyncio.open_connection(serving.HOST, port)
        writer.write(head)
        interim = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10.0)
        writer.write(b"x")
        received = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
    assert interim.startswith(b"HTTP/1.1 100 ")
    assert received.endswith(b"\r\n\r\nwhole")


async def test_answers_on_one_connection_come_in_order():
    both = b"HEAD /x HTTP/1.1\r\nhost: archive\r\n\r\n" + request()
    answer = outcomes.Answer(204, (), b"")
    async with serving_entry(answer) as (_, port):
        received = await serving.exchange(port, both)
    assert received.count(b"HTTP/1.1 204 ") == 2
    assert received.endswith(b"\r\n\r\n")


async def test_large_body_after_a_small_head_is_read():
    body = b"x" * (asgi.MAX_BODY_BYTES // 2)
    lines = (f"content-length: {len(body)}", "idempotency-key: a")
    async with serving_entry() as (runner, port):
        await serving.exchange(port, request(*lines, method="POST", body=body))
    assert runner.requests[0].body == body


async def test_body_over_the_limit_is_refused():
    body = b"x" * (asgi.MAX_BODY_BYTES + 1)
    async with serving_entry() as (runner, port):
        received = await serving.exchange(
            port, request(f"content-length: {len(body)}", method="POST", body=body)
        )
    assert reason_in(received) == (413, "body_too_large")
    assert not runner.requests


async def test_disconnect_of_the_client_cancels_an_idempotent_request():
    async with serving_entry() as (runner, port):
        runner.released.clear()
        _, writer = await asyncio.open_connection(serving.HOST, port)
        writer.write(request())
        await until(lambda: runner.requests)
        writer.close()
        await until(lambda: runner.events["caller_disconnected"])
    assert runner.cancelled == 1


async def test_disconnect_of_the_client_does_not_cancel_a_run_once_request():
    async with serving_entry() as (runner, port):
        runner.released.clear()
        _, writer = await asyncio.open_connection(serving.HOST, port)
        writer.write(request("content-length: 0", "idempotency-key: a", method="POST"))
        await until(lambda: runner.requests)
        writer.close()
        await asyncio.sleep(0.3)
        cancelled = runner.cancelled
        runner.released.set()
    assert cancelled == 0


@pytest.mark.parametrize(
    ("method", "answer", "head", "body"),
    [
        ("GET", outcomes.Answer(200, (), b"whole"), b"content-length: 5", b"whole"),
        ("HEAD", outcomes.Answer(200, (("content-length", "10"),), b""), b"length: 10", b""),
        ("GET", outcomes.Answer(204, (), b""), b"HTTP/1.1 204 No Content", b""),
        ("GET", outcomes.Answer(304, (), b""), b"HTTP/1.1 304 Not Modified", b""),
    ],
)
async def test_answer_is_framed_as_its_method_and_status_require(method, answer, head, body):
    async with serving_entry(answer) as (_, port):
        received = await serving.exchange(port, request(method=method))
    got_head, _, got_body = received.partition(b"\r\n\r\n")
    assert head in got_head
    assert got_body == body
    assert b"transfer-encoding" not in got_head
    assert got_head.count(b"content-length") == (answer.status == 200)


@pytest.mark.parametrize("length", [12, None])
async def test_streamed_answer_arrives_complete(length):
    answer = outcomes.Answer(200, (), b"first", Rest([b"second", b"."], length, cut=False))
    async with serving_entry(answer) as (_, port):
        received = await serving.exchange(port, request())
    body = received.partition(b"\r\n\r\n")[2]
    assert body == (
        b"5\r\nfirst\r\n6\r\nsecond\r\n1\r\n.\r\n0\r\n\r\n" if length is None else b"firstsecond."
    )
    assert answer.rest.closed


@pytest.mark.parametrize("length", [100, None])
async def test_cut_of_a_streamed_answer_is_visible_to_the_client(length):
    answer = outcomes.Answer(200, (), b"first", Rest([b"second"], length, cut=True))
    async with serving_entry(answer) as (runner, port):
        received = await serving.exchange(port, request())
    body = received.partition(b"\r\n\r\n")[2]
    assert body == (b"5\r\nfirst\r\n6\r\nsecond\r\n" if length is None else b"firstsecond")
    assert answer.rest.closed
    assert runner.events["streamed_answer_cut"] == 1


async def until(condition) -> None:
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)
