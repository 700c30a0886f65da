"""Health checks of the own endpoint."""

import asyncio
import contextlib
import random
import types

import pytest

from goldcrestgrade import http_client, instants, routes
from goldcrestgrade_node.mesh.endpoint import coldness, endpoints, health
from goldcrestgrade_node.mesh.transport import dialect
from goldcrestgrade_testing import raw_endpoint

NAMES = dialect.Dialect(**{name: f"x-{name}" for name in dialect.Dialect._fields})
SERVICE = routes.Service("archive", "/healthz", 9, 3.0, 6.0)


class ColdEndpoint:
    """Answers health checks as an endpoint that stays cold for two seconds."""

    def __init__(self):
        self.checks = 0

    def get(self, _url, **_options):
        @contextlib.asynccontextmanager
        async def answer():
            self.checks += 1
            await asyncio.sleep(0.006)
            headers = {
                NAMES.endpoint_id: "i-1",
                NAMES.warm_up_left: "2000",
                NAMES.load: "0,0,6,200",
            }
            yield types.SimpleNamespace(status=200, headers=headers)

        return answer()


async def test_endpoint_of_a_node_that_starts_is_checked_once():
    """Guards against two tokens of a cold endpoint for the same answer."""
    clocks = instants.system_clocks()
    session = ColdEndpoint()
    own = endpoints.OwnEndpoint(
        endpoints.ConfiguredEndpoint("10.0.0.1:80", "archive", "khomas-a"), clocks, lambda: None
    )
    own.restore_service("i-1", "archive")
    table = types.SimpleNamespace(services={"archive": SERVICE})
    checks = health.HealthChecks(own, lambda: table, session, NAMES, clocks, random.Random(1))
    own.coldness.on_doubt = checks.request_pace_check
    tasks = [asyncio.create_task(checks.run()), asyncio.create_task(checks.run_pace_checks())]
    own.coldness.set_terms(coldness.terms(SERVICE, 1.5, 8))
    checks.request_check()
    await asyncio.sleep(0.2)
    for task in tasks:
        task.cancel()
    assert session.checks == 1
    assert own.coldness.is_known_cold()


MAX_ANSWER_BYTES = 64 * 1024

SOCKET_BUFFERS_BYTES = 16 << 20
"""More than the kernel and the sender hold of bytes that nobody reads."""

WAIT_S = 20.0
"""Longest wait for a connection to close, on a busy machine."""


def make_checks(port, session):
    clocks = instants.system_clocks()
    own = endpoints.OwnEndpoint(
        endpoints.ConfiguredEndpoint(f"127.0.0.1:{port}", "archive", "khomas-a"),
        clocks,
        lambda: None,
    )
    own.restore_service("i-1", "archive")
    table = types.SimpleNamespace(services={"archive": SERVICE})
    return health.HealthChecks(own, lambda: table, session, NAMES, clocks, random.Random(1))


@pytest.mark.parametrize(
    ("head", "pause_s", "surplus"),
    [
        (raw_endpoint.answer(), 0.02, raw_endpoint.answer()),
        (raw_endpoint.answer(), 0.02, b"x" * 1000),
        (b"", 0.0, b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", 0.0, b"x" * 1000),
    ],
    ids=["late answers", "late bytes", "interim answers", "body"],
)
async def test_bytes_without_end_from_a_checked_endpoint_close_the_connection(
    head, pause_s, surplus
):
    """Guards against an idle connection whose bytes fill the memory of the node."""
    written = asyncio.get_running_loop().create_future()

    async def respond(_, writer):
        writer.write(head)
        await asyncio.sleep(pause_s)
        written.set_result(await raw_endpoint.write_endlessly(writer, surplus * 100))

    async with (
        raw_endpoint.serving(respond) as endpoint,
        http_client.open_session(4, 15.0, MAX_ANSWER_BYTES) as session,
    ):
        await make_checks(endpoint.port, session).check()
        assert await asyncio.wait_for(written, WAIT_S) < SOCKET_BUFFERS_BYTES


MANY_DIGITS = "9" * 5000
"""More digits than `int` accepts."""


async def test_load_report_with_too_many_digits_is_ignored_by_health_checks():
    """Guards against an exception that ends the task of health checks, and with it the process."""

    async def respond(_, writer):
        fields = f"{NAMES.endpoint_id}: i-1\r\n{NAMES.load}: 1,1,{MANY_DIGITS}\r\n"
        writer.write(raw_endpoint.answer(fields=fields))

    async with (
        raw_endpoint.serving(respond) as endpoint,
        http_client.open_session(4, 15.0, MAX_ANSWER_BYTES) as session,
    ):
        checks = make_checks(endpoint.port, session)
        await checks.check()
        assert checks.own.usable() is not None
