from __future__ import annotations

import pytest

from goldcrestgrade import statecharts


def test_chart_is_interpreted_from_its_file():
    chart = statecharts.load("goldcrestgrade_node.statecharts", "endpoint")
    assert chart.next_state(chart.initial, "announced") == "ready"


def test_event_without_a_transition_raises():
    chart = statecharts.load("goldcrestgrade_node.statecharts", "claim")
    with pytest.raises(statecharts.UnexpectedEvent):
        chart.next_state("done", "started")
