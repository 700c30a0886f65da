"""How an attempt at an endpoint can end."""

from __future__ import annotations

import dataclasses
import typing

from goldcrestgrade import outcomes, reasons


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint answered; a large answer may have a rest still to be read."""

    answer: outcomes.Answer
    load: int | None
    """In-flight requests that the endpoint reported, if it did."""
    tag: typing.Literal["answered"] = "answered"


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The endpoint refused the request before it had any effect."""

    load: int | None
    tag: typing.Literal["shed"] = "shed"


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No byte of the request reached the endpoint, or too few for it to run."""

    text: str
    tag: typing.Literal["unreached"] = "unreached"


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The request was sent, but no complete and valid answer to it was received."""

    reason: reasons.Uncertainty
    reused: bool = False
    """Whether the connection had served a request before; the endpoint may have closed it since."""
    tag: typing.Literal["broken"] = "broken"


AttemptResult = Answered | Shed | Unreachable | Broken


def discard(result: AttemptResult) -> None:
    """Close the rest of an answer that is not used, so that its connection is freed."""
    if isinstance(result, Answered) and result.answer.rest is not None:
        result.answer.rest.close()
