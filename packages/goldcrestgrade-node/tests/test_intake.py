"""Decisions on which connections are closed when all of them hold too much."""

import asyncio

from goldcrestgrade import counters, reasons
from goldcrestgrade_node import intake


def holding(held_bytes=0, state=intake.State.IDLE, server=1, since=0.0):
    return intake.Holding(server, held_bytes, state, since)


def test_largest_connections_are_closed_until_enough_memory_is_free():
    """Load: clients that hold partial heads beside ordinary ones that hold little."""
    held = [holding(size * 1000, intake.State.INCOMPLETE) for size in (5, 60, 1, 50, 40)]
    assert intake.to_free_memory(held, 100_000) == [1, 3]
    assert intake.to_free_memory(held, 10_000_000) == [1, 3, 4, 0]


def test_requests_that_were_read_completely_are_not_given_up_for_memory():
    held = [holding(90_000, intake.State.BUSY), holding(10_000, intake.State.UNREAD)]
    assert intake.to_free_memory(held, 1_000_000) == [1]


def test_connections_are_freed_at_the_address_that_has_most_of_them():
    """Load: one client opens connections to the metrics address, others to that for clients."""
    held = [holding(server=1, since=number) for number in range(20)]
    held += [holding(server=2, since=number) for number in range(60)]
    assert intake.to_free_connections(held) == [20, 21, 22]


def test_partial_requests_are_closed_before_idle_connections_and_those_before_unread_answers():
    """Load: heads that come byte by byte beside clients that keep connections for later."""
    states = [intake.State.UNREAD, intake.State.IDLE, intake.State.BUSY, intake.State.INCOMPLETE]
    held = [holding(state=state, since=9.0 - state) for state in states]
    assert intake.to_free_connections(held) == [3]
    assert intake.to_free_connections(held[:3]) == [1]
    assert intake.to_free_connections(held[:1]) == [0]
    assert intake.to_free_connections([held[2]]) == []


class Connection:
    def __init__(self, bounds, state=intake.State.IDLE, held_bytes=0):
        self.bounds, self.state, self.held_bytes = bounds, state, held_bytes
        self.reasons = []

    def holding(self):
        return holding(self.held_bytes, self.state)

    def give_up(self, reason, at_once):
        self.reasons.append(reason)
        self.bounds.record_change(-self.held_bytes)
        self.held_bytes = 0

    def check_progress(self, _now):
        return False


def limited(**changes):
    return intake.Intake(intake.limits()._replace(**changes), counters.Counts())


def test_connections_that_hold_too_much_are_closed_once_the_sum_exceeds_the_limit():
    bounds = limited(memory_bytes=100_000)
    held = [Connection(bounds, intake.State.INCOMPLETE) for _ in range(3)]
    for size, connection in zip((10_000, 50_000, 60_000), held, strict=True):
        bounds.add(connection)
        connection.held_bytes = size
        bounds.record_change(size)
    assert [one.reasons for one in held] == [[], [], [reasons.Event.CONNECTION_MEMORY_FULL]]
    assert bounds.held_bytes == 60_000


def test_new_connection_is_closed_if_all_others_are_busy():
    bounds = limited(connections=2)
    busy = [Connection(bounds, intake.State.BUSY) for _ in range(2)]
    new = Connection(bounds)
    for connection in (*busy, new):
        bounds.add(connection)
    assert new.reasons == [reasons.Event.CONNECTIONS_FULL]
    assert not any(connection.reasons for connection in busy)


async def test_connections_are_checked_until_none_has_to_be(monkeypatch):
    monkeypatch.setattr(intake, "SWEEP_INTERVAL_S", 0.01)
    bounds = limited()
    bounds.watch(Connection(bounds))
    assert bounds.sweep_timer is not None
    await asyncio.sleep(0.05)
    assert not bounds.watched and bounds.sweep_timer is None


def test_request_with_the_oldest_incomplete_body_is_given_up_at_its_address():
    """Guards against clients that send bodies byte by byte and take the places of all requests."""
    bounds = limited()
    busy, older, newer = (
        Connection(bounds, state)
        for state in (intake.State.BUSY, intake.State.INCOMPLETE, intake.State.INCOMPLETE)
    )
    for began_at, connection in enumerate((busy, older, newer)):
        bounds.begin_body(connection, 1, float(began_at))
    assert not bounds.free_request(2, 9.0)
    assert not bounds.free_request(1, 0.4)
    assert bounds.free_request(1, 1.6) and not bounds.free_request(1, 1.6)
    assert not busy.reasons and not newer.reasons
    assert older.reasons == [reasons.Event.REQUEST_TOO_SLOW]
    bounds.end_body(newer, 1)
    assert not bounds.free_request(1, 9.0)
