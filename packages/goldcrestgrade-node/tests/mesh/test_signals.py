"""Signals in the headers of an endpoint's answers."""

import pytest

from goldcrestgrade_node.mesh.transport import dialect, signals

NAMES = dialect.Dialect(*dialect.Dialect._fields)


@pytest.mark.parametrize(
    ("text", "rate"),
    [
        ("7.8", 7.8),
        ("0", 0.0),
        ("12", 12.0),
        ("", None),
        ("nan", None),
        ("inf", None),
        ("-1", None),
        ("7,8", None),
        ("1" * 21, None),
    ],
)
def test_rate_limit_is_a_decimal_number_that_is_not_negative(text, rate):
    assert signals.parse({"rate_limit": text}, NAMES).rate_limit == rate


def test_answer_without_signals_ends_a_limit():
    assert signals.parse({}, NAMES) == signals.NONE


def test_endpoint_that_leaves_says_so():
    assert signals.parse({"leaving": "1"}, NAMES).leaving
    assert not signals.parse({"leaving": "0"}, NAMES).leaving
