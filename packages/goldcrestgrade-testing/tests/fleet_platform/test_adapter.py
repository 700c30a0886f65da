"""Translation of documents and store requests by the adapter of the platform."""

import asyncio
import base64
import itertools
import math
import random
import re
import time

import aiohttp
import orjson
import pytest
from goldcrestgrade_adapter import configuration, heartbeats, names, store

from goldcrestgrade import durations, exceptions, instants, routes
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.endpoint import endpoints
from goldcrestgrade_node.mesh.entry import dispatch
from goldcrestgrade_node.mesh.quota import terms
from goldcrestgrade_node.mesh.state import evacuations, replica
from goldcrestgrade_node.mesh.transport import requests
from goldcrestgrade_testing import reference, serving
from goldcrestgrade_testing.fault_soak import odd_entries
from goldcrestgrade_testing.fleet_platform import fleet
from goldcrestgrade_testing.fleet_platform import store as stand_in

ROOT = reference.DOCS.parent

MAX_ADAPTER_LINES = 1200
"""The adapter must have fewer lines than this, by the issue that asked for it."""

PLATFORM_WORDS = re.compile(
    r"x-attempt-id|x-deadline-ms|x-upstream|x-expected-instance|x-caller-service|x-instance-id"
    r"|x-not-executed|server-limit|server-leaving|/-/|non_idempotent|traffic_split|app_endpoint|control_plane|sidecar"
    r"|warmup_left|target_latency|heartbeat_endpoint|route_type|(?<!time )\bzone\b|\btenant\b"
    r"|\brequester|\bupstream",
    re.IGNORECASE,
)
"""Names of the platform that only the adapter and the stand-ins for the platform may use."""

TRANSFER_S = 1.0
"""Time that an answer of the store may take to arrive."""

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


def heartbeat(**changes):
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


def test_only_the_adapter_knows_names_of_the_platform():
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


def test_adapter_is_smaller_than_its_line_limit():
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


def test_workspaces_regions_and_warm_up_are_translated():
    action = {**RULE["action"], "allowed_regions": ["luzon"]}
    body = document(action=action, route_type="upload", anonymous=True)
    body["clusters"][0] |= {"warmup": "3s", "warmup_per_s": 6.0}
    body["tenants"] = [
        {"name": "w", "api_keys": ["k"], "priority": 1, "rate_per_s": 138, "burst_size": 140}
    ]
    table = configuration.decode(body)
    (route,) = table.by_host["letters.example"]
    assert route.allowed_regions == {"luzon"} and route.anonymous
    assert route.run_once and route.large_bodies
    assert table.services["archive"][-2:] == (3.0, 6.0)
    assert table.workspace_by_key == {routes.key_digest("k"): "w"}
    assert table.workspaces["w"][2:5] == (1, 138.0, 140.0)


def test_unreadable_route_is_named_with_its_host():
    with pytest.raises(exceptions.InvalidDocument) as raised:
        configuration.decode(document(route_type="sometimes"))
    (fault,) = raised.value.faults
    assert "route 'r' of host 'Letters.example'" in fault.text and "sometimes" in fault.text


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
def test_invalid_configuration_is_refused(change):
    with pytest.raises(exceptions.InvalidDocument):
        configuration.decode(document(**change))


def test_faulty_parts_keep_their_form_in_force_and_are_closed_without_one():
    """Guards against requests that are handled as those of another route or workspace."""
    sound = document() | {"tenants": [fleet.workspace("w", "k1", "k2")]}
    faulty = {**document(target_latency="soon"), "version": 8}
    faulty["tenants"] = [fleet.workspace("\n", "k2"), fleet.workspace("v", "k3", priority="high")]
    faulty["clusters"] = [*faulty["clusters"], {"name": "added", "health_path": 5}]
    in_force = routes.salvage(configuration.read(sound), None).table
    salvaged = routes.salvage(configuration.read(faulty), in_force)
    assert [bool(fault.place) for fault in salvaged.faults] == [True] * 4
    table = salvaged.table
    assert table.version == 8
    assert table.by_host == in_force.by_host and list(table.services) == ["archive"]
    assert table.workspace_by_key[routes.key_digest("k2")] == "w"
    assert routes.key_digest("k1") not in table.workspace_by_key
    assert table.workspaces[table.workspace_by_key[routes.key_digest("k3")]].is_closed
    restarted = routes.salvage(configuration.read(faulty), None).table
    assert all(route.is_closed for route in restarted.by_host["letters.example"])
    assert all(workspace.is_closed for workspace in restarted.workspaces.values())


