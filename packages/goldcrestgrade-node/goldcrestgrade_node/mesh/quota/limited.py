"""Charges each request of a client once, whatever its number of attempts."""

from __future__ import annotations

import typing

from goldcrestgrade import outcomes
from goldcrestgrade_node.mesh.quota import exchange
from goldcrestgrade_node.mesh.transport import requests

Run = typing.Callable[[requests.Call, int], typing.Awaitable[outcomes.Outcome]]
"""Runs a request at the given number of endpoints at most."""


def limited(run: Run, quotas: exchange.Quotas) -> Run:
    """Return a function that runs requests as `run` does, within the quota of their workspace.

    A request that certainly did not run gets its token back. One without a workspace, or whose
    workspace has no quota, is not charged.
    """

    async def run_charged(call: requests.Call, attempts: int) -> outcomes.Outcome:
        if call.workspace not in quotas.ledger.quotas:
            return await run(call, attempts)
        charged = await quotas.charge(call.workspace)
        if isinstance(charged, outcomes.NotRun):
            return charged
        outcome = await run(call, attempts)
        if isinstance(outcome, outcomes.NotRun):
            quotas.ledger.give_back(call.workspace, charged)
        return outcome

    return run_charged
