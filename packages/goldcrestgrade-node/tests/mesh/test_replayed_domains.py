"""Replays of a failure domain that is cut off, and of one whose evacuation ends, in virtual time.

The real dispatch, placement, admission and probes of 59 nodes run at the usual load of the heavy
deployment, against the former code, which knows unreachable instances only one by one.
"""

import asyncio
import collections
import itertools
import random
import typing

import pytest

from goldcrestgrade import counters, instants, outcomes, reasons
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.endpoint import admission
from goldcrestgrade_node.mesh.entry import dispatch, evacuation_ramp, reachability, retry_budget
from goldcrestgrade_node.mesh.state import directory, evacuations, replica
from goldcrestgrade_node.mesh.transport import connections, loads, peers, requests
from goldcrestgrade_testing import virtual_time

SERVICES = [("a", 22), ("b", 29), ("c", 8)]
PLACES = {"a": (0, 1, 2), "b": (3, 2, 3, 1), "c": (0, 0, 0, 0, 0, 0, 0, 1)}
"""Indexes of the failure domains of a service's endpoints, in turn; 15 of them are in `CUT`."""

DOMAINS = [
    directory.Location(f"{region}-{domain}", region)
    for region in ("khomas", "oshana")
    for domain in ("a", "b")
]
CUT = DOMAINS[1].failure_domain
RATE = 346.0
SLOTS = 6
SERVICE_TIME_S = 0.25
TARGET_S = 0.6
DEADLINE_S = 2.0
CUT_AT_S, CUT_UNTIL_S, END_S = 4.0, 9.0, 13.0
EVACUATED_S = 4.0
WINDOW_STEP_S = 0.25
COLD_RATE = 6.0
COLD_OVERAGE, COLD_SLACK = 1.5, 8


class Figures(typing.NamedTuple):
    """How the requests of one side ended, and the attempts that reached nothing."""

    in_time: int
    late: int
    refused: int
    wasted: int


class Returned(typing.NamedTuple):
    """Requests that reach the endpoints of a domain after its evacuation."""

    peaks: list[int]
    """Most requests of one endpoint within a second, for each start of the second."""
    totals: list[int]
    """Requests of all endpoints of the domain in each second."""
    in_time: int
    """Requests of all clients that ended in time."""


class Entry:
    """The entry role of one node."""

    def __init__(self, fleet, row):
        self.fleet = fleet
        self.row = row
        self.instances = directory.Directory()
        counts = counters.Counts()
        place = row.place
        self.reached = reachability.Reachability(
            row.node_id, place.failure_domain, self.instances.failure_domains, counts
        )
        self.evacuated = evacuations.Evacuations(fleet.clocks, counts)
        self.prober = peers.Prober(
            row.node_id, self.instances, None, None, fleet.clocks, self.reached
        )
        self.prober._is_alive = self.is_alive
        self.prober._remove = lambda _: asyncio.sleep(0)
        self.abandoned = collections.defaultdict(asyncio.Event)
        self.reached.on_unreachable = self.abandon
        self.reached.on_reached = self.probe_all
        self.dispatcher = dispatch.Dispatcher(
            place,
            self.instances,
            self.serve,
            retry_budget.Terms(0.2, 158, 10.0),
            fleet.clocks,
            counts,
            random.Random(row.node_id),
            self.evacuated,
            self.reached,
        )

    def abandon(self, domain):
        self.abandoned.pop(domain, asyncio.Event()).set()

    def probe_all(self, domain):
        for instance in self.instances.of_failure_domain(domain):
            instance.next_probe_at = 0.0

    async def is_alive(self, instance):
        cut = self.fleet.is_cut(self.row, instance.row)
        await asyncio.sleep(peers.PROBE_TIMEOUT_S if cut else 0.002)
        return not cut

    async def serve(self, instance, call):
        domain = instance.row.place.failure_domain
        if self.fleet.is_cut(self.row, instance.row):
            self.fleet.wasted[self.row.place.failure_domain == CUT] += 1
            try:
                async with asyncio.timeout(connections.CONNECT_TIMEOUT_S):
                    await self.abandoned[domain].wait()
            except TimeoutError:
                self.reached.record_silence(domain, instance.row.node_id)
            return None
        served = await self.fleet.serve(self.row.place, instance.row, call)
        self.reached.record_response(domain)
        return served


