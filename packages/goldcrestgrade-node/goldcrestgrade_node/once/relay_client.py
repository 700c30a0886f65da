"""Sends run-once requests from the entry node to guards and resolves their outcomes."""

from __future__ import annotations

import itertools

from goldcrestgrade import instants, outcomes, reasons, statecharts
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import retries
from goldcrestgrade_node.once import messages, queries
from goldcrestgrade_node.routing import endpoint_stats

CHART = statecharts.load("goldcrestgrade_node.statecharts", "attempt")


class RelayClient:
    """Sends the attempts of an entry node to guards; owned by the event loop of the node."""

    def __init__(self, guard_client: messages.GuardClient, clocks: instants.Clocks) -> None:
        self.guard_client = guard_client
        self.clocks = clocks
        self.attempt_numbers = itertools.count(1)

    async def run(
        self, request: requests.Request, endpoint: endpoint_stats.EndpointStats
    ) -> outcomes.Outcome:
        """Return the outcome of `request` at the guard of `endpoint`."""
        attempt_id = f"{request.request_id}-{next(self.attempt_numbers)}"
        message = messages.Run(attempt_id, request, endpoint.incarnation)
        reply_deadline = min(request.deadline, self.clocks.monotonic() + queries.REPLY_TIMEOUT_S)
        state = CHART.initial
        try:
            verdict = await queries.request_verdict(
                self.guard_client, endpoint.control_url, message, reply_deadline
            )
            if isinstance(verdict, messages.Resolved):
                CHART.next_state(state, "settled")
                return verdict.outcome
        except messages.Unreachable:
            CHART.next_state(state, "unreached")
            return outcomes.NotRun(
                reasons.Refusal.GUARD_UNREACHED, self.clocks.monotonic() + retries.RETRY_AFTER_S
            )
        except messages.ReplyLost:
            pass
        state = CHART.next_state(state, "lost")
        return await self._resolve_attempt(message, endpoint.control_url, state)

    async def _resolve_attempt(
        self, message: messages.Run, control_url: str, state: str
    ) -> outcomes.Outcome:
        """Query the guard, on new connections, about an attempt whose reply was lost."""

        def make_query(reply_by: instants.Instant) -> messages.ResolveAttempt:
            return messages.ResolveAttempt(
                message.attempt_id, message.guard_incarnation, message.request.deadline, reply_by
            )

        deadline = message.request.deadline
        verdict = await queries.poll_verdict(
            self.guard_client, control_url, make_query, deadline, self.clocks
        )
        match verdict:
            case messages.Resolved(outcome=outcome):
                CHART.next_state(state, "settled")
                return outcome
            case messages.Running():
                CHART.next_state(state, "timed_out")
                return outcomes.Unknown(reasons.Uncertainty.TIMED_OUT)
            case _:
                CHART.next_state(state, "timed_out")
                return outcomes.Unknown(reasons.Uncertainty.GUARD_LOST)
