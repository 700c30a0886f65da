from __future__ import annotations

import pathlib
import subprocess
import sys

import orjson
import pytest

from goldcrestgrade import exceptions, records, sheet
from goldcrestgrade.storage import tables
from goldcrestgrade_operator import command_table, options
from goldcrestgrade_operator.commands import apply
from goldcrestgrade_operator.sheets import acceptance

HEADER = "day,service,regions,method,path,run_once,timeout_s\n"
ROWS = "{day},archive,khomas,GET,/letters/*,no,5\n{day},archive,khomas,POST,*,yes,10\n"


@pytest.fixture
def write_sheet(tmp_path):
    def write(day: str) -> str:
        path = tmp_path / f"{day}.csv"
        path.write_text(HEADER + ROWS.format(day=day), "utf-8")
        return str(path)

    return write


def test_applied_sheet_is_in_the_history_and_applying_it_again_changes_nothing(
    command, write_sheet
):
    path = write_sheet("2026-01-02")
    assert command("apply", path, "--json")[0] == 0
    _, out, _ = command("apply", path, "--json")
    assert orjson.loads(out) == {
        "version": 1,
        "day": "2026-01-02",
        "changed": False,
        "nodes": None,
    }
    _, out, _ = command("history", "--json")
    assert [(head["version"], head["operator"]) for head in orjson.loads(out)] == [(1, "anna")]


def test_diff_names_each_change(command, write_sheet):
    command("apply", write_sheet("2026-01-02"))
    other = write_sheet("2026-01-03")
    with pathlib.Path(other).open("a", encoding="utf-8") as file:
        file.write("2026-01-03,intake,oshana,*,*,yes,9\n")
    _, out, _ = command("diff", other, "--json")
    changes = orjson.loads(out)["changes"]
    assert [(c["service"], c["what"], c["after"]) for c in changes] == [
        ("intake", "kind 1", "* *, run once, 9 s"),
        ("intake", "regions", "oshana"),
    ]


def test_history_shows_the_latest_versions_first(command, write_sheet):
    for day in range(1, 6):
        command("apply", write_sheet(f"2026-01-0{day}"))
    _, out, _ = command("history", "--json", "--limit=2")
    assert [head["version"] for head in orjson.loads(out)] == [5, 4]


def test_sheet_that_the_table_service_lost_is_reported_and_handed_in_under_a_new_version(
    command, write_sheet, store, node
):
    first, second = write_sheet("2026-01-01"), write_sheet("2026-01-02")
    command("apply", first)
    command("apply", second)
    assert command("history")[2] == ""
    node.sheet_version = 2
    store.restore(lost_commits=1)
    status, out, err = command("history", "--json")
    assert status == 0
    assert [head["version"] for head in orjson.loads(out)] == [1]
    assert err.startswith("version 2: ") and "hand it in again" in err
    _, out, err = command("apply", second, "--json")
    assert orjson.loads(out)["version"] == 3
    assert "hand it in again" in err
    node.sheet_version = 3
    assert command("history")[2] == ""


def test_older_sheet_that_the_copy_shows_as_in_force_can_be_applied_again(
    command, write_sheet, store, node
):
    first = write_sheet("2026-01-01")
    command("apply", first)
    command("apply", write_sheet("2026-01-02"))
    node.sheet_version = 2
    store.restore(lost_commits=1)
    _, out, _ = command("apply", first, "--json")
    document = orjson.loads(out)
    assert (document["version"], document["changed"]) == (3, True)


def test_commands_without_a_shared_key_go_by_the_table_service(
    command, write_sheet, node, monkeypatch
):
    node.sheet_version = 7
    monkeypatch.delenv(options.KEY_VARIABLE)
    _, out, err = command("apply", write_sheet("2026-01-01"), "--json")
    assert orjson.loads(out)["version"] == 1
    assert err == ""


def test_older_day_and_overtaken_version_are_refused_in_one_line(command, write_sheet):
    command("apply", write_sheet("2026-01-02"))
    status, _, err = command("apply", write_sheet("2026-01-01"))
    assert (status, err.count("\n")) == (1, 1)
    assert "2026-01-02" in err
    status, _, err = command("apply", write_sheet("2026-01-03"), "--on_version=0")
    assert (status, err.count("\n")) == (1, 1)
    assert "anna was first, with version 1 for 2026-01-02" in err


