"""One request and its complete answer, on real sockets."""

import asyncio
import socket
import struct

import aiohttp
import pytest

from goldcrestgrade import http_client, reasons
from goldcrestgrade_node.attempts import exchanges, results
from goldcrestgrade_node.mesh.transport import connections, transfer
from goldcrestgrade_testing import raw_endpoint

ECHO = "x-try"


def prepared(attempt="1", method="GET"):
    return exchanges.PreparedRequest(
        method,
        "/",
        [(ECHO, attempt)],
        b"",
        attempt,
        streamed=False,
        echo_header=ECHO,
        unframed_allowed=True,
    )


def reset(writer):
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Sender:
    def __init__(self, port):
        self.pool = connections.ConnectionPool(f"127.0.0.1:{port}")

    async def send(self, attempt="1", max_idle_s=5.0, wait_s=1.0, may_send=lambda: True):
        deadline = asyncio.get_running_loop().time() + wait_s
        return await transfer.send(self.pool, prepared(attempt), deadline, max_idle_s, may_send)


async def answer_each(request, writer):
    writer.write(raw_endpoint.answer(b"ok", fields=f"{ECHO}: 1\r\nkeep-alive: timeout=5\r\n"))


async def test_connection_is_reused():
    async with raw_endpoint.serving(answer_each) as endpoint:
        sender = Sender(endpoint.port)
        for _ in range(5):
            assert isinstance((await sender.send()).result, results.Answered)
        assert endpoint.connections == 1
        assert sender.pool.opened_count == 1
        sender.pool.close_idle()


async def test_connection_idle_longer_than_a_request_allows_is_not_reused():
    async with raw_endpoint.serving(answer_each) as endpoint:
        sender = Sender(endpoint.port)
        await sender.send()
        await asyncio.sleep(0.05)
        await sender.send(max_idle_s=0.01)
        assert endpoint.connections == 2
        sender.pool.close_idle()


async def test_answer_to_another_request_that_comes_first_is_dropped():
    async def respond(_, writer):
        other = raw_endpoint.answer(b"other", fields=f"{ECHO}: 0\r\n")
        writer.write(other + raw_endpoint.answer(b"own", fields=f"{ECHO}: 1\r\n"))

    async with raw_endpoint.serving(respond) as endpoint:
        sender = Sender(endpoint.port)
        transferred = await sender.send()
        assert transferred.result.answer.body == b"own"
        assert transferred.skipped == 1
        assert sender.pool.idle == []


async def test_surplus_bytes_after_an_answer_are_not_read_by_the_next_request():
    async def respond(request, writer):
        own = raw_endpoint.answer(b"own", fields=f"{ECHO}: {request.connection}\r\n")
        writer.write(own + raw_endpoint.answer(b"more", fields=f"{ECHO}: 2\r\n"))

    async with raw_endpoint.serving(respond) as endpoint:
        sender = Sender(endpoint.port)
        assert (await sender.send("1")).result.answer.body == b"own"
        assert (await sender.send("2")).result.answer.body == b"own"


async def test_answer_without_length_is_complete_at_close_and_cut_by_a_reset():
    async def respond(request, writer):
        writer.write(f"HTTP/1.1 200 OK\r\n{ECHO}: 1\r\n\r\npart".encode())
        await writer.drain()
        await asyncio.sleep(0.05)
        if request.connection == 1:
            writer.close()
        else:
            reset(writer)

    async with raw_endpoint.serving(respond) as endpoint:
        sender = Sender(endpoint.port)
        assert (await sender.send()).result.answer.body == b"part"
        assert isinstance((await sender.send()).result, results.Broken)


@pytest.mark.parametrize(
    ("sent", "reason"),
    [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart", reasons.Uncertainty.ANSWER_CUT),
        (b"\x00 nothing of the kind\r\n\r\n", reasons.Uncertainty.ANSWER_INVALID),
        (b"", reasons.Uncertainty.ANSWER_LOST),
    ],
)
async def test_cut_invalid_and_lost_answers_are_reported_with_different_reasons(sent, reason):
    async def respond(_, writer):
        writer.write(sent)
        writer.close()

    async with raw_endpoint.serving(respond) as endpoint:
        transferred = await Sender(endpoint.port).send()
        assert transferred.result.reason == reason


async def test_request_to_a_silent_endpoint_times_out_and_closes_its_connection():
    async def respond(_, writer):
        await asyncio.sleep(5.0)

    async with raw_endpoint.serving(respond) as endpoint:
        sender = Sender(endpoint.port)
        transferred = await sender.send(wait_s=0.2)
        assert transferred.result.reason == reasons.Uncertainty.TIMED_OUT
        assert sender.pool.idle == []


async def test_request_that_expired_while_connecting_is_not_sent():
    async with raw_endpoint.serving(answer_each) as endpoint:
        transferred = await Sender(endpoint.port).send(may_send=lambda: False)
        assert isinstance(transferred.result, results.Unreachable)
        assert endpoint.requests == []


async def test_address_without_a_listener_is_unreachable():
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    assert (await Sender(port).send()).result == results.Unreachable("refused")


async def test_cancelled_request_closes_its_connection():
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.read() == b""
        closed.set()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    task = asyncio.create_task(Sender(port).send(wait_s=5.0))
    await asyncio.sleep(0.1)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    async with asyncio.timeout(0.5):
        await closed.wait()
    server.close()


