"""Evacuations: order of their rows, eras of the store, and refusals."""

import asyncio
import itertools
import types

import pytest

from goldcrestgrade import counters, instants, reasons, telemetry
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import node as mesh_node
from goldcrestgrade_node.mesh.endpoint import admission, decision, local
from goldcrestgrade_node.mesh.entry import evacuation_ramp
from goldcrestgrade_node.mesh.state import evacuations, replica, watch

KEY = evacuations.KEY_PREFIX + "khomas-a"


class Node:
    """The replica of a node and its evacuations."""

    def __init__(self):
        self.now = 0.0
        self.counts = counters.Counts()
        clocks = instants.Clocks(lambda: self.now, lambda: self.now)
        self.evacuations = evacuations.Evacuations(clocks, self.counts)
        self.replica = replica.Replica(self.apply, clocks)
        self.snapshot(0)

    def apply(self, change):
        if change.key.startswith(evacuations.KEY_PREFIX):
            self.evacuations.apply_change(change)
        return True

    def snapshot(self, version, *rows, era=1):
        received = tables.Changes(rows, tables.Position(era, version))
        self.replica.apply_snapshot(replica.CONFIGURATION, received)
        return self.is_evacuated()

    def receive(self, *rows):
        received = tables.Changes(rows, max(row.position for row in rows))
        self.replica.apply_changes(replica.CONFIGURATION, received)
        return self.is_evacuated()

    def follow(self, source):
        """Apply what `source` answers to a poll of this node, as `watch` encodes it."""
        position = self.replica.positions[replica.CONFIGURATION]
        answer = source.replica.changes_since(replica.CONFIGURATION, position)
        received = watch.decode(replica.CONFIGURATION, watch.encode(answer))
        if received.position.era > position.era:
            self.replica.apply_snapshot(replica.CONFIGURATION, received)
        else:
            self.replica.apply_changes(replica.CONFIGURATION, received)
        return self.is_evacuated()

    def is_evacuated(self):
        return "khomas-a" in self.evacuations.domains


def row(version, present=True, era=1):
    position = tables.Position(era, version)
    return tables.Change(replica.CONFIGURATION, KEY, position, {} if present else None)


def removed(version, era=1):
    return row(version, present=False, era=era)


@pytest.fixture
async def node():
    return Node()


async def test_older_state_never_replaces_a_newer_one(node):
    """Guards against rows ordered as configurations are, by a version that they do not have."""
    assert node.receive(row(5))
    assert not node.receive(removed(9))
    assert not node.receive(row(5))
    assert not node.snapshot(7, row(5))
    assert node.receive(row(12))
    assert node.receive(removed(9))


async def test_removal_reaches_a_chain_of_followers_among_many_other_removals(node):
    """Guards against an evicted tombstone, without which a follower would stay evacuated."""
    followers = [Node(), Node()]
    node.receive(row(5))
    assert all([followers[0].follow(node), followers[1].follow(followers[0])])
    node.receive(removed(6))
    for number in range(replica.MAX_TOMBSTONES + 1):
        position = tables.Position(0, number + 7)
        change = tables.Change(replica.MESH, str(number), position, None)
        node.replica.apply_changes(replica.MESH, tables.Changes((change,), position))
    assert not any([followers[0].follow(node), followers[1].follow(followers[0])])


async def test_snapshot_after_lost_history_ends_an_evacuation_also_at_followers(node):
    """Guards against a removal that is only visible as a row missing from the snapshot."""
    follower = Node()
    node.receive(row(5))
    assert follower.follow(node)
    assert not node.snapshot(20)
    assert not follower.follow(node)


async def test_lost_row_stays_and_is_known_to_a_node_that_starts_later(node):
    """Guards against requests to a domain whose evacuation was acknowledged and then lost."""
    node.receive(row(50))
    assert node.snapshot(10, era=2)
    node.replica.drop_lost_rows()
    assert node.is_evacuated()
    started = Node()
    started.snapshot(10, era=2)
    assert started.follow(node)
    assert Node().follow(node)
    # The operator ends it by writing the row and removing it.
    assert node.receive(row(11, era=2))
    assert not node.receive(removed(12, era=2))
    assert not started.follow(node)


