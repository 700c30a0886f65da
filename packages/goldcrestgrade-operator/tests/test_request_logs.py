"""Log lines of one request, collected from several log files."""

import pathlib

import pytest

from goldcrestgrade import exceptions
from goldcrestgrade_operator import request_logs

ENTRY_NODE_LOG = (
    '  1.2 a {"time":"2026-05-10 06:46:12,151","message":"call refused","node_id":"a",'
    '"request_id":"82f6","reason":"saturated"}\n'
)
GUARD_LOG = (
    '{"time":"2026-05-10 06:46:12,149","message":"call sent back","node_id":"b",'
    '"request_id":"82f6","load":"7,0,9,400"}\n'
    '{"time":"2026-05-10 06:46:12,150","message":"call sent back","node_id":"b",'
    '"request_id":"other"}\n{"request_id":"82f6","cut'
)


@pytest.fixture
def log_paths(tmp_path: pathlib.Path):
    paths = [tmp_path / "a.log", tmp_path / "b.log"]
    for path, text in zip(paths, (ENTRY_NODE_LOG, GUARD_LOG), strict=True):
        path.write_text(text, "utf-8")
    return paths


def test_lines_of_all_nodes_are_joined_by_time(log_paths):
    lines = request_logs.join(log_paths, "82f6")
    assert [(line.node, line.message) for line in lines] == [
        ("b", "call sent back"),
        ("a", "call refused"),
    ]
    assert lines[0].inputs == '{"load":"7,0,9,400"}'
    assert lines[0].time == "06:46:12.149"


def test_unreadable_file_is_named_in_the_error(tmp_path):
    with pytest.raises(exceptions.UserError, match="missing"):
        request_logs.join([tmp_path / "missing"], "82f6")