async def test_bytes_without_end_close_an_idle_connection():
    """Guards against an event loop that goes on to read a connection that nobody uses."""
    written = asyncio.get_running_loop().create_future()

    async def respond(request, writer):
        await answer_each(request, writer)
        await asyncio.sleep(0.02)
        written.set_result(await raw_endpoint.write_endlessly(writer, b"x" * 1000))

    async with raw_endpoint.serving(respond) as endpoint:
        sender = Sender(endpoint.port)
        assert isinstance((await sender.send()).result, results.Answered)
        await asyncio.wait_for(written, 20.0)
        sender.pool.close_idle()


async def test_answer_is_cut_for_a_reader_whose_session_was_closed():
    """Guards against a process that ends by a `RuntimeError` of a read of the store."""

    async def respond(_, writer):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nx")
        await writer.drain()

    async with raw_endpoint.serving(respond) as endpoint:
        session = http_client.open_session(4, 5.0)
        response = await session.get(f"http://127.0.0.1:{endpoint.port}/")
        assert await response.content.readany() == b"x"
        await session.close()
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.content.readany()


class Unconnected(asyncio.Transport):
    def close(self):
        """Do nothing."""

    def abort(self):
        """Do nothing."""

    def pause_reading(self):
        """Do nothing."""


async def test_junk_for_a_head_is_limited_also_after_a_large_answer():
    """Guards against a limit that grows with the body of an earlier answer."""
    loop = asyncio.get_running_loop()
    protocol = connections.Protocol(loop)
    protocol.connection_made(Unconnected())
    protocol.begin_request()
    protocol.set_response_params(read_until_eof=True)
    protocol.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 1048576\r\n\r\n")
    message, payload = await protocol.read()
    for _ in range(256):
        protocol.data_received(b"x" * 4096)
        await payload.readany()
    assert message.code == 200 and not protocol.should_close
    protocol.end_request()
    protocol.begin_request()
    protocol.set_response_params(read_until_eof=True, max_field_size=1 << 20)
    protocol.data_received(b"HTTP/1.1 200 OK\r\nx: ")
    sent = 0
    while not protocol.should_close:
        protocol.data_received(b"x" * 4096)
        sent += 4096
    assert sent <= http_client.MAX_OVERHEAD_BYTES + 4096


@pytest.mark.parametrize("end", [connections.Protocol.close, connections.Protocol.abort])
async def test_connection_that_is_given_up_parses_nothing_more(end):
    """Guards against a loop that is held while many requests for tiny chunks are cancelled."""
    protocol = connections.Protocol(asyncio.get_running_loop())
    protocol.connection_made(Unconnected())
    protocol.begin_request()
    protocol.set_response_params(read_until_eof=True)
    protocol.data_received(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    _, payload = await protocol.read()
    protocol.data_received(b"1\r\nx\r\n" * 10_000)
    end(protocol)
    protocol.connection_lost(None)
    assert payload.total_bytes == 0
    assert protocol.received.held_bytes == 0


async def test_answers_without_end_on_all_connections_of_a_session_have_one_limit():
    """Guards against polls, probes and reads of the store that fill the memory together."""

    async def respond(_, writer):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 8000000\r\n\r\n")
        await raw_endpoint.write_endlessly(writer, b"x" * 65536)

    received = http_client.ReceivedBytes(4 << 20)
    most = 0
    async with (
        raw_endpoint.serving(respond) as endpoint,
        http_client.open_session(20, 5.0, received=received) as session,
    ):

        async def read():
            async with session.get(f"http://127.0.0.1:{endpoint.port}/") as response:
                await response.read()

        reads = [asyncio.create_task(read()) for _ in range(20)]
        while not all(task.done() for task in reads):
            most = max(most, received.held_bytes)
            await asyncio.sleep(0)
        results_ = await asyncio.gather(*reads, return_exceptions=True)
        assert all(isinstance(result, aiohttp.ClientError) for result in results_)
    assert received.limit_bytes / 2 < most <= received.limit_bytes
    assert received.held_bytes == 0


HEAD = f"HTTP/1.1 200 OK\r\n{ECHO}: 1\r\nx-signature: s\r\ncontent-length: 2\r\n\r\n".encode()


@pytest.mark.parametrize("ends", ["close", "reset"])
@pytest.mark.parametrize("reused", [False, True])
async def test_answer_whose_head_is_cut_anywhere_is_no_answer(reused, ends):
    """Guards against a head without its end that is taken for an answer with an empty body."""
    cut = 0

    async def respond(request, writer):
        if request.field(ECHO) == "0":
            writer.write(raw_endpoint.answer(b"ok", fields=f"{ECHO}: 0\r\n"))
            return
        writer.write(HEAD[:cut])
        await writer.drain()
        await asyncio.sleep(0.002)
        if ends == "close":
            writer.close()
        else:
            reset(writer)

    async with raw_endpoint.serving(respond) as endpoint:
        for cut in range(len(HEAD)):
            sender = Sender(endpoint.port)
            if reused:
                assert isinstance((await sender.send("0")).result, results.Answered)
            transferred = await sender.send("1")
            assert isinstance(transferred.result, results.Broken), HEAD[:cut]
            assert transferred.reused == reused
            assert sender.pool.idle == []
