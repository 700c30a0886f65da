"""Limits of what one client may send and has to read, on real sockets."""

import asyncio
import collections
import contextlib
import functools
import socket
import struct
import typing

import pytest

from goldcrestgrade import counters, reasons
from goldcrestgrade_node import asgi, closing, intake, servers
from goldcrestgrade_node.mesh.entry import pipelining

MAX_HEAD_BYTES = 16 * 1024


class App:
    """Answers with the number of headers and bytes of a request."""

    def __init__(self):
        self.began = 0
        self.gate = asyncio.Event()
        self.gate.set()

    async def __call__(self, scope, receive, send):
        try:
            body = await asgi.read_body(receive, 1 << 24)
        except asgi.Disconnected:
            return
        self.began += 1
        await self.gate.wait()
        text = b"%d headers, %d bytes" % (len(scope["headers"]), len(body))
        text += b"." * int(scope["query_string"] or b"0")
        fields = [(b"content-length", b"%d" % len(text))]
        await send({"type": "http.response.start", "status": 200, "headers": fields})
        await send({"type": "http.response.body", "body": text})


def pipelined():
    terms = pipelining.Terms(lambda _: True, counters.Counts(), pipelining.FinishedAnswers())
    return functools.partial(pipelining.PipeliningProtocol, terms=terms)


PROTOCOLS = {"plain": lambda: servers.NodeProtocol, "pipelining": pipelined}


class Events(typing.NamedTuple):
    """Counters of events, and the intake that counts them."""

    counts: collections.Counter
    intake: intake.Intake

    def __getitem__(self, reason):
        return self.counts[reason]


@contextlib.asynccontextmanager
async def serving(app, kind="plain", head_timeout_s=10.0, **limits):
    """Serve `app` at a port; yield the port and the counters of events."""
    counts = counters.Counts()
    bounds = servers.Bounds(
        intake.Intake(intake.limits()._replace(**limits), counts),
        lambda: MAX_HEAD_BYTES,
        lambda: head_timeout_s,
        "0.3",
    )
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        address = {"host": "127.0.0.1", "port": 0}
        server = servers.create(app, address, PROTOCOLS[kind](), bounds=bounds)
        task = asyncio.create_task(server.serve(sockets=[listening]))
        while not server.started:
            await asyncio.sleep(0.01)
        try:
            yield listening.getsockname()[1], Events(counts.events, bounds.intake)
        finally:
            server.should_exit = server.force_exit = True
            await task
        assert bounds.intake.held_bytes == 0


@contextlib.asynccontextmanager
async def connected(port):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()
        await asyncio.sleep(0.02)


async def received(reader):
    async with asyncio.timeout(5.0):
        return await reader.read()


def head(size, line=b"a:\r\n"):
    """Return a complete head of `size` bytes with as many `line` as there is room for."""
    start = b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
    lines, rest = divmod(size - len(start) - 2 - len(b"b:\r\n"), len(line))
    return start + line * lines + b"b:" + b"x" * rest + b"\r\n\r\n"


@pytest.mark.parametrize("kind", PROTOCOLS)
@pytest.mark.parametrize("line", [b"a:\r\n", b"x-name: " + b"y" * 90 + b"\r\n"])
async def test_head_of_the_largest_size_is_served_and_a_larger_one_refused(kind, line):
    """Guards against a limit that heads inside it meet, or that larger ones pass."""
    app = App()
    async with serving(app, kind) as (port, events):
        for size, status in ((MAX_HEAD_BYTES, b"200"), (MAX_HEAD_BYTES + 1, b"431")):
            sent = head(size, line)
            assert len(sent) == size
            async with connected(port) as (reader, writer):
                writer.write(sent)
                assert (await received(reader)).split()[1] == status
    assert app.began == 1
    assert events[reasons.Event.HEAD_TOO_LARGE] == 1


