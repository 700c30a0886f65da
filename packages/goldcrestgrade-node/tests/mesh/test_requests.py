"""Requests as nodes pass them on."""

import orjson
import pytest

from goldcrestgrade_node.mesh.transport import requests, signals

MESSAGE = requests.Message("POST", "/a/1?b=2", "letters.example", (("a", "b"),), b"body")

CALL = requests.Call(
    attempt_id="try-1",
    route="r",
    service="archive",
    run_once=True,
    priority=1,
    caller="intake",
    method=MESSAGE.method,
    target=MESSAGE.target,
    host=MESSAGE.host,
    headers=MESSAGE.headers,
    body=MESSAGE.body,
    target_at=100.4,
    deadline=101.0,
)


@pytest.mark.parametrize(
    "report",
    [
        None,
        signals.Report("e1", signals.Signals(7.8, False)),
        signals.Report("e1", signals.Signals(None, True)),
    ],
)
def test_call_survives_encoding_and_decoding(report):
    call = CALL._replace(report=report)
    text = requests.encode(call, 100.0)
    assert requests.decode(text, "try-1", MESSAGE, 100.0) == call


def test_workspace_and_allowed_regions_are_relayed_even_if_no_region_is_left():
    call = CALL._replace(workspace="w", allowed_regions=frozenset(), large_body=True)
    text = requests.encode(call, 100.0)
    assert requests.decode(text, "try-1", MESSAGE, 100.0) == call


def test_texts_beyond_ascii_survive_the_header_of_this_and_of_earlier_builds():
    """Guards against names that are encoded twice between nodes."""
    call = CALL._replace(
        route="přehled",
        service="katalog-č",
        caller="Půjčovna",
        workspace="Chór Łódź 合唱",
        allowed_regions=frozenset({"čechy", "Ñuble"}),
        report=signals.Report("i-č", signals.Signals(7.8, True)),
    )
    text = requests.encode(call, 100.0)
    # Earlier builds decode the header as Latin-1, and write it as UTF-8.
    assert requests.decode(text.encode().decode("latin-1"), "try-1", MESSAGE, 100.0) == call
    earlier = orjson.dumps(orjson.loads(text))
    assert requests.decode(earlier, "try-1", MESSAGE, 100.0) == call


def test_request_from_another_region_may_be_forwarded_only_if_its_sender_says_so():
    """Guards against forwarding for a node of an earlier build, which does not expect it."""
    call = CALL._replace(forward_allowed=True)
    assert requests.decode(requests.encode(call, 100.0), "try-1", MESSAGE, 100.0) == call
    assert "forward" not in requests.encode(CALL, 100.0)


def test_report_that_says_nothing_is_not_passed_on():
    silent = CALL._replace(report=signals.Report("e1", signals.NONE))
    assert requests.encode(silent, 100.0) == requests.encode(CALL, 100.0)


@pytest.mark.parametrize("text", ["", "7", "[]", "{}", '{"report": {}}'])
def test_malformed_relay_header_is_no_call(text):
    assert requests.decode(text, "try-1", MESSAGE, 100.0) is None


RELAYED = {
    "route": "r",
    "service": "s",
    "once": True,
    "rank": 1,
    "caller": "c",
    "target_ms": 400,
    "left_ms": 900,
    "late": False,
}


@pytest.mark.parametrize(
    "change",
    [
        {"caller": 7},
        {"caller": None},
        {"route": []},
        {"service": {}},
        {"once": 1},
        {"rank": "1"},
        {"target_ms": "400"},
        {"left_ms": None},
        {"caller": "a\nb"},
        {"workspace": "\0"},
        {"workspace": 5},
        {"regions": "khomas"},
        {"configuration": "9"},
        {"report": []},
        {"report": {"endpoint": 5, "rate": None, "leaving": True}},
        {"report": {"endpoint": "e", "rate": "fast", "leaving": True}},
        {"report": {"endpoint": "e", "rate": -1, "leaving": True}},
        {"report": {"endpoint": "e", "rate": None, "leaving": "yes"}},
    ],
    ids=str,
)
def test_relay_header_with_a_field_of_another_type_is_no_call(change):
    """Guards against requests that fail on their way to the endpoint, after they were admitted."""
    assert requests.decode(orjson.dumps(RELAYED).decode(), "try-1", MESSAGE, 0.0) is not None
    text = orjson.dumps({**RELAYED, **change}).decode()
    assert requests.decode(text, "try-1", MESSAGE, 0.0) is None
