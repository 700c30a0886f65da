"""Large bodies between nodes and to endpoints, on real sockets."""

import asyncio
import contextlib
import socket
import tracemalloc

import pytest

from goldcrestgrade import answer_memory, counters, headers, instants, outcomes, reasons
from goldcrestgrade_node import asgi
from goldcrestgrade_node.attempts import exchanges, results
from goldcrestgrade_node.mesh.endpoint import admission
from goldcrestgrade_node.mesh.transport import (
    bodies,
    connections,
    dialect,
    loads,
    relay,
    requests,
    transfer,
)
from goldcrestgrade_testing import raw_endpoint, serving

NAMES = dialect.Dialect(**{name: f"x-{name}" for name in dialect.Dialect._fields})
BODY = b"b" * 360_000
IDLE = loads.Load(0, 0, 9, 1.0)
RAN = requests.Served(outcomes.Ran(outcomes.Answer(200, (), b"ok")), IDLE, arrived=True)
FULL = requests.Served(outcomes.NotRun(reasons.Refusal.SATURATED, 0.0), IDLE, arrived=False)


def call(body=BODY, seconds=2.0):
    now = asyncio.get_running_loop().time()
    return requests.Call(
        "1",
        "r",
        "s",
        True,
        1,
        "c",
        "POST",
        "/",
        "h",
        ((NAMES.attempt_id, "1"),),
        body,
        now + seconds / 2,
        now + seconds,
    )


class Node:
    """The endpoint's node, with `admit` in place of its admission and endpoint."""

    def __init__(self, admit, memory=None):
        self.admit = admit
        self.fetched = []
        self.counts = counters.Counts()
        self.memory = memory or bodies.BodyMemory()
        terms = relay.BodyTerms(self.memory, lambda: 5.0, self.counts, answer_memory.AnswerMemory())
        self.app = relay.RelayApp(
            self.serve, NAMES, lambda: 1 << 20, lambda: False, instants.system_clocks(), terms
        )

    async def serve(self, call_, fetch_body):
        rejected = await self.admit()
        if rejected is not None:
            return rejected
        body = call_.body if fetch_body is None else await fetch_body()
        self.fetched.append(body)
        if isinstance(body, reasons.Refusal):
            return FULL
        return RAN


@contextlib.asynccontextmanager
async def relaying(admit=None, **options):
    async def admit_all():
        return None

    node = Node(admit or admit_all, **options)
    async with serving.serving(node.app) as port:
        client = relay.RelayClient(NAMES, instants.system_clocks(), counters.Counts())
        address = f"127.0.0.1:{port}"
        client.asking.add(address)
        yield node, client, address
        for pool in client.pools.values():
            pool.close_idle()


async def test_body_follows_admission_and_is_received_whole():
    """Guards against a body that is cut, or a connection that can't be used again."""
    async with relaying() as (node, client, address):
        for _ in range(2):
            assert (await client.serve(address, call())).outcome.answer.body == b"ok"
        assert node.fetched == [BODY, BODY]
        assert client.pools[address].opened_count == 1
        assert client.counts.events[reasons.Event.BODY_ASKED] == 2
        assert node.memory.held_bytes == 0


async def test_node_is_asked_only_once_it_is_known_to_answer():
    """Guards against a wait for nodes of earlier builds."""
    async with relaying() as (_, client, address):
        client.asking.clear()
        await client.serve(address, call(b"small"))
        assert client.counts.events[reasons.Event.BODY_ASKED] == 0
        await client.serve(address, call())
        assert client.counts.events[reasons.Event.BODY_ASKED] == 1


@pytest.mark.parametrize("answers_others", [True, False])
async def test_node_whose_queue_is_longer_than_the_wait_for_admission_is_no_unreachable_one(
    answers_others,
):
    """Guards against an endpoint that gets no requests since an upload waited long in its queue.

    A node that answers nothing meanwhile is unreachable.
    """
    admitted = asyncio.Event()

    async def admit():
        await admitted.wait()

    async with relaying(admit) as (node, client, address):
        unreached = []
        client.on_unreachable = lambda *arguments: unreached.append(arguments)
        upload = asyncio.create_task(client.serve(address, call(BODY[:20_000], 0.4)))
        if answers_others:
            await asyncio.sleep(0.05)
            node.app.serve = lambda *_: asyncio.sleep(0, RAN)
            await client.serve(address, call(b"small"))
        served = await upload
        if answers_others:
            assert served.outcome.reason == reasons.Refusal.SATURATED
            assert not served.arrived and unreached == []
        else:
            assert served is None and len(unreached) == 1
        admitted.set()
        await asyncio.sleep(0.05)
        assert not any(isinstance(body, bytes) for body in node.fetched)


