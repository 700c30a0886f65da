"""Replays of two saturated regions through the real placement, dispatch and admission decisions."""

import asyncio
import random
import typing

from goldcrestgrade import counters, instants, outcomes, reasons
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.endpoint import admission
from goldcrestgrade_node.mesh.entry import dispatch, placement, retry_budget
from goldcrestgrade_node.mesh.state import directory, replica
from goldcrestgrade_node.mesh.transport import loads, requests
from goldcrestgrade_testing import virtual_time

SLOTS = 8
SERVICE_TIME_S = 0.08
TARGET_S = 0.25
DEADLINE_S = 1.0
SECONDS = 20.0
LOCATIONS = [
    directory.Location(f"{region}-{domain}", region)
    for region in ("khomas", "oshana")
    for domain in ("a", "b")
]


def choose_late_anywhere(own, instances, tried, requirements, now, rng):
    """Choose as before: late requests may cross regions, after the own region."""
    usable = [
        instance
        for instance in instances
        if instance.row.node_id not in tried and placement.is_usable(instance, now)
    ]
    ranked = []
    for instance in usable:
        distance = placement.distance(own, instance.row.place)
        latency_s = placement.expected_latency_s(instance, requirements, distance == 2, now)
        in_time = latency_s <= (requirements.target_at - now) * placement.IN_TIME_SHARE
        rank = distance if in_time else placement.LATE_RANK + (distance == 2)
        choice = placement.Choice(instance, latency_s, in_time)
        ranked.append((rank, latency_s * rng.uniform(0.95, 1.05), choice))
    return min(ranked, key=lambda entry: entry[:2])[2] if ranked else None


class Result(typing.NamedTuple):
    """What clients got, and what it cost."""

    in_time: int
    served: int
    crossings: int


class Regions:
    """Two regions with an entry node each, and four endpoints."""

    def __init__(self, seed):
        loop = asyncio.get_running_loop()
        self.clocks = instants.Clocks(loop.time, loop.time)
        self.rng = random.Random(seed)
        self.controllers = {}
        self.crossings = 0
        self.outcomes = []
        for location in LOCATIONS:
            controller = admission.AdmissionController(self.clocks)
            controller.set_slots(SLOTS)
            controller.mean_service_time_s = SERVICE_TIME_S
            self.controllers[location.failure_domain] = controller
        self.dispatchers = [self.dispatcher(LOCATIONS[0]), self.dispatcher(LOCATIONS[2])]

    def dispatcher(self, own):
        instances = directory.Directory()
        for number, location in enumerate(LOCATIONS, 1):
            name = location.failure_domain
            row = directory.InstanceRow(name, "10.0.0.1", number, location, "archive", True, 1)
            key = directory.INSTANCE_PREFIX + name
            position = tables.Position(1, number)
            instances.apply_change(
                tables.Change(replica.MESH, key, position, directory.encode(row))
            )

        async def serve(instance, call):
            return await self.serve(own, instance, call)

        return dispatch.Dispatcher(
            own,
            instances,
            serve,
            retry_budget.Terms(0.2, 60, 10.0),
            self.clocks,
            counters.Counts(),
            self.rng,
        )

    async def serve(self, own, instance, call):
        crosses = placement.distance(own, instance.row.place) == 2
        self.crossings += crosses
        one_way_s = 0.008 if crosses else 0.0005
        await asyncio.sleep(one_way_s)
        controller = self.controllers[instance.row.node_id]
        rejected = await controller.admit(call.admission_request())
        if rejected is None:
            started, at_start = self.clocks.monotonic(), controller.load_snapshot()
            await asyncio.sleep(SERVICE_TIME_S * self.rng.lognormvariate(0, 0.3))
            controller.apply_load_report(loads.Load(controller.in_flight, 0, SLOTS, 1.0))
            elapsed_s = self.clocks.monotonic() - started
            controller.record_service_time("archive r", elapsed_s, at_start)
            controller.release()
            outcome = outcomes.Ran(outcomes.Answer(200, (), b""))
        else:
            outcome = outcomes.NotRun(reasons.Refusal.SATURATED, rejected.retry_at)
        load = controller.load()
        await asyncio.sleep(one_way_s)
        return requests.Served(outcome, load, rejected is None)

    async def request(self, at, dispatcher):
        await asyncio.sleep(at)
        now = self.clocks.monotonic()
        call = requests.Call(
            "", "r", "archive", False, 1, "c", "GET", "/", "", (), b"",
            now + TARGET_S, now + DEADLINE_S,
        )  # fmt: skip
        outcome = await dispatcher.run(call, 2)
        served = isinstance(outcome, outcomes.Ran)
        self.outcomes.append((served, self.clocks.monotonic() <= call.target_at))

    async def play(self, rate):
        arrivals = []
        for dispatcher in self.dispatchers:
            at = 0.0
            while at < SECONDS:
                at += self.rng.expovariate(rate)
                arrivals.append(self.request(at, dispatcher))
        await asyncio.gather(*arrivals)
        in_time = sum(served and early for served, early in self.outcomes)
        return Result(in_time, sum(served for served, _ in self.outcomes), self.crossings)


async def replay(rate, seed):
    return await Regions(seed).play(rate)


def results(rate):
    return [virtual_time.run(replay(rate, seed)) for seed in range(3)]


def test_saturated_regions_serve_as_many_with_far_fewer_requests_between_them(monkeypatch):
    current = results(240.0)
    monkeypatch.setattr(placement, "choose", choose_late_anywhere)
    former = results(240.0)
    assert sum(each.in_time for each in current) >= 0.98 * sum(each.in_time for each in former)
    assert sum(each.served for each in current) >= 0.98 * sum(each.served for each in former)
    assert sum(each.crossings for each in current) < 0.5 * sum(each.crossings for each in former)


def test_one_saturated_region_still_uses_the_other(monkeypatch):
    async def play():
        regions = Regions(1)
        regions.dispatchers.pop()
        return await regions.play(300.0)

    current = virtual_time.run(play())
    monkeypatch.setattr(placement, "choose", choose_late_anywhere)
    former = virtual_time.run(play())
    assert current.crossings > 0
    assert current.in_time >= 0.98 * former.in_time
