"""Quarantine of requests that crash endpoints."""

import pytest

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import quarantine, replica


def row(digest, endpoint, expires_at=100.0):
    key = f"{quarantine.KEY_PREFIX}{digest}/{endpoint}"
    return tables.Change(replica.MESH, key, tables.Position(1, 1), {"until": expires_at})


async def test_request_is_quarantined_after_crashes_of_three_endpoints_reported_by_any_node():
    known_crashes = quarantine.Quarantine(None, instants.Clocks(lambda: 0.0, lambda: 0.0))
    for endpoint in ("a", "b"):
        known_crashes.apply_change(row("d", endpoint))
    assert not known_crashes.is_quarantined("d")
    known_crashes.record_crash("d", "c")
    assert known_crashes.is_quarantined("d")
    assert not known_crashes.is_quarantined("other")


async def test_crash_counts_once_however_often_it_is_reported():
    known_crashes = quarantine.Quarantine(None, instants.Clocks(lambda: 0.0, lambda: 0.0))
    for _ in range(5):
        known_crashes.apply_change(row("d", "a"))
    assert not known_crashes.is_quarantined("d")


async def test_answered_request_is_not_quarantined_and_crashes_expire():
    now = [0.0]
    known_crashes = quarantine.Quarantine(None, instants.Clocks(lambda: 0.0, lambda: now[0]))
    for endpoint in "abc":
        known_crashes.apply_change(row("d", endpoint))
        known_crashes.apply_change(row("e", endpoint))
    known_crashes.record_answer("d")
    assert not known_crashes.is_quarantined("d")
    assert known_crashes.is_quarantined("e")
    now[0] = 100.0
    assert not known_crashes.is_quarantined("e")


@pytest.mark.parametrize("expires_at", ["soon", None, True, [], 1_000.0, 10**18, 2**64 - 1, 1e308])
async def test_malformed_crash_row_is_ignored(expires_at):
    """Guards against rows by which a request would be refused for good."""
    known_crashes = quarantine.Quarantine(None, instants.Clocks(lambda: 0.0, lambda: 0.0))
    known_crashes.apply_change(row("d", "a", expires_at=expires_at))
    assert not known_crashes.crashes
