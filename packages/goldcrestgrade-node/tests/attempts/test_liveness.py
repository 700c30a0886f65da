"""Check whether an endpoint that dropped a connection has exited."""

import asyncio

from goldcrestgrade_node.attempts import liveness


async def test_exited_endpoint_is_distinguished_from_one_that_dropped_a_connection():
    server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    assert not await liveness.has_exited("127.0.0.1", port)
    server.close()
    await server.wait_closed()
    assert await liveness.has_exited("127.0.0.1", port)


async def test_endpoint_that_closes_its_listening_socket_last_is_reported_as_exited(monkeypatch):
    refusals = iter([False, False, True])

    async def refuses(_host, _port):
        return next(refusals)

    monkeypatch.setattr(liveness, "_refuses", refuses)
    assert await liveness.has_exited("127.0.0.1", 9)
