from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
import time

import pytest

DEADLINE_S = 60.0

SCRIPT = """
from goldcrestgrade_testing import shapes
from goldcrestgrade_testing.demo import __main__ as demo
demo.SHAPES["letters_desk"] = shapes.Shape(
    "small", {"khomas-a": "khomas"}, {"archive": ("khomas-a",) * 2}, 10, "small-shared-key"
)
raise SystemExit(demo.main())
"""


def session_members(session: int) -> set[int]:
    """Return the processes of a session that have not ended."""
    members = set()
    for stat in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            state, _, _, found = stat.read_text("ascii").rpartition(")")[2].split()[:4]
        except OSError:
            continue
        if int(found) == session and state != "Z":
            members.add(int(stat.parent.name))
    return members


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_demo_leaves_no_process_behind(number):
    demo = subprocess.Popen([sys.executable, "-c", SCRIPT], start_new_session=True)
    deadline = time.monotonic() + DEADLINE_S
    while len(session_members(demo.pid)) < 3:
        assert demo.poll() is None
        assert time.monotonic() < deadline
        time.sleep(0.1)
    demo.send_signal(number)
    assert demo.wait(DEADLINE_S) == 130
    assert session_members(demo.pid) == set()