class Fleet:
    """59 instances in four failure domains of two regions."""

    def __init__(self, seed, cut=False):
        self.rng = random.Random(seed)
        self.clocks = instants.loop_clocks()
        self.cut = cut
        self.wasted = collections.Counter()
        self.ended = {True: [], False: []}
        self.arrivals = collections.defaultdict(list)
        places = [
            (name, DOMAINS[PLACES[name][number % len(PLACES[name])]])
            for name, count in SERVICES
            for number in range(count)
        ]
        self.rows = [
            directory.InstanceRow(f"n{number:02}", "10.0.0.1", number + 1, place, service, True, 1)
            for number, (service, place) in enumerate(places)
        ]
        self.controllers = {
            row.node_id: admission.AdmissionController(self.clocks) for row in self.rows
        }
        for controller in self.controllers.values():
            controller.set_slots(SLOTS)
            controller.mean_service_time_s = SERVICE_TIME_S
        self.entries = [Entry(self, row) for row in self.rows]
        for entry, row in itertools.product(self.entries, self.rows):
            position = tables.Position(1, row.port)
            key = directory.INSTANCE_PREFIX + row.node_id
            entry.instances.apply_change(
                tables.Change(replica.MESH, key, position, directory.encode(row))
            )

    def is_cut(self, own, other):
        now = self.clocks.monotonic()
        crosses = (own.place.failure_domain == CUT) != (other.place.failure_domain == CUT)
        return self.cut and crosses and CUT_AT_S <= now < CUT_UNTIL_S

    async def serve(self, place, row, call):
        one_way_s = 0.008 if place.region != row.place.region else 0.0005
        await asyncio.sleep(one_way_s)
        controller = self.controllers[row.node_id]
        rejected = await controller.admit(call.admission_request())
        if rejected is None:
            self.arrivals[row.node_id].append(self.clocks.monotonic())
            at_start = controller.load_snapshot()
            service_time_s = float(call.caller)
            await asyncio.sleep(service_time_s)
            controller.apply_load_report(loads.Load(controller.in_flight, 0, SLOTS, 1.0))
            controller.record_service_time("a r", service_time_s, at_start)
            controller.release()
            outcome = outcomes.Ran(outcomes.Answer(200, (), b""))
        else:
            outcome = outcomes.NotRun(reasons.Refusal.SATURATED, rejected.retry_at)
        load = controller.load()
        await asyncio.sleep(one_way_s)
        return requests.Served(outcome, load, rejected is None)

    async def request(self, at, entry, service, service_time_s):
        await asyncio.sleep(at)
        now = self.clocks.monotonic()
        call = requests.Call(
            "", "r", service, False, 1, "c", "GET", "/", "", (), b"",
            now + TARGET_S, now + DEADLINE_S,
        )  # fmt: skip
        outcome = await entry.dispatcher.run(call._replace(caller=str(service_time_s)), 2)
        how = "refused"
        if isinstance(outcome, outcomes.Ran):
            how = "in_time" if self.clocks.monotonic() <= call.target_at else "late"
        if at >= CUT_AT_S:
            self.ended[entry.row.place.failure_domain == CUT].append(how)

    def load(self, end_s):
        """Yield the same requests for each policy: instant, entry, service and service time."""
        at = 0.0
        while (at := at + self.rng.expovariate(RATE)) < end_s:
            (service,) = self.rng.choices(*zip(*SERVICES, strict=True))
            service_time_s = SERVICE_TIME_S * self.rng.lognormvariate(0, 0.3)
            yield at, self.rng.choice(self.entries), service, service_time_s

    async def play(self, end_s=END_S):
        probers = [asyncio.create_task(entry.prober.run()) for entry in self.entries]
        await asyncio.gather(*(self.request(*drawn) for drawn in list(self.load(end_s))))
        for prober in probers:
            prober.cancel()

    def figures(self, inside):
        """Return the figures of the clients inside the domain that is cut off, or outside it."""
        how = collections.Counter(self.ended[inside])
        return Figures(how["in_time"], how["late"], how["refused"], self.wasted[inside])


