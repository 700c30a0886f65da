"""Real nodes beside another writer, which leaves odd rows in the store and sends odd heartbeats."""

import asyncio
import base64
import contextlib
import functools
import operator
import time

import aiohttp
import orjson
import pytest

from goldcrestgrade_testing import processes
from goldcrestgrade_testing.fleet_platform import fleet, store

PLACEMENTS = {
    "east-1": fleet.Placement("east", "r1", "archive"),
    "east-2": fleet.Placement("east", "r1", "intake"),
    "west-1": fleet.Placement("west", "r1", "archive"),
}

CONFIG_APPLY_S = 2.0
"""Time within which a configuration is in force on a node that reaches the store or a peer."""

DRAIN_S = 2.0
"""Time after a confirmed drain from which no request reaches the endpoint."""

GRACE_S = 6.0
"""Time that the platform allows a node between SIGTERM and SIGKILL."""

MESH, OPERATOR = "goldcrestgrade", "op"
"""Tables of the platform's store that nodes watch."""


@pytest.fixture
async def running_fleet():
    async with fleet.running(PLACEMENTS) as started:
        yield started


def instance_row(**changes):
    """Return a row of an instance in the first failure domain at which nothing listens."""
    return {
        "host": fleet.HOST,
        "port": processes.free_ports(1)[0],
        "place": {"failure_domain": "east", "region": "r1"},
        "service": "archive",
        "serving": True,
        "started_ms": 1,
        **changes,
    }


def nested(depth):
    """Return the bytes of an object whose lists are nested `depth` deep."""
    return b'{"nested":' + b"[" * depth + b"]" * depth + b"}"


async def wait_route(running_fleet, instances, within_s):
    """Add a route, and require that nodes serve it within a time."""
    running_fleet.add_route()
    path = running_fleet.added_routes[-1][0]
    deadline = time.monotonic() + within_s
    for instance in instances:
        while (answer := await running_fleet.call(instance, path)).status != 200:
            assert time.monotonic() < deadline, f"{instance.name} answers {answer.status}"
            await asyncio.sleep(0.05)


async def require_stops(instance):
    """Require that a node ends orderly within the grace."""
    instance.process.terminate()
    assert await asyncio.to_thread(instance.process.wait, GRACE_S) == 0


async def test_row_without_an_id_does_not_keep_nodes_from_the_store(running_fleet):
    """Guards against a row with an empty id that is taken for the source of a node without one."""
    running_fleet.store.write(MESH, "instance/", instance_row())
    await asyncio.sleep(1.0)
    await wait_route(running_fleet, running_fleet.instances, CONFIG_APPLY_S)
    east_1 = running_fleet.instances[0]
    await require_stops(east_1)
    running_fleet.start_node(east_1)
    await running_fleet.wait_ready([east_1])
    await wait_route(running_fleet, running_fleet.instances, CONFIG_APPLY_S)


async def test_rows_with_addresses_that_do_not_exist_leave_nodes_responsive(running_fleet):
    """Guards against polls without a pause of a peer to which no connection can be opened."""
    for key, host in (("instance/", "127.0.0.1"), ("instance/odd", "127.0.0.2")):
        running_fleet.store.write(MESH, key, instance_row(host=host, port=70_000))
    await asyncio.sleep(2.0)
    await wait_route(running_fleet, running_fleet.instances, CONFIG_APPLY_S)
    for instance in running_fleet.instances:
        answers = [await running_fleet.call(instance, "/archive/x") for _ in range(20)]
        assert {answer.status for answer in answers} == {200}
    for instance in running_fleet.instances:
        log = running_fleet.node_log(instance)
        assert '"log lines dropped"' not in log
        assert log.count("poll of a peer failed") < 5
    await require_stops(running_fleet.instances[0])


