"""Requests that crash endpoints."""

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import replica, suspects


def row(digest, endpoint, until=100.0):
    key = f"{suspects.PREFIX}{digest}/{endpoint}"
    return tables.Change(replica.MESH, key, 1, {"until": until})


async def test_request_is_refused_after_it_ended_several_endpoints_of_any_nodes():
    known = suspects.Suspects(None, instants.Clocks(lambda: 0.0, lambda: 0.0))
    for endpoint in ("a", "b"):
        known.take(row("d", endpoint))
    assert not known.forbidden("d")
    known.crash("d", "c")
    assert known.forbidden("d")
    assert not known.forbidden("other")


async def test_same_crash_counts_once_however_often_it_is_told():
    known = suspects.Suspects(None, instants.Clocks(lambda: 0.0, lambda: 0.0))
    for _ in range(5):
        known.take(row("d", "a"))
    assert not known.forbidden("d")


async def test_answered_request_is_no_suspect_and_crashes_lapse():
    now = [0.0]
    known = suspects.Suspects(None, instants.Clocks(lambda: 0.0, lambda: now[0]))
    for endpoint in "abc":
        known.take(row("d", endpoint))
        known.take(row("e", endpoint))
    known.answer("d")
    assert not known.forbidden("d")
    assert known.forbidden("e")
    now[0] = 100.0
    assert not known.forbidden("e")


async def test_unreadable_row_of_a_suspect_is_ignored():
    known = suspects.Suspects(None, instants.Clocks(lambda: 0.0, lambda: 0.0))
    known.take(row("d", "a", until="soon"))
    assert not known.crashes
