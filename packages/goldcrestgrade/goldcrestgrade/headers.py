"""Names of HTTP headers, in lower case as ASGI gives them."""

from __future__ import annotations

import math
import typing

Fields = tuple[tuple[str, str], ...]
"""Header names and values in the order received; names in lower case."""

SERVICE = "goldcrestgrade-service"
"""Service that a call is for; without it, the first label of `Host` names the service."""

IDEMPOTENCY_KEY = "idempotency-key"
"""Key that names one intention of a caller, the same in each of its tries."""

DEADLINE = "goldcrestgrade-deadline"
"""Wall instant, in seconds since the epoch, after which no answer is wanted."""

REQUEST_ID = "goldcrestgrade-request-id"
"""Id of a request, the same at each process that it passes."""

ATTEMPT_ID = "goldcrestgrade-attempt-id"
"""Id of one attempt; an endpoint's answer repeats it."""

NO_RETRY = "goldcrestgrade-no-retry"
"""Set on calls made on behalf of another call, whose entry node retries."""

CALLER_REGION = "goldcrestgrade-caller-region"
"""Region of the node that sent an attempt."""

OUTCOME = "goldcrestgrade-outcome"
"""`ran`, `not_run` or `unknown`."""

REASON = "goldcrestgrade-reason"
"""Reason of a refusal or of an unknown outcome."""

LOAD = "endpoint-load"
"""Requests in flight that an endpoint reports with an answer."""

NOT_RUN = "endpoint-not-run"
"""Set by an endpoint that shed a request before any effect."""

CONTROL_KEY = "goldcrestgrade-control-key"
"""Shared key of control and operator requests."""

SHEET_VERSION = "goldcrestgrade-sheet-version"
"""Version of a sheet that one node sends to another."""

ENDPOINT_STATE = "goldcrestgrade-endpoint-state"
"""State of the endpoint, in the answer to its announcement."""

RELAY = "goldcrestgrade-relay"
"""What a node tells the node beside an endpoint of a request, as JSON."""

NODE_LOAD = "goldcrestgrade-load"
"""Load of an endpoint as the node beside it counts it."""

RETRY_IN = "goldcrestgrade-retry-in"
"""Seconds after which a node that sent a request back may be asked again."""

ARRIVED = "goldcrestgrade-arrived"
"""Set where the endpoint itself has seen the request."""

INTERNAL = frozenset(
    {
        ARRIVED,
        ATTEMPT_ID,
        CALLER_REGION,
        CONTROL_KEY,
        DEADLINE,
        LOAD,
        NODE_LOAD,
        NO_RETRY,
        NOT_RUN,
        OUTCOME,
        REASON,
        RELAY,
        REQUEST_ID,
        RETRY_IN,
    }
)
"""Headers that mean something between nodes and endpoints only; removed in both directions."""

SINGLE = frozenset({SERVICE, IDEMPOTENCY_KEY, DEADLINE, "host", "content-length"})
"""Headers that a request may carry once only."""

PROTECTED = INTERNAL | SINGLE
"""Headers that `Connection` may not mark as meant for one connection."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that describe one connection (RFC 9110, section 7.6.1)."""

DROPPED = HOP_BY_HOP | INTERNAL | {"host", "content-length"}
"""Headers that are not passed on; the last two are set anew."""

MAX_DEADLINE_CHARS = 20
"""Largest length of a deadline, in characters."""

ORDINARY_CONNECTION = frozenset({"", "close", "keep-alive"})
"""Values of `Connection` that name no other header."""


def from_bytes(raw: typing.Iterable[tuple[bytes, bytes]]) -> Fields:
    """Return the headers of an answer; each character of a value stands for one byte."""
    return tuple((name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in raw)


def has_repeated_header(fields: Fields) -> bool:
    """Tell whether a header that may stand once only stands more often."""
    names = [name for name, _ in fields if name in SINGLE]
    return len(names) != len(set(names))


def connection_options(fields: typing.Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the names of the headers that `Connection` marks as meant for one connection."""
    values = [value.lower() for name, value in fields if name == "connection"]
    if all(value in ORDINARY_CONNECTION for value in values):
        return frozenset()
    return frozenset(token.strip() for value in values for token in value.split(","))


def end_to_end(fields: Fields) -> Fields:
    """Return the headers that are passed on to the other side of a node."""
    options = connection_options(fields)
    dropped = DROPPED | options if options else DROPPED
    return tuple(pair for pair in fields if pair[0] not in dropped)


def parse_deadline(text: str) -> float | None:
    """Return the wall instant in a deadline header, or none where it is no positive decimal."""
    digits = text.replace(".", "", 1)
    if len(text) > MAX_DEADLINE_CHARS or not (digits.isascii() and digits.isdecimal()):
        return None
    wall = float(text)
    return wall if math.isfinite(wall) else None