async def test_rejection_costs_no_body():
    """Guards against a body that is sent to a node that rejects the request."""
    sent = []

    async def respond(reader, writer):
        sent.append(await reader.readuntil(b"\r\n\r\n"))
        fields = (
            "goldcrestgrade-attempt-id: 1\r\ngoldcrestgrade-outcome: not_run\r\n"
            "goldcrestgrade-reason: saturated\r\ngoldcrestgrade-retry-in: 0.1\r\n"
        )
        writer.write(raw_endpoint.answer(status="503 Busy", fields=fields))
        sent.append(await reader.read())
        writer.close()

    async with await asyncio.start_server(respond, "127.0.0.1", 0) as server:
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = relay.RelayClient(NAMES, instants.system_clocks(), counters.Counts())
        client.asking.add(address)
        served = await client.serve(address, call())
        assert served.outcome.reason == reasons.Refusal.SATURATED
        assert client.counts.events[reasons.Event.BODY_SAVED] == 1
        await asyncio.sleep(0.05)
        assert sent[1:] == [b""]


@pytest.mark.parametrize("read_bytes", [0, 20_000])
async def test_connection_that_breaks_before_the_body_is_whole_means_not_run(read_bytes):
    """Guards against an unknown outcome where the endpoint can't have been offered the request."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" if read_bytes else b"")
        await reader.readexactly(read_bytes)
        writer.transport.abort()

    async with await asyncio.start_server(respond, "127.0.0.1", 0, limit=1024) as server:
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = relay.RelayClient(NAMES, instants.system_clocks(), counters.Counts())
        client.asking.add(address)
        # Above what the kernel of the other side takes before its process reads.
        assert await client.serve(address, call(BODY * 30)) is None


async def test_node_that_ends_after_the_whole_body_leaves_the_outcome_unknown():
    """Guards against a second run of a request that the endpoint may have been offered."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        await reader.readexactly(len(BODY))
        writer.transport.abort()

    async with await asyncio.start_server(respond, "127.0.0.1", 0) as server:
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = relay.RelayClient(NAMES, instants.system_clocks(), counters.Counts())
        client.asking.add(address)
        served = await client.serve(address, call())
        assert isinstance(served.outcome, outcomes.Unknown)


async def test_silent_node_is_left_before_the_deadline():
    """Guards against a frozen node that holds a request until it can run nowhere else."""

    async def respond(reader, writer):
        await reader.read()
        writer.close()

    async with await asyncio.start_server(respond, "127.0.0.1", 0) as server:
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = relay.RelayClient(NAMES, instants.system_clocks(), counters.Counts())
        client.asking.add(address)
        started = asyncio.get_running_loop().time()
        assert await client.serve(address, call(seconds=0.6)) is None
        assert asyncio.get_running_loop().time() - started < 0.45


@pytest.mark.parametrize("leaves", [True, False])
async def test_slot_is_given_back_when_the_sender_leaves_or_stalls(leaves):
    """Guards against slots that stay held for bodies that never come."""
    async with relaying() as (node, _, address):
        port = int(address.rpartition(":")[2])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        encoded = requests.encode(call(), asyncio.get_running_loop().time())
        writer.write(
            f"POST / HTTP/1.1\r\nhost: h\r\ngoldcrestgrade-relay: {encoded}\r\n"
            "content-length: 20000\r\nexpect: 100-continue\r\n\r\n".encode()
        )
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        writer.write(b"part")
        if leaves:
            writer.close()
        started = asyncio.get_running_loop().time()
        while not node.fetched:
            await asyncio.sleep(0.01)
        took_s = asyncio.get_running_loop().time() - started
        # 20 kB take 32 ms over 5 Mbit/s.
        assert took_s < (0.2 if leaves else bodies.MIN_BODY_WAIT_S + 3 * 0.032 + 0.15)
        assert node.fetched == [reasons.Refusal.BODY_NOT_RECEIVED]
        writer.close()


async def test_body_beyond_the_memory_is_refused_before_it_is_read():
    """Guards against a process that runs out of memory under a burst of uploads."""
    async with relaying(memory=bodies.BodyMemory(100_000)) as (node, client, address):
        served = await client.serve(address, call())
        assert served.outcome.reason == reasons.Refusal.SATURATED
        assert node.fetched == []
        assert client.counts.events[reasons.Event.BODY_SAVED] == 1
        assert (await client.serve(address, call(b"b" * 50_000))).outcome.tag == "ran"


