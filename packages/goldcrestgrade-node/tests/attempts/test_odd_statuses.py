"""Answers whose status is none that a request can end with, on each path that passes one on."""

import asyncio
import contextlib
import random
import types

import pytest

from goldcrestgrade import counters, headers, http_client, instants, sheet
from goldcrestgrade.storage import tables
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import exchanges, results, shares, transport
from goldcrestgrade_node.mesh.endpoint import endpoints, health
from goldcrestgrade_node.mesh.state import directory
from goldcrestgrade_node.mesh.transport import connections, dialect, peers, transfer
from goldcrestgrade_node.once import messages, relay
from goldcrestgrade_testing import raw_endpoint

STATUSES = ["000 Nothing", "099 Odd", "101 Switching", "600 Odd", "999 Odd"]

NAMES = dialect.Dialect(**{name: f"x-{name}" for name in dialect.Dialect._fields})

KIND = sheet.Kind("any", run_once=False, timeout_s=5.0)


@contextlib.asynccontextmanager
async def answering(status, fields=""):
    """Serve a port whose answers all have `status` and `fields`."""

    async def respond(_request, writer):
        writer.write(raw_endpoint.answer(b"body", status, fields))

    async with raw_endpoint.serving(respond) as endpoint:
        yield endpoint.port


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("method", ["GET", "HEAD"])
async def test_odd_status_of_an_endpoint_is_no_answer_on_the_other_path(status, method):
    """Guards against a client that gets a status which stands for nothing."""
    async with answering(status) as port:
        http_transport = transport.HttpTransport(instants.system_clocks(), counters.Counts())
        http_transport.set_shares("s", {("127.0.0.1", port): shares.Direct(5)})
        deadline = http_transport.clocks.monotonic() + 0.5
        request = requests.Request("r", "s", KIND, method, "/", (), b"", None, deadline, True)
        result = await http_transport.send(
            transport.Attempt("r-1", request, "127.0.0.1", port, "khomas")
        )
        await http_transport.close()
    assert isinstance(result, results.Broken)


@pytest.mark.parametrize("status", STATUSES)
async def test_odd_status_between_nodes_is_no_answer_and_its_headers_count_for_nothing(status):
    """Guards against a load or a promise that is read from what is no answer."""
    fields = f"{headers.ATTEMPT_ID}: 1\r\n{headers.OUTCOME}: ran\r\n{NAMES.load}: 0,0,99,1\r\n"
    async with answering(status, fields) as port:
        pool = connections.ConnectionPool(f"127.0.0.1:{port}")
        prepared = exchanges.PreparedRequest("GET", "/", [], b"", "1", False, echo_required=True)
        deadline = asyncio.get_running_loop().time() + 0.5
        transferred = await transfer.send(pool, prepared, deadline, 1.0, lambda: True)
    assert isinstance(transferred.result, results.Broken)
    assert transferred.fields == {}


@pytest.mark.parametrize("status", STATUSES)
async def test_odd_status_of_a_guard_is_a_lost_reply(status):
    """Guards against a status that a client of the other path gets by way of a guard."""
    clocks = instants.system_clocks()
    fields = f"{headers.ATTEMPT_ID}: a1\r\n{headers.OUTCOME}: ran\r\n"
    async with answering(status, fields) as port, http_client.open_session(4, 5.0) as session:
        deadline = clocks.monotonic() + 0.5
        request = requests.Request("r", "s", KIND, "POST", "/", (), b"", "k", deadline, False)
        guard_client = relay.HttpGuardClient(session, "shared", clocks)
        with pytest.raises(messages.ReplyLost):
            run = messages.Run("a1", request, 7)
            await guard_client.exchange(f"http://127.0.0.1:{port}", run, deadline)


@pytest.mark.parametrize("status", STATUSES)
async def test_odd_status_of_a_health_check_leaves_the_endpoint_as_it_was(status):
    """Guards against a load, an id or a state that is read from what is no answer."""
    clocks = instants.system_clocks()
    table = types.SimpleNamespace(services={"s": types.SimpleNamespace(health_path="/healthz")})
    loads = []
    fields = f"{NAMES.endpoint_id}: i-1\r\n{NAMES.load}: 0,0,99,100\r\n"
    async with answering(status, fields) as port, http_client.open_session(4, 5.0) as session:
        configured = endpoints.ConfiguredEndpoint(f"127.0.0.1:{port}", "s", "east")
        own = endpoints.OwnEndpoint(configured, clocks, lambda: None)
        checks = health.HealthChecks(own, lambda: table, session, NAMES, clocks, random.Random(1))
        checks.on_load = loads.append
        await checks.check()
    assert own.current is None and loads == []
    assert checks.first_check_done.is_set()


@pytest.mark.parametrize("status", [*STATUSES, "503 Saturated"])
async def test_odd_status_of_a_probe_shows_no_node(status):
    """Guards against a node that is taken for reachable by what is no answer to a probe."""
    fields = f"{peers.NODE_ID_HEADER}: a\r\n"
    async with answering(status, fields) as port, http_client.open_session(4, 5.0) as session:
        row = directory.InstanceRow(
            "a", "127.0.0.1", port, directory.Location("d", "r"), "s", True, 1
        )
        instance = directory.Instance(row, tables.Position(1, 1))
        prober = peers.Prober("b", None, session, None, instants.system_clocks(), None)
        assert not await prober._is_alive(instance)
