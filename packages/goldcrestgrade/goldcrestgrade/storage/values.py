"""Reads values of rows, which any writer of the store may have written."""

from __future__ import annotations

import orjson

from goldcrestgrade.storage import tables

MAX_ENVELOPE_DEPTH = 128
"""Depth to which a value can be nested in a message; the encoder has a limit of 254 levels.

The decoder reads 1,024 levels, so that not everything that was read can be written.
"""


def decode(text: bytes) -> tables.Value:
    """Return the JSON object in `text`; raises `ValueError` if messages can't carry it."""
    value = orjson.loads(text)
    if not isinstance(value, dict):
        raise ValueError("the value is not a JSON object")
    enclosed: object = value
    for _ in range(MAX_ENVELOPE_DEPTH):
        enclosed = [enclosed]
    try:
        orjson.dumps(enclosed)
    except orjson.JSONEncodeError as error:
        raise ValueError(f"the value can't be written again: {error}") from error
    return value
