from __future__ import annotations

from goldcrestgrade_node.membership import called


def test_called_service_is_told_and_forgotten_when_it_is_called_no_more():
    known = called.CalledServices()
    assert not known.is_due(0.0)
    known.note("archive", 1.0)
    assert known.is_due(1.0)
    assert known.tell(1.0) == {"archive"}
    assert not known.is_due(1.0 + called.KEEP_S / 2)
    assert known.is_due(1.0 + called.KEEP_S)
    assert known.tell(1.0 + called.KEEP_S) == frozenset()


def test_changes_are_told_at_intervals():
    known = called.CalledServices()
    known.note("archive", 1.0)
    known.tell(1.0)
    known.note("intake", 2.0)
    assert not known.is_due(2.0)
    assert known.is_due(1.0 + called.CHANGE_INTERVAL_S)
