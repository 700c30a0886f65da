"""Values of rows that any writer of the store may have written."""

import orjson
import pytest

from goldcrestgrade.storage import values


def nested(depth):
    return b'{"a":' + b"[" * depth + b"]" * depth + b"}"


@pytest.mark.parametrize("depth", [1, 20, 100])
def test_value_is_read_if_a_message_can_carry_it(depth):
    value = values.decode(nested(depth))
    assert orjson.dumps({"mesh": {"rows": [["key", "1.1", value]]}})


@pytest.mark.parametrize(
    "text",
    [
        *(nested(depth) for depth in (250, 253, 254, 300, 1000, 1023, 1024, 30_000)),
        b"[]",
        b"7",
        b"null",
        b"",
        b'{"a":1e400}',
        b'{"a":NaN}',
        b'{"a":"\\ud800"}',
        b'{"a":"\xff"}',
        b'{"a":1} ' + b"1" * 5000,
    ],
    ids=lambda text: f"{len(text)} bytes {text[:12]!r}",
)
def test_value_that_can_not_be_written_again_is_refused(text):
    with pytest.raises(ValueError):
        values.decode(text)


@pytest.mark.parametrize("number", [2**64 - 1, -(2**63), 2**64, 10**300, 1e308, 5e-324])
def test_number_of_any_size_is_read_and_written_again(number):
    assert orjson.dumps(values.decode(orjson.dumps({"a": float(number)})))
    assert orjson.dumps(values.decode(b'{"a":%d}' % int(number)))
