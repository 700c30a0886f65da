"""Reads streamed answers in full, since several clients may receive the same answer."""

from __future__ import annotations

from goldcrestgrade import outcomes

MAX_ANSWER_BYTES = 4 << 20
"""Largest body of an answer to a run-once request."""


class AnswerTooLarge(Exception):
    """The body of an answer is larger than `MAX_ANSWER_BYTES`."""


async def read_in_full(answer: outcomes.Answer) -> outcomes.Answer:
    """Return `answer` with its complete body; raises `AnswerCut` or `AnswerTooLarge`."""
    if answer.rest is None:
        return answer
    parts = [answer.body]
    size = len(answer.body)
    try:
        while part := await answer.rest.read():
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise AnswerTooLarge
            parts.append(part)
    finally:
        answer.rest.close()
    return answer._replace(body=b"".join(parts), rest=None)
