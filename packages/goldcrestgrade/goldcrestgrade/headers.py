"""Names of HTTP headers in lower case, as in ASGI, and functions that filter headers."""

from __future__ import annotations

import math
import re
import typing
import urllib.parse

Fields = tuple[tuple[str, str], ...]
"""Header names and values in the order received; names in lower case."""

SERVICE = "goldcrestgrade-service"
"""Service that a request is for; without it, the first label of `Host` names the service."""

IDEMPOTENCY_KEY = "idempotency-key"
"""Key of one operation that a client intends, the same each time the client sends it."""

DEADLINE = "goldcrestgrade-deadline"
"""Wall instant, in seconds since the Unix epoch, after which the client needs no answer."""

REQUEST_ID = "goldcrestgrade-request-id"
"""Id of a request, the same in each process that handles it."""

ATTEMPT_ID = "goldcrestgrade-attempt-id"
"""Id of one attempt; an endpoint's answer repeats it."""

NO_RETRY = "goldcrestgrade-no-retry"
"""Set on a request made on behalf of another request, whose entry node does the retries."""

CALLER_REGION = "goldcrestgrade-caller-region"
"""Region of the node that sent an attempt."""

OUTCOME = "goldcrestgrade-outcome"
"""`ran`, `not_run` or `unknown`."""

REASON = "goldcrestgrade-reason"
"""Reason for a refusal or an unknown outcome."""

LOAD = "endpoint-load"
"""Number of in-flight requests that an endpoint reports with an answer."""

NOT_RUN = "endpoint-not-run"
"""Set by an endpoint that refused a request before it had any effect."""

CONTROL_KEY = "goldcrestgrade-control-key"
"""Shared key that authenticates control and operator requests."""

SHEET_VERSION = "goldcrestgrade-sheet-version"
"""Version of a sheet that one node sends to another."""

ENDPOINT_STATE = "goldcrestgrade-endpoint-state"
"""State of the endpoint, in the node's answer to its announcement."""

RELAY = "goldcrestgrade-relay"
"""Description of a request that an entry node relays to the endpoint's node, as JSON."""

NODE_LOAD = "goldcrestgrade-load"
"""Load of an endpoint as the endpoint's node counts it."""

ENDPOINT_ID = "goldcrestgrade-endpoint"
"""Id of the endpoint that made a relayed answer."""

RETRY_IN = "goldcrestgrade-retry-in"
"""Seconds after which a node that sent a request back may be sent requests again."""

SERVED_IN = "goldcrestgrade-served-in"
"""Seconds for which a node had a relayed request, from its head to its answer."""

ARRIVED = "goldcrestgrade-arrived"
"""Set if the request reached the endpoint itself."""

FORWARDED = "goldcrestgrade-forwarded"
"""Set if the node sent a request of another region on to other nodes of its own."""

ASKS = "goldcrestgrade-asks"
"""Set by a node that admits a request by its head if the sender expects `100-continue`."""

INTERNAL = frozenset(
    {
        ASKS,
        ARRIVED,
        ATTEMPT_ID,
        CALLER_REGION,
        CONTROL_KEY,
        DEADLINE,
        ENDPOINT_ID,
        FORWARDED,
        LOAD,
        NODE_LOAD,
        NO_RETRY,
        NOT_RUN,
        OUTCOME,
        REASON,
        RELAY,
        REQUEST_ID,
        RETRY_IN,
        SERVED_IN,
    }
)
"""Headers used only between nodes and endpoints; removed in both directions."""

SINGLE = frozenset({SERVICE, IDEMPOTENCY_KEY, DEADLINE, "host", "content-length"})
"""Headers that a request may contain only once."""

PROTECTED = INTERNAL | SINGLE
"""Headers that a request may not declare connection-specific by naming them in `Connection`."""

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
"""Headers that are not forwarded; `host` and `content-length` are set anew."""

