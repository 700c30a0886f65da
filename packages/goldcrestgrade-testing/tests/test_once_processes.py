from __future__ import annotations

import asyncio
import uuid

from goldcrestgrade import headers
from goldcrestgrade_testing import deployments, endpoint_server

SLOW = endpoint_server.Behaviour(service_time_s=1.5, jitter_share=0.0)
KEYS = [uuid.UUID(int=n).hex for n in range(8)]
KILL_DELAY_S = 0.7


async def post(deployment, key: str) -> tuple[int, str | None, bytes]:
    """Send a POST through the first node; return status, outcome and body."""
    fields = {headers.SERVICE: deployments.SERVICE, headers.IDEMPOTENCY_KEY: key}
    url = f"{deployment.instances[0].calls_url}/letters"
    async with deployment.session.post(url, headers=fields, data=b"letter") as response:
        return response.status, response.headers.get(headers.OUTCOME), await response.read()


async def test_requests_of_a_killed_guard_are_unknown_and_stay_unknown():
    async with deployments.running(2, SLOW) as deployment:
        requests = [asyncio.create_task(post(deployment, key)) for key in KEYS]
        await asyncio.sleep(KILL_DELAY_S)
        deployment.instances[1].node.kill()
        first = await asyncio.gather(*requests)
        again = await asyncio.gather(*(post(deployment, key) for key in KEYS))
    unknown = [n for n, (_, outcome, _) in enumerate(first) if outcome == "unknown"]
    assert unknown
    assert [n for n, (_, outcome, _) in enumerate(again) if outcome == "unknown"] == unknown
    ran = [n for n in range(len(KEYS)) if n not in unknown]
    assert [first[n][0] for n in ran] == [200] * len(ran)
    assert [again[n][2] for n in ran] == [first[n][2] for n in ran]
