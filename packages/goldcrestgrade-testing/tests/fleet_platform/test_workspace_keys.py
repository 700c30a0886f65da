"""Keys of workspaces in a fleet of real nodes: withdrawn ones, and where keys must not appear."""

import asyncio
import contextlib
import time

import pytest

from goldcrestgrade import headers
from goldcrestgrade_testing.fleet_platform import fleet

PLACEMENTS = {
    "east-1": fleet.Placement("east", "r1", "archive"),
    "east-2": fleet.Placement("east", "r1", "archive"),
}
KEY, OTHER_KEY, UNKNOWN_KEY = "key-of-a-1f9c", "key-of-b-77d0", "key-of-none-40e2"

CONFIG_APPLY_S = 2.0
"""Time within which a configuration is in force on a node that reaches the store or a peer."""


def workspaces(*keys_of_a):
    return [fleet.workspace("a", *keys_of_a), fleet.workspace("b", OTHER_KEY)]


@pytest.fixture
async def running_fleet():
    async with fleet.running(PLACEMENTS) as started:
        started.configure(*started.rules, workspaces=workspaces(KEY))
        for instance in started.instances:
            await wait_status(started, instance, KEY, 200)
        yield started


async def wait_status(started, instance, key, status):
    deadline = time.monotonic() + CONFIG_APPLY_S
    while (await started.call(instance, "/archive/x", key=key)).status != status:
        assert time.monotonic() < deadline, f"no status {status} within {CONFIG_APPLY_S} s"
        await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def connection(instance):
    reader, writer = await asyncio.open_connection(fleet.HOST, instance.ports["calls"])
    yield reader, writer
    writer.close()


def pipelined(key, count):
    head = f"GET /archive/p HTTP/1.1\r\nhost: {fleet.ROUTE_HOSTNAME}\r\nauthorization: Token {key}"
    return b"".join(
        f"{head}\r\nx-attempt-id: raw-{time.monotonic_ns()}-{n}\r\n\r\n".encode()
        for n in range(count)
    )


async def read_status(reader):
    """Read one answer and return its status."""
    head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)).decode().lower()
    length = next(line for line in head.split("\r\n") if line.startswith("content-length:"))
    await reader.readexactly(int(length.partition(":")[2]))
    return int(head.split()[1])


async def test_withdrawn_key_is_refused_on_an_open_connection_with_pipelined_requests(
    running_fleet,
):
    """Guards against a key that stays accepted for the life of a connection or of its queue."""
    east_1, east_2 = running_fleet.instances
    async with connection(east_1) as (reader, writer):
        writer.write(pipelined(KEY, 3))
        assert [await read_status(reader) for _ in range(3)] == [200] * 3
        running_fleet.configure(*running_fleet.rules, workspaces=workspaces())
        statuses = []
        for _ in range(12):
            writer.write(pipelined(KEY, 10))
            statuses += [await read_status(reader) for _ in range(10)]
        await wait_status(running_fleet, east_1, KEY, 401)
        writer.write(pipelined(KEY, 10) + pipelined(OTHER_KEY, 1))
        assert [await read_status(reader) for _ in range(11)] == [401] * 10 + [200]
    first_refused = statuses.index(401) if 401 in statuses else len(statuses)
    assert set(statuses[:first_refused]) <= {200} and set(statuses[first_refused:]) <= {401}
    await wait_status(running_fleet, east_2, KEY, 401)


async def test_withdrawn_key_stays_refused_after_a_restart_and_a_store_that_still_has_it(
    running_fleet,
):
    """Guards against a node that takes the key from a copy of the store's past."""
    east_1, east_2 = running_fleet.instances
    await asyncio.sleep(0.5)
    running_fleet.configure(*running_fleet.rules, workspaces=workspaces())
    for instance in (east_1, east_2):
        await wait_status(running_fleet, instance, KEY, 401)
    withdrawn_at = time.monotonic()
    # The operator doesn't write the configuration again, so that the store keeps the key.
    await running_fleet.store.restore(time.monotonic() - withdrawn_at + 1.0, 0.3)
    east_2.process.kill()
    east_2.process.wait()
    running_fleet.start_node(east_2)
    await running_fleet.wait_ready([east_2])
    for _ in range(30):
        for instance in (east_1, east_2):
            answer = await running_fleet.call(instance, "/archive/x", key=KEY)
            assert answer.status == 401
        await asyncio.sleep(0.05)
    assert (await running_fleet.call(east_2, "/archive/x", key=OTHER_KEY)).status == 200


async def test_keys_appear_in_no_output_and_in_no_header_of_a_node(running_fleet):
    """Guards against a key in a log line, metric, answer or request to an endpoint."""
    east_1, east_2 = running_fleet.instances
    for instance in running_fleet.instances:
        # Until the first configuration with workspaces, the header belongs to the endpoint.
        instance.endpoint.raw.requests.clear()
    east_1.endpoint.behaviour.draining = True
    answers = [
        await running_fleet.call(east_1, "/archive/x", key=key)
        for key in (KEY, OTHER_KEY, UNKNOWN_KEY, f"{KEY} {KEY}", KEY + "x" * 300)
        for _ in range(4)
    ]
    async with connection(east_1) as (reader, writer):
        writer.write(
            b"GET /archive/x HTTP/1.1\r\nauthorization: Token " + KEY.encode() + b"\x01\r\n"
        )
        writer.write(b"bad header " + KEY.encode() + b"\r\n\r\n")
        malformed_answer = await asyncio.wait_for(reader.read(4096), 5.0)
    running_fleet.configure(
        *running_fleet.rules,
        workspaces=[fleet.workspace("a", KEY), fleet.workspace("b", KEY)],
    )
    await asyncio.sleep(CONFIG_APPLY_S)
    metrics = []
    for instance in running_fleet.instances:
        for path in ("/metrics", "/recent"):
            async with running_fleet.session.get(
                f"http://{instance.address('metrics')}{path}"
            ) as response:
                metrics.append(await response.read())
    requests = [r for one in running_fleet.instances for r in one.endpoint.raw.requests]
    logs = [running_fleet.node_log(instance) for instance in running_fleet.instances]
    assert "hold the same key" in "".join(logs)
    output = repr((answers, malformed_answer, metrics, requests, logs))
    assert len(requests) >= 8 and "call answered" in output
    for key in (KEY, OTHER_KEY, UNKNOWN_KEY):
        at = output.find(key)
        assert at < 0, output[max(0, at - 300) : at + 300]
    names = {one.endpoint.workspaces.get(a.attempt_id) for a in answers for one in (east_1, east_2)}
    assert names <= {"a", "b", None} and {"a", "b"} <= names
    assert headers.RELAY not in {name for r in requests for name, _ in r.fields}