@pytest.mark.parametrize("kind", PROTOCOLS)
async def test_trailers_are_not_merged_into_the_headers(kind):
    """Guards against headers that the checks of a head have not seen, and their memory."""
    chunked = (
        b"POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    async with serving(App(), kind) as (port, _), connected(port) as (reader, writer):
        writer.write(chunked + b"3\r\nabc\r\n0\r\nx-caller-service: forged\r\n\r\n")
        assert (await received(reader)).endswith(b"3 headers, 3 bytes")


SLOW = {
    "head": (b"GET / HTTP/1.1\r\n", b"x-name: value\r\n"),
    "empty lines": (b"", b"\r\n"),
    "body": (b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 60000\r\n\r\n", b"x"),
    "trailers": (
        b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        b"x-name: value\r\n",
    ),
}


@pytest.mark.parametrize("kind", PROTOCOLS)
@pytest.mark.parametrize("part", SLOW)
async def test_request_that_comes_byte_by_byte_is_refused_and_has_not_run(part, kind, monkeypatch):
    """Guards against connections that are held for good by clients that send a trickle."""
    monkeypatch.setattr(closing, "STALL_S", 0.5)
    app = App()
    first, repeated = SLOW[part]
    async with serving(app, kind, head_timeout_s=0.5) as (port, events):
        async with connected(port) as (reader, writer):
            writer.write(first)
            answer = asyncio.create_task(received(reader))
            for byte in repeated * 200:
                if answer.done():
                    break
                writer.write(bytes([byte]))
                await asyncio.sleep(0.05)
            head_lines = (await answer).split(b"\r\n")
        assert head_lines[0].startswith(b"HTTP/1.1 408 ")
        assert b"retry-after: 0.3" in head_lines
        assert events[reasons.Event.REQUEST_TOO_SLOW] == 1
    assert app.began == 0


@pytest.mark.parametrize("kind", PROTOCOLS)
async def test_head_that_comes_in_parts_within_its_time_is_served(kind):
    app = App()
    async with serving(app, kind, head_timeout_s=2.0) as (port, _), connected(port) as client:
        reader, writer = client
        for byte in head(80):
            writer.write(bytes([byte]))
            await asyncio.sleep(0.005)
        assert b" 200 " in await received(reader)


@pytest.mark.parametrize("kind", PROTOCOLS)
async def test_answer_that_is_read_byte_by_byte_is_given_up(kind, monkeypatch):
    """Guards against answers whose memory is held for good by clients that read a trickle."""
    monkeypatch.setattr(closing, "STALL_S", 0.5)
    async with serving(App(), kind) as (port, events):
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.setblocking(False)
            await loop.sock_connect(client, ("127.0.0.1", port))
            await loop.sock_sendall(client, b"GET /?4000000 HTTP/1.1\r\nhost: h\r\n\r\n")
            with pytest.raises((ConnectionError, TimeoutError)):
                async with asyncio.timeout(5.0):
                    while await loop.sock_recv(client, 1):
                        await asyncio.sleep(0.01)
            assert events[reasons.Event.ANSWER_NOT_READ] == 1


@pytest.mark.parametrize("kind", PROTOCOLS)
async def test_request_beyond_those_that_may_be_under_way_is_refused_at_once(kind):
    """Guards against a refusal that comes late, says nothing of a return, or whose request runs."""
    app = App()
    app.gate.clear()
    async with serving(app, kind, requests=1) as (port, events):
        async with connected(port) as (first, writer), connected(port) as (second, other):
            writer.write(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
            await asyncio.sleep(0.1)
            other.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            lines = (await received(second)).split(b"\r\n")
            assert lines[0].startswith(b"HTTP/1.1 503 ") and b"retry-after: 0.3" in lines
            app.gate.set()
            assert b" 200 " in await received(first)
        assert events[reasons.Event.REQUESTS_FULL] == 1
    assert app.began == 1


@pytest.mark.parametrize("kind", PROTOCOLS)
async def test_partial_requests_are_refused_once_all_hold_too_much(kind):
    """Guards against heads that exceed the memory together; those refused have not run."""
    app = App()
    async with serving(app, kind, memory_bytes=1 << 20) as (port, events):
        async with contextlib.AsyncExitStack() as stack:
            clients = [await stack.enter_async_context(connected(port)) for _ in range(40)]
            for _, writer in clients:
                writer.write(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 3000)
            await asyncio.sleep(0.5)
            refused = [reader for reader, _ in clients if reader._buffer]
            assert len(refused) >= 30
            for reader in refused:
                lines = (await received(reader)).split(b"\r\n")
                assert lines[0].startswith(b"HTTP/1.1 503 ") and b"retry-after: 0.3" in lines
            reader, writer = await stack.enter_async_context(connected(port))
            writer.write(head(100))
            assert b" 200 " in await received(reader)
        assert events[reasons.Event.CONNECTION_MEMORY_FULL] == len(refused)
    assert app.began == 1


@pytest.mark.parametrize("kind", PROTOCOLS)
async def test_connections_beyond_the_limit_close_those_that_wait_longest(kind):
    """Guards against connections that leave no descriptors for those of other clients."""
    async with serving(App(), kind, connections=8) as (port, events):
        async with contextlib.AsyncExitStack() as stack:
            clients = [await stack.enter_async_context(connected(port)) for _ in range(8)]
            for _, writer in clients[1:]:
                writer.write(b"GET / HTTP/1.1\r\n")
            await asyncio.sleep(0.1)
            reader, writer = await stack.enter_async_context(connected(port))
            writer.write(head(100))
            assert b" 200 " in await received(reader)
            answers = [bytes(reader._buffer) for reader, _ in clients]
            assert [answer.startswith(b"HTTP/1.1 503 ") for answer in answers] == [
                number == 1 for number in range(8)
            ]
        assert events[reasons.Event.CONNECTIONS_FULL] == 1


async def test_connection_without_a_request_is_closed_after_the_idle_time():
    """Guards against connections that are held for good by clients that send nothing."""
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        server = servers.create(App(), {"host": "127.0.0.1", "port": 0}, keepalive_s=1)
        task = asyncio.create_task(server.serve(sockets=[listening]))
        while not server.started:
            await asyncio.sleep(0.01)
        async with connected(listening.getsockname()[1]) as (reader, _):
            assert await received(reader) == b""
        server.should_exit = server.force_exit = True
        await task


async def test_connection_that_is_reset_leaves_no_timer():
    """Guards against memory that connections hold for minutes after their clients reset them."""
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        server = servers.create(App(), {"host": "127.0.0.1", "port": 0}, keepalive_s=300)
        task = asyncio.create_task(server.serve(sockets=[listening]))
        while not server.started:
            await asyncio.sleep(0.01)
        _, writer = await asyncio.open_connection(*listening.getsockname())
        while not server.server_state.connections:
            await asyncio.sleep(0.01)
        (protocol,) = server.server_state.connections
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        while server.server_state.connections:
            await asyncio.sleep(0.01)
        assert protocol.timeout_keep_alive_task is None
        server.should_exit = server.force_exit = True
        await task


@pytest.mark.parametrize("waiting", [True, False])
async def test_slow_reader_is_given_up_early_only_while_answers_wait_for_memory(
    waiting, monkeypatch
):
    """Guards against a few slow readers that hold the memory of all large answers."""
    monkeypatch.setattr(intake, "SLOW_READER_S", 0.5)
    loop = asyncio.get_running_loop()
    async with serving(App()) as (port, events):
        events.intake.answers_wait = lambda: waiting
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.setblocking(False)
            await loop.sock_connect(client, ("127.0.0.1", port))
            await loop.sock_sendall(client, b"GET /?4000000 HTTP/1.1\r\nhost: h\r\n\r\n")
            await asyncio.sleep(2.0)
            assert events[reasons.Event.ANSWER_NOT_READ] == waiting


@pytest.mark.parametrize("wanted", [True, False])
async def test_slow_body_is_refused_early_only_while_others_find_no_memory(wanted, monkeypatch):
    """Guards against one slow body that holds the memory of all bodies."""
    monkeypatch.setattr(intake, "SLOW_BODY_S", 0.5)
    async with serving(App()) as (port, events), connected(port) as (reader, writer):
        writer.write(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9000000\r\n\r\nx")
        for _ in range(4):
            await asyncio.sleep(0.4)
            if wanted:
                events.intake.record_refused_body()
        answer = bytes(reader._buffer)
        assert answer.startswith(b"HTTP/1.1 408 ") == wanted
        assert events[reasons.Event.REQUEST_TOO_SLOW] == wanted


@pytest.mark.parametrize("age_s, status", [(0.0, b"503"), (0.7, b"200")])
async def test_slow_body_gives_way_to_other_requests_at_the_limit_of_requests(age_s, status):
    """Guards against slow bodies that take the places of all requests at an address."""
    app = App()
    async with (
        serving(app, requests=2) as (port, events),
        connected(port) as (slow_reader, slow),
        connected(port) as (_, complete),
        connected(port) as (reader, writer),
    ):
        app.gate.clear()
        complete.write(b"GET /?1 HTTP/1.1\r\nhost: h\r\n\r\n")
        slow.write(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9000\r\n\r\nx")
        await asyncio.sleep(0.1 + age_s)
        writer.write(b"GET /?2 HTTP/1.1\r\nhost: h\r\n\r\n")
        await asyncio.sleep(0.1)
        app.gate.set()
        assert (await reader.readline()).startswith(b"HTTP/1.1 " + status)
        if status == b"200":
            refusal = await received(slow_reader)
            assert refusal.startswith(b"HTTP/1.1 503 ") and b"retry-after: " in refusal
        assert app.began == events[reasons.Event.REQUEST_TOO_SLOW] + 1


@pytest.mark.parametrize("kind", PROTOCOLS)
@pytest.mark.parametrize("rest", [b"x", b"zz\r\n", b"1\r\nx\r\n0\r\n" + b"a:\r\n" * 9000])
async def test_fault_in_a_body_adds_no_refusal_to_an_answer_that_has_begun(kind, rest, monkeypatch):
    """Guards against a refusal in the midst of an answer that began before its body was read.

    The rest of the body is too slow, can't be parsed, or has too long trailers.
    """
    monkeypatch.setattr(closing, "STALL_S", 0.5)

    async def answer_early(_scope, _receive, send):
        fields = [(b"content-length", b"100")]
        await send({"type": "http.response.start", "status": 200, "headers": fields})
        await send({"type": "http.response.body", "body": b"begun", "more_body": True})
        await asyncio.sleep(30.0)

    async with serving(answer_early, kind) as (port, events), connected(port) as (reader, writer):
        framing = b"content-length: 9" if rest == b"x" else b"transfer-encoding: chunked"
        writer.write(b"POST / HTTP/1.1\r\nhost: h\r\n" + framing + b"\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.write(rest)
        assert (await received(reader)).endswith(b"\r\n\r\nbegun")
        assert events[reasons.Event.REQUEST_TOO_SLOW] == (rest == b"x")


@pytest.mark.parametrize("kind", PROTOCOLS)
async def test_closing_connection_with_bytes_kept_takes_no_turns(kind, monkeypatch):
    """Guards against a loop that is busy for as long as a connection with bytes kept is closing."""
    turns = 0
    parse_slice = servers.NodeProtocol.parse_slice

    def count(protocol):
        nonlocal turns
        turns += 1
        return parse_slice(protocol)

    monkeypatch.setattr(servers.NodeProtocol, "parse_slice", count)
    app = App()
    app.gate.clear()
    async with serving(app, kind) as (port, events), connected(port) as (_, writer):
        writer.write(b"GET /1 HTTP/1.1\r\nhost: h\r\n\r\n" * 2000)
        await asyncio.sleep(0.2)
        (protocol,) = events.intake.connections
        assert protocol.backlog
        app.gate.set()
        protocol.queue.add(protocol)
        protocol.staged.close()
        turns = 0
        await asyncio.sleep(0.3)
        assert turns <= 1
