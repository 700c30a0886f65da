from __future__ import annotations

import pytest
from hdrh import histogram

from goldcrestgrade_testing.demo import load, report, scenario


def make_result(**changes) -> scenario.Result:
    latencies = histogram.HdrHistogram(1, load.MAX_LATENCY_US, 3)
    load_report = load.Report(2, {}, 0, frozenset({"k1", "k2"}), latencies, latencies)
    values = {
        "report": load_report._replace(**changes.pop("report", {})),
        "run_once_starts": ("k1", "k2"),
        "start_s": 1.0,
        "adoption": scenario.Adoption(apply_status=0, propagation_s=12.0),
        "drain": scenario.Drain("archive-1", exit_status=0, drain_s=2.0, late_starts=0),
    }
    return scenario.Result(**{**values, **changes})


def test_kept_promises_end_with_status_0(capsys):
    assert report.show(make_result()) == 0
    assert "every promise held" in capsys.readouterr().out


@pytest.mark.parametrize(
    "changes",
    [
        {"run_once_starts": ("k1", "k2", "k2")},
        {"run_once_starts": ("k1",)},
        {"report": {"wrong": 1}},
        {"report": {"refusals": {"saturated": 1}}},
        {"adoption": scenario.Adoption(1, 1.0)},
        {"adoption": scenario.Adoption(0, 12.1)},
        {"adoption": scenario.Adoption(0, float("nan"))},
        {"drain": scenario.Drain("archive-1", 1, 2.0, 0)},
        {"drain": scenario.Drain("archive-1", 0, 2.0, 1)},
    ],
)
def test_broken_promise_ends_with_status_1(changes, capsys):
    result = make_result(**changes)
    assert [promise.holds for promise in report.promises(result)].count(False) == 1
    assert report.show(result) == 1
    assert "BROKEN" in capsys.readouterr().out
