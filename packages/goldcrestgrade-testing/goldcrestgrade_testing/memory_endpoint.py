"""Endpoint in memory for simulations of run-once requests."""

from __future__ import annotations

import asyncio
import itertools
import random

from goldcrestgrade import outcomes, reasons
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results
from goldcrestgrade_testing import history


class Endpoint:
    """An endpoint that can crash and shed; adds its starts and answers to the history."""

    def __init__(
        self,
        name: str,
        service_times_s: tuple[float, ...],
        log: history.History,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.log = log
        self.rng = rng
        self.service_times_s = service_times_s
        self.shed_faults = 0
        self.up = True
        self.crashed = asyncio.Event()
        self.answer_numbers = itertools.count(1)

    async def start(self, request: requests.Request, _attempt_id: str) -> results.AttemptResult:
        """Run `request` for a random service time and return how the attempt ended."""
        if not self.up:
            return results.Unreachable("endpoint is not running")
        if self.shed_faults:
            return results.Shed(load=None)
        key = request.idempotency_key or ""
        now = asyncio.get_running_loop().time()
        self.log.add(history.Started(now, request.request_id, key, request.body, self.name))
        service_time_s = self.rng.choice(self.service_times_s)
        remaining_s = max(0.0, request.deadline - now)
        try:
            async with asyncio.timeout(min(service_time_s, remaining_s)):
                await self.crashed.wait()
        except TimeoutError:
            if remaining_s < service_time_s:
                return results.Broken(reasons.Uncertainty.TIMED_OUT)
            return self._answer(request, key)
        return results.Broken(reasons.Uncertainty.ENDPOINT_DIED)

    def _answer(self, request: requests.Request, key: str) -> results.Answered:
        body = b"%s %s %d" % (key.encode(), self.name.encode(), next(self.answer_numbers))
        now = asyncio.get_running_loop().time()
        self.log.add(history.Ended(now, request.request_id, key, body))
        return results.Answered(outcomes.Answer(200, (), body), load=None)

    def crash(self) -> None:
        """Stop accepting requests, and end those in flight without an answer."""
        self.up = False
        self.crashed.set()
        self.crashed = asyncio.Event()

    def restart(self) -> None:
        """Accept requests again."""
        self.up = True