@pytest.mark.parametrize("table", [MESH, OPERATOR])
async def test_deeply_nested_value_does_not_keep_changes_from_peers(running_fleet, table):
    """Guards against answers to polls that can't be encoded because of one row."""
    east_1, east_2, west_1 = running_fleet.instances
    west_1.store_access.outage = east_2.store_access.outage = store.Outage.BUSY
    running_fleet.store.write_bytes(table, "instance/odd", nested(300))
    await asyncio.sleep(1.0)
    await wait_route(running_fleet, [east_1, west_1, east_2], CONFIG_APPLY_S)


@pytest.mark.parametrize(
    "change", [{"born": 10**18}, {"status": {"sequence": 2**63}}], ids=["born", "sequence"]
)
async def test_heartbeat_with_a_number_too_large_does_not_outrank_a_drain(running_fleet, change):
    """Guards against an odd heartbeat after which all true ones count as older."""
    east_1, east_2, _ = running_fleet.instances
    odd = east_1.endpoint.heartbeat(east_1.address("endpoint"), east_1.placement.failure_domain)
    odd = {**odd, **change, "status": odd["status"] | change.get("status", {})}
    url = f"http://{east_1.address('heartbeats')}/-/instances/{east_1.endpoint.endpoint_id}"
    async with running_fleet.session.put(url, json=odd) as response:
        await response.read()
    await asyncio.sleep(2 * fleet.HEARTBEAT_INTERVAL_S)
    assert (await running_fleet.call(east_1, "/archive/x")).status == 200
    east_1.endpoint.behaviour.draining = True
    async with asyncio.timeout(3.0):
        while east_1.endpoint.drain_acknowledged_at is None:
            await asyncio.sleep(0.05)
    await asyncio.sleep(DRAIN_S)
    before = sum(east_1.endpoint.run_counts.values())
    answers = [await running_fleet.call(east_2, "/archive/x") for _ in range(12)]
    answers += [await running_fleet.call(east_1, "/archive/x") for _ in range(12)]
    assert {answer.status for answer in answers} == {200}
    assert sum(east_1.endpoint.run_counts.values()) == before


def stored_address(running_fleet, name):
    """Return host and port in the row of an instance, or none if the row can't be read."""
    row = running_fleet.store.rows.get((MESH, "", f"instance/{name}"))
    try:
        value = orjson.loads(base64.b64decode(row["value"]))
        return value["host"], value["port"]
    except (TypeError, KeyError, ValueError):
        return None


async def wait_address(running_fleet, instance, within_s):
    """Require that the row of an instance is its own within a time."""
    deadline = time.monotonic() + within_s
    own = fleet.HOST, instance.ports["relay"]
    while stored_address(running_fleet, instance.name) != own:
        assert time.monotonic() < deadline, "the row is not written again"
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("is_running", [True, False], ids=["running", "restarted"])
@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", nested(300)], ids=["", "ff", "[]", "deep"])
async def test_node_replaces_an_unreadable_row_at_its_key(running_fleet, value, is_running):
    """Guards against a node that no other one finds, since it can't read the row to replace."""
    east_1, east_2, west_1 = running_fleet.instances
    if not is_running:
        east_1.process.kill()
        east_1.process.wait()
    running_fleet.store.write_bytes(MESH, "instance/east-1", value)
    if not is_running:
        running_fleet.start_node(east_1)
        await running_fleet.wait_ready([east_1])
    await wait_address(running_fleet, east_1, 4.0)
    west_1.endpoint.behaviour.draining = True
    await asyncio.sleep(2.0)
    answers = [await running_fleet.call(east_2, "/archive/x") for _ in range(12)]
    assert {answer.status for answer in answers} == {200}


