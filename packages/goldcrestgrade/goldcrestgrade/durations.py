"""Durations written as text: a number with its unit."""

from __future__ import annotations

import re
import typing

DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


def parse_seconds(value: typing.Any) -> float:
    """Return the seconds in a duration such as `1500ms` or `2.5s`; raises `ValueError`."""
    match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"{value!r} must be a time such as 1500ms or 2.5s")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)
