"""Closes of server connections while their last answer is under way, on real sockets."""

import asyncio
import contextlib
import functools
import socket

import pytest

from goldcrestgrade import counters
from goldcrestgrade_node import asgi, closing, servers
from goldcrestgrade_node.mesh.entry import pipelining

ANSWER_BYTES = 4 << 20
"""Size of an answer that neither kernel holds as a whole."""


async def serve(scope, receive, send):
    """Answer with a large body; the path says whether the request is read and the answer closes."""
    if "unread" not in scope["path"]:
        await asgi.read_body(receive)
    fields = [(b"content-length", b"%d" % ANSWER_BYTES)]
    if "close" in scope["path"]:
        fields.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": 200, "headers": fields})
    await send({"type": "http.response.body", "body": b"." * ANSWER_BYTES})


def pipelined():
    finished = pipelining.FinishedAnswers()
    terms = pipelining.Terms(lambda _: True, counters.Counts(), finished)
    return functools.partial(pipelining.PipeliningProtocol, terms=terms)


@contextlib.asynccontextmanager
async def connected(protocol, keepalive_s=30):
    """Yield a client's socket with a small receive buffer, and the server."""
    loop = asyncio.get_running_loop()
    with socket.socket() as listening, socket.socket() as client:
        listening.bind(("127.0.0.1", 0))
        address = {"host": "127.0.0.1", "port": 0}
        server = servers.create(serve, address, protocol, keepalive_s)
        task = asyncio.create_task(server.serve(sockets=[listening]))
        while not server.started:
            await asyncio.sleep(0.01)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        await loop.sock_connect(client, listening.getsockname())
        try:
            yield client, server
        finally:
            client.close()
            server.should_exit = server.force_exit = True
            await task


async def received_body_bytes(client):
    """Return the size of the body that a client receives until the connection ends."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    async with asyncio.timeout(8.0):
        while part := await loop.sock_recv(client, 1 << 16):
            received += part
    return len(received) - received.index(b"\r\n\r\n") - 4


def request(path, fields=""):
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n{fields}\r\n".encode()


PROTOCOLS = {"plain": lambda: servers.NodeProtocol, "pipelining": pipelined}

ENDINGS = {
    "answer that closes": request("/close"),
    "request that closes": request("/", "connection: close\r\n"),
    "unread body": request("/unread-close", f"content-length: {1 << 20}\r\n"),
    "error behind the request": request("/close") + b"\0 nothing\r\n\r\n",
}

CASES = [
    (kind, ending)
    for kind in PROTOCOLS
    for ending in ENDINGS
    # The plain protocol refuses what it can't parse before the answer to a request ahead of it.
    if kind == "pipelining" or ending != "error behind the request"
]


@pytest.mark.parametrize(("kind", "ending"), CASES)
async def test_client_that_goes_on_sending_gets_the_whole_last_answer(kind, ending):
    """Guards against the reset of a connection that is closed with an answer under way."""
    loop = asyncio.get_running_loop()
    async with connected(PROTOCOLS[kind]()) as (client, _):
        await loop.sock_sendall(client, ENDINGS[ending])
        await asyncio.sleep(0.1)
        for _ in range(3):
            await loop.sock_sendall(client, request("/late"))
            await asyncio.sleep(0.02)
        assert await received_body_bytes(client) == ANSWER_BYTES


@pytest.mark.parametrize("kind", PROTOCOLS)
@pytest.mark.parametrize("ending", ["stop", "idle limit"])
async def test_whole_answer_is_received_although_its_connection_is_closed_as_idle(kind, ending):
    """Guards against the reset of a connection whose answer was passed to the kernel only."""
    loop = asyncio.get_running_loop()
    async with connected(PROTOCOLS[kind](), keepalive_s=1) as (client, server):
        await loop.sock_sendall(client, request("/"))
        received = len((await loop.sock_recv(client, 1 << 16)).partition(b"\r\n\r\n")[2])
        (protocol,) = server.server_state.connections
        # The server's buffers hold the rest.
        async with asyncio.timeout(3.0):
            while protocol.timeout_keep_alive_task is None:
                await asyncio.sleep(0.01)
        if ending == "stop":
            protocol.shutdown()
        await asyncio.sleep(1.2)
        await loop.sock_sendall(client, request("/late"))
        await asyncio.sleep(0.1)
        with contextlib.suppress(ConnectionError):
            while part := await loop.sock_recv(client, 1 << 16):
                received += len(part)
        assert received == ANSWER_BYTES


async def test_client_that_does_not_close_is_closed_soon_after_it_has_the_answer():
    """Guards against connections that are held by their clients for good."""
    loop = asyncio.get_running_loop()
    async with connected(servers.NodeProtocol) as (client, server):
        await loop.sock_sendall(client, request("/close"))
        assert await received_body_bytes(client) == ANSWER_BYTES
        await asyncio.sleep(closing.LINGER_S + 4 * closing.CHECK_INTERVAL_S)
        assert not server.server_state.connections


async def test_client_that_reads_nothing_is_given_up(monkeypatch):
    """Guards against a close that waits for good for a client that takes no more bytes."""
    monkeypatch.setattr(closing, "STALL_S", 0.5)
    loop = asyncio.get_running_loop()
    async with connected(servers.NodeProtocol) as (client, server):
        await loop.sock_sendall(client, request("/close"))
        await asyncio.sleep(0.2)
        assert server.server_state.connections
        await asyncio.sleep(0.8)
        assert not server.server_state.connections


async def test_request_that_crosses_the_close_of_an_idle_connection_is_not_read():
    """Guards against a request that is read and dropped, which its client can't send again."""
    loop = asyncio.get_running_loop()
    async with connected(pipelined()) as (client, server):
        await asyncio.sleep(0.05)
        (protocol,) = server.server_state.connections
        protocol.shutdown()
        await loop.sock_sendall(client, request("/late"))
        with pytest.raises(ConnectionError):
            await loop.sock_sendall(client, request("/late"))
            await asyncio.sleep(0.1)
            await loop.sock_sendall(client, request("/late"))


@pytest.mark.parametrize("kind", PROTOCOLS)
async def test_body_without_end_after_its_answer_closes_the_connection(kind):
    """Guards against a server that reads the rest of a body for as long as it comes."""
    loop = asyncio.get_running_loop()
    taken = 0
    async with connected(PROTOCOLS[kind]()) as (client, _):
        reading = asyncio.create_task(received_body_bytes(client))
        await loop.sock_sendall(client, request("/unread", "transfer-encoding: chunked\r\n"))
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(8.0):
                while True:
                    await loop.sock_sendall(client, b"10000\r\n" + b"x" * 65536 + b"\r\n")
                    taken += 65536
                    await asyncio.sleep(0.001)
        assert taken >= servers.MAX_DISCARDED_BYTES
        with contextlib.suppress(ConnectionError):
            assert await reading == ANSWER_BYTES


async def test_client_that_reads_nothing_of_a_kept_connection_is_given_up(monkeypatch):
    """Guards against answers whose memory is held for good by clients that take no bytes."""
    monkeypatch.setattr(closing, "STALL_S", 0.5)
    loop = asyncio.get_running_loop()
    async with connected(servers.NodeProtocol) as (client, server):
        await loop.sock_sendall(client, request("/"))
        await asyncio.sleep(0.2)
        assert server.server_state.connections
        await asyncio.sleep(1.3)
        assert not server.server_state.connections and not server.server_state.tasks
