from __future__ import annotations

from goldcrestgrade_node.membership import called_services


def test_called_service_is_published_until_its_retention_time_passes():
    known = called_services.CalledServices()
    assert not known.is_due(0.0)
    known.record_request("archive", 1.0)
    assert known.is_due(1.0)
    assert known.publish(1.0) == {"archive"}
    assert not known.is_due(1.0 + called_services.RETENTION_S / 2)
    assert known.is_due(1.0 + called_services.RETENTION_S)
    assert known.publish(1.0 + called_services.RETENTION_S) == frozenset()


def test_changes_are_published_at_most_once_per_interval():
    known = called_services.CalledServices()
    known.record_request("archive", 1.0)
    known.publish(1.0)
    known.record_request("intake", 2.0)
    assert not known.is_due(2.0)
    assert known.is_due(1.0 + called_services.MIN_CHANGE_INTERVAL_S)
