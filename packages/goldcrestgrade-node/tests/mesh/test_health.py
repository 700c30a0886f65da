"""Health checks of the own endpoint."""

import asyncio
import contextlib
import random
import types

from goldcrestgrade import instants, routes
from goldcrestgrade_node.mesh.endpoint import coldness, endpoints, health
from goldcrestgrade_node.mesh.transport import dialect

NAMES = dialect.Dialect(**{name: f"x-{name}" for name in dialect.Dialect._fields})
SERVICE = routes.Service("archive", "/healthz", 9, 3.0, 6.0)


class ColdEndpoint:
    """Answers health checks as an endpoint that stays cold for two seconds."""

    def __init__(self):
        self.checks = 0

    def get(self, _url, **_options):
        @contextlib.asynccontextmanager
        async def answer():
            self.checks += 1
            await asyncio.sleep(0.006)
            headers = {
                NAMES.endpoint_id: "i-1",
                NAMES.warm_up_left: "2000",
                NAMES.load: "0,0,6,200",
            }
            yield types.SimpleNamespace(status=200, headers=headers)

        return answer()


async def test_endpoint_of_a_node_that_starts_is_checked_once():
    """Guards against two tokens of a cold endpoint for the same answer."""
    clocks = instants.system_clocks()
    session = ColdEndpoint()
    own = endpoints.OwnEndpoint(
        endpoints.ConfiguredEndpoint("10.0.0.1:80", "archive", "khomas-a"), clocks, lambda: None
    )
    table = types.SimpleNamespace(services={"archive": SERVICE})
    checks = health.HealthChecks(own, lambda: table, session, NAMES, clocks, random.Random(1))
    own.coldness.on_doubt = checks.request_pace_check
    tasks = [asyncio.create_task(checks.run()), asyncio.create_task(checks.run_pace_checks())]
    own.coldness.set_terms(coldness.terms(SERVICE, 1.5, 8))
    checks.request_check()
    await asyncio.sleep(0.2)
    for task in tasks:
        task.cancel()
    assert session.checks == 1
    assert own.coldness.is_known_cold()
