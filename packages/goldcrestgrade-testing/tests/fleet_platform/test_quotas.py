"""A quota holds over real node processes, and other workspaces are served meanwhile."""

import asyncio
import bisect
import collections
import time

from goldcrestgrade_node.mesh.quota import members
from goldcrestgrade_testing.fault_soak import checks
from goldcrestgrade_testing.fleet_platform import fleet

PLACEMENTS = {
    f"{domain}-{number}": fleet.Placement(domain, "r1", "archive")
    for domain in ("east", "west")
    for number in (1, 2)
}

RATE, BURST = 12, 6
"""Quota of the hot workspace: 92 requests in 5 s."""

TENANTS = [
    {"name": "hot", "api_keys": ["k-hot"], "priority": 1, "rate_per_s": RATE, "burst_size": BURST},
    {"name": "calm", "api_keys": ["k-calm"], "priority": 1, "rate_per_s": 30, "burst_size": 30},
]

JOIN_S = 5.0
"""Time after which all nodes of a new fleet accrue tokens."""


async def send(running_fleet, instances, key, pause_s, until, answers):
    """Send requests to the instances in turn; a killed one does not answer."""
    for count in range(100_000):
        if time.monotonic() >= until:
            return
        sent_at = time.monotonic()
        answer = await running_fleet.call(instances[count % len(instances)], "/archive/", key=key)
        answers.append((sent_at, answer))
        await asyncio.sleep(pause_s)


async def load(running_fleet, seconds):
    answers = collections.defaultdict(list)
    until = time.monotonic() + seconds
    *others, busy = running_fleet.instances
    await asyncio.gather(
        *(send(running_fleet, [busy], "k-hot", 0.03, until, answers["hot"]) for _ in range(2)),
        *(send(running_fleet, others, "k-hot", 0.08, until, answers["hot"]) for _ in range(2)),
        send(running_fleet, [busy, *others], "k-calm", 0.1, until, answers["calm"]),
    )
    return answers


def worst_window(answers):
    served = sorted(sent_at for sent_at, answer in answers if answer.status == 200)
    return max(
        last + 1 - bisect.bisect_right(served, at - checks.QUOTA_WINDOW_S)
        for last, at in enumerate(served)
    )


async def test_hot_workspace_is_held_within_its_quota_while_its_accounting_node_is_killed():
    """Guards against a quota that each node grants anew, and against one that starves workspaces
    when the node dies that accounts for them."""
    async with fleet.running(PLACEMENTS, tenants=TENANTS) as running_fleet:
        await asyncio.sleep(JOIN_S)
        loading = asyncio.create_task(load(running_fleet, 14.0))
        await asyncio.sleep(6.0)
        shard = members.shard("hot")
        killed = max(running_fleet.instances, key=lambda i: members.score(shard, i.name))
        killed.process.kill()
        killed_at = time.monotonic()
        answers = await loading
    hot, calm = answers["hot"], answers["calm"]
    allowed = (RATE * 5 + BURST) * (1 + fleet.QUOTA_OVERAGE) + fleet.QUOTA_SLACK
    assert worst_window(hot) <= allowed
    refused = [answer for _, answer in hot if answer.status == 429]
    assert refused
    assert all(float(answer.fields["retry-after"]) > 0 for answer in refused)
    assert len({answer.fields["retry-after"] for answer in refused}) > len(refused) / 2
    spans = ((killed_at - 5.0, killed_at), (killed_at + 2.0, killed_at + 7.0))
    for begin, end in spans:
        served_count = sum(
            answer.status == 200 and begin <= sent_at < end for sent_at, answer in hot
        )
        assert served_count >= 0.6 * RATE * (end - begin)
    reached = [answer for _, answer in calm if answer.status != 0]
    assert sum(answer.status == 200 for answer in reached) >= 0.95 * len(reached)
