"""Probes of instances that are not reached, and the removal of their rows."""

import asyncio

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import directory
from goldcrestgrade_node.mesh.transport import peers
from goldcrestgrade_testing import virtual_time


class Store:
    """A store that records which rows are removed."""

    def __init__(self):
        self.removed = []

    async def transact(self, transaction):
        self.removed += [write.key for write in transaction.writes]
        return tables.Committed(tables.Position(1, 9))


class Reached:
    """A view in which no failure domain is unreachable."""

    unreachable = ()

    def record_response(self, _failure_domain):
        """Ignore the response."""


def play(alive, own_id, tried, seconds, suspected=()):
    """Return the rows that a node removes, given the ids that answer and those it has tried."""
    store = Store()

    async def scenario():
        known = directory.Directory()
        clocks = instants.loop_clocks()
        for number, name in enumerate(("a", "m", "z"), 1):
            place = directory.Location("d", "r")
            row = directory.InstanceRow(name, "10.0.0.1", number, place, "s", True, 1)
            known.by_id[name] = directory.Instance(row, tables.Position(1, number))
        prober = peers.Prober(own_id, known, None, store, clocks, Reached())

        async def is_alive(instance):
            await asyncio.sleep(0.01)
            return instance.row.node_id in alive

        prober._is_alive = is_alive
        for name in tried:
            known.record_unreachable(known.by_id[name], 0.0)
        prober.suspected.update(suspected)
        running = asyncio.create_task(prober.run())
        await asyncio.sleep(seconds)
        running.cancel()

    virtual_time.run(scenario())
    return set(store.removed)


def test_unreachable_instance_is_removed_by_the_node_with_the_lowest_id_only():
    assert play({"a", "m"}, "a", ["z"], 60.0) == {"instance/z", "endpoint/z"}
    assert play({"a", "m"}, "m", ["z"], 60.0) == set()


def test_rows_are_removed_although_nothing_listens_at_the_lowest_id():
    """Guards against rows that all nodes leave to an instance without a node."""
    assert play({"m"}, "m", ["z"], 120.0) == {
        *("instance/a", "endpoint/a"),
        *("instance/z", "endpoint/z"),
    }


def test_instance_that_did_not_answer_is_probed_and_removed_if_nothing_is_there():
    """Guards against the part of a quota that an instance without a node would hold for good."""
    assert play({"a", "m"}, "a", [], 60.0, suspected=["z", "m"]) == {"instance/z", "endpoint/z"}
