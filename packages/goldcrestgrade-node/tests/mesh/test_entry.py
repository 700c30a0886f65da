"""Workspaces of requests at the entry node."""

import asyncio
import random
import types

import hypothesis
import pytest
from hypothesis import strategies

from goldcrestgrade import counters, instants, outcomes, routes
from goldcrestgrade_node import asgi
from goldcrestgrade_node.mesh import node
from goldcrestgrade_node.mesh.entry import app
from goldcrestgrade_node.mesh.transport import bodies, dialect, requests
from goldcrestgrade_testing import serving

NAMES = dialect.Dialect(**{name: f"x-{name}" for name in dialect.Dialect._fields})._replace(
    authorization="authorization", authorization_scheme="Token"
)
WORKSPACE = routes.Workspace("w", (routes.key_digest("k1"),), 0)


def table(workspaces=(WORKSPACE,)):
    keyed = routes.Route("r", "h", "/a/", False, 0.4, 0.8, 1, 2, (routes.Part("s", 1.0),))
    anonymous = keyed._replace(name="q", prefix="/b/", anonymous=True)
    service = routes.Service("s", "/health", 10)
    return routes.build(1, routes.Limits(), [service], [keyed, anonymous], workspaces)


async def serve(route_table, path, outdated=False, **sent_headers):
    """Return the status of the answer and the request that was run, if any."""
    fields = [(name.replace("_", "-"), text) for name, text in sent_headers.items()]
    return await serve_fields(route_table, path, fields, outdated)


async def serve_fields(route_table, path, fields, outdated=False):
    calls = []

    async def run(call, _attempts):
        calls.append(call)
        return outcomes.Ran(outcomes.Answer(200, (), b""))

    application = app.EntryApp(
        run,
        lambda: route_table,
        "c",
        NAMES,
        lambda: False,
        instants.system_clocks(),
        counters.Counts(),
        random.Random(1),
        lambda: outdated,
    )
    scope = {
        "method": "GET",
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [
            (name.encode(), text.encode("latin-1")) for name, text in [("host", "h"), *fields]
        ],
    }
    sent = []

    async def receive():
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message):
        sent.append(message)

    await application(scope, receive, send)
    return sent[0]["status"], calls[0] if calls else None


@pytest.mark.parametrize(
    ("path", "text", "status"),
    [
        ("/a/1", "Token k1", 200),
        ("/a/1", "Token k2", 401),
        ("/a/1", "Basic k1", 401),
        ("/a/1", "Token", 401),
        ("/a/1", "Token " + "k" * 500, 401),
        ("/none/", "Token k2", 401),
        ("/none/", "Token k1", 404),
        ("/b/1", "Token k2", 401),
        ("/b/1", "Token k1", 200),
    ],
)
async def test_request_with_a_key_runs_only_if_a_workspace_holds_it(path, text, status):
    assert (await serve(table(), path, authorization=text))[0] == status


async def test_only_anonymous_routes_need_no_key():
    assert (await serve(table(), "/a/1"))[0] == 401
    status, call = await serve(table(), "/b/1", x_workspace="forged")
    assert status == 200 and call.workspace == "" and call.headers == ()


async def test_endpoint_gets_the_workspace_instead_of_the_key():
    _, call = await serve(table(), "/a/1", authorization="Token k1", x_workspace="forged")
    assert call.workspace == "w" and call.headers == ()
    assert call.priority == WORKSPACE.priority


async def test_authorization_is_passed_on_without_workspaces():
    _, call = await serve(table(()), "/a/1", authorization="Basic user")
    assert call.workspace == "" and call.headers == (("authorization", "Basic user"),)


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(
    text=strategies.one_of(
        strategies.text(strategies.characters(max_codepoint=255), max_size=300),
        strategies.lists(
            strategies.sampled_from(["Token", "token", "Basic", "k1", " ", "\t", ",", "=", "k"]),
            max_size=6,
        ).map("".join),
    ),
    forged=strategies.lists(strategies.sampled_from(["w", "v", ""]), max_size=3),
)
def test_no_malformed_key_or_forged_workspace_gains_an_identity(text, forged):
    """Guards against a parser that accepts more than the scheme, blanks and one known key."""
    fields = [("authorization", text), *(("x-workspace", name) for name in forged)]
    status, call = asyncio.run(serve_fields(table(), "/a/1", fields))
    scheme, _, key = text.strip().partition(" ")
    known = scheme.lower() == "token" and key.strip() == "k1"
    assert status == (200 if known else 401)
    if call is not None:
        assert call.workspace == "w" and call.headers == ()
        assert "k1" not in requests.encode(call, 0.0)