async def test_row_of_another_writer_at_the_address_of_a_node_does_not_replace_it(running_fleet):
    """Guards against requests that run at an endpoint of another service."""
    east_1, east_2, _ = running_fleet.instances
    odd = instance_row(port=east_1.ports["relay"], service="intake")
    for number in range(60):
        running_fleet.store.write(MESH, f"instance/odd-{number}", odd)
    await asyncio.sleep(1.0)
    east_2.endpoint.behaviour.draining = True
    await asyncio.sleep(2.0)
    attempts = [f"a{number}" for number in range(12)]
    for attempt_id in attempts:
        await running_fleet.call(east_1, "/intake/x", attempt_id=attempt_id)
    assert [a for a in attempts if east_1.endpoint.run_counts[a]] == []
    deadline = time.monotonic() + 3.0
    while any("odd" in key for _, _, key in running_fleet.store.rows):
        assert time.monotonic() < deadline, "the row at the address of another node stays"
        await asyncio.sleep(0.05)
    answers = [await running_fleet.call(east_2, "/archive/x") for _ in range(12)]
    assert {answer.status for answer in answers} == {200}
    assert any(east_1.endpoint.run_counts[answer.attempt_id] for answer in answers)


@pytest.mark.parametrize("odd_id", ["%00", "%0A", "x" * 5000])
async def test_heartbeat_of_an_id_that_can_not_be_written_fails_no_request(running_fleet, odd_id):
    """Guards against answers of 500, found by seed 9461460 of the fault soak."""
    east_1, east_2, _ = running_fleet.instances
    east_1.process.kill()
    east_1.process.wait()
    east_1.heartbeat_task.cancel()
    running_fleet.start_node(east_1)
    url = f"http://{east_1.address('heartbeats')}/-/instances/{odd_id}"
    body = east_1.endpoint.heartbeat(east_1.address("endpoint"), "east")
    deadline = time.monotonic() + 5.0
    while time.monotonic() < deadline:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with running_fleet.session.put(url, json=body) as response:
                assert response.status == 400
                break
        await asyncio.sleep(0.01)
    await running_fleet.wait_ready([east_1])
    answers = [await running_fleet.call(east_1, "/archive/file/x", "POST") for _ in range(12)]
    answers += [await running_fleet.call(east_2, "/archive/x") for _ in range(12)]
    assert {answer.status for answer in answers} == {200}


RULE, PART = ("listeners", 0, "rules", 0), ("listeners", 0, "rules", 0, "action")
"""Places of a rule and of its action in a configuration."""

ODD_CONFIGURATIONS = {
    "version": {("version",): 1e300},
    "priority": {(*RULE, "priority"): 1e300},
    "rule name": {(*RULE, "name"): None},
    "regions of two types": {(*PART, "allowed_regions"): [1, "r1"]},
    "timeout": {(*PART, "timeout"): "9" * 400 + "s"},
    "target latency": {(*RULE, "target_latency"): "9" * 30 + "s"},
    "weights": {
        (*PART, "traffic_split"): [{"service": s, "weight": 1e308} for s in ("archive", "intake")]
    },
    "health path": {("clusters", 0, "health_path"): {"a": 1}},
    "tenant name": {("tenants", 0, "name"): 7},
    "tenant name with control characters": {("tenants", 0, "name"): "w\n"},
    "large quota": {("tenants", 0, "rate_per_s"): 1e308, ("tenants", 0, "burst_size"): 1e308},
    "negative quota": {("tenants", 0, "rate_per_s"): 5.0, ("tenants", 0, "burst_size"): -1e308},
    "tenant regions of two types": {("tenants", 0, "allowed_regions"): [1, "r1"]},
}


