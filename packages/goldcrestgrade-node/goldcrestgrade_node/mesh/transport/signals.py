"""What an endpoint says about itself in its answers, besides its load."""

from __future__ import annotations

import math
import typing

from goldcrestgrade_node.mesh.transport import dialect

MAX_TEXT_CHARS = 20
"""Longest value of a rate limit that is read."""


class Signals(typing.NamedTuple):
    """What the latest answer of an endpoint says."""

    rate_limit: float | None = None
    """Requests a second that it takes from all nodes together; none if it names no limit."""
    leaving: bool = False
    """Whether it will end soon and takes no new requests."""


NONE = Signals()
"""Signals of an endpoint that says nothing about itself."""


class Report(typing.NamedTuple):
    """Signals that a node received from an endpoint."""

    endpoint_id: str
    signals: Signals


def parse(fields: typing.Mapping[str, str], names: dialect.Dialect) -> Signals:
    """Return the signals in the headers of an answer; a malformed limit counts as none."""
    return Signals(_parse_rate(fields.get(names.rate_limit)), fields.get(names.leaving) == "1")


def parse_warm_up_left(fields: typing.Mapping[str, str], names: dialect.Dialect) -> float | None:
    """Return the seconds for which an endpoint stays cold, or none if its answer doesn't say."""
    left_ms = _parse_rate(fields.get(names.warm_up_left))
    return None if left_ms is None else left_ms / 1000


def _parse_rate(text: str | None) -> float | None:
    if text is None or len(text) > MAX_TEXT_CHARS:
        return None
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
