from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
import time

import pytest

TIMEOUT_S = 60.0

SCRIPT = """
import asyncio
import signal
import sys

def print_tasks(*_):
    loop = asyncio._get_running_loop()
    for task in asyncio.all_tasks(loop):
        task.print_stack(file=sys.stderr)
        print(task, "waits for", task._fut_waiter, file=sys.stderr, flush=True)

signal.signal(signal.SIGUSR1, print_tasks)

from goldcrestgrade_testing import shapes
from goldcrestgrade_testing.demo import __main__ as demo
demo.SHAPES["letters_desk"] = shapes.Shape(
    "small", {"khomas-a": "khomas"}, {"archive": ("khomas-a",) * 2}, 10, "small-shared-key"
)
raise SystemExit(demo.main())
"""


def session_processes(session: int) -> set[int]:
    """Return the ids of the processes of a session that have not ended; zombies have ended."""
    processes = set()
    for stat in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            state, _, _, process_session = stat.read_text("ascii").rpartition(")")[2].split()[:4]
        except OSError:
            continue
        if int(process_session) == session and state != "Z":
            processes.add(int(stat.parent.name))
    return processes


def exit_status(demo: subprocess.Popen[bytes]) -> int:
    """Return the exit status of the demo; if it does not end in time, its tasks are printed."""
    try:
        return demo.wait(TIMEOUT_S)
    except subprocess.TimeoutExpired:
        demo.send_signal(signal.SIGUSR1)
        time.sleep(1.0)
        raise


IGNORE_SIGINT = "import signal; signal.signal(signal.SIGINT, signal.SIG_IGN)\n"
"""Start of a script that ignores SIGINT, as a program does that a shell started with `&`."""


@pytest.mark.parametrize(
    ("signal_number", "prologue"),
    [(signal.SIGINT, ""), (signal.SIGTERM, ""), (signal.SIGINT, IGNORE_SIGINT)],
    ids=["SIGINT", "SIGTERM", "ignored SIGINT"],
)
def test_interrupted_demo_leaves_no_process_behind(signal_number, prologue):
    demo = subprocess.Popen([sys.executable, "-c", prologue + SCRIPT], start_new_session=True)
    deadline = time.monotonic() + TIMEOUT_S
    while len(session_processes(demo.pid)) < 3:
        assert demo.poll() is None
        assert time.monotonic() < deadline
        time.sleep(0.1)
    demo.send_signal(signal_number)
    assert exit_status(demo) == 130
    assert session_processes(demo.pid) == set()
