"""Listening sockets that are opened before a node's modules are imported."""

import json
import socket

import pytest

from goldcrestgrade_node import early_listener


def test_listener_takes_connections_at_the_address_of_a_setting(tmp_path):
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    path = tmp_path / "settings"
    path.write_text(json.dumps({"heartbeats": address, "calls": "127.0.0.1:1"}))
    listeners = early_listener.open_listeners(path, ["heartbeats"])
    assert list(listeners) == [address]
    with listeners[address] as listening:
        socket.create_connection(listening.getsockname(), timeout=1.0).close()


@pytest.mark.parametrize(
    "settings",
    [None, "{", "[]", "{}", '{"heartbeats": null}', '{"heartbeats": "127.0.0.1:99999"}'],
)
def test_start_goes_on_without_a_listener_if_the_settings_cannot_be_used(settings, tmp_path):
    """Guards against an error of its own before the node reports the faults of its settings."""
    path = tmp_path / "settings"
    if settings is not None:
        path.write_text(settings)
    assert early_listener.open_listeners(path, ["heartbeats"]) == {}


def test_start_goes_on_without_a_listener_if_the_address_is_in_use(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as other:
        path = tmp_path / "settings"
        path.write_text(json.dumps({"heartbeats": f"127.0.0.1:{other.getsockname()[1]}"}))
        assert early_listener.open_listeners(path, ["heartbeats"]) == {}
