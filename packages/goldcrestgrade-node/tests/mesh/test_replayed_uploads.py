"""Replay of a burst of uploads over thin links, compared with bodies that are sent unasked."""

import asyncio
import random
import typing

import pytest

from goldcrestgrade import counters, instants, outcomes, reasons
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.endpoint import admission
from goldcrestgrade_node.mesh.entry import dispatch, retry_budget
from goldcrestgrade_node.mesh.state import directory, replica
from goldcrestgrade_node.mesh.transport import bodies, loads, requests
from goldcrestgrade_testing import virtual_time

NODES = 12
SLOTS = 6
SERVICE_TIME_S = 0.25
TARGET_S = 1.0
DEADLINE_S = 2.5
UPLOADS_PER_S = 20.0
PLAYS_PER_S = 150.0
SATURATING_PLAYS_PER_S = 260.0
BURST_FACTOR = 2.5
SECONDS = 6.0
PLACE = directory.Location("khomas-a", "khomas")
LINKS_MBPS = [5.0 if number % 2 else 100.0 for number in range(NODES)]


class Result(typing.NamedTuple):
    """How uploads ended, and what was sent for nothing."""

    uploads: int
    in_time: int
    late: int
    refused: int
    plays_in_time: int
    wasted_mb: float


class Fleet:
    """Nodes with an endpoint, a link and an entry each; `asks` is false for the former code."""

    def __init__(self, seed, asks):
        loop = asyncio.get_running_loop()
        self.clocks = instants.Clocks(loop.time, loop.time)
        self.rng = random.Random(seed)
        self.asks = asks
        self.links_free_at = [0.0] * NODES
        self.wasted_bytes = 0.0
        self.incoming_bytes = [0] * NODES
        self.ended = []
        self.controllers = [admission.AdmissionController(self.clocks) for _ in range(NODES)]
        for controller in self.controllers:
            controller.set_slots(SLOTS)
            controller.mean_service_time_s = SERVICE_TIME_S
        self.dispatchers = [self.dispatcher(number) for number in range(NODES)]

    def dispatcher(self, own):
        instances = directory.Directory()
        for number, link_mbps in enumerate(LINKS_MBPS):
            thin = link_mbps if self.asks and link_mbps < bodies.THIN_LINK_MBPS else 0.0
            row = directory.InstanceRow(
                str(number), "10.0.0.1", number + 1, PLACE, "archive", True, 1, thin
            )
            key = directory.INSTANCE_PREFIX + row.node_id
            position = tables.Position(1, number + 1)
            instances.apply_change(
                tables.Change(replica.MESH, key, position, directory.encode(row))
            )

        async def serve(instance, call):
            return await self.serve(own, int(instance.row.node_id), call)

        dispatcher = dispatch.Dispatcher(
            PLACE,
            instances,
            serve,
            retry_budget.Terms(0.2, 60, 10.0),
            self.clocks,
            counters.Counts(),
            self.rng,
        )
        if self.asks:
            dispatcher.offers.own_id, dispatcher.link_mbps = str(own), LINKS_MBPS[own]
        return dispatcher

    async def transfer(self, source, target, size):
        """Send `size` bytes, after what both links carry already."""
        if source == target or not size:
            return
        now = self.clocks.monotonic()
        start = max(now, self.links_free_at[source], self.links_free_at[target])
        end = start + bodies.transfer_s(size, LINKS_MBPS[source], LINKS_MBPS[target])
        free = self.links_free_at[source], self.links_free_at[target]
        self.links_free_at[source] = self.links_free_at[target] = end
        try:
            await asyncio.sleep(end - now)
        except asyncio.CancelledError:
            if self.clocks.monotonic() <= start:
                self.links_free_at[source], self.links_free_at[target] = free
            else:
                self.wasted_bytes += size * (self.clocks.monotonic() - start) / (end - start)
            raise

    async def serve(self, source, target, call):
        controller = self.controllers[target]
        size = len(call.body)
        if not self.asks:
            await self.transfer(source, target, size)
        await asyncio.sleep(0.001)
        if self.asks and source != target and self.is_link_full(target, call):
            full = outcomes.NotRun(reasons.Refusal.SATURATED, self.clocks.monotonic() + 0.3)
            return self.served(full, target)
        rejected = await controller.admit(call.admission_request())
        if rejected is not None:
            if not self.asks and source != target:
                self.wasted_bytes += size
            return self.served(
                outcomes.NotRun(reasons.Refusal.SATURATED, rejected.retry_at), target
            )
        if self.asks and size:
            controller.begin_hold()
            now = self.clocks.monotonic()
            until = bodies.body_deadline(size, LINKS_MBPS[target], call.deadline, now)
            remote_bytes = size if source != target else 0
            self.incoming_bytes[target] += remote_bytes
            try:
                async with asyncio.timeout_at(until):
                    await self.transfer(source, target, size)
            except TimeoutError:
                controller.end_hold()
                controller.release(completed=False)
                refused = outcomes.NotRun(reasons.Refusal.BODY_NOT_RECEIVED, until)
                return self.served(refused, target)
            finally:
                self.incoming_bytes[target] -= remote_bytes
            controller.end_hold()
        started, at_start = self.clocks.monotonic(), controller.load_snapshot()
        await asyncio.sleep(SERVICE_TIME_S * self.rng.lognormvariate(0, 0.3))
        controller.apply_load_report(loads.Load(controller.in_flight, 0, SLOTS, 1.0))
        elapsed_s = self.clocks.monotonic() - started
        controller.record_service_time(call.admission_request().route_key, elapsed_s, at_start)
        controller.release()
        return self.served(outcomes.Ran(outcomes.Answer(200, (), b"")), target)

    def is_link_full(self, target, call):
        return len(call.body) > 0 and bodies.is_link_full(
            self.incoming_bytes[target],
            len(call.body),
            LINKS_MBPS[target],
            call.deadline if call.late_allowed else call.target_at,
            self.clocks.monotonic(),
        )

    def served(self, outcome, target):
        arrived = isinstance(outcome, outcomes.Ran)
        return requests.Served(outcome, self.controllers[target].load(), arrived)

    async def request(self, at, size):
        await asyncio.sleep(at)
        now = self.clocks.monotonic()
        route = "upload" if size else "play"
        call = requests.Call(
            "", route, "archive", bool(size), 1, "c", "POST", "/", "", (), b"b" * size,
            now + TARGET_S, now + DEADLINE_S, large_body=bool(size),
        )  # fmt: skip
        outcome = await self.rng.choice(self.dispatchers).run(call, 2)
        in_time = self.clocks.monotonic() <= call.target_at
        ran = isinstance(outcome, outcomes.Ran)
        self.ended.append((route, "refused" if not ran else "in_time" if in_time else "late"))

    def arrivals(self, rate, draw_size):
        at = 0.0
        while at < SECONDS:
            at += self.rng.expovariate(rate)
            yield self.request(at, draw_size())

    def draw_size(self):
        return min(360_000, int(60_000 * self.rng.lognormvariate(-0.4, 0.9)))

    async def play(self, factor, plays_per_s):
        await asyncio.gather(
            *self.arrivals(UPLOADS_PER_S * factor, self.draw_size),
            *self.arrivals(plays_per_s, lambda: 0),
        )
        count = self.ended.count
        uploads = [count(("upload", kind)) for kind in ("in_time", "late", "refused")]
        plays = count(("play", "in_time"))
        return Result(sum(uploads), *uploads, plays, self.wasted_bytes / 1e6)