def test_faulty_workspace_does_not_take_the_place_of_a_sound_one():
    """Guards against keys that are refused, since another workspace once held one of them."""
    sound = document() | {"tenants": [fleet.workspace("w", "k1", "k2")]}
    tenants = [fleet.workspace("w", "k1"), fleet.workspace("\n", "k2"), fleet.workspace("", "k3")]
    changed = {**document(), "version": 8, "tenants": tenants}
    in_force = routes.salvage(configuration.read(sound), None).table
    table = routes.salvage(configuration.read(changed), in_force).table
    holders = {key: table.workspace_by_key[routes.key_digest(key)] for key in ("k1", "k2", "k3")}
    assert holders["k1"] == "w" and len(set(holders.values())) == 3
    assert table.workspaces[holders["k2"]].is_closed


def test_heartbeat_is_translated():
    decoded = heartbeats.decode("i", heartbeat(status__state="draining"))
    assert decoded.draining and decoded.born_ms == 5 and decoded.slots == 9
    assert endpoints.ConfiguredEndpoint(
        decoded.address, decoded.service, decoded.failure_domain
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
def test_malformed_heartbeat_is_refused(changes):
    with pytest.raises((KeyError, TypeError, ValueError)):
        heartbeats.decode("i", heartbeat(**changes))


NESTED = b"[" * 1000 + b"]" * 1000


@pytest.mark.parametrize(
    "body", [NESTED, heartbeat(born="@").replace(b'"@"', NESTED), b"[]", b"\xff", b"null"]
)
async def test_unreadable_heartbeat_gets_400_and_an_unreadable_departure_200(body):
    """Guards against answers of 500, here for a value whose text takes too many stack frames."""
    clocks = instants.system_clocks()
    configured = endpoints.ConfiguredEndpoint("10.0.0.1:80", "s", "z")
    own = endpoints.OwnEndpoint(configured, clocks, lambda: None)

    async def record(endpoint_id, born_ms):
        return own.record_departure(endpoint_id, born_ms)

    app = heartbeats.endpoint_app(own, record)
    async with serving.serving(app) as port, aiohttp.ClientSession() as session:
        url = f"http://127.0.0.1:{port}{names.ENDPOINTS_PATH}i"
        for method, status in (("PUT", 400), ("DELETE", 200)):
            async with session.request(method, url, data=body) as response:
                assert response.status == status


def test_duration_without_a_valid_unit_is_refused():
    assert durations.parse_seconds("1500ms") == 1.5
    for wrong in ("1500", "s", "-1s", 5, None, "1 s"):
        with pytest.raises(ValueError, match="must be a time"):
            durations.parse_seconds(wrong)


class StoreSetup:
    """A client of a stand-in store and the access point that it uses."""

    def __init__(self, store, access, client):
        self.store = store
        self.access = access
        self.client = client


@pytest.fixture
async def store_setup():
    stand_in_store, access = stand_in.Store(), stand_in.AccessPoint()
    async with serving.serving(stand_in_store.app(access)) as port:
        client = store.PlatformTables(f"127.0.0.1:{port}")
        yield StoreSetup(stand_in_store, access, client)
        stand_in_store.close()
        await client.close()


def write(key, position=tables.ABSENT, value=None):
    return tables.Transaction(
        (tables.Condition(replica.MESH, key, position),),
        (tables.Write(replica.MESH, key, {"a": 1} if value is None else value),),
    )


async def test_rows_are_written_under_conditions_and_read_back(store_setup):
    committed = await store_setup.client.transact(write("k"))
    assert isinstance(committed, tables.Committed)
    conflicted = await store_setup.client.transact(write("k"))
    assert isinstance(conflicted, tables.Conflicted)
    assert conflicted.failures[0].row.position == committed.position
    assert (await store_setup.client.read(replica.MESH, "k")).value == {"a": 1}
    assert await store_setup.client.read(replica.MESH, "other") is None


async def test_condition_on_an_absent_row_conflicts_without_a_row(store_setup):
    conflicted = await store_setup.client.transact(write("k", tables.Position(1, 3)))
    assert conflicted.failures[0].row is None


async def test_waiting_for_changes_returns_a_removal_when_it_happens(store_setup):
    await store_setup.client.transact(write("k"))
    snapshot = await store_setup.client.snapshot(replica.MESH, TRANSFER_S)
    waiting = asyncio.create_task(
        store_setup.client.changes(replica.MESH, snapshot.position, 2.0, TRANSFER_S)
    )
    await asyncio.sleep(0.1)
    removal = tables.Transaction((), (tables.Write(replica.MESH, "k", None),))
    await store_setup.client.transact(removal)
    received = await waiting
    assert [(change.key, change.value) for change in received.changes] == [("k", None)]
    assert received.position > snapshot.position


async def test_operator_configuration_row_is_read_under_the_product_names(store_setup):
    store_setup.store.write("op", "config", {"version": 3})
    received = await store_setup.client.snapshot(replica.CONFIGURATION, TRANSFER_S)
    assert [(c.key, c.value) for c in received.changes] == [(replica.CURRENT, {"version": 3})]


async def test_request_for_dropped_history_raises_history_gone(store_setup):
    store_setup.store.write("op", "config", {"version": 3})
    store_setup.store.drop_history()
    with pytest.raises(tables.HistoryGone):
        await store_setup.client.changes(
            replica.CONFIGURATION, tables.Position(1, 0), 0.1, TRANSFER_S
        )


@pytest.mark.parametrize("outage", [stand_in.Outage.BUSY, stand_in.Outage.SILENT])
async def test_read_from_a_failing_store_fails_within_its_timeout_and_works_once_it_recovers(
    store_setup, outage
):
    store_setup.access.outage = outage
    with pytest.raises(tables.ReadError):
        async with asyncio.timeout(store.REQUEST_TIMEOUT_S + 0.3):
            await store_setup.client.snapshot(replica.MESH, TRANSFER_S)
    store_setup.access.outage = stand_in.Outage.NONE
    assert (await store_setup.client.snapshot(replica.MESH, TRANSFER_S)).changes == ()


async def test_busy_store_rejects_a_write_and_a_lost_answer_leaves_its_outcome_unknown(store_setup):
    store_setup.access.outage = stand_in.Outage.BUSY
    assert isinstance(await store_setup.client.transact(write("k")), tables.Rejected)
    store_setup.access.outage = stand_in.Outage.LOST
    assert isinstance(await store_setup.client.transact(write("k")), tables.Unanswered)
    store_setup.access.outage = stand_in.Outage.NONE
    assert (await store_setup.client.read(replica.MESH, "k")).value == {"a": 1}


async def test_writes_above_the_request_rate_are_rejected(store_setup):
    store_setup.store.max_requests_per_s = 2
    results = [await store_setup.client.transact(write(str(n))) for n in range(6)]
    assert any(isinstance(result, tables.Rejected) for result in results)


@pytest.mark.parametrize("letter", ["x", "\u00e9", "\U0010ffff"])
async def test_snapshot_spans_several_answers_whose_last_keys_are_the_longest(store_setup, letter):
    """Guards against rows of another writer by which the table can't be read in full."""
    room = stand_in.MAX_TEXT_BYTES - 4
    keys = [f"{n:04}" + letter * (room // len(letter.encode())) for n in range(1200)]
    for key in keys:
        store_setup.store.write(names.TABLES[replica.MESH], key, {"a": 1})
    received = await store_setup.client.snapshot(replica.MESH, TRANSFER_S)
    assert {change.key for change in received.changes} == set(keys)


async def test_values_that_cannot_be_decoded_count_as_empty_and_can_be_replaced(store_setup):
    store_setup.store._apply(
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
    received = await store_setup.client.snapshot(replica.MESH, TRANSFER_S)
    assert {change.key: change.value for change in received.changes} == {
        "bad": {},
        "list": {},
        "good": {"a": 1},
    }
    bad = next(change for change in received.changes if change.key == "bad")
    replacement = tables.Write(replica.MESH, "bad", {"a": 2})
    unknown = tables.Condition(replica.MESH, "bad", tables.ABSENT)
    conflict = await store_setup.client.transact(tables.Transaction((unknown,), (replacement,)))
    assert conflict.failures[0].row == tables.Row(replica.MESH, "bad", bad.position, {})
    known = unknown._replace(position=bad.position)
    result = await store_setup.client.transact(tables.Transaction((known,), (replacement,)))
    assert isinstance(result, tables.Committed)


async def test_positions_of_a_restored_store_are_of_a_new_era_that_listeners_learn_of(store_setup):
    eras = []
    store_setup.client.on_era(eras.append)
    before = await store_setup.client.transact(write("k"))
    await store_setup.store.restore(age_s=60.0, away_s=0.0)
    again = await store_setup.client.transact(write("k"))
    assert again.position.version == before.position.version
    assert again.position > before.position
    assert eras == [before.position.era, again.position.era]


async def test_changes_after_a_position_of_an_earlier_era_are_gone(store_setup):
    await store_setup.client.transact(write("k"))
    snapshot = await store_setup.client.snapshot(replica.MESH, TRANSFER_S)
    await store_setup.store.restore(age_s=60.0, away_s=0.0)
    for key in ("a", "b"):
        # The versions are given out again, so that the store itself knows the position.
        await store_setup.client.transact(write(key))
    with pytest.raises(tables.HistoryGone):
        await store_setup.client.changes(replica.MESH, snapshot.position, 0.1, TRANSFER_S)


async def test_poll_that_is_open_while_the_store_comes_back_from_a_copy_ends(store_setup):
    await store_setup.client.transact(write("k"))
    snapshot = await store_setup.client.snapshot(replica.MESH, TRANSFER_S)
    poll = asyncio.create_task(
        store_setup.client.changes(replica.MESH, snapshot.position, 2.0, TRANSFER_S)
    )
    await asyncio.sleep(0.1)
    await store_setup.store.restore(age_s=60.0, away_s=0.2)
    with pytest.raises(tables.ReadError):
        await poll


async def test_condition_of_an_earlier_era_does_not_hold_for_a_row_with_the_same_version(
    store_setup,
):
    committed = await store_setup.client.transact(write("k"))
    await store_setup.store.restore(age_s=60.0, away_s=0.0)
    await store_setup.client.transact(write("k", value={"b": 2}))
    outdated = await store_setup.client.transact(write("k", committed.position, {"c": 3}))
    assert isinstance(outdated, tables.Rejected)
    assert (await store_setup.client.read(replica.MESH, "k")).value == {"b": 2}


async def test_answer_without_an_era_is_of_the_present_one(store_setup):
    assert store_setup.client._observe_era("7") == 7
    assert store_setup.client._observe_era(None) == 7
    assert store_setup.client._observe_era("6") == 6
    assert store_setup.client.era == 7


@pytest.mark.parametrize("keys", ["secret-key", [""], [5], {"secret-key": 1}])
def test_keys_that_are_no_list_of_texts_are_refused_without_showing_them(keys):
    with pytest.raises(exceptions.InvalidDocument) as raised:
        configuration.decode(document() | {"tenants": [{"name": "w", "api_keys": keys}]})
    (fault,) = raised.value.faults
    assert "'w'" in fault.text and "secret" not in fault.text


async def test_rows_of_another_part_are_left_out(store_setup):
    """Guards against a row of another part that takes the place of one with the same key."""
    stand_in_store, client = store_setup.store, store_setup.client
    committed = await client.transact(write("k"))
    snapshot = await client.snapshot(replica.MESH, TRANSFER_S)
    table = names.TABLES[replica.MESH]
    stand_in_store.write_bytes(table, "k", b'{"a":2}', part="other")
    changes = await client.changes(replica.MESH, snapshot.position, 0.0, TRANSFER_S)
    assert changes.changes == ()
    assert changes.position.version == committed.position.version + 1
    assert (await client.read(replica.MESH, "k")).value == {"a": 1}
    conflicted = await client.transact(write("k"))
    assert conflicted.failures[0].row.position == committed.position


async def test_stand_in_skips_no_change_that_comes_as_a_poll_times_out():
    """Guards against nodes in tests that never learn of a change."""
    loop = asyncio.get_running_loop()
    stand_in_store = stand_in.Store()
    wait_ms = 20
    for number in range(10):
        after = stand_in_store.version
        query = {"table": "op", "after": str(after), "wait_ms": str(wait_ms)}
        poll = asyncio.create_task(stand_in_store._answer("/-/rows-feed", query, b""))
        await asyncio.sleep(0)
        loop.call_later(
            wait_ms / 1000 + 0.001, stand_in_store.write, "op", "config", {"version": number}
        )
        # The time-out and the write are due in one turn of the event loop, in this order.
        time.sleep(2 * wait_ms / 1000)  # noqa: ASYNC251
        status, document = await poll
        assert status == 200
        assert document["ver"] == after + 1
        assert [row["ver"] for row in document["rows"]] == [after + 1]


async def test_evacuation_rows_are_translated_in_both_directions(store_setup):
    """Guards against rows of the operator that no node recognizes."""
    stand_in_store, client = store_setup.store, store_setup.client
    key = evacuations.KEY_PREFIX + "khomas-a"
    stand_in_store.write("op", "evacuate/khomas-a", {})
    snapshot = await client.snapshot(replica.CONFIGURATION, TRANSFER_S)
    assert [(change.key, change.value) for change in snapshot.changes] == [(key, {})]
    assert (await client.read(replica.CONFIGURATION, key)).key == key
    stand_in_store.remove("op", "evacuate/khomas-a")
    received = await client.changes(replica.CONFIGURATION, snapshot.position, 0.0, TRANSFER_S)
    assert [(change.key, change.value) for change in received.changes] == [(key, None)]


def test_configuration_with_odd_values_is_refused_or_can_be_used():
    """Guards against values that are read and fail later, as the configuration is in force."""
    rng = random.Random(1)
    rules = terms.Rules(5.0, 0.1, 20.0)
    body = document(action={**RULE["action"], "allowed_regions": ["luzon"]}, anonymous=True)
    body["clusters"][0] |= {"warmup": "3s", "warmup_per_s": 6.0}
    body["tenants"] = [fleet.workspace("w", "k", rate_per_s=138, burst_size=140)]
    message = requests.Message("GET", "/a/", "letters.example", (), b"")
    usable = 0
    for _ in range(20_000):
        try:
            table = configuration.decode(odd_entries.spoil(rng, body))
        except exceptions.InvalidDocument:
            continue
        usable += 1
        # These raise if regions can't be compared.
        routes.unknown_regions(table, {"luzon"})
        routes.excluded(table, "luzon")
        for workspace in table.workspaces.values():
            assert workspace.rate >= 0
            if workspace.rate:
                derived = terms.derive(workspace.rate, workspace.burst, rules)
                assert all(0 < value < 1e20 for value in derived)
        for route in itertools.chain(*table.by_host.values()):
            service = dispatch.draw_service(route, rng)
            assert service in table.services
            for workspace in (None, *table.workspaces.values()):
                call = requests.call(route, service, "c", "a", message, 0.0, math.inf, workspace)
                call = call._replace(configuration=table.version)
                encoded = requests.encode(call, 0.0)
                assert requests.decode(encoded, "a", message, 0.0) is not None
    assert usable > 1000