async def test_node_whose_configuration_may_be_too_old_refuses_each_request_with_a_key():
    """Guards against a cut-off node that accepts withdrawn keys although it must not."""
    for text in ("Token k1", "Token k2"):
        answer, call = await serve(table(), "/a/1", outdated=True, authorization=text)
        assert answer == 503 and call is None
    assert (await serve(table(), "/b/1", outdated=True))[0] == 200
    assert (await serve(table(()), "/a/1", outdated=True, authorization="Basic user"))[0] == 200


@pytest.mark.parametrize(
    ("refuses", "age_s", "outdated"), [(True, 5.0, True), (True, 4.9, False), (False, 60.0, False)]
)
def test_configuration_is_outdated_only_if_the_settings_ask_for_it(refuses, age_s, outdated):
    config = types.SimpleNamespace(refuse_when_outdated=refuses, revocation_s=5.0)
    sync = types.SimpleNamespace(age_s=lambda: age_s)
    stub = types.SimpleNamespace(config=config, sync=sync)
    assert node.MeshNode.is_configuration_outdated(stub) == outdated


async def test_body_without_memory_is_refused_unread_unless_the_request_is_invalid_anyway():
    """Guards against a process that runs out of memory, and against keys that are not checked."""
    reads = []
    memory = bodies.BodyMemory(10)
    for path, key, status in (("/a/x", "Token k1", "503"), ("/a/x", "Token no", "401")):
        application = app.EntryApp(
            None, lambda: table(), "c", NAMES, lambda: False, instants.system_clocks(),
            counters.Counts(), random.Random(1), body_memory=memory,
        )  # fmt: skip
        fields = {"host": "h", "authorization": key, "content-length": "11"}
        scope = {"method": "POST", "raw_path": path.encode(), "query_string": b""}
        scope["headers"] = [(name.encode(), text.encode()) for name, text in fields.items()]
        sent = []

        async def send(message, sent=sent):
            sent.append(message)

        async def receive():
            reads.append(1)

        await application(scope, receive, send)
        assert str(sent[0]["status"]) == status
        if status == "503":
            assert b"retry-after" in dict(sent[0]["headers"])
    assert reads == []
    assert memory.held_bytes == 0


@pytest.mark.parametrize("fields", [b"", b"expect: 100-continue\r\n"])
async def test_refusal_of_an_unread_body_hides_no_further_request_of_the_connection(fields):
    """Guards against a request that is taken for the body that an expecting client did not send."""
    application = app.EntryApp(
        None, lambda: table(), "c", NAMES, lambda: False, instants.system_clocks(),
        counters.Counts(), random.Random(1), body_memory=bodies.BodyMemory(10),
    )  # fmt: skip
    head = (
        b"POST /a/x HTTP/1.1\r\nhost: h\r\nauthorization: Token k1\r\ncontent-length: 500\r\n"
        + fields
        + b"\r\n"
    )
    async with serving.serving(application) as port, asyncio.timeout(3.0):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head if fields else head + b"b" * 500)
        refusal = await reader.readuntil(b"\r\n\r\n")
        assert refusal.startswith(b"HTTP/1.1 503 ")
        assert (b"connection: close" in refusal) == bool(fields)
        if fields:
            # The connection ends, so that the next request goes to another one.
            await reader.read()
        writer.close()


async def test_saturated_entry_refuses_a_request_unread_with_its_id_and_when_to_return():
    """Guards against a refusal that runs, reads the body first, or names no time to return."""
    application = app.EntryApp(
        None,
        table,
        "c",
        NAMES,
        lambda: False,
        instants.system_clocks(),
        counters.Counts(),
        random.Random(1),
    )
    fields = [(b"host", b"h"), (b"x-attempt_id", b"try-1"), (b"content-length", b"5")]
    scope = {"headers": fields, asgi.SATURATED: True}
    sent = []

    async def send(message):
        sent.append(message)

    await application(scope, None, send)
    answered = dict(sent[0]["headers"])
    assert (sent[0]["status"], answered[b"x-attempt_id"]) == (503, b"try-1")
    assert answered[b"connection"] == b"close"
    assert 0 < float(answered[b"retry-after"]) <= bodies.MEMORY_RETRY_S
