"""The proxy with which the soak injects connection faults."""

import asyncio
import socket
import struct

import pytest

from goldcrestgrade_testing.fault_soak import proxy


@pytest.fixture
async def link():
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, proxy.HOST, 0)
    link = proxy.Proxy(server.sockets[0].getsockname()[1])
    await link.start()
    yield link
    await link.stop()
    server.close()


async def test_bytes_are_forwarded_both_ways(link):
    reader, writer = await asyncio.open_connection(proxy.HOST, link.port)
    writer.write(b"one")
    assert await reader.read(100) == b"one"
    writer.close()


@pytest.mark.parametrize(
    "mode", [proxy.Mode.HOLD_REQUESTS, proxy.Mode.HOLD_ANSWERS, proxy.Mode.HOLD_ALL]
)
async def test_held_bytes_arrive_once_the_mode_is_pass_again(link, mode):
    reader, writer = await asyncio.open_connection(proxy.HOST, link.port)
    link.set_mode(mode)
    writer.write(b"one")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(100), 0.1)
    link.set_mode(proxy.Mode.PASS)
    assert await reader.read(100) == b"one"
    writer.close()


async def test_delay_applies_in_both_directions(link):
    link.set_mode(proxy.Mode.DELAY, 0.1)
    reader, writer = await asyncio.open_connection(proxy.HOST, link.port)
    started = asyncio.get_running_loop().time()
    writer.write(b"one")
    assert await reader.read(100) == b"one"
    assert asyncio.get_running_loop().time() - started >= 0.2
    writer.close()


async def test_reset_breaks_open_connections(link):
    reader, writer = await asyncio.open_connection(proxy.HOST, link.port)
    writer.write(b"one")
    await reader.read(100)
    link.reset_all()
    with pytest.raises(ConnectionResetError):
        await reader.read(100)
    writer.close()


async def test_connection_ends_when_the_server_refuses():
    link = proxy.Proxy(1)
    await link.start()
    reader, writer = await asyncio.open_connection(proxy.HOST, link.port)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await reader.readexactly(1)
    writer.close()
    await link.stop()


async def test_reset_by_the_server_reaches_the_client_as_a_reset():
    async def part_then_reset(reader, writer):
        await reader.read(100)
        writer.write(b"part")
        await writer.drain()
        await asyncio.sleep(0.05)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    server = await asyncio.start_server(part_then_reset, proxy.HOST, 0)
    link = proxy.Proxy(server.sockets[0].getsockname()[1])
    await link.start()
    reader, writer = await asyncio.open_connection(proxy.HOST, link.port)
    writer.write(b"one")
    assert await reader.read(100) == b"part"
    with pytest.raises(ConnectionResetError):
        await reader.read(100)
    writer.close()
    await link.stop()
    server.close()


async def test_answers_of_all_connections_share_the_rate_of_a_link(link):
    link.answer_rate = 100_000.0
    loop = asyncio.get_running_loop()
    connections = [await asyncio.open_connection(proxy.HOST, link.port) for _ in range(3)]
    started = loop.time()
    for _, writer in connections:
        writer.write(bytes(10_000))
    for reader, writer in connections:
        await reader.readexactly(10_000)
        writer.close()
    assert loop.time() - started >= 0.3