async def test_memory_of_a_body_without_a_length_grows_with_what_was_read():
    """Guards against chunked bodies that are not counted."""
    parts = [{"type": "http.request", "body": b"1234", "more_body": True}] * 3

    async def receive():
        return parts.pop()

    memory = bodies.BodyMemory(10)
    reservation = bodies.Reservation(memory)
    refused = await bodies.read(receive, 100, reservation, None)
    assert refused == reasons.Refusal.SATURATED
    assert memory.held_bytes == 8
    reservation.release()
    assert memory.held_bytes == 0


@pytest.mark.parametrize("read", ["bodies", "asgi"])
async def test_body_in_parts_of_one_byte_takes_little_more_than_its_size(read):
    """Guards against bodies in tiny chunks whose parts take forty times their bytes."""
    size = 200_000
    left = size

    async def receive():
        nonlocal left
        left -= 1
        return {"type": "http.request", "body": bytes(bytearray(b"x")), "more_body": left > 0}

    tracemalloc.start()
    try:
        if read == "bodies":
            reservation = bodies.Reservation(bodies.BodyMemory())
            body = await bodies.read(receive, size, reservation, None)
            reservation.release()
        else:
            body = await asgi.read_body(receive, size)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert body == b"x" * size
    assert peak < 4 * size


async def test_saturated_node_refuses_a_relayed_request_with_its_id_as_not_run():
    """Guards against a refusal that the entry can't tell from a lost answer."""
    application = relay.RelayApp(
        None, NAMES, lambda: 1000, lambda: False, instants.system_clocks(), None
    )
    scope = {"headers": [(NAMES.attempt_id.encode(), b"try-1")], asgi.SATURATED: True}
    sent = []

    async def send(message):
        sent.append(message)

    await application(scope, None, send)
    answered = dict(sent[0]["headers"])
    assert answered[headers.OUTCOME.encode()] == b"not_run"
    assert answered[headers.ATTEMPT_ID.encode()] == b"try-1"
    assert float(answered[headers.RETRY_IN.encode()]) > 0


def test_wait_for_a_body_counts_neither_as_service_time_nor_as_a_stall():
    """Guards against slow uploads that make the endpoint look slow or stalled."""
    now = 0.0
    clocks = instants.Clocks(lambda: now, lambda: now)
    controller = admission.AdmissionController(clocks)
    controller.set_slots(4)
    controller._start()
    controller.begin_hold()
    now = 5.0
    assert not controller.is_stalled()
    assert controller.load().running == 1
    assert controller.load_snapshot().load.running == 0
    controller.end_hold()
    assert controller.progress_at == 5.0


def sender(port, body=BODY, wait_s=2.0):
    prepared = exchanges.PreparedRequest(
        "POST", "/", [], body, "1", streamed=False, echo_header="x-try", unframed_allowed=True
    )
    pool = connections.ConnectionPool(f"127.0.0.1:{port}")
    deadline = asyncio.get_running_loop().time() + wait_s
    return pool, transfer.send(pool, prepared, deadline, 5.0, lambda: True)


@pytest.mark.parametrize("ending", ["reads_on", "closes", "resets"])
async def test_early_answer_is_passed_on_and_its_connection_not_reused(ending):
    """Guards against a lost early answer, and a next request that is taken for the body."""
    served = asyncio.Event()

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(raw_endpoint.answer(b"no", "413 Too Large", "x-try: 1\r\n"))
        if ending == "resets":
            writer.transport.abort()
        elif ending == "closes":
            writer.close()
        else:
            await asyncio.sleep(0.1)
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()
        served.set()

    async with await asyncio.start_server(respond, "127.0.0.1", 0, limit=1024) as server:
        pool, sending = sender(server.sockets[0].getsockname()[1], BODY * 30)
        transferred = await sending
        assert isinstance(transferred.result, results.Answered), transferred
        assert transferred.result.answer.status == 413
        assert pool.idle == []
        await served.wait()


async def test_connection_is_not_reused_while_the_other_side_has_not_taken_the_body():
    """Guards against a next request behind a body that nobody reads.

    The body is with the kernel of this side as a whole, so that its writing has ended.
    """
    served = asyncio.Event()

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(raw_endpoint.answer(b"no", "413 Too Large", "x-try: 1\r\n"))
        await served.wait()
        writer.close()

    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listening.bind(("127.0.0.1", 0))
        async with await asyncio.start_server(respond, sock=listening, limit=1024):
            pool, sending = sender(listening.getsockname()[1], b"b" * 200_000)
            transferred = await sending
            assert transferred.result.answer.status == 413
            assert not any(protocol.is_connected() for protocol in pool.idle)
            served.set()


