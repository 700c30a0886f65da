"""Simulated network between nodes and endpoints: delays, connections and byte counts."""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade import outcomes, reasons
from goldcrestgrade_node.attempts import pools, results, transport
from goldcrestgrade_testing.bench import endpoints, scenarios

LOCAL_DELAY_S = 0.0001
"""One-way delay within a failure domain."""

CONNECT_DURATION_S = 0.001
"""Time to open a connection."""


REQUEST_BYTES = 600
"""Size of a request with its headers."""

ANSWER_BODY = bytes(2500)
"""Body of every answer with status 200."""


class Connection:
    """A pooled connection; once it is silent, it carries no more bytes."""

    def __init__(self) -> None:
        self.silent = False


class Link:
    """The connections of one node to one endpoint; owned by the event loop of the run."""

    def __init__(
        self,
        endpoint: endpoints.Endpoint,
        delay_s: float,
        crosses_regions: bool,
        service_time_factors: typing.Mapping[str, float],
    ) -> None:
        self.endpoint = endpoint
        self.delay_s = delay_s
        self.crosses_regions = crosses_regions
        self.service_time_factors = service_time_factors
        self.idle: list[Connection] = []
        self.busy: set[Connection] = set()
        self.cross_region_bytes = 0
        self.attempts = 0

    def silence(self) -> None:
        """Make every open connection silent."""
        for connection in (*self.idle, *self.busy):
            connection.silent = True

    async def send(self, attempt: transport.Attempt) -> results.AttemptResult:
        """Send one attempt to the endpoint and return its result after the network delays."""
        self.attempts += 1
        if self.endpoint.unreachable:
            await asyncio.sleep(pools.CONNECT_TIMEOUT_S)
            return results.Unreachable("connection timed out")
        connection = self.idle.pop() if self.idle else await self._connect()
        self.busy.add(connection)
        try:
            async with asyncio.timeout_at(attempt.request.deadline):
                result = await self._exchange(attempt, connection)
        except TimeoutError:
            return results.Broken(reasons.Uncertainty.TIMED_OUT)
        finally:
            self.busy.discard(connection)
        self.idle.append(connection)
        return result

    async def _connect(self) -> Connection:
        await asyncio.sleep(CONNECT_DURATION_S)
        return Connection()

    async def _exchange(
        self, attempt: transport.Attempt, connection: Connection
    ) -> results.AttemptResult:
        if connection.silent:
            await asyncio.get_running_loop().create_future()
        self._count_bytes(REQUEST_BYTES)
        await asyncio.sleep(self.delay_s)
        result = await self.endpoint.serve(self.service_time_factors[attempt.request.request_id])
        if isinstance(result, results.Answered) and result.answer.status == 200:
            result = results.Answered(outcomes.Answer(200, (), ANSWER_BODY), result.load)
            self._count_bytes(len(ANSWER_BODY))
        await asyncio.sleep(self.delay_s)
        if connection.silent:
            await asyncio.get_running_loop().create_future()
        return result

    def _count_bytes(self, count: int) -> None:
        if self.crosses_regions:
            self.cross_region_bytes += count


def delay_s(
    deployment: scenarios.Deployment, source: scenarios.Placement, target: scenarios.Placement
) -> float:
    """Return the one-way delay between two instances."""
    if source.region != target.region:
        return deployment.region_delay_s
    if source.failure_domain != target.failure_domain:
        return deployment.domain_delay_s
    return LOCAL_DELAY_S
