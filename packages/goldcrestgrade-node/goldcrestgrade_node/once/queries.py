"""Queries to a guard, repeated on new connections until one gets a reply."""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade import instants
from goldcrestgrade_node.once import messages

REPLY_TIMEOUT_S = 1.0
"""Longest wait for a reply on one connection.

A guard whose request still runs replies `REPLY_MARGIN_S` before the wait ends.
"""

REPLY_MARGIN_S = 0.25
"""Time between the reply that a request still runs and the end of the wait for it."""

RETRY_DELAY_S = 0.1
"""Delay between a query without a reply and the next one."""

MAX_FAILURES = 3
"""Number of consecutive queries without a reply after which the guard is given up."""

MakeQuery = typing.Callable[[instants.Instant], messages.Message]
"""Builds a message that asks for a reply by the given deadline."""


async def request_verdict(
    guard_client: messages.GuardClient,
    control_url: str,
    message: messages.Message,
    deadline: instants.Instant,
) -> messages.Verdict:
    """Return the verdict on `message`; raises `Unreachable` or `ReplyLost`.

    A reply that belongs to another message counts as lost.
    """
    reply = await guard_client.exchange(control_url, message, deadline)
    if reply.attempt_id != message.attempt_id:
        raise messages.ReplyLost(f"reply to attempt {reply.attempt_id}, not {message.attempt_id}")
    return reply.verdict


async def poll_verdict(
    guard_client: messages.GuardClient,
    control_url: str,
    make_query: MakeQuery,
    deadline: instants.Instant,
    clocks: instants.Clocks,
) -> messages.Verdict | None:
    """Query a guard until its verdict is not `Running`, or until `deadline`.

    Return the last verdict, or None if no query got a reply or the last `MAX_FAILURES` got none.
    """
    verdict: messages.Verdict | None = None
    failures = 0
    while failures < MAX_FAILURES and clocks.monotonic() < deadline:
        reply_deadline = min(deadline, clocks.monotonic() + REPLY_TIMEOUT_S)
        try:
            verdict = await request_verdict(
                guard_client,
                control_url,
                make_query(reply_deadline - REPLY_MARGIN_S),
                reply_deadline,
            )
        except (messages.Unreachable, messages.ReplyLost):
            failures += 1
            await asyncio.sleep(min(RETRY_DELAY_S, max(0.0, deadline - clocks.monotonic())))
            continue
        if not isinstance(verdict, messages.Running):
            return verdict
        failures = 0
    return verdict if failures < MAX_FAILURES else None
