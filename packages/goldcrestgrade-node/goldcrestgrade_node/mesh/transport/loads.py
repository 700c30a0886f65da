"""Load of an endpoint as its node last saw it, and its header form."""

from __future__ import annotations

import typing

from goldcrestgrade import headers

NORMAL_PACE = 1.0
"""Pace of an endpoint that is not degraded."""

MAX_FIELD_VALUE = 1_000_000
"""Largest plausible number in a load header; larger ones are reduced to it."""


class Load(typing.NamedTuple):
    """In-flight and queued requests, slots and pace of an endpoint at one moment."""

    running: int
    waiting: int
    slots: int
    pace: float
    """Time that requests take relative to normal; 2 is twice as long."""


def parse(text: str | None) -> Load | None:
    """Return the load in a header with three or four numbers, or none if it is malformed."""
    parsed = [headers.parse_count(part.strip()) for part in (text or "").split(",")]
    numbers = [min(MAX_FIELD_VALUE, number) for number in parsed if number is not None]
    if len(parsed) not in (3, 4) or len(numbers) != len(parsed) or numbers[2] == 0:
        return None
    pace = numbers[3] / 100.0 if len(numbers) == 4 and numbers[3] else NORMAL_PACE
    return Load(numbers[0], numbers[1], numbers[2], pace)


def encode(load: Load) -> str:
    """Return the form that `parse` reads."""
    return f"{load.running},{load.waiting},{load.slots},{round(load.pace * 100)}"