@pytest.mark.parametrize("changes", ODD_CONFIGURATIONS.values(), ids=ODD_CONFIGURATIONS)
async def test_odd_value_in_a_configuration_ends_no_node_and_fails_no_request(
    running_fleet, changes
):
    """Guards against nodes that end, also after a restart, since one value can't be used."""
    running_fleet.configure(*running_fleet.rules, workspaces=[fleet.workspace("w", "key-of-w")])
    running_fleet.default_key = "key-of-w"
    await running_fleet.wait_keys_required()
    odd = orjson.loads(orjson.dumps(running_fleet.configuration))
    odd["version"] += 1
    for (*place, name), value in changes.items():
        functools.reduce(operator.getitem, place, odd)[name] = value
    running_fleet.store.write("op", "config", odd)
    await asyncio.sleep(1.0)
    east_1 = running_fleet.instances[0]
    for instance in running_fleet.instances:
        answers = [await running_fleet.call(instance, f"/{s}/x") for s in ("archive", "intake") * 6]
        assert {answer.status for answer in answers} == {200}
    assert [i.process.poll() for i in running_fleet.instances] == [None] * len(PLACEMENTS)
    east_1.process.kill()
    east_1.process.wait()
    running_fleet.start_node(east_1)
    await running_fleet.wait_ready([east_1])
    await wait_route(running_fleet, running_fleet.instances, CONFIG_APPLY_S)


UNUSUAL_NAMES = {
    "no-break space": "moderation\xa0desk",
    "soft hyphen": "modera\xadtion",
    "joiner": "\U0001f469\u200d\U0001f4bb",
    "unassigned character": "\U0003fffd",
    "private use": "\ue000",
    "line break": "moderation\ndesk",
}


@pytest.mark.parametrize("name", UNUSUAL_NAMES.values(), ids=UNUSUAL_NAMES)
async def test_configuration_with_an_unusual_name_of_a_route_is_put_in_force(running_fleet, name):
    """Guards against a stored configuration that no node puts in force because of one text."""
    running_fleet.rules[0]["name"] = name
    await wait_route(running_fleet, running_fleet.instances, CONFIG_APPLY_S)


async def test_odd_route_does_not_keep_the_rest_of_a_configuration_from_being_in_force(
    running_fleet,
):
    """Guards against added routes and withdrawn keys that wait for another part's correction."""
    east_1 = running_fleet.instances[0]
    workspaces = [fleet.workspace("w", "old-key", "new-key")]
    running_fleet.configure(*running_fleet.rules, workspaces=workspaces)
    running_fleet.default_key = "new-key"
    await running_fleet.wait_keys_required()
    running_fleet.workspaces[0]["api_keys"].remove("old-key")
    running_fleet.rules[0]["target_latency"] = "soon"
    path = running_fleet.rules[0]["match"]["prefix"] + "x"
    await wait_route(running_fleet, running_fleet.instances, CONFIG_APPLY_S)
    for instance in running_fleet.instances:
        assert (await running_fleet.call(instance, path)).status == 200
        assert (await running_fleet.call(instance, path, key="old-key")).status == 401
    east_1.process.kill()
    east_1.process.wait()
    running_fleet.start_node(east_1)
    await running_fleet.wait_ready([east_1])
    # A node that never had a sound form of the route rejects its requests, and no others.
    assert (await running_fleet.call(east_1, path)).status == 503
    assert (await running_fleet.call(east_1, running_fleet.added_routes[-1][0])).status == 200


async def test_poll_with_an_era_that_the_store_never_had_does_not_have_it_read_again_and_again(
    running_fleet,
):
    """Guards against nodes that pass the era on for good, and then read all rows all the time."""
    for instance in running_fleet.instances:
        query = {"after-configuration": "0.0", "after-mesh": "0.0", "wait_s": "0"}
        url = f"http://{instance.address('relay')}/mesh/changes"
        async with running_fleet.session.get(url, params={**query, "era": 10**18}) as response:
            assert response.status == 200

    def whole_reads():
        logs = map(running_fleet.node_log, running_fleet.instances)
        return sum(log.count("reading all rows again") for log in logs)

    await asyncio.sleep(3.0)
    before = whole_reads()
    await asyncio.sleep(3.0)
    assert whole_reads() == before
    await wait_route(running_fleet, running_fleet.instances, CONFIG_APPLY_S)
