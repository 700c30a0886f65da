"""Settings of a node of the mesh, and their reload."""

import orjson
import pytest

from goldcrestgrade import exceptions
from goldcrestgrade_node.mesh import reload, settings

ADDRESSES = ("endpoint", "calls", "relay", "readiness", "heartbeats", "metrics", "store")

VALID = {
    "node_id": "n",
    "host": "10.0.0.1",
    "region": "r",
    "failure_domain": "d",
    "service": "s",
    **dict.fromkeys(
        ("endpoint", "calls", "relay", "readiness", "heartbeats", "metrics", "store"), "10.0.0.1:80"
    ),
}


def test_missing_settings_get_their_defaults():
    loaded = settings.validate(orjson.dumps({**VALID, "grace_s": None, "new": 1}), "x.json")
    assert loaded.grace_s == 6.0 and loaded.resend_ratio == 0.2


def test_every_fault_is_reported_with_its_place():
    body = orjson.dumps(
        {**VALID, "calls": "10.0.0.1", "grace_s": 2, "resend_slack": True, "node_id": ""}
    )
    with pytest.raises(exceptions.InvalidDocument) as raised:
        settings.validate(body, "x.json")
    assert {fault.place for fault in raised.value.faults} == {
        "x.json:calls",
        "x.json:grace_s",
        "x.json:resend_slack",
        "x.json:node_id",
    }


@pytest.mark.parametrize("body", [b"", b"[]", b"{"])
def test_file_that_is_not_a_json_object_is_refused(body):
    with pytest.raises(exceptions.InvalidDocument):
        settings.validate(body, "x.json")


def test_incomplete_file_is_read_again_until_it_is_complete(tmp_path, monkeypatch):
    path = tmp_path / "x.json"
    whole = orjson.dumps(VALID)
    path.write_bytes(whole[:-9])
    monkeypatch.setattr(settings.time, "sleep", lambda _: path.write_bytes(whole))
    assert settings.load_when_complete(path).node_id == "n"


def test_file_that_stays_invalid_is_refused(tmp_path):
    path = tmp_path / "x.json"
    path.write_bytes(b"{}")
    with pytest.raises(exceptions.InvalidDocument):
        settings.load_when_complete(path)


def test_changed_file_is_applied_once_and_an_invalid_one_never(tmp_path):
    path = tmp_path / "x.json"
    path.write_bytes(orjson.dumps(VALID))
    applied = []
    reloader = reload.SettingsReloader(path, settings.load(path), applied.append)
    reloader.reload_if_changed()
    assert applied == []
    path.write_bytes(b"{}")
    reloader.reload_if_changed()
    assert applied == []
    path.write_bytes(orjson.dumps({**VALID, "grace_s": "9s"}))
    reloader.reload_if_changed()
    reloader.reload_if_changed()
    assert [loaded.grace_s for loaded in applied] == [9.0]