def test_invalid_sheet_exits_2_with_all_findings_and_changes_nothing(command, tmp_path, store):
    path = tmp_path / "bad.csv"
    path.write_text(HEADER + "x,y y,,FETCH,/,maybe,0\n", "utf-8")
    status, _, err = command("apply", str(path))
    assert status == 2
    assert [line.split(":")[2] for line in err.splitlines()] == [
        "day",
        "service",
        "regions",
        "method",
        "run_once",
        "timeout_s",
    ]
    assert not store.rows


def test_wait_counts_the_nodes_that_have_the_version(command, node, write_sheet):
    _, out, _ = command("apply", write_sheet("2026-01-02"), "--wait", "--json")
    assert orjson.loads(out)["nodes"] == 2
    node.behind = {"archive-2"}
    path = write_sheet("2026-01-03")
    status, _, err = command("apply", path, "--wait", "--wait_timeout_s=0")
    assert status == 4
    assert "1 of 2 nodes" in err
    assert "behind: archive-2" in err


def test_wait_pushes_a_newly_accepted_sheet_to_the_node(command, node, store, write_sheet):
    path = write_sheet("2026-01-02")
    command("apply", path, "--wait")
    ((version, body),) = node.pushed_sheets
    row = store.rows[sheet.HEAD_TABLE, sheet.HEAD_KEY]
    assert (int(version), sheet.object_name(body)) == (1, row.value["object_name"])
    command("apply", path, "--wait")
    assert len(node.pushed_sheets) == 1


def test_wait_polls_nodes_whose_records_have_an_older_version(command, node, write_sheet):
    node.nodes_with_old_record = {"archive-1", "archive-2"}
    path = write_sheet("2026-01-02")
    status, out, _ = command("apply", path, "--wait", "--json", "--wait_timeout_s=0")
    assert (status, orjson.loads(out)["nodes"]) == (0, 2)


def test_apply_with_wait_exits_4_when_the_node_is_unreachable(command, write_sheet):
    path = write_sheet("2026-01-02")
    unreachable_node = "--node=http://127.0.0.1:9"
    status, _, err = command("apply", path, "--wait", "--wait_timeout_s=0", unreachable_node)
    assert (status, err.count("\n")) == (4, 1)
    assert err.startswith("version 1 is accepted")


def test_wait_without_a_shared_key_is_refused_before_anything_changes(
    command, write_sheet, store, monkeypatch
):
    monkeypatch.delenv(options.KEY_VARIABLE)
    assert command("apply", write_sheet("2026-01-02"), "--wait")[0] == 1
    assert not store.rows


def test_unreadable_head_row_exits_1_and_says_so(command, store):
    write = tables.Write(sheet.HEAD_TABLE, sheet.HEAD_KEY, {"version": "x"})
    store.commit(tables.Transaction((), (write,)))
    status, _, err = command("history")
    assert status == 1
    assert "a stored document is invalid" in err


def test_undecided_apply_exits_3_and_advises_the_history():
    with pytest.raises(exceptions.UndecidedError, match="run history") as caught:
        apply.accepted_version(acceptance.Undecided("no answer"))
    assert caught.value.exit_status == 3


@pytest.mark.parametrize("name", ["status", "endpoints"])
def test_nodes_and_endpoints_are_shown(command, name):
    status, out, _ = command(name)
    assert status == 0
    assert "archive-2" in out


def test_drain_waits_until_the_endpoint_has_left(command):
    status, out, _ = command("drain", "archive-1", "--wait", "--json")
    assert status == 0
    assert orjson.loads(out) == {"node_id": "archive-1", "state": "left", "idle": True}
    status, _, err = command("drain", "archive-9")
    assert (status, err.count("\n")) == (1, 1)


def test_drain_that_does_not_end_in_time_exits_4(command, node):
    node.state = records.EndpointState.DRAINING
    node.in_flight = 3
    status, _, err = command("drain", "archive-1", "--wait", "--wait_timeout_s=0")
    assert (status, err.count("\n")) == (4, 1)
    assert "3 requests in flight" in err