def cut_off(seed, monkeypatch, former):
    async def play():
        fleet = Fleet(seed, cut=True)
        await fleet.play()
        return fleet.figures(False), fleet.figures(True)

    with monkeypatch.context() as patched:
        if former:
            patched.setattr(reachability.Reachability, "record_silence", lambda *_: None)
        return virtual_time.run(play())


@pytest.mark.parametrize("seed", range(2))
def test_domain_cut_off_costs_fewer_attempts_and_late_requests_than_one_instance_by_one(
    seed, monkeypatch
):
    """Guards against a time-out at each instance of a silent domain, for request after request."""
    (outside, inside), (former_outside, former_inside) = (
        cut_off(seed, monkeypatch, former) for former in (False, True)
    )
    assert former_outside.wasted > 0
    assert outside.wasted < 0.6 * former_outside.wasted
    assert outside.late < 0.8 * former_outside.late
    assert outside.refused <= former_outside.refused
    assert inside.in_time >= 0.99 * former_inside.in_time


def returned(seed, monkeypatch, former):
    """Return what the endpoints of a domain get after the end of its evacuation."""

    async def play():
        fleet = Fleet(seed)
        key = evacuations.KEY_PREFIX + CUT
        for entry in fleet.entries:
            position = tables.Position(1, 1)
            entry.evacuated.apply_change(tables.Change(replica.CONFIGURATION, key, position, {}))

        async def end():
            await asyncio.sleep(EVACUATED_S)
            position = tables.Position(1, 2)
            for entry in fleet.entries:
                entry.evacuated.apply_change(
                    tables.Change(replica.CONFIGURATION, key, position, None)
                )

        ending = asyncio.create_task(end())
        await fleet.play()
        await ending
        arrivals = [
            [at - EVACUATED_S for at in fleet.arrivals[row.node_id]]
            for row in fleet.rows
            if row.place.failure_domain == CUT
        ]
        assert min(itertools.chain(*arrivals)) > 0.0
        starts = [step * WINDOW_STEP_S for step in range(32)]
        peaks = [
            max(sum(start <= at < start + 1 for at in one) for one in arrivals) for start in starts
        ]
        totals = [
            sum(second <= at < second + 1 for at in itertools.chain(*arrivals))
            for second in range(8)
        ]
        in_time = fleet.figures(False).in_time + fleet.figures(True).in_time
        return Returned(peaks, totals, in_time)

    with monkeypatch.context() as patched:
        if former:
            patched.setattr(evacuation_ramp, "share", lambda _: 1.0)
        return virtual_time.run(play())


@pytest.mark.parametrize("seed", range(2))
def test_endpoints_that_return_from_an_evacuation_are_not_overrun_while_they_are_cold(
    seed, monkeypatch
):
    """Guards against a step of requests to endpoints that look idle and crash while cold."""
    current, former = (returned(seed, monkeypatch, former) for former in (False, True))
    bound = COLD_RATE * COLD_OVERAGE + COLD_SLACK
    cold = round(evacuation_ramp.COLD_S / WINDOW_STEP_S)
    assert max(former.peaks[:cold]) > bound
    assert max(current.peaks[:cold]) <= bound
    assert current.totals[0] < 0.25 * former.totals[0]
    assert current.totals[-1] >= 0.8 * former.totals[-1]
    assert current.in_time >= 0.99 * former.in_time
