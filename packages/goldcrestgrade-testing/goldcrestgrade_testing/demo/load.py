"""Load generator for a deployment, through its nodes and directly to its endpoints."""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
import time
import typing
import uuid

import aiohttp
import orjson
from hdrh import histogram

from goldcrestgrade import headers
from goldcrestgrade_testing import shapes

RUN_ONCE_INTERVAL = 10
"""Requests whose number is a multiple of this are run-once requests.

The others go alternately through a node and directly to an endpoint.
"""

SENDS_PER_KEY = 2
"""How often each run-once request is sent, with the same idempotency key."""

MAX_LATENCY_US = 60_000_000
"""Largest latency that the histograms record, in microseconds."""

CONNECTION_LOST = "connection lost"
"""Reason counted for a request whose connection broke before its answer was complete."""


class Report(typing.NamedTuple):
    """What the load generator observed."""

    answered: int
    refusals: typing.Mapping[str, int]
    """Number of requests that got no answer with status 200, by reason."""
    wrong: int
    """Number of answers that were incomplete or belonged to another request."""
    keys: frozenset[str]
    """Idempotency keys of the run-once requests."""
    through: histogram.HdrHistogram
    direct: histogram.HdrHistogram


class LoadGenerator:
    """Sends requests to a deployment; owned by one task."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        instances: typing.Sequence[shapes.InstanceSpec],
        requests_per_s: float,
        rng: random.Random,
    ) -> None:
        self.session = session
        self.instances = instances
        self.requests_per_s = requests_per_s
        self.rng = rng
        self.leaving: set[str] = set()
        """Ids of the nodes to which no more requests are sent."""
        self.answered = 0
        self.wrong = 0
        self.refusals: collections.Counter[str] = collections.Counter()
        self.keys: set[str] = set()
        self.through = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        self.direct = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)

    async def run(self, load_s: float) -> Report:
        """Send requests for `load_s` seconds at random intervals, without waiting for answers."""
        loop = asyncio.get_running_loop()
        stop_at = loop.time() + load_s
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                if loop.time() >= stop_at:
                    break
                group.create_task(self._send_numbered(number))
                await asyncio.sleep(self.rng.expovariate(self.requests_per_s))
        return Report(
            self.answered,
            dict(self.refusals),
            self.wrong,
            frozenset(self.keys),
            self.through,
            self.direct,
        )

    async def _send_numbered(self, number: int) -> None:
        entry_nodes = [
            instance for instance in self.instances if instance.node_id not in self.leaving
        ]
        entry_node = self.rng.choice(entry_nodes)
        target = self.rng.choice(
            [instance for instance in entry_nodes if instance.region == entry_node.region]
        )
        path = f"/letters/{number}"
        if number % RUN_ONCE_INTERVAL == 0:
            await self._post(entry_node, target.service, path)
        elif number % 2:
            await self._get(entry_node.calls_url, target.service, path, self.through)
        else:
            await self._get(target.endpoint_url, target.service, path, self.direct)

    async def _get(
        self, url: str, service: str, path: str, latencies: histogram.HdrHistogram
    ) -> None:
        started = time.perf_counter()
        if await self._send("GET", url, {headers.SERVICE: service}, path, None):
            latencies.record_value(int((time.perf_counter() - started) * 1e6))

    async def _post(self, entry_node: shapes.InstanceSpec, service: str, path: str) -> None:
        key = uuid.UUID(int=self.rng.getrandbits(128)).hex
        self.keys.add(key)
        fields = {headers.SERVICE: service, headers.IDEMPOTENCY_KEY: key}
        for _ in range(SENDS_PER_KEY):
            await self._send("POST", entry_node.calls_url, fields, path, key)

    async def _send(
        self, method: str, url: str, fields: dict[str, str], path: str, key: str | None
    ) -> bool:
        """Send a request and check its answer; return whether its status was 200."""
        try:
            async with self.session.request(
                method, url + path, headers=fields, data=b"letter" if key else None
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError):
            self.refusals[CONNECTION_LOST] += 1
            return False
        if response.status != 200:
            self.refusals[response.headers.get(headers.REASON, str(response.status))] += 1
            return False
        document = orjson.loads(body)
        self.answered += 1
        self.wrong += document["path"] != path or document["key"] != key
        return True
