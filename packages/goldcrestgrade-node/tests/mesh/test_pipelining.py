"""Pipelined requests of one connection, on real sockets."""

import asyncio
import contextlib
import functools
import gc
import itertools
import random
import socket
import weakref

import pytest

from goldcrestgrade import counters, instants, outcomes, routes
from goldcrestgrade_node import asgi, servers
from goldcrestgrade_node.mesh.entry import app as entry
from goldcrestgrade_node.mesh.entry import pipelining
from goldcrestgrade_node.mesh.transport import dialect


class App:
    """Answers each request with its path, in the time and with the ending that its path names."""

    def __init__(self):
        self.began = []
        self.running = set()
        self.most_running = 0
        self.cancelled = []
        self.gates = {}
        self.body_bytes = 0

    def gate(self, path):
        return self.gates.setdefault(path, asyncio.Event())

    async def __call__(self, scope, receive, send):
        path = scope["path"]
        try:
            body = await asgi.read_body(receive)
        except asgi.Disconnected:
            self.cancelled.append(path)
            return
        self.began.append(path)
        self.running.add(path)
        self.most_running = max(self.most_running, len(self.running))
        watch = asyncio.create_task(asgi.wait_disconnected(receive))
        opened = asyncio.create_task(self.gate(path).wait() if "slow" in path else asyncio.sleep(0))
        await asyncio.wait({watch, opened}, return_when=asyncio.FIRST_COMPLETED)
        self.running.discard(path)
        if not opened.done():
            opened.cancel()
            self.cancelled.append(path)
            return
        watch.cancel()
        if "raise" in path:
            raise RuntimeError("fails before its answer")
        answer = (path.encode() + body) * (self.body_bytes or 1)
        fields = [(b"content-length", b"%d" % len(answer))]
        if "close" in path:
            fields.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": 200, "headers": fields})
        await send({"type": "http.response.body", "body": answer})


@contextlib.asynccontextmanager
async def connected(app, limit_bytes=pipelining.MAX_FINISHED_BYTES, kind=None):
    finished = pipelining.FinishedAnswers(limit_bytes)
    terms = pipelining.Terms(lambda scope: scope["method"] == "GET", counters.Counts(), finished)
    protocol = functools.partial(pipelining.PipeliningProtocol, terms=terms)
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        server = servers.create(app, {"host": "127.0.0.1", "port": 0}, kind or protocol)
        task = asyncio.create_task(server.serve(sockets=[listening]))
        while not server.started:
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection(*listening.getsockname())
        try:
            yield reader, writer, server
        finally:
            writer.close()
            server.should_exit = server.force_exit = True
            await task
            assert finished.held_bytes == 0


def get(path, fields=""):
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n{fields}\r\n".encode()


def post(path, body=b"x"):
    return f"POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body


async def answer(reader):
    """Return the status and body of the next answer; raises `IncompleteReadError` at the end."""
    async with asyncio.timeout(3.0):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        return int(head.split()[1]), (await reader.readexactly(length)).decode()


async def bodies(reader, number):
    return [(await answer(reader))[1] for _ in range(number)]


async def until(condition):
    async with asyncio.timeout(3.0):
        while not condition():
            await asyncio.sleep(0.005)


async def test_fast_request_behind_a_slow_one_runs_beside_it_and_is_answered_after_it():
    """Guards against answers out of order, and requests that run one after the other."""
    app = App()
    async with connected(app) as (reader, writer, _):
        writer.write(get("/slow") + get("/fast"))
        await until(lambda: app.began == ["/slow", "/fast"])
        await asyncio.sleep(0.05)
        assert reader._buffer == b""
        app.gate("/slow").set()
        assert await bodies(reader, 2) == ["/slow", "/fast"]


async def test_hundred_requests_in_one_segment_are_answered_in_order_within_the_bound():
    """Guards against lost or mixed answers, and a connection that takes more than its share."""
    app = App()
    paths = [f"/{n}{'-slow' if n % 7 == 0 else ''}" for n in range(100)]
    async with connected(app) as (reader, writer, _):
        writer.write(b"".join(get(path) for path in paths))
        await until(lambda: len(app.running) == pipelining.MAX_SIDE_BY_SIDE or len(app.began) >= 32)
        await asyncio.sleep(0.05)
        assert len(app.began) <= pipelining.MAX_UNANSWERED
        for path in paths:
            app.gate(path).set()
        assert await bodies(reader, 100) == paths
        assert app.most_running <= pipelining.MAX_SIDE_BY_SIDE
        writer.write(get("/after"))
        assert await bodies(reader, 1) == ["/after"]


