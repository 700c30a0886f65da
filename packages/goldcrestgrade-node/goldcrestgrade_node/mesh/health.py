"""Health checks of the own endpoint, made only while it is not known."""

from __future__ import annotations

import asyncio
import logging
import random
import typing

import aiohttp

from goldcrestgrade import instants, routes
from goldcrestgrade_node.mesh import dialect, endpoints, loads

log = logging.getLogger(__name__)

TIMEOUT_S = 1.0
"""Longest wait for the answer to a health check."""

INTERVAL_BASE_S = 0.1
"""Time before the second check; doubles up to `INTERVAL_LIMIT_S`."""

INTERVAL_LIMIT_S = 1.0
"""Longest time between checks of an endpoint that is not known."""


PACE_INTERVAL_S = 0.08
"""Shortest time between checks for the pace; keeps their rate far below the endpoint's bound."""


class HealthChecks:
    """The task that looks for the own endpoint; owned by the event loop of the node."""

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
        self.first_check_done = asyncio.Event()
        """Set once the endpoint's address was asked, whatever came back."""
        self.on_load: typing.Callable[[loads.Load], None] = lambda _: None

    def request_check(self) -> None:
        """Have the endpoint checked, unless it is known by then."""
        self.check_requested.set()

    def request_pace_check(self) -> None:
        """Have the endpoint tell its pace, since requests are judged by an old one."""
        self.pace_check_requested.set()

    async def run_pace_checks(self) -> None:
        """Check for the pace whenever that is wanted, until cancelled."""
        while True:
            await self.pace_check_requested.wait()
            await self.check()
            await asyncio.sleep(PACE_INTERVAL_S)
            self.pace_check_requested.clear()

    async def run(self) -> None:
        """Check whenever that is wanted, until the endpoint is known; until cancelled."""
        while True:
            await self.check_requested.wait()
            self.check_requested.clear()
            delay_s = INTERVAL_BASE_S
            while self.own.current is None or self.own.unreachable:
                await self.check()
                if self.own.usable() is not None:
                    break
                await asyncio.sleep(delay_s * self.rng.uniform(0.8, 1.2))
                delay_s = min(INTERVAL_LIMIT_S, 2 * delay_s)

    async def check(self) -> None:
        """Ask the endpoint once who it is and whether it is well."""
        table = self.table()
        service = None if table is None else table.services.get(self.own.configured.service)
        if service is None:
            return
        try:
            async with self.session.get(
                f"http://{self.own.configured.address}{service.health_path}",
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                endpoint_id = response.headers.get(self.names.endpoint_id)
                load = loads.parse(response.headers.get(self.names.load))
                healthy = response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            log.info("endpoint not found by a health check", extra={"error": repr(error)})
            self.first_check_done.set()
            return
        log.info(
            "endpoint checked",
            extra={"endpoint": endpoint_id, "healthy": healthy, "load": load},
        )
        if load is not None:
            self.on_load(load)
        if endpoint_id is not None:
            self.own.apply_health_check(endpoint_id, None if load is None else load.slots, healthy)
        self.first_check_done.set()
