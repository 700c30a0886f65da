from __future__ import annotations

import socket
import subprocess
import sys

import orjson
import pytest

from goldcrestgrade_testing import letters_desk, processes

TIMEOUT_S = 60.0


def run_node(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "goldcrestgrade_node", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)


@pytest.fixture
def settings_file(tmp_path):
    def write(**changes) -> str:
        ports = processes.free_ports(4)
        instance_spec = letters_desk.InstanceSpec(
            "archive", "khomas-a", "khomas", "archive-1", *ports[1:]
        )
        path = tmp_path / "node.json"
        path.write_bytes(
            orjson.dumps({**letters_desk.node_settings(instance_spec, ports[0]), **changes})
        )
        return f"--settings={path}"

    return write


@pytest.mark.parametrize("flag", ["--help", "--helpfull"])
def test_help_lists_only_the_flags_of_the_node(flag):
    done = run_node(flag)
    assert done.returncode == 0
    assert all(name in done.stdout for name in ("--settings", "--check", "--log_level"))
    assert "flagfile" not in done.stdout
    assert "absl" not in done.stdout


@pytest.mark.parametrize("arguments", [(), ("--bogus",), ("--check", "stray"), ("--log_level=x",)])
def test_wrong_command_line_exits_2_without_traceback(arguments):
    done = run_node(*arguments)
    assert (done.returncode, done.stdout) == (2, "")
    assert "usage:" in done.stderr
    assert "Traceback" not in done.stderr


def test_check_prints_all_findings_or_exits_0(settings_file):
    assert run_node(settings_file(), "--check").returncode == 0
    wrong = run_node(settings_file(node_id="", drain_timeout_s=0, more=1), "--check")
    assert wrong.returncode == 2
    assert [line.split(": ")[0] for line in wrong.stderr.splitlines()] == [
        "node.json:node_id",
        "node.json:drain_timeout_s",
        "node.json:more",
    ]


def test_address_in_use_exits_1_with_one_json_line_that_names_it(settings_file):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        done = run_node(settings_file(calls={"host": "127.0.0.1", "port": port}))
    assert done.returncode == 1
    lines = [orjson.loads(line) for line in done.stderr.splitlines()]
    errors = [line["message"] for line in lines if line["level"] == "ERROR"]
    assert len(errors) == 1
    assert str(port) in errors[0]
