"""Texts beyond ASCII in a fleet of real nodes: names of all kinds, ids and headers of clients."""

import asyncio
import itertools

import pytest

from goldcrestgrade_testing.fleet_platform import fleet

PLACEMENTS = {
    "západ-1": fleet.Placement("západ", "čechy", "katalog-č"),
    "východ-1": fleet.Placement("východ", "čechy", "katalog-č"),
    "ñuble-1": fleet.Placement("ñuble", "Ñuble", "合唱"),
}

WORKSPACES = ("Ensemble Peña", "Chór Łódź", "合唱団", "plain")

CONFIG_APPLY_S = 2.0
"""Time within which a configuration is in force on a node that reaches the store or a peer."""

PROBE_S = 6.0
"""Time in which a node probes the others after a failure, with the longest backoff."""


@pytest.fixture
async def running_fleet():
    async with fleet.running(PLACEMENTS) as started:
        yield started


def key_of(name):
    return "key-" + name.encode().hex()


async def call_all(running_fleet, name):
    """Send a request of a workspace from each node to each service; return the answers."""
    services = sorted({placement.service for placement in PLACEMENTS.values()})
    return [
        (instance, await running_fleet.call(instance, f"/{service}/x", key=key_of(name)))
        for instance, service in itertools.product(running_fleet.instances, services)
        for _ in range(4)
    ]


async def test_endpoints_are_told_the_names_of_workspaces_and_callers_as_they_are(running_fleet):
    """Guards against names that another node encodes twice or refuses."""
    workspaces = [fleet.workspace(name, key_of(name)) for name in WORKSPACES]
    running_fleet.configure(*running_fleet.rules, workspaces=workspaces)
    await running_fleet.wait_keys_required()
    for name in WORKSPACES:
        for instance, answer in await call_all(running_fleet, name):
            assert answer.status == 200
            ran_at = [i.endpoint for i in running_fleet.instances]
            (endpoint,) = [e for e in ran_at if answer.attempt_id in e.workspaces]
            assert endpoint.workspaces[answer.attempt_id] == name
            caller = endpoint.calling_services[answer.attempt_id]
            assert caller == instance.placement.service


async def test_regions_and_withdrawn_keys_hold_under_names_beyond_ascii(running_fleet):
    """Guards against a region or a workspace that the second node does not find."""
    name, other = WORKSPACES[1:3]
    regions = {name: ["čechy"], other: ["Ñuble"]}
    workspaces = [fleet.workspace(w, key_of(w), allowed_regions=regions[w]) for w in (name, other)]
    running_fleet.configure(*running_fleet.rules, workspaces=workspaces)
    await running_fleet.wait_keys_required()
    for workspace, region in regions.items():
        for _, answer in await call_all(running_fleet, workspace):
            ran_in = {
                i.placement.region
                for i in running_fleet.instances
                if answer.attempt_id in i.endpoint.workspaces
            }
            assert ran_in <= set(region) and answer.status == (200 if ran_in else 503)
    running_fleet.configure(*running_fleet.rules, workspaces=workspaces[1:])
    await asyncio.sleep(CONFIG_APPLY_S)
    assert {a.status for _, a in await call_all(running_fleet, name)} == {401}
    assert {a.status for _, a in await call_all(running_fleet, other)} == {200, 503}


async def test_node_with_an_id_beyond_ascii_is_found_again_after_it_was_not_reached(running_fleet):
    """Guards against an answer to a probe that never shows the id of its node."""
    west, _, other = running_fleet.instances
    other.process.kill()
    other.process.wait()
    for _ in range(3):
        assert (await running_fleet.call(west, "/合唱/x")).status != 200
    running_fleet.start_node(other)
    await running_fleet.wait_ready([other])
    await asyncio.sleep(PROBE_S)
    assert (await running_fleet.call(west, "/合唱/x")).status == 200


HEADER_VALUES = {"utf-8": "Peña Łódź".encode(), "tab": b"a\tb"}


@pytest.mark.parametrize("value", HEADER_VALUES.values(), ids=HEADER_VALUES)
async def test_header_and_id_of_a_client_reach_each_endpoint_as_they_were_sent(
    running_fleet, value
):
    """Guards against header values that are encoded once more on each hop."""
    for number, instance in enumerate(running_fleet.instances):
        reader, writer = await asyncio.open_connection(fleet.HOST, instance.ports["calls"])
        attempt_id = f"žádost-{number}".encode()
        writer.write(
            b"GET /%s/x HTTP/1.1\r\nhost: %s\r\nx-attempt-id: %s\r\nx-note: %s\r\n\r\n"
            % (
                b"%E5%90%88%E5%94%B1",
                fleet.ROUTE_HOSTNAME.encode(),
                attempt_id,
                value,
            )
        )
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        writer.close()
        assert b" 200 " in head and b"x-attempt-id: " + attempt_id in head
    notes = [
        request.field("x-note") for request in running_fleet.instances[2].endpoint.raw.requests
    ]
    assert [note for note in notes if note] == [value.decode()] * len(PLACEMENTS)
