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
    places = faults({"keys": ["short"], "unknown": 1, "calls": {"host": "localhost", "port": 0}})
    assert places == [
        "node.json:calls.host",
        "node.json:calls.port",
        "node.json:keys.0",
        "node.json:unknown",
    ]


def test_calls_and_control_must_differ():
    assert faults({"control": VALID["calls"]}) == ["node.json:control"]


@pytest.mark.parametrize(
    ("changes", "place"),
    [
        ({"calls": {"host": "0.0.0.0", "port": 7001}}, "control"),
        ({"peers": [VALID["calls"]]}, "peers.0"),
        ({"peers": [{"host": "10.0.0.2", "port": 7001}]}, "peers.0"),
        ({"control": {"host": "10.0.0.1", "port": 7001}, "peers": [VALID["control"]]}, "peers.0"),
        ({"peers": [{"host": "127.0.0.1", "port": 7009}] * 2}, "peers.1"),
        ({"control": {"host": "0.0.0.0", "port": 7001}}, "control.host"),
        ({"control": {"host": "::1", "port": 7001}}, "control.host"),
        ({"calls": {"host": "224.0.0.1", "port": 7000}}, "calls.host"),
        ({"platform": {**VALID["platform"], "tables": "http://127.0.0.1:7000"}}, "platform.tables"),
        ({"platform": {**VALID["platform"], "objects": "http://store:80"}}, "platform.objects"),
        ({"keys": ["0123456789abcdef"] * 2}, "keys"),
        ({"keys": ["0123456789 abcdef"]}, "keys.0"),
        ({"drain_timeout_s": 1.0}, "drain_timeout_s"),
        ({"drain_timeout_s": "20"}, "drain_timeout_s"),
    ],
)
def test_fault_is_found_at_its_place(changes, place):
    assert faults(changes) == [f"node.json:{place}"]


def test_rules_apply_to_the_valid_parts_of_an_invalid_file():
    places = faults({"control": VALID["calls"], "drain_timeout_s": 0, "node_id": None})
    assert places == ["node.json:node_id", "node.json:drain_timeout_s", "node.json:control"]


def test_key_given_twice_in_the_file_is_found():
    body = orjson.dumps(VALID).replace(b'"region"', b'"region":"khomas","region"')
    with pytest.raises(exceptions.InvalidDocument, match="region: is given twice"):
        settings.validate(body, "node.json")


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"\xff", b"[" * 100_000, b"null"])
def test_file_that_is_no_settings_document_is_a_finding(body):
    with pytest.raises(exceptions.InvalidDocument):
        settings.validate(body, "node.json")