def recording(app, requests):
    """Return `app` that adds a weak reference to uvicorn's state of each request to `requests`."""

    async def record(scope, receive, send):
        requests.append(weakref.ref(receive.__self__))
        await app(scope, receive, send)

    return record


@pytest.fixture
def no_garbage_collection():
    """Disable the collector, so that only objects without reference cycles are freed."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize("at_once", [1, 3])
async def test_answered_requests_are_freed_without_the_garbage_collector(
    at_once, no_garbage_collection
):
    """Guards against reference cycles, whose collection holds the event loop for 0.1 s."""
    app = App()
    requests = []
    async with connected(recording(app, requests)) as (reader, writer, _):
        for _ in range(4):
            writer.write(b"".join(get(f"/{number}") for number in range(at_once)))
            assert await bodies(reader, at_once) == [f"/{number}" for number in range(at_once)]
        # The connection keeps the state of its last request.
        await until(lambda: not any(request() for request in requests[:-1]))


async def test_cancelled_requests_are_freed_without_the_garbage_collector(no_garbage_collection):
    """Guards against reference cycles of requests whose clients leave."""
    app = App()
    requests = []
    async with connected(recording(app, requests)) as (_, writer, _server):
        writer.write(get("/slow-1") + get("/slow-2") + get("/slow-3"))
        await until(lambda: len(app.began) == 3)
        writer.close()
        await until(lambda: len(app.cancelled) == 3)
        await until(lambda: not any(request() for request in requests[:-1]))


@pytest.mark.parametrize("kind", [None, servers.NodeProtocol])
@pytest.mark.parametrize("paths", [(), ("/0",), ("/close",), ("/0", "/slow")])
@pytest.mark.parametrize("reset", [False, True])
async def test_closed_connections_are_freed_without_the_garbage_collector(
    kind, paths, reset, no_garbage_collection
):
    """Guards against reference cycles of clients that open a connection for each request."""
    app = App()
    async with connected(app, kind=kind) as (reader, writer, server):
        await until(lambda: server.server_state.connections)
        connection = weakref.ref(next(iter(server.server_state.connections)))
        for path in paths:
            writer.write(get(path))
            if path == "/slow":
                await until(lambda: "/slow" in app.began)
            else:
                assert await answer(reader) == (200, path)
        if reset:
            writer.transport.abort()
        writer.close()
        await until(lambda: connection() is None)


async def test_request_with_a_body_waits_until_all_before_it_were_answered():
    """Guards against a run-once request that overtakes one that it depends on."""
    app = App()
    async with connected(app) as (reader, writer, _):
        writer.write(get("/slow") + post("/post", b"y" * 200_000) + get("/behind"))
        await until(lambda: app.began == ["/slow"])
        await asyncio.sleep(0.05)
        assert app.began == ["/slow"]
        app.gate("/slow").set()
        answers = await bodies(reader, 3)
        assert answers == ["/slow", "/post" + "y" * 200_000, "/behind"]
        assert app.began == ["/slow", "/post", "/behind"]


async def test_no_more_requests_run_beside_while_finished_answers_fill_the_memory():
    """Guards against a client that makes the node hold many large answers."""
    app = App()
    app.body_bytes = 1000
    async with connected(app, limit_bytes=10_000) as (reader, writer, _):
        writer.write(get("/slow") + b"".join(get(f"/{n}") for n in range(20)))
        await until(lambda: len(app.began) >= 4)
        await asyncio.sleep(0.05)
        assert len(app.began) <= 1 + 10 + pipelining.MAX_SIDE_BY_SIDE
        app.gate("/slow").set()
        assert len(await bodies(reader, 21)) == 21


@pytest.mark.parametrize("part", [b"", get("/more")[:20], get("/more") * 1000])
async def test_client_that_leaves_cancels_all_its_requests(part):
    """Guards against work for a client that is gone, also one that sent much ahead."""
    app = App()
    paths = [f"/slow{n}" for n in range(5)]
    async with connected(app) as (_, writer, _):
        writer.write(b"".join(get(path) for path in paths) + post("/waits"))
        await until(lambda: len(app.running) >= 5)
        writer.write(part)
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await until(lambda: set(paths) <= set(app.cancelled))
        assert app.running == set()


async def test_requests_behind_an_answer_that_closes_are_not_run_after_it():
    """Guards against requests that run although their client has to send them again."""
    app = App()
    async with connected(app) as (reader, writer, _):
        writer.write(get("/a") + post("/close") + get("/behind"))
        assert await bodies(reader, 2) == ["/a", "/closex"]
        assert await reader.read() == b""
        assert app.began == ["/a", "/close"]


async def test_answer_that_closes_in_the_midst_comes_after_those_before_it_and_ends_the_rest():
    """Guards against a close that cuts earlier answers, or answers behind it."""
    app = App()
    async with connected(app) as (reader, writer, _):
        writer.write(get("/slow1") + get("/close") + get("/slow2"))
        await until(lambda: len(app.began) == 3)
        writer.write(get("/late"))
        await asyncio.sleep(0.05)
        app.gate("/slow1").set()
        assert await bodies(reader, 2) == ["/slow1", "/close"]
        assert await reader.read() == b""
        await until(lambda: app.cancelled == ["/slow2"])
        assert "/late" not in app.began


async def test_request_that_asks_to_close_is_the_last_one_read():
    """Guards against requests behind the last one, and errors in bytes behind it."""
    app = App()
    async with connected(app) as (reader, writer, _):
        writer.write(get("/slow") + get("/last", "connection: close\r\n") + get("/x") + b"\0\0\r\n")
        await until(lambda: len(app.began) == 2)
        app.gate("/slow").set()
        assert await bodies(reader, 2) == ["/slow", "/last"]
        assert await reader.read() == b""
        assert app.began == ["/slow", "/last"]


async def test_bad_request_is_refused_after_the_answers_to_good_ones():
    """Guards against a refusal that is taken for the answer to the first request."""
    app = App()
    async with connected(app) as (reader, writer, _):
        writer.write(get("/slow") + get("/b") + b"\0 nothing\r\n\r\n" + get("/c"))
        await until(lambda: len(app.began) == 2)
        app.gate("/slow").set()
        assert await bodies(reader, 2) == ["/slow", "/b"]
        assert (await answer(reader))[0] == 400
        assert await reader.read() == b""


async def test_failure_of_one_request_ends_the_connection_in_its_place():
    """Guards against an exception that cuts or moves the answers before it."""
    app = App()
    async with connected(app) as (reader, writer, _):
        writer.write(get("/slow") + get("/raise") + get("/c"))
        await until(lambda: len(app.began) >= 2)
        app.gate("/slow").set()
        assert await answer(reader) == (200, "/slow")
        assert (await answer(reader))[0] == 500
        assert await reader.read() == b""


@pytest.mark.parametrize("cut", range(1, len(get("/a") + post("/b") + get("/c")), 5))
async def test_requests_split_at_any_point_are_answered_alike(cut):
    """Guards against state that is lost between two segments."""
    app = App()
    sent = get("/a") + post("/b") + get("/c")
    async with connected(app) as (reader, writer, _):
        writer.write(sent[:cut])
        await asyncio.sleep(0.01)
        writer.write(sent[cut:])
        assert await bodies(reader, 3) == ["/a", "/bx", "/c"]


OFFERS = {
    "h2c": "connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\nhttp2-settings: AAMA\r\n",
    "websocket": "connection: keep-alive, upgrade\r\nupgrade: websocket\r\n",
    "unnamed": "connection: upgrade\r\nupgrade: \r\n",
}
FRAMED = {
    "length": f"content-length: {len(get('/quoted'))}\r\n\r\n".encode() + get("/quoted"),
    "chunks": b"transfer-encoding: chunked\r\n\r\n%x\r\n" % len(get("/quoted"))
    + get("/quoted")
    + b"\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize("framing", FRAMED)
@pytest.mark.parametrize("protocol", ["pipelining", "plain"])
@pytest.mark.parametrize("split", ["none", "head", "everywhere"])
async def test_request_that_offers_another_protocol_is_read_with_its_body(
    offer, framing, protocol, split
):
    """Guards against a body that is lost, or taken for requests of its own."""
    app = App()
    sent = f"POST /first HTTP/1.1\r\nhost: h\r\n{OFFERS[offer]}".encode() + FRAMED[framing]
    if protocol == "pipelining":
        sent = get("/before") + sent + get("/behind", OFFERS[offer])
    cuts = {"none": len(sent), "head": sent.index(b"\r\n\r\n") + 4, "everywhere": 1}[split]
    kind = servers.NodeProtocol if protocol == "plain" else None
    async with connected(app, kind=kind) as (reader, writer, _):
        for start in range(0, len(sent), cuts):
            writer.write(sent[start : start + cuts])
            await asyncio.sleep(0)
        whole = "/first" + get("/quoted").decode()
        if protocol == "plain":
            assert await bodies(reader, 1) == [whole]
        else:
            assert await bodies(reader, 3) == ["/before", whole, "/behind"]
        writer.write(get("/after"))
        assert await bodies(reader, 1) == ["/after"]
    assert "/quoted" not in app.began


async def test_connect_is_refused_and_closes():
    app = App()
    async with connected(app) as (reader, writer, _):
        writer.write(b"CONNECT h:443 HTTP/1.1\r\nhost: h\r\n\r\n" + get("/behind"))
        assert (await answer(reader))[0] == 400
        assert await reader.read() == b""
    assert app.began == []


async def test_stop_answers_what_was_started_and_closes():
    """Guards against a stopping node that cuts answers or waits for requests not begun."""
    app = App()
    async with connected(app) as (reader, writer, server):
        writer.write(get("/slow1") + get("/slow2") + post("/post"))
        await until(lambda: len(app.began) == 2)
        for protocol in list(server.server_state.connections):
            protocol.shutdown()
        app.gate("/slow2").set()
        app.gate("/slow1").set()
        assert await bodies(reader, 2) == ["/slow1", "/slow2"]
        assert await reader.read() == b""
        assert app.began == ["/slow1", "/slow2"]


STOPPED = get("/slow") + post("/b", b"xyz") + get("/c")


@pytest.mark.parametrize("received", range(0, len(STOPPED) + 1, 6))
async def test_stop_at_any_point_answers_just_the_requests_that_began(received):
    """Guards against requests that run without an answer, and answers that are cut by a stop."""
    app = App()
    async with connected(app) as (reader, writer, server):
        await until(lambda: server.server_state.connections)
        writer.write(STOPPED[:received])
        await asyncio.sleep(0.03)
        for protocol in list(server.server_state.connections):
            protocol.shutdown()
        with contextlib.suppress(ConnectionError):
            writer.write(STOPPED[received:])
            app.gate("/slow").set()
            answered = []
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    answered.append((await answer(reader))[1])
        assert answered == (["/slow"] if received >= len(get("/slow")) else [])
        assert app.began == answered


class Entry:
    """The entry of a node that is stopped, with requests that end in any order."""

    def __init__(self):
        self.names = dialect.Dialect(**{name: f"x-{name}" for name in dialect.Dialect._fields})
        self.stopping = False
        self.began = []
        self.gates = {}
        route = routes.Route("r", "h", "/", False, 0.4, 0.8, 1, 2, (routes.Part("s", 1.0),))
        service = routes.Service("s", "/health", 10)
        table = routes.build(1, routes.Limits(), [service], [route], ())
        self.app = entry.EntryApp(
            self.run,
            lambda: table,
            "c",
            self.names,
            lambda: self.stopping,
            instants.system_clocks(),
            counters.Counts(),
            random.Random(1),
        )

    async def run(self, call, _attempts):
        self.began.append(call.target)
        await self.gates.setdefault(call.target, asyncio.Event()).wait()
        return outcomes.Ran(outcomes.Answer(200, (), call.target.encode()))


PIPELINED = ("/1", "/2", "/3")


@pytest.mark.parametrize("ended_before", range(3))
@pytest.mark.parametrize("order", list(itertools.permutations(PIPELINED)), ids="".join)
async def test_stopping_node_answers_all_pipelined_requests_that_began(order, ended_before):
    """Guards against an answer that closes the connection before those behind it."""
    stopped = Entry()
    async with connected(stopped.app) as (reader, writer, _):
        writer.write(b"".join(get(path) for path in PIPELINED))
        await until(lambda: len(stopped.began) == len(PIPELINED))
        for number, path in enumerate(order):
            stopped.stopping = number >= ended_before
            stopped.gates[path].set()
            await asyncio.sleep(0.01)
        assert await bodies(reader, 3) == list(PIPELINED)
        writer.write(get("/4"))
        async with asyncio.timeout(3.0):
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
        assert stopped.began == list(PIPELINED)


async def test_answer_of_a_stopping_node_says_that_the_connection_closes():
    stopped = Entry()
    stopped.stopping = True
    async with connected(stopped.app) as (reader, writer, _):
        writer.write(get("/1") + get("/2"))
        await until(lambda: len(stopped.began) == 2)
        stopped.gates["/1"].set()
        assert b"connection: close" not in await reader.readuntil(b"\r\n\r\n")
        stopped.gates["/2"].set()
        assert b"connection: close" in await reader.readuntil(b"\r\n\r\n")
