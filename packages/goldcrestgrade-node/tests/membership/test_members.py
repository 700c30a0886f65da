from __future__ import annotations

import pytest

from goldcrestgrade import instants, records
from goldcrestgrade_node.membership import members

NOW = 1000.0


def make_members(now: float = NOW) -> members.Members:
    return members.Members(instants.Clocks(monotonic=lambda: now, wall=lambda: now))


def make_entry(
    revision: int = 1,
    standing: records.Standing = records.Standing.ALIVE,
    until: float = 0.0,
    incarnation: int = 1,
    state: records.EndpointState = records.EndpointState.READY,
) -> records.Entry:
    first = members.first_record("a", "khomas", "khomas-a", "127.0.0.1", 1, incarnation)
    endpoint = records.EndpointDocument(
        service="archive", host="127.0.0.1", port=2, slots=10, connections=220
    )
    record: records.NodeRecord = {
        **first,
        "revision": revision,
        "state": state,
        "endpoint": endpoint,
    }
    return records.Entry(record=record, standing=standing, until=until)


LOST_STANDING = (records.Standing.LOST, NOW + 100)

LOST = make_entry(5, *LOST_STANDING)


def ready_after(*entries: records.Entry) -> bool:
    known = make_members()
    for entry in entries:
        known.merge([entry])
    return bool(known.ready("archive"))


def test_old_record_does_not_restore_a_lost_node():
    assert not ready_after(LOST, make_entry(4))
    assert not ready_after(LOST, make_entry(5))


def test_lost_node_returns_by_a_higher_revision_or_incarnation():
    assert ready_after(LOST, make_entry(6))
    assert ready_after(LOST, make_entry(1, incarnation=2))


def test_suspected_endpoint_stays_ready_until_the_deadline():
    assert ready_after(make_entry(5), make_entry(5, records.Standing.SUSPECT, NOW + 3))
    assert not ready_after(make_entry(5), make_entry(5, records.Standing.SUSPECT, NOW - 1))


def test_expired_tombstone_is_not_merged():
    known = make_members()
    left = make_entry(2, until=NOW - 1, state=records.EndpointState.LEFT)
    assert not known.merge([left]).applied


@pytest.mark.parametrize(
    "entry",
    [
        make_entry(incarnation=int((NOW + 3600) * 1000)),
        make_entry(2, records.Standing.LOST, NOW + 86400),
        make_entry(2, records.Standing.LOST, 0.0),
        make_entry(2, until=NOW + 1),
    ],
)
def test_implausible_entry_is_ignored(entry: records.Entry):
    assert not make_members().merge([entry]).applied


def test_entry_nodes_of_a_service_follow_the_records():
    known = make_members()
    first, second, lost = make_entry(1), make_entry(2), make_entry(3, *LOST_STANDING)
    first["record"]["calls"] = ["intake", "archive"]
    second["record"]["calls"] = ["intake", "corrections"]
    lost["record"]["calls"] = ["intake", "corrections"]
    known.merge([first])
    assert known.entry_nodes["archive"] == {"a"}
    assert known.merge([second]).changed_services >= {"archive", "corrections"}
    assert (known.entry_nodes["archive"], known.entry_nodes["corrections"]) == (set(), {"a"})
    assert known.merge([lost]).changed_services >= {"intake", "corrections"}
    assert not any(known.entry_nodes.values())


def test_number_of_members_is_bounded(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(members, "MAX_MEMBERS", 2)
    known = make_members()
    entries = [make_entry() for _ in range(3)]
    for number, entry in enumerate(entries):
        entry["record"]["node_id"] = f"node-{number}"
    assert len(known.merge(entries).applied) == 2


def test_digests_do_not_depend_on_the_order_of_arrival():
    one, other = make_members(), make_members()
    one.merge([make_entry(1)])
    one.merge([make_entry(7)])
    other.merge([make_entry(7)])
    other.merge([make_entry(1)])
    assert one.digests.root() == other.digests.root() != make_members().digests.root()


def test_endpoints_of_a_silent_region_are_kept_but_not_ready():
    known = make_members()
    known.merge([make_entry()])
    assert known.set_silent_regions(frozenset({"khomas"})) == {"archive"}
    assert not known.ready("archive")
    known.set_silent_regions(frozenset())
    assert known.ready("archive")
