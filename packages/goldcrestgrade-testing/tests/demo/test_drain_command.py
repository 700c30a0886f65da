from __future__ import annotations

import asyncio
import random

import orjson

from goldcrestgrade import http_client
from goldcrestgrade_testing import letters_desk
from goldcrestgrade_testing.demo import deployment, load

SMALL = letters_desk.SHAPE._replace(services={"archive": ("khomas-a", "khomas-b")})

REQUESTS_PER_S = 40.0
LOAD_S = 9.0


async def test_drain_command_finishes_under_load_and_no_request_is_refused():
    async with (
        http_client.open_session(100, 30.0) as session,
        deployment.running(SMALL, session) as running,
    ):
        assert (await running.apply("2026-01-01")).exit_status == 0
        await running.wait_ready()
        drained, staying = running.instances
        load_generator = load.LoadGenerator(session, [staying], REQUESTS_PER_S, random.Random(1))
        calling = asyncio.create_task(load_generator.run(LOAD_S))
        result = await running.command("drain", drained.node_id, "--wait")
        starts = len(running.endpoints[drained.node_id].executions)
        report = await calling
    assert result.exit_status == 0
    assert orjson.loads(result.output)["idle"] is True
    assert len(running.endpoints[drained.node_id].executions) == starts
    assert (report.refusals, report.wrong) == ({}, 0)