def test_apply_exits_1_when_the_platform_is_down_and_0_after_a_lost_answer(
    command, write_sheet, store
):
    store.faults.down = True
    status, _, err = command("apply", write_sheet("2026-01-02"))
    assert (status, err.count("\n")) == (1, 1)
    store.faults.down = False
    store.faults.answers_to_lose = 1
    assert command("apply", write_sheet("2026-01-02"))[0] == 0
    _, out, _ = command("history", "--json")
    assert [head["version"] for head in orjson.loads(out)] == [1]


def test_explain_shows_the_kind_of_a_request_and_why(command, write_sheet):
    command("apply", write_sheet("2026-01-02"))
    _, out, _ = command("explain", "archive", "delete", "/letters/1", "--json")
    explanation = orjson.loads(out)[0]
    assert explanation["run_once"] is True
    assert "DELETE is not a safe method" in explanation["why"]
    _, out, _ = command("explain", "archive", "GET", "/letters/1", "--json")
    assert orjson.loads(out)[0]["kind"] == "GET /letters/*"


def test_explain_shows_every_metric_of_a_reason(command):
    _, out, _ = command("explain", "timed_out", "--json")
    metrics = [explanation["metric"] for explanation in orjson.loads(out)]
    assert metrics == [
        'goldcrestgrade_unknowns_total{reason="timed_out"}',
        'goldcrestgrade_broken_attempts_total{reason="timed_out"}',
        'goldcrestgrade_retries_total{reason="timed_out"}',
    ]
    assert command("explain", "bogus")[0] == 1


@pytest.mark.parametrize(
    "arguments",
    [
        ("status", "--node=http://127.0.0.1:9"),
        ("history", "--platform=http://127.0.0.1:9"),
        ("status", "--key_file=/nonexistent"),
    ],
)
def test_wrong_address_or_key_file_gives_one_line(command, arguments):
    status, out, err = command(*arguments)
    assert (status, out, err.count("\n")) == (1, "", 1)


def test_platform_url_that_leads_to_a_node_exits_1(command, node):
    assert command("history", f"--platform={node.url}")[0] == 1


def test_wrong_key_gives_one_line(command, monkeypatch):
    monkeypatch.setenv(options.KEY_VARIABLE, "another-shared-key")
    status, _, err = command("status")
    assert (status, err.count("\n")) == (1, 1)
    assert "shared key" in err


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("bogus",),
        ("check",),
        ("status", "--bogus"),
        ("status", "--node=x"),
        ("check", "x", "--operator=a\nb"),
    ],
)
def test_wrong_command_line_exits_2(command, arguments):
    status, out, err = command(*arguments)
    assert (status, out) == (2, "")
    assert err


@pytest.mark.parametrize("flag", ["--help", "--helpfull"])
def test_help_names_every_command_flag_and_exit_status(command, flag):
    status, out, _ = command(flag)
    assert status == 0
    assert "absl" not in out
    assert "flagfile" not in out
    named = [*command_table.COMMANDS, *map(str, command_table.EXIT_STATUSES)]
    named += ["--platform", "--node", "--key_file", "--wait", "--json", "--on_version"]
    assert [word for word in named if word not in out] == []


def test_no_flag_takes_the_shared_key_itself():
    names = [name for name in options.define() if "key" in name]
    assert names == ["key_file"]


def test_closed_output_pipe_gives_no_traceback():
    command = [sys.executable, "-m", "goldcrestgrade_operator", "--help"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as process:
        process.stdout.close()
        assert process.stderr.read() == b""
    assert process.returncode == 0


def test_explain_joins_the_log_lines_of_a_request(command, tmp_path):
    path = tmp_path / "node.log"
    path.write_text('{"time":"t","message":"call refused","node_id":"a","request_id":"82f6"}\n')
    status, out, _ = command("explain", "82f6", f"--logs={path}", "--json")
    assert status == 0 and "call refused" in out
    assert command("explain", "other", f"--logs={path}")[0] == 1
