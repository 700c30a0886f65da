"""The adapter: what is translated, and what is refused."""

import asyncio
import base64
import re

import orjson
import pytest
from goldcrestgrade_adapter import configuration, heartbeats, names, store

from goldcrestgrade import durations, exceptions
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import endpoints, replica
from goldcrestgrade_testing import reference, serving
from goldcrestgrade_testing.fleet_platform import store as stand_in

ROOT = reference.DOCS.parent

MAX_ADAPTER_LINES = 1200
"""Largest size of the adapter, from the issue that asked for it."""

PLATFORM_WORDS = re.compile(
    r"x-attempt-id|x-deadline-ms|x-upstream|x-expected-instance|x-caller-service|x-instance-id"
    r"|x-not-executed|/-/|non_idempotent|traffic_split|app_endpoint|control_plane|sidecar"
    r"|warmup_left|target_latency|heartbeat_endpoint|route_type|(?<!time )\bzone\b|\btenant\b"
    r"|\brequester|\bupstream",
    re.IGNORECASE,
)
"""Names of the platform that only the adapter and the stand-ins of the platform may know."""

RULE = {
    "name": "r",
    "route_type": "non_idempotent",
    "target_latency": "400ms",
    "priority": 2,
    "match": {"prefix": "/a/"},
    "action": {"service": "archive", "timeout": "1.5s", "attempts": 2},
}


def document(**rule):
    return {
        "version": 7,
        "limits": {"max_body_bytes": 100, "idle_timeout": "15000ms"},
        "listeners": [{"hostname": "Letters.example", "rules": [{**RULE, **rule}]}],
        "clusters": [{"name": "archive", "health_path": "/healthz", "max_connections": 220}],
    }


def beat(**changes):
    body = {
        "address": "10.0.0.1:80",
        "born": 5,
        "info": {"service": "s", "version": "v1", "zone": "z", "capacity": 9},
        "status": {"state": "ready", "sequence": 4, "warmup_left": "0ms"},
    }
    for path, value in changes.items():
        *outer, last = path.split("__")
        inner = body
        for part in outer:
            inner = inner[part]
        if value is None:
            del inner[last]
        else:
            inner[last] = value
    return orjson.dumps(body)


def test_names_of_the_platform_stay_in_the_adapter():
    sources = [
        path
        for package in ("goldcrestgrade", "goldcrestgrade-node", "goldcrestgrade-operator")
        for path in (ROOT / "packages" / package).glob("goldcrestgrade*/**/*.py")
    ]
    assert len(sources) > 100
    found = [
        f"{path.name}:{number}: {line.strip()}"
        for path in sources
        for number, line in enumerate(path.read_text("utf-8").splitlines(), 1)
        if PLATFORM_WORDS.search(line)
    ]
    assert found == []


def test_adapter_stays_small():
    lines = [
        line
        for path in (ROOT / "platform").rglob("*.py")
        for line in path.read_text("utf-8").splitlines()
    ]
    assert len(lines) < MAX_ADAPTER_LINES


def test_configuration_is_translated():
    table = configuration.decode(document())
    (route,) = table.by_host["letters.example"]
    assert route.run_once and route.timeout_s == 1.5 and route.latency_target_s == 0.4
    assert [tuple(part) for part in route.parts] == [("archive", 1.0)]
    assert table.version == 7 and table.limits.idle_timeout_s == 15.0
    split = {"traffic_split": [{"service": "archive", "weight": 90}]}
    action = {**RULE["action"], **split}
    (route,) = configuration.decode(document(action=action)).by_host["letters.example"]
    assert route.parts[0].weight == 90.0


@pytest.mark.parametrize(
    "change",
    [
        {"route_type": "sometimes"},
        {"match": {}},
        {"target_latency": "soon"},
        {"action": {"service": "unknown", "timeout": "1s", "attempts": 2}},
        {"action": {"service": "archive", "attempts": 2}},
    ],
)
def test_configuration_that_cannot_be_read_is_refused(change):
    with pytest.raises(exceptions.InvalidDocument):
        configuration.decode(document(**change))


def test_heartbeat_is_translated():
    found = heartbeats.decode("i", beat(status__state="draining"))
    assert found.draining and found.born_ms == 5 and found.slots == 9
    assert endpoints.ConfiguredEndpoint(
        found.address, found.service, found.failure_domain
    ) == endpoints.ConfiguredEndpoint("10.0.0.1:80", "s", "z")


@pytest.mark.parametrize(
    "changes",
    [
        {"status__state": "unheard-of"},
        {"status__sequence": "4"},
        {"status__sequence": True},
        {"info__capacity": None},
        {"info__service": 7},
        {"born": "5"},
        {"born": 5.5},
        {"address": None},
        {"status__warmup_left": 0},
    ],
)
def test_heartbeat_of_another_writer_is_not_readable(changes):
    with pytest.raises((KeyError, TypeError, ValueError)):
        heartbeats.decode("i", beat(**changes))


