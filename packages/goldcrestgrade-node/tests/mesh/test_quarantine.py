"""Quarantine of requests that crash endpoints."""

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import quarantine, replica


def row(digest, endpoint, expires_at=100.0):
    key = f"{quarantine.KEY_PREFIX}{digest}/{endpoint}"
    return tables.Change(replica.MESH, key, 1, {"until": expires_at})


async def test_request_is_quarantined_after_crashes_of_three_endpoints_reported_by_any_node():
    crash_records = quarantine.Quarantine(None, instants.Clocks(lambda: 0.0, lambda: 0.0))
    for endpoint in ("a", "b"):
        crash_records.apply_change(row("d", endpoint))
    assert not crash_records.is_quarantined("d")
    crash_records.record_crash("d", "c")
    assert crash_records.is_quarantined("d")
    assert not crash_records.is_quarantined("other")


async def test_crash_counts_once_however_often_it_is_reported():
    crash_records = quarantine.Quarantine(None, instants.Clocks(lambda: 0.0, lambda: 0.0))
    for _ in range(5):
        crash_records.apply_change(row("d", "a"))
    assert not crash_records.is_quarantined("d")


async def test_answered_request_is_not_quarantined_and_crashes_expire():
    now = [0.0]
    crash_records = quarantine.Quarantine(None, instants.Clocks(lambda: 0.0, lambda: now[0]))
    for endpoint in "abc":
        crash_records.apply_change(row("d", endpoint))
        crash_records.apply_change(row("e", endpoint))
    crash_records.record_answer("d")
    assert not crash_records.is_quarantined("d")
    assert crash_records.is_quarantined("e")
    now[0] = 100.0
    assert not crash_records.is_quarantined("e")


async def test_unreadable_crash_row_is_ignored():
    crash_records = quarantine.Quarantine(None, instants.Clocks(lambda: 0.0, lambda: 0.0))
    crash_records.apply_change(row("d", "a", expires_at="soon"))
    assert not crash_records.crashes
