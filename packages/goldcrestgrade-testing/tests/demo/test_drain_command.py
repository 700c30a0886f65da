from __future__ import annotations

import asyncio
import random

import orjson

from goldcrestgrade import http_client
from goldcrestgrade_testing import letters_desk
from goldcrestgrade_testing.demo import deployment, load

SMALL = letters_desk.SHAPE._replace(services={"archive": ("khomas-a", "khomas-b")})

CALL_RATE = 40.0
LOAD_S = 9.0


async def test_drain_command_ends_under_load_and_cuts_no_call_off():
    async with (
        http_client.open_session(100, 30.0) as session,
        deployment.running(SMALL, session) as running,
    ):
        assert (await running.apply("2026-01-01")).exit_status == 0
        await running.wait_ready()
        drained, staying = running.instances
        callers = load.Callers(session, [staying], CALL_RATE, random.Random(1))
        calling = asyncio.create_task(callers.run(LOAD_S))
        result = await running.command("drain", drained.node_id, "--wait")
        starts = len(running.endpoints[drained.node_id].executions)
        report = await calling
    assert result.exit_status == 0
    assert orjson.loads(result.output)["idle"] is True
    assert len(running.endpoints[drained.node_id].executions) == starts
    assert (report.refusals, report.wrong) == ({}, 0)