def test_times_have_a_unit():
    assert durations.parse_seconds("1500ms") == 1.5
    for wrong in ("1500", "s", "-1s", 5, None, "1 s"):
        with pytest.raises(ValueError, match="must be a time"):
            durations.parse_seconds(wrong)


class Doors:
    """A client of a stand-in store and the door that it comes through."""

    def __init__(self, behind, door, client):
        self.behind = behind
        self.door = door
        self.client = client


@pytest.fixture
async def doors():
    behind, door = stand_in.Store(), stand_in.Door()
    async with serving.serving(behind.app(door)) as port:
        client = store.PlatformTables(f"127.0.0.1:{port}")
        yield Doors(behind, door, client)
        behind.close()
        await client.close()


def write(key, version=0, value=None):
    return tables.Transaction(
        (tables.Condition(replica.MESH, key, version),),
        (tables.Write(replica.MESH, key, {"a": 1} if value is None else value),),
    )


async def test_rows_are_written_under_conditions_and_read_back(doors):
    committed = await doors.client.transact(write("k"))
    assert isinstance(committed, tables.Committed)
    conflicted = await doors.client.transact(write("k"))
    assert isinstance(conflicted, tables.Conflicted)
    assert conflicted.failures[0].row.version == committed.version
    assert (await doors.client.read(replica.MESH, "k")).value == {"a": 1}
    assert await doors.client.read(replica.MESH, "other") is None


async def test_condition_on_a_row_that_is_gone_fails_without_a_row(doors):
    conflicted = await doors.client.transact(write("k", version=3))
    assert conflicted.failures[0].row is None


async def test_changes_are_told_as_they_come_and_removals_with_them(doors):
    await doors.client.transact(write("k"))
    seen = await doors.client.snapshot(replica.MESH)
    asking = asyncio.create_task(doors.client.changes(replica.MESH, seen.version, 2.0))
    await asyncio.sleep(0.1)
    removal = tables.Transaction((), (tables.Write(replica.MESH, "k", None),))
    await doors.client.transact(removal)
    told = await asking
    assert [(change.key, change.value) for change in told.changes] == [("k", None)]
    assert told.version > seen.version


async def test_configuration_of_the_operator_has_the_names_of_the_product(doors):
    doors.behind.write("op", "config", {"version": 3})
    told = await doors.client.snapshot(replica.CONFIGURATION)
    assert [(c.key, c.value) for c in told.changes] == [(replica.CURRENT, {"version": 3})]


async def test_history_that_is_gone_is_told_from_other_failures(doors):
    doors.behind.write("op", "config", {"version": 3})
    doors.behind.forget()
    with pytest.raises(tables.HistoryGone):
        await doors.client.changes(replica.CONFIGURATION, 0, 0.1)


@pytest.mark.parametrize("outage", [stand_in.Outage.BUSY, stand_in.Outage.SILENT])
async def test_store_that_fails_is_noticed_in_time_and_used_again_at_once(doors, outage):
    doors.door.outage = outage
    with pytest.raises(tables.ReadError):
        async with asyncio.timeout(store.REQUEST_TIMEOUT_S + 0.3):
            await doors.client.snapshot(replica.MESH)
    doors.door.outage = stand_in.Outage.NONE
    assert (await doors.client.snapshot(replica.MESH)).changes == ()


async def test_busy_store_rejects_and_a_lost_answer_leaves_the_result_open(doors):
    doors.door.outage = stand_in.Outage.BUSY
    assert isinstance(await doors.client.transact(write("k")), tables.Rejected)
    doors.door.outage = stand_in.Outage.LOST
    assert isinstance(await doors.client.transact(write("k")), tables.Unanswered)
    doors.door.outage = stand_in.Outage.NONE
    assert (await doors.client.read(replica.MESH, "k")).value == {"a": 1}


async def test_calls_above_the_rate_are_rejected(doors):
    doors.behind.calls_per_s = 2
    results = [await doors.client.transact(write(str(n))) for n in range(6)]
    assert any(isinstance(result, tables.Rejected) for result in results)


async def test_row_that_cannot_be_read_is_left_out(doors):
    doors.behind._apply(
        {
            "writes": [
                {"table": names.TABLES[replica.MESH], "part": "", "key": key, "value": value}
                for key, value in (
                    ("bad", "%%%"),
                    ("list", base64.b64encode(b"[1]").decode()),
                    ("good", base64.b64encode(b'{"a":1}').decode()),
                )
            ]
        }
    )
    told = await doors.client.snapshot(replica.MESH)
    assert [change.key for change in told.changes] == ["good"]