@pytest.mark.parametrize("latest", [row(11, era=2), removed(11, era=2)])
async def test_operators_latest_word_in_the_new_era_holds_whatever_the_version(node, latest):
    """Guards against versions compared across eras: lower ones of the new era are later."""
    source = Node()
    source.snapshot(10, era=2)
    source.receive(row(11, era=2))
    if latest.value is None:
        source.receive(removed(12, era=2))
    node.receive(row(50))
    if latest.value is not None:
        node.receive(removed(51))
    assert node.follow(source) == (latest.value is not None)


async def test_removed_row_that_the_copy_brings_back_stays_removed_until_it_is_written_again(node):
    """Guards against an evacuation that goes back to an older state in the life of a node."""
    node.receive(row(5))
    node.receive(removed(50))
    assert not node.snapshot(10, row(5, era=2), era=2)
    assert not Node().follow(node)
    unaware = Node()
    unaware.receive(row(5))
    assert not unaware.follow(node)
    assert not node.snapshot(11, row(5, era=2), era=2)
    assert node.snapshot(12, row(12, era=2), era=2)


async def test_lost_removal_is_kept_against_a_peer_that_missed_it(node):
    """Guards against a dropped tombstone: a peer that missed the removal would bring it back."""
    node.receive(row(40))
    node.receive(removed(50))
    lagging = Node()
    lagging.receive(row(40))
    assert not node.snapshot(10, era=2)
    assert lagging.snapshot(10, era=2)
    assert not node.follow(lagging)


async def test_row_that_was_unknown_before_the_copy_came_back_evacuates(node):
    """Guards against a row ignored because its version is below that of a lost removal."""
    node.receive(row(40))
    node.receive(removed(50))
    assert node.snapshot(14, row(13, era=2), era=2)


async def test_starts_and_ends_are_counted_and_evacuated_domains_are_listed(node):
    node.receive(row(5))
    node.receive(row(6))
    registry = telemetry.register(node.counts)
    gauge = b'goldcrestgrade_evacuated{failure_domain="khomas-a"} '
    assert gauge + b"1.0" in registry.scrape()
    node.receive(removed(7))
    assert gauge + b"0.0" in registry.scrape()
    events = node.counts.events
    assert events[reasons.Event.EVACUATION_STARTED] == 1
    assert events[reasons.Event.EVACUATION_ENDED] == 1


def test_share_after_the_end_rises_without_a_step():
    shares = [evacuation_ramp.share(tenth / 10) for tenth in range(70)]
    assert shares[0] == evacuation_ramp.INITIAL_SHARE
    assert shares[-1] == 1.0
    steps = [later - earlier for earlier, later in itertools.pairwise(shares)]
    assert min(steps) >= 0.0
    assert max(steps) <= 0.03


async def test_endpoints_node_hands_queued_requests_back_at_once_and_refuses_new_ones(node):
    """Guards against requests that wait in a queue and reach the endpoint after the bound."""
    controller = admission.AdmissionController(instants.loop_clocks())
    controller.set_slots(1)
    now = asyncio.get_running_loop().time()
    request = decision.Request("s r", 1, now + 0.4, now + 1.0, True)
    assert await controller.admit(request) is None
    queued = asyncio.create_task(controller.admit(request))
    await asyncio.sleep(0)
    stub = types.SimpleNamespace(
        config=types.SimpleNamespace(failure_domain="khomas-a", warm_up_slack=0.0),
        table=None,
        controller=controller,
        evacuations=node.evacuations,
        quarantine=types.SimpleNamespace(crashes={}),
        handing_over=asyncio.Event(),
        is_region_allowed=lambda _: True,
        withdrawals=types.SimpleNamespace(concerns=lambda *_: False),
        clocks=node.evacuations.clocks,
    )
    forwarded = types.SimpleNamespace(workspace="", configuration=0)
    node.evacuations.on_started = lambda domain: mesh_node.MeshNode.on_evacuation_started(
        stub, domain
    )
    assert mesh_node.MeshNode.refusal_for(stub, forwarded) is None
    node.receive(row(5))
    assert (await queued).reason == reasons.Refusal.EVACUATED
    refused = mesh_node.MeshNode.refusal_for(stub, forwarded)
    assert refused == local.Refused(reasons.Refusal.EVACUATED, mesh_node.EVACUATED_RETRY_S)
    # The request at the endpoint completes.
    assert controller.in_flight == 1
