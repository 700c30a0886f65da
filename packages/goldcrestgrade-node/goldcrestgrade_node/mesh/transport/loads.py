"""Load of an endpoint as its node last saw it, and its header form."""

from __future__ import annotations

import typing

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
    figures = [part.strip() for part in (text or "").split(",")]
    if len(figures) not in (3, 4) or not all(f.isascii() and f.isdecimal() for f in figures):
        return None
    numbers = [min(MAX_FIELD_VALUE, int(figure)) for figure in figures]
    if numbers[2] == 0:
        return None
    pace = numbers[3] / 100.0 if len(numbers) == 4 and numbers[3] else NORMAL_PACE
    return Load(numbers[0], numbers[1], numbers[2], pace)


def encode(load: Load) -> str:
    """Return the form that `parse` reads."""
    return f"{load.running},{load.waiting},{load.slots},{round(load.pace * 100)}"
