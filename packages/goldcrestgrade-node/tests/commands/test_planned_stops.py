"""Planned stops of a real node process."""

from __future__ import annotations

import contextlib
import pathlib
import signal
import subprocess
import sys
import time
import typing
import urllib.request

import orjson

from goldcrestgrade import headers, settings
from goldcrestgrade_testing import letters_desk, processes

TIMEOUT_S = 30.0
"""Timeout of each wait in these tests."""


@contextlib.contextmanager
def running_node(folder: pathlib.Path) -> typing.Iterator[tuple[subprocess.Popen[bytes], str]]:
    calls, control, platform = processes.free_ports(3)
    instance_spec = letters_desk.instance_specs(1)[0]._replace(
        calls_port=calls, control_port=control
    )
    config: settings.NodeSettings = letters_desk.node_settings(instance_spec, platform)
    path = folder / "node.json"
    path.write_bytes(orjson.dumps(config))
    command = [sys.executable, "-m", "goldcrestgrade_node", f"--settings={path}"]
    process = subprocess.Popen([*command, "--log_level=warning"], stderr=subprocess.PIPE)
    try:
        yield process, f"http://{letters_desk.HOST}:{control}"
    finally:
        process.kill()
        process.wait()


def announce(url: str, in_flight: int) -> str | None:
    """Announce an endpoint and return its state at the node, or None if the request fails."""
    document = {"service": "archive", "host": "127.0.0.1", "port": 1, "slots": 1}
    body = orjson.dumps({**document, "connections": 1, "in_flight": in_flight})
    request = urllib.request.Request(
        f"{url}/v1/endpoint", body, {headers.CONTROL_KEY: letters_desk.SHARED_KEY}
    )
    try:
        with urllib.request.urlopen(request, timeout=5.0) as response:
            return response.headers[headers.ENDPOINT_STATE]
    except OSError:
        return None


def announce_until(url: str, in_flight: int, state: str) -> None:
    """Repeat the announcement until the endpoint is in `state`."""
    deadline = time.monotonic() + TIMEOUT_S
    while announce(url, in_flight) != state:
        assert time.monotonic() < deadline
        time.sleep(0.1)


def log_lines(process: subprocess.Popen[bytes]) -> list[dict[str, typing.Any]]:
    _, errors = process.communicate(timeout=TIMEOUT_S)
    return [orjson.loads(line) for line in errors.splitlines()]


def test_stop_waits_for_the_endpoint_and_cuts_off_no_request(tmp_path: pathlib.Path):
    with running_node(tmp_path) as (process, url):
        announce_until(url, 1, "ready")
        process.send_signal(signal.SIGTERM)
        announce_until(url, 1, "draining")
        deadline = time.monotonic() + TIMEOUT_S
        while process.poll() is None and time.monotonic() < deadline:
            announce(url, 0)
            time.sleep(0.1)
        assert process.returncode == 0
        assert not [m for m in log_lines(process) if m["message"] == "drain ended early"]


def test_second_signal_forces_the_stop_and_logs_the_cut_off_work(tmp_path: pathlib.Path):
    with running_node(tmp_path) as (process, url):
        announce_until(url, 1, "ready")
        process.send_signal(signal.SIGTERM)
        announce_until(url, 1, "draining")
        process.send_signal(signal.SIGTERM)
        cut = [m for m in log_lines(process) if m["message"] == "drain ended early"]
        assert [m["endpoint_calls"] for m in cut] == [1]
        assert process.returncode == 0


def test_operator_drain_ends_once_nothing_is_in_flight(tmp_path: pathlib.Path):
    with running_node(tmp_path) as (process, url):
        announce_until(url, 1, "ready")
        request = urllib.request.Request(
            f"{url}/v1/drain", b"", {headers.CONTROL_KEY: letters_desk.SHARED_KEY}
        )
        with urllib.request.urlopen(request, timeout=5.0) as response:
            assert response.status == 202
        assert announce(url, 1) == "draining"
        deadline = time.monotonic() + TIMEOUT_S
        while announce(url, 0) == "draining":
            assert time.monotonic() < deadline
            time.sleep(0.1)
        assert process.poll() is None
