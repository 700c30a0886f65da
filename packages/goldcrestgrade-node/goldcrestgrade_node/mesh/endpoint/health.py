"""Health checks of the own endpoint, made while it is unknown or unreachable, or for its pace."""

from __future__ import annotations

import asyncio
import logging
import random
import typing

import aiohttp

from goldcrestgrade import instants, outcomes, routes
from goldcrestgrade_node.mesh.endpoint import endpoints
from goldcrestgrade_node.mesh.transport import dialect, loads, signals

log = logging.getLogger(__name__)

TIMEOUT_S = 1.0
"""Timeout of a health check."""

INTERVAL_BASE_S = 0.1
"""Backoff before the second check; doubles up to `INTERVAL_LIMIT_S`."""

INTERVAL_LIMIT_S = 1.0
"""Longest backoff between checks of an endpoint that is unknown or unreachable."""

MAX_PACE_WAIT_S = 0.05
"""Longest wait of a request for a report of the pace; several times a usual health check."""

PACE_INTERVAL_S = 0.08
"""Shortest time between checks for the pace.

It keeps the rate of checks far below the 60 per second that an endpoint is allowed to get.
"""


class HealthChecks:
    """The tasks that check the own endpoint; owned by the node's event loop."""

    def __init__(
        self,
        own: endpoints.OwnEndpoint,
        table: typing.Callable[[], routes.RouteTable | None],
        session: aiohttp.ClientSession,
        names: dialect.Dialect,
        clocks: instants.Clocks,
        rng: random.Random,
    ) -> None:
        self.own = own
        self.table = table
        self.session = session
        self.names = names
        self.clocks = clocks
        self.rng = rng
        self.check_requested = asyncio.Event()
        self.pace_check_requested = asyncio.Event()
        self.pace_check: asyncio.Task[None] | None = None
        """Check that requests wait for."""
        self.first_check_done = asyncio.Event()
        """Set once a first health check has ended, whatever its result."""
        self.on_load: typing.Callable[[loads.Load], None] = lambda _: None
        self.on_missing_load: typing.Callable[[], None] = lambda: None

    def request_check(self) -> None:
        """Request a check of the endpoint, skipped if none is needed by then."""
        self.check_requested.set()

    def request_pace_check(self) -> None:
        """Request a check for the endpoint's pace, because admission depends on an old report.

        Not while the endpoint is known to be cold, since checks count in its warm-up rate.
        """
        if not self.own.coldness.is_known_cold():
            self.pace_check_requested.set()

    async def refresh_pace(self) -> None:
        """Wait until the endpoint has reported its pace, `MAX_PACE_WAIT_S` at most.

        Requests that wait at the same time share one check.
        """
        if self.pace_check is None or self.pace_check.done():
            self.pace_check = asyncio.create_task(self.check())
        await asyncio.wait({self.pace_check}, timeout=MAX_PACE_WAIT_S)

    async def run_pace_checks(self) -> None:
        """Check for the pace whenever that is requested, until cancelled."""
        while True:
            await self.pace_check_requested.wait()
            if self.own.current is None:
                # The check that makes the endpoint known reports its pace too.
                self.request_check()
            else:
                await self.check()
            await asyncio.sleep(PACE_INTERVAL_S)
            self.pace_check_requested.clear()

    async def run(self) -> None:
        """Check on request, repeated until the endpoint is known and reachable; until cancelled."""
        while True:
            await self.check_requested.wait()
            self.check_requested.clear()
            delay_s = INTERVAL_BASE_S
            while self.own.needs_check():
                await self.check()
                if self.own.usable() is not None:
                    break
                await asyncio.sleep(delay_s * self.rng.uniform(0.8, 1.2))
                delay_s = min(INTERVAL_LIMIT_S, 2 * delay_s)

    async def check(self) -> None:
        """Ask the endpoint once for its id, health and load."""
        table = self.table()
        service = None if table is None else table.services.get(self.own.service_to_check())
        if service is None:
            return
        begun = self.own.coldness.begin_check()
        try:
            async with self.session.get(
                f"http://{self.own.configured.address}{service.health_path}",
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                if response.status not in outcomes.FINAL_STATUSES:
                    raise aiohttp.ClientPayloadError(f"status {response.status}")
                endpoint_id = response.headers.get(self.names.endpoint_id)
                load = loads.parse(response.headers.get(self.names.load))
                healthy = response.status == 200
                fields = {name.lower(): value for name, value in response.headers.items()}
                latest = signals.parse(fields, self.names)
                cold_s = signals.parse_warm_up_left(fields, self.names)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            if isinstance(error, aiohttp.ClientConnectorError):
                self.own.coldness.record_refused_check()
            log.info(
                "health check failed; the endpoint keeps its previous state",
                extra={"error": repr(error)},
            )
            self.own.discard_candidate()
            self.first_check_done.set()
            return
        log.info(
            "endpoint checked",
            extra={"endpoint": endpoint_id, "healthy": healthy, "load": load},
        )
        if load is not None:
            self.on_load(load)
        else:
            self.on_missing_load()
        if endpoint_id is not None:
            # An incarnation that this check makes known is the one that it describes.
            up_to_date = begun.doubts == self.own.coldness.doubts
            self.own.apply_health_check(endpoint_id, None if load is None else load.slots, healthy)
            self.own.record_health_answer(signals.Report(endpoint_id, latest), healthy)
            if self.own.current is not None and self.own.current.endpoint_id == endpoint_id:
                if up_to_date:
                    begun = begun._replace(doubts=self.own.coldness.doubts)
                self.own.coldness.record_check(begun, cold_s)
        else:
            self.own.discard_candidate()
        self.first_check_done.set()
