from __future__ import annotations

import orjson
import pytest

from goldcrestgrade import exceptions, settings

VALID = {
    "node_id": "archive-1",
    "region": "khomas",
    "failure_domain": "khomas-a",
    "calls": {"host": "127.0.0.1", "port": 7000},
    "control": {"host": "127.0.0.1", "port": 7001},
    "platform": {"tables": "http://127.0.0.1:6000", "objects": "http://127.0.0.1:6000"},
    "keys": ["0123456789abcdef"],
    "peers": [],
    "drain_timeout_s": 20.0,
}


def faults(changes: dict[str, object]) -> list[str]:
    with pytest.raises(exceptions.InvalidDocument) as caught:
        settings.validate(orjson.dumps({**VALID, **changes}), "node.json")
    return [fault.place for fault in caught.value.faults]


def test_valid_settings_are_returned():
    assert settings.validate(orjson.dumps(VALID), "node.json")["node_id"] == "archive-1"


def test_all_faults_are_reported_together():
    found = faults({"keys": ["short"], "unknown": 1, "calls": {"host": "localhost", "port": 0}})
    assert found == [
        "node.json:calls.host",
        "node.json:calls.port",
        "node.json:keys.0",
        "node.json:unknown",
    ]


def test_calls_and_control_must_differ():
    assert faults({"control": VALID["calls"]}) == ["node.json:control"]