async def test_answer_that_the_kernel_holds_is_read_when_a_write_meets_a_reset():
    """Guards against an early answer that is lost since the write fails before it was read."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listening:
        transport, protocol = await loop.create_connection(
            lambda: connections.Protocol(loop), *listening.getsockname()
        )
        protocol.set_response_params()
        other, _ = listening.accept()
        transport.write(b"unread")
        # Nothing runs on the event loop until the write below.
        other.sendall(raw_endpoint.answer(b"early"))
        other.close()
        for _ in range(2):
            transport.write(b"more")
        message, payload = await protocol.read()
        assert message.code == 200
        assert await payload.read() == b"early"


async def endless(head, part):
    """Return the result, the bytes taken and whether the connection was closed."""
    taken, closed = 0, asyncio.Event()

    async def respond(reader, writer):
        nonlocal taken
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            writer.write(head)
            while True:
                writer.write(part)
                await writer.drain()
                taken += len(part)
        closed.set()
        writer.close()

    async with await asyncio.start_server(respond, "127.0.0.1", 0) as server:
        pool, sending = sender(server.sockets[0].getsockname()[1], b"", wait_s=3.0)
        transferred = await sending
        async with asyncio.timeout(2.0):
            await closed.wait()
    return transferred.result, taken, pool


OTHER = b"HTTP/1.1 200 OK\r\nx-try: 0\r\ntransfer-encoding: chunked\r\n\r\n"
OWN_CHUNKS = OTHER.replace(b"x-try: 0", b"x-try: 1")


@pytest.mark.parametrize(
    ("head", "part"),
    [
        (b"", b"\0" * 4096),
        (b"HTTP/1.1 200 ", b"a" * 4096),
        (b"HTTP/1.1 200 OK\r\nx: ", b"a" * 4096),
        (b"HTTP/1.1 200 OK\r\n", b"x: a\r\n" * 512),
        (b"HTTP/1.1 200 OK\r\nx-try: 1\r\n\r\n", b"a" * 4096),
        (OWN_CHUNKS, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
        (OTHER, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
        (OWN_CHUNKS + b"5;", b"a" * 4096),
        (OWN_CHUNKS + b"0\r\n", b"x: a\r\n" * 512),
        (OWN_CHUNKS + b"0\r\nx: ", b"a" * 4096),
    ],
    ids=[
        "noise",
        "status",
        "header",
        "headers",
        "body",
        "chunks",
        "chunks_of_another_answer",
        "chunk_extension",
        "trailers",
        "trailer",
    ],
)
async def test_bytes_without_end_are_given_up_within_the_limits(head, part):
    """Guards against an endpoint or a node that fills the memory of this node."""
    result, taken, pool = await endless(head, part)
    assert isinstance(result, results.Broken)
    assert result.reason != reasons.Uncertainty.TIMED_OUT
    assert pool.idle == []
    # The buffers of the kernel come on top of the limit of 8 MB.
    assert taken < exchanges.MAX_UNSTREAMED_BYTES + (8 << 20)


@pytest.mark.parametrize("split", [0, 30])
async def test_late_copy_of_an_answer_is_not_given_to_the_next_request(split):
    """Guards against a second copy, whole or begun while the connection was idle."""
    copy = raw_endpoint.answer(b"copy", fields="x-none: 1\r\n")

    async def respond(request, writer):
        if request.connection > 1:
            writer.write(raw_endpoint.answer(b"own", fields="x-try: 1\r\n"))
            return
        writer.write(raw_endpoint.answer(b"first", fields="x-try: 1\r\n"))
        await asyncio.sleep(0.05)
        writer.write(copy[: split or None])

    async with raw_endpoint.serving(respond) as endpoint:
        pool, sending = sender(endpoint.port, b"")
        await sending
        await asyncio.sleep(0.1)
        prepared = exchanges.PreparedRequest(
            "GET", "/", [], b"", "1", streamed=False, echo_header="x-try", unframed_allowed=True
        )
        deadline = asyncio.get_running_loop().time() + 1.0
        transferred = await transfer.send(pool, prepared, deadline, 5.0, lambda: True)
        assert transferred.result.answer.body == b"own"
        assert endpoint.connections == 2
        pool.close_idle()
