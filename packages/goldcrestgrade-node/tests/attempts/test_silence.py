from __future__ import annotations

from goldcrestgrade_node.attempts import silence


def test_silence_deadline_is_a_multiple_of_the_slowest_recent_answer():
    assert silence.silence_deadline(100.0, 200.0, slowest_s=0.01) == 101.0
    assert silence.silence_deadline(100.0, 200.0, slowest_s=2.0) == 116.0


def test_silence_deadline_is_at_most_the_deadline_of_the_attempt():
    assert silence.silence_deadline(100.0, 103.0, slowest_s=2.0) == 103.0


def test_slow_answer_is_forgotten_after_many_fast_ones():
    previous_s = silence.updated_slowest_s(0.01, 2.0)
    assert previous_s == 2.0
    for _ in range(1000):
        previous_s = silence.updated_slowest_s(previous_s, 0.01)
    assert previous_s == 0.01
