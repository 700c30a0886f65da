"""Messages by which nodes pass tokens on, as JSON.

Tokens travel only in answers, each of which the asking node uses once. A lost answer destroys its
tokens.
"""

from __future__ import annotations

import enum
import math
import typing

import orjson

from goldcrestgrade_node.mesh.quota import ledger

PATH = "/mesh/quota"
"""Path of the relay address that takes the messages."""

MAX_LOTS = 256
"""Largest number of lots of one workspace in an answer; a bucket has some 17 slices."""

MAX_NUMBER = 1e15
"""Largest number of tokens, rate or age in milliseconds; none that nodes write is nearly as large.

Sums and quotients of such numbers are finite.
"""


class Kind(enum.StrEnum):
    """Who asks whom."""

    WITHDRAW = "withdraw"
    """A node asks the accounting node of its region."""
    COLLECT = "collect"
    """The accounting node asks a node of its region for what it does not need."""
    BORROW = "borrow"
    """The accounting node asks that of another region."""


class Ask(typing.NamedTuple):
    """A message that asks for tokens."""

    kind: Kind
    node_id: str
    """The node that asks."""
    wanted: dict[str, float]
    """Number of tokens by workspace; all that are not needed if the kind is `COLLECT`."""


def encode_ask(ask: Ask) -> bytes:
    """Return the body of a message."""
    wanted = {name: round(tokens, 4) for name, tokens in ask.wanted.items()}
    return orjson.dumps({"kind": ask.kind, "node_id": ask.node_id, "wanted": wanted})


def decode_ask(body: bytes) -> Ask:
    """Return the message in a body; raises `ValueError`."""
    try:
        document = orjson.loads(body)
        wanted = {str(name): _number(tokens) for name, tokens in document["wanted"].items()}
        return Ask(Kind(document["kind"]), str(document["node_id"]), wanted)
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(repr(error)) from error


def encode_answer(offers: ledger.Offers) -> bytes:
    """Return the body of an answer; workspaces without tokens are left out."""
    # Rounded down, so that no token is gained.
    return orjson.dumps(
        {
            name: [offer.rate, [(age, math.floor(n * 1e6) / 1e6) for age, n in offer.lots]]
            for name, offer in offers.items()
            if offer.lots
        }
    )


def decode_answer(body: bytes) -> ledger.Offers:
    """Return the tokens in an answer; raises `ValueError`."""
    try:
        return {
            str(name): ledger.Offer(
                _number(rate),
                [(int(_number(age)), _number(tokens)) for age, tokens in lots[:MAX_LOTS]],
            )
            for name, (rate, lots) in orjson.loads(body).items()
        }
    except (AttributeError, TypeError) as error:
        raise ValueError(repr(error)) from error


def _number(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"must be a number, not {value!r}")
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"must be a number from 0 to {MAX_NUMBER}, not {value!r}")
    return value
