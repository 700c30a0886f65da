"""Open-loop load generator in a process of its own.

It sends requests alternately through a node and directly to an endpoint.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import random
import subprocess
import sys
import time
import typing
import uuid

import aiohttp
import orjson
import pydantic
import typing_extensions
from hdrh import histogram

from goldcrestgrade import headers, http_client

MAX_LATENCY_US = 60_000_000
"""Largest latency that the histograms record, in microseconds."""


class Plan(typing_extensions.TypedDict):
    """What one process of the load generator sends."""

    direct_urls: list[str]
    node_url: str
    service: str
    rate: float
    """Requests per second on each of the two paths."""
    warm_up_s: float
    load_s: float
    seed: int
    run_once: typing_extensions.NotRequired[bool]
    """Whether each request is a POST with its own idempotency key."""


class Result(typing_extensions.TypedDict):
    """What one process of the load generator measured; the histograms are encoded as text."""

    direct: str
    through: str
    lag: str
    """Time from the planned to the actual start of the requests."""
    calls: int
    """Requests through the node, including those of the warm-up."""
    failures: int


PLAN: pydantic.TypeAdapter[Plan] = pydantic.TypeAdapter(Plan)
RESULT: pydantic.TypeAdapter[Result] = pydantic.TypeAdapter(Result)


def new_histogram() -> typing.Any:
    """Return an empty histogram of latencies in microseconds."""
    return histogram.HdrHistogram(1, MAX_LATENCY_US, 3)


def decode(encoded: str) -> typing.Any:
    """Return the histogram encoded as text in `encoded`."""
    return histogram.HdrHistogram.decode(encoded)


class LoadGenerator:
    """Sends and times the requests of one process; owned by one task."""

    def __init__(self, session: aiohttp.ClientSession, plan: Plan) -> None:
        self.session = session
        self.plan = plan
        self.rng = random.Random(plan["seed"])
        self.direct = new_histogram()
        self.through = new_histogram()
        self.lag = new_histogram()
        self.calls = 0
        self.failures = 0

    async def run(self) -> Result:
        """Send the requests of the plan at their times, without waiting for earlier answers."""
        started_at = time.perf_counter()
        record_from = started_at + self.plan["warm_up_s"]
        stop_at = record_from + self.plan["load_s"]
        due_at = started_at
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                due_at += self.rng.expovariate(2 * self.plan["rate"])
                if due_at >= stop_at:
                    break
                await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
                group.create_task(
                    self._send_request(number % 2 == 0, due_at, due_at >= record_from)
                )
        return Result(
            direct=self.direct.encode().decode(),
            through=self.through.encode().decode(),
            lag=self.lag.encode().decode(),
            calls=self.calls,
            failures=self.failures,
        )

    async def _send_request(self, through: bool, due_at: float, recorded: bool) -> None:
        self.calls += through
        url = self.plan["node_url"] if through else self.rng.choice(self.plan["direct_urls"])
        sent_at = time.perf_counter()
        try:
            answered = await self._receives_answer(url)
        except (aiohttp.ClientError, OSError):
            answered = False
        ended_at = time.perf_counter()
        self.failures += not answered
        if recorded and answered:
            latencies = self.through if through else self.direct
            latencies.record_value(int((ended_at - sent_at) * 1e6))
            self.lag.record_value(max(1, int((sent_at - due_at) * 1e6)))

    async def _receives_answer(self, url: str) -> bool:
        fields = {headers.SERVICE: self.plan["service"]}
        method = "GET"
        if self.plan.get("run_once"):
            method = "POST"
            fields[headers.IDEMPOTENCY_KEY] = uuid.UUID(int=self.rng.getrandbits(128)).hex
        async with self.session.request(method, url, headers=fields) as response:
            return response.status == 200 and bool(await response.read())


async def run_in_process(plan: Plan) -> Result:
    """Execute `plan` in a separate process and return its measurements."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", __spec__.name, orjson.dumps(plan).decode(), stdout=subprocess.PIPE
    )
    output, _ = await process.communicate()
    return RESULT.validate_json(output)


async def _main(plan: Plan) -> None:
    async with http_client.open_session(1000, 30.0) as session:
        gc.freeze()
        gc.set_threshold(50_000)
        print(orjson.dumps(await LoadGenerator(session, plan).run()).decode())


if __name__ == "__main__":
    asyncio.run(_main(PLAN.validate_json(sys.argv[1])))
