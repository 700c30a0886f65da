"""Malformed control messages get a specific 4xx status, change no state and cause no traceback."""

from __future__ import annotations

import random
import typing

import falcon.testing
import hypothesis
import orjson
import pytest
from hypothesis import strategies

from goldcrestgrade import counters, headers, instants
from goldcrestgrade_node.control import app, routes
from goldcrestgrade_node.endpoint import lifecycle
from goldcrestgrade_node.membership import exchange, members, peers

KEY = "0123456789abcdef"
NOW = 1000.0

JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=5,
)

ENDPOINT = {"service": "archive", "host": "127.0.0.1", "port": 1, "slots": 1, "connections": 1}
RECORD = {
    "node_id": "a",
    "incarnation": 1,
    "revision": 1,
    "region": "khomas",
    "failure_domain": "khomas-a",
    "control_host": "127.0.0.1",
    "control_port": 1,
    "state": "ready",
    "endpoint": ENDPOINT,
    "sheet_version": 0,
    "expires_at": 0.0,
}
NOTICE = {"kind": "quarantine", "key": "k", "order": 1, "text": "t", "until": NOW + 10}
VALID: dict[str, typing.Any] = {
    "/v1/endpoint": {**ENDPOINT, "in_flight": 0},
    "/v1/exchange": {
        "node_id": "b",
        "region": "khomas",
        "sheet_version": 0,
        "digest": 0,
        "heard": {"oshana": 1.0},
        "entries": [{"record": RECORD, "standing": 0, "until": 0.0}],
        "notices": [NOTICE],
        "settle": True,
    },
    "/v1/reconcile": {"buckets": [0], "summaries": [["a", 1, 1, 0]], "notices": [NOTICE]},
    "/v1/probe": {"node_id": "a"},
}

BOUNDED = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)


class NoPeers:
    """Peers that do not answer."""

    async def post(self, url: str, path: str, body: bytes) -> bytes:
        raise peers.PeerError("down")

    async def fetch_sheet(self, url: str) -> peers.SheetCopy:
        raise peers.PeerError("down")


class Target:
    """The control address of a node without known peers."""

    def __init__(self) -> None:
        clocks = instants.Clocks(monotonic=lambda: NOW, wall=lambda: NOW)
        first = members.first_record("own", "khomas", "khomas-a", "127.0.0.1", 1, 1)
        own = members.OwnRecord(first, clocks)
        self.lifecycle = lifecycle.Lifecycle(clocks, lambda: None)
        self.exchange = exchange.Exchange(
            own,
            members.Members(clocks),
            NoPeers(),
            exchange.Hooks(lambda _: None, lambda: 0, lambda _version, _url: None, lambda: False),
            clocks,
            counters.Counts(),
            random.Random(1),
        )
        self.client = falcon.testing.TestClient(
            app.create(
                [KEY],
                {
                    "/v1/endpoint": routes.endpoint_resource(self.lifecycle),
                    "/v1/exchange": routes.exchange_resource(self.exchange),
                    "/v1/reconcile": routes.reconcile_resource(self.exchange),
                    "/v1/probe": routes.probe_resource(self.exchange),
                },
            )
        )

    def post(self, path: str, body: bytes, key: str = KEY) -> falcon.testing.Result:
        return self.client.simulate_post(path, body=body, headers={headers.CONTROL_KEY: key})

    def state(self) -> tuple[typing.Any, ...]:
        known = self.exchange.known
        contacts = dict(self.exchange.contacts.last_contact_at)
        gossip_state = (known.digests.root(), self.exchange.notices.digest, contacts)
        return (
            *gossip_state,
            self.lifecycle.state,
            self.lifecycle.endpoint,
            self.lifecycle.in_flight,
        )


def value_paths(document: typing.Any, prefix: tuple[typing.Any, ...] = ()) -> list[tuple]:
    """Return the path of every value within a document."""
    items = (
        document.items()
        if isinstance(document, dict)
        else enumerate(document)
        if isinstance(document, list)
        else ()
    )
    inner = [
        value_path for key, value in items for value_path in value_paths(value, (*prefix, key))
    ]
    return [prefix, *inner]


def replaced(
    document: typing.Any, value_path: tuple[typing.Any, ...], value: typing.Any
) -> typing.Any:
    """Return a document with one value replaced."""
    if not value_path:
        return value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[value_path[0]] = replaced(document[value_path[0]], value_path[1:], value)
    return copy


def encode(document: typing.Any) -> bytes:
    try:
        return orjson.dumps(document)
    except TypeError:
        return repr(document).encode("utf-8", "surrogatepass")


@pytest.mark.parametrize("path", VALID)
def test_valid_message_is_accepted(path: str):
    assert Target().post(path, orjson.dumps(VALID[path])).status_code in (200, 204)


@pytest.mark.parametrize("path", VALID)
@BOUNDED
@hypothesis.given(data=strategies.data())
def test_message_with_one_replaced_value_is_accepted_or_changes_nothing(path: str, data):
    target = Target()
    value_path = data.draw(strategies.sampled_from(value_paths(VALID[path])))
    document = replaced(VALID[path], value_path, data.draw(JSON_VALUES))
    before = target.state()
    status = target.post(path, encode(document)).status_code
    assert status in (200, 204, 400)
    assert status != 400 or target.state() == before


@pytest.mark.parametrize(
    ("path", "value_path", "value"),
    [
        ("/v1/endpoint", ("port",), 0),
        ("/v1/endpoint", ("slots",), -1),
        ("/v1/endpoint", ("in_flight",), -1),
        ("/v1/endpoint", ("service",), "s" * 65),
        ("/v1/exchange", ("entries",), 513 * VALID["/v1/exchange"]["entries"]),
        ("/v1/exchange", ("notices",), 65 * [NOTICE]),
        ("/v1/exchange", ("notices", 0, "text"), "t" * 1025),
        ("/v1/exchange", ("entries", 0, "until"), -1.0),
        ("/v1/exchange", ("entries", 0, "record", "incarnation"), 1 << 53),
        ("/v1/exchange", ("heard",), {f"region-{n}": 0.0 for n in range(65)}),
        ("/v1/reconcile", ("buckets",), [64]),
        ("/v1/reconcile", ("summaries",), 513 * [["a", 1, 1, 0]]),
    ],
)
def test_value_out_of_bounds_is_refused(path: str, value_path: tuple, value: typing.Any):
    target = Target()
    before = target.state()
    assert target.post(path, encode(replaced(VALID[path], value_path, value))).status_code == 400
    assert target.state() == before


@pytest.mark.parametrize("path", VALID)
@BOUNDED
@hypothesis.given(body=strategies.binary(max_size=200))
def test_malformed_body_is_refused(path: str, body: bytes):
    target = Target()
    before = target.state()
    assert target.post(path, body).status_code == 400
    assert target.state() == before


@pytest.mark.parametrize("path", VALID)
def test_too_large_body_is_refused(path: str):
    target = Target()
    before = target.state()
    assert target.post(path, b" " * ((1 << 20) + 1)).status_code == 413
    assert target.state() == before


@pytest.mark.parametrize("path", VALID)
def test_message_without_the_shared_key_is_refused(path: str):
    target = Target()
    before = target.state()
    assert target.post(path, orjson.dumps(VALID[path]), key="wrong").status_code == 401
    assert target.state() == before
