"""Questions to a guard, asked again on new connections until one is answered."""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade import instants
from goldcrestgrade_node.once import messages

REPLY_TIMEOUT_S = 1.0
"""Longest wait on one connection; the guard replies that a request still runs before."""

REPLY_MARGIN_S = 0.25
"""Time between the reply that a request still runs and the end of the wait for it."""

RETRY_DELAY_S = 0.1
"""Time between two questions."""

MAX_FAILURES = 3
"""Consecutive questions without a reply after which the guard counts as gone."""

MakeQuery = typing.Callable[[instants.Instant], messages.Message]
"""Makes a message whose reply is wanted by the given instant."""


async def request_verdict(
    guard_client: messages.GuardClient,
    control_url: str,
    message: messages.Message,
    deadline: instants.Instant,
) -> messages.Verdict:
    """Return the verdict on `message`; raises `Unreached`, or `Lost` for a crossed reply too."""
    reply = await guard_client.exchange(control_url, message, deadline)
    if reply.attempt_id != message.attempt_id:
        raise messages.ReplyLost("reply to another message")
    return reply.verdict


async def poll_verdict(
    guard_client: messages.GuardClient,
    control_url: str,
    make_query: MakeQuery,
    deadline: instants.Instant,
    clocks: instants.Clocks,
) -> messages.Verdict | None:
    """Return the verdict at the latest at `deadline`, or none where the guard does not reply."""
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