async def replay(seed, asks, factor, plays_per_s):
    return await Fleet(seed, asks).play(factor, plays_per_s)


def results(asks, factor=BURST_FACTOR, plays_per_s=PLAYS_PER_S):
    runs = [virtual_time.run(replay(seed, asks, factor, plays_per_s)) for seed in range(3)]
    return Result(*(sum(values) for values in zip(*runs, strict=True)))


def test_burst_of_uploads_wastes_few_bytes_and_has_more_answers_in_time():
    """Guards against bodies that are sent to nodes that reject them, or over links too thin."""
    current, former = results(asks=True), results(asks=False)
    print(current, former)
    assert current.wasted_mb < 0.1 * former.wasted_mb
    assert current.in_time / current.uploads > 1.05 * former.in_time / former.uploads
    assert current.late / current.uploads < 0.5 * former.late / former.uploads
    assert current.plays_in_time >= 0.98 * former.plays_in_time


@pytest.mark.parametrize("factor", [0.5, 1.0])
def test_usual_uploads_fare_no_worse_than_before(factor):
    """Guards against slots that held bodies keep from other requests."""
    current, former = results(True, factor), results(False, factor)
    print(current, former)
    assert current.in_time / current.uploads >= 0.99 * former.in_time / former.uploads
    assert current.plays_in_time >= 0.98 * former.plays_in_time


def test_burst_at_saturated_endpoints_is_shared_without_loss_in_all():
    """Guards against slots that are held for bodies while other requests could use them.

    The former code lost most uploads on the links, so that other requests had the slots to
    themselves; they now share them.
    """
    current = results(True, plays_per_s=SATURATING_PLAYS_PER_S)
    former = results(False, plays_per_s=SATURATING_PLAYS_PER_S)
    print(current, former)
    assert current.wasted_mb < 0.1 * former.wasted_mb
    assert current.in_time > 2 * former.in_time
    in_time = current.in_time + current.plays_in_time
    assert in_time >= 0.98 * (former.in_time + former.plays_in_time)