MAX_DEADLINE_CHARS = 20
"""Largest length of a deadline header."""

ORDINARY_CONNECTION = frozenset({"", "close", "keep-alive"})
"""Values of `Connection` that name no other header."""


MAX_DIGITS = 18
"""Largest number of digits of a number in a header; any such number fits 64 bits."""


_CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Bytes that no value of a header has; the tab is allowed."""


_PLAIN = re.compile(r"[!-$&-~]+")
"""Ids that nodes write as they are: printable ASCII without spaces and percent signs."""


def from_bytes(raw: typing.Iterable[tuple[bytes, bytes]]) -> Fields:
    """Return the headers of an answer, decoded as Latin-1 so that no byte of a value is lost.

    Control characters become spaces, as RFC 9110, section 5.5, allows: the answer can't be sent on
    with them.
    """
    return tuple(
        (name.decode("latin-1").lower(), _CONTROL_CHARACTERS.sub(b" ", value).decode("latin-1"))
        for name, value in raw
    )


def from_request(raw: typing.Iterable[tuple[bytes, bytes]]) -> Fields:
    """Return the headers of a request that is sent on by a client that writes UTF-8.

    Values that are UTF-8 are sent on as they are; others are taken for Latin-1.
    """
    return tuple(
        (name.decode("latin-1").lower(), decode_value(_CONTROL_CHARACTERS.sub(b" ", value)))
        for name, value in raw
    )


def decode_value(value: bytes) -> str:
    """Return a value decoded from UTF-8, or from Latin-1 if it isn't UTF-8."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def to_latin1(text: str) -> str:
    """Return a text that was decoded from UTF-8, decoded from Latin-1 instead."""
    return text if text.isascii() else text.encode("utf-8", "surrogateescape").decode("latin-1")


def quote(text: str) -> str:
    """Return an id in the form in which it can be the value of a header between nodes."""
    return text if _PLAIN.fullmatch(text) else urllib.parse.quote(text, safe="")


def unquote(value: str) -> str:
    """Return the id that `quote` was given."""
    return urllib.parse.unquote(value)


def has_repeated_header(fields: Fields) -> bool:
    """Return whether a header of `SINGLE` occurs more than once."""
    names = [name for name, _ in fields if name in SINGLE]
    return len(names) != len(set(names))


def connection_options(fields: typing.Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the names of the headers that `Connection` declares connection-specific."""
    values = [value.lower() for name, value in fields if name == "connection"]
    if all(value in ORDINARY_CONNECTION for value in values):
        return frozenset()
    return frozenset(token.strip() for value in values for token in value.split(","))


def end_to_end(fields: Fields) -> Fields:
    """Return the headers that a node forwards to its other side."""
    options = connection_options(fields)
    dropped = DROPPED | options if options else DROPPED
    return tuple(pair for pair in fields if pair[0] not in dropped)


def parse_deadline(text: str) -> float | None:
    """Return the wall instant in a deadline header.

    Returns `None` if the text is not an unsigned decimal number of at most `MAX_DEADLINE_CHARS`.
    """
    digits = text.replace(".", "", 1)
    if len(text) > MAX_DEADLINE_CHARS or not (digits.isascii() and digits.isdecimal()):
        return None
    wall = float(text)
    return wall if math.isfinite(wall) else None


def parse_count(text: str | None) -> int | None:
    """Return the number in a header, or none unless it has 1 to `MAX_DIGITS` decimal digits.

    `int` raises `ValueError` on thousands of digits, which a faulty peer may send.
    """
    if text is None or not (text.isascii() and text.isdecimal()) or len(text) > MAX_DIGITS:
        return None
    return int(text)


def is_writable(text: str) -> bool:
    """Return whether a text, encoded as UTF-8, can be the value of a header.

    It has no control characters but the tab, and no surrogates.
    """
    try:
        return _CONTROL_CHARACTERS.search(text.encode()) is None
    except UnicodeEncodeError:
        return False
