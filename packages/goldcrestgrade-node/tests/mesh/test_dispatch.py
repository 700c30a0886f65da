"""Dispatch of client requests: instances tried, retry budget, and the outcome."""

import asyncio
import collections
import functools
import itertools
import random

import pytest

from goldcrestgrade import counters, instants, outcomes, reasons, routes
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.endpoint import admission
from goldcrestgrade_node.mesh.entry import dispatch, offers, reachability, retry_budget
from goldcrestgrade_node.mesh.state import directory, evacuations, replica
from goldcrestgrade_node.mesh.transport import loads, requests
from goldcrestgrade_testing import virtual_time

PLACE = directory.Location("khomas-a", "khomas")
IDLE = loads.Load(0, 0, 9, 1.0)
ANSWER = outcomes.Answer(200, (), b"whole")


def ran(status=200):
    return requests.Served(outcomes.Ran(ANSWER._replace(status=status)), IDLE, arrived=True)


def rejected(now, arrived=False, reason=reasons.Refusal.SATURATED):
    return requests.Served(outcomes.NotRun(reason, now + 0.1), IDLE, arrived)


def unknown():
    return requests.Served(outcomes.Unknown(reasons.Uncertainty.ANSWER_LOST), None, arrived=True)


class ScriptedInstances:
    """Instances that return prepared results, in the order in which they are tried."""

    def __init__(self, results, instances=4, slack=56):
        self.results = list(results)
        self.tried = []
        self.directory = directory.Directory()
        clocks = instants.system_clocks()
        self.now = clocks.monotonic()
        for number in range(instances):
            row = directory.InstanceRow(f"n{number}", "10.0.0.1", number + 1, PLACE, "s", True, 1)
            self.directory.apply_change(
                tables.Change(
                    replica.MESH,
                    directory.INSTANCE_PREFIX + row.node_id,
                    tables.Position(1, number + 1),
                    directory.encode(row),
                )
            )
        self.dispatcher = dispatch.Dispatcher(
            PLACE,
            self.directory,
            self.serve,
            retry_budget.Terms(0.2, slack, 10.0),
            clocks,
            counters.Counts(),
            random.Random(1),
        )

    async def serve(self, instance, _call):
        self.tried.append(instance.row.node_id)
        await asyncio.sleep(0)
        return self.results.pop(0)

    async def run(self, once=False, attempts=2, regions=None):
        call = requests.Call(
            "try", "r", "s", once, 1, "c", "GET", "/", "h", (), b"", self.now + 0.4, self.now + 0.8
        )
        call = call._replace(allowed_regions=regions)
        return await self.dispatcher.run(call, attempts)


async def test_rejected_request_is_resent_to_another_instance_at_once():
    now = instants.system_clocks().monotonic()
    scripted = ScriptedInstances([rejected(now), ran()])
    assert isinstance(await scripted.run(once=True), outcomes.Ran)
    assert len(set(scripted.tried)) == 2


async def test_run_once_request_with_an_unknown_outcome_is_not_resent():
    scripted = ScriptedInstances([unknown(), ran()])
    assert isinstance(await scripted.run(once=True), outcomes.Unknown)
    assert len(scripted.tried) == 1


async def test_run_once_request_is_resent_after_an_unreachable_instance():
    scripted = ScriptedInstances([None, ran()])
    assert isinstance(await scripted.run(once=True), outcomes.Ran)
    assert scripted.directory.by_id[scripted.tried[0]].failures == 1


async def test_rejection_of_a_resend_spends_no_retry_budget():
    now = instants.system_clocks().monotonic()
    scripted = ScriptedInstances([unknown(), rejected(now), ran()], slack=28)
    assert isinstance(await scripted.run(), outcomes.Ran)


async def test_request_reaches_no_more_endpoints_than_its_route_allows():
    scripted = ScriptedInstances([unknown(), unknown(), ran()])
    assert isinstance(await scripted.run(attempts=2), outcomes.Unknown)
    assert len(scripted.tried) == 2


async def test_request_shed_by_an_endpoint_counts_as_an_arrival():
    now = instants.system_clocks().monotonic()
    shed = rejected(now, arrived=True, reason=reasons.Refusal.ENDPOINT_REFUSED)
    scripted = ScriptedInstances([shed, shed, ran()])
    assert isinstance(await scripted.run(attempts=2), outcomes.NotRun)
    assert len(scripted.tried) == 2


async def test_endpoint_failure_is_returned_once_no_attempt_is_left():
    scripted = ScriptedInstances([ran(500), ran(500)])
    outcome = await scripted.run()
    assert outcome.answer.status == 500


async def test_refusal_carries_the_earliest_retry_time():
    now = instants.system_clocks().monotonic()
    scripted = ScriptedInstances([rejected(now)] * 8, instances=8)
    outcome = await scripted.run()
    assert outcome.reason == reasons.Refusal.SATURATED
    assert outcome.retry_at == pytest.approx(now + 0.1)
    assert len(scripted.tried) == offers.MAX_REJECTIONS


async def test_request_that_would_be_late_everywhere_is_refused_after_fewer_rejections():
    """Guards against hops for requests that take capacity from those that can be in time."""
    now = instants.system_clocks().monotonic()
    scripted = ScriptedInstances([rejected(now)] * 8, instances=8)
    for instance in scripted.directory.by_id.values():
        instance.load, instance.load_at = loads.Load(9, 90, 9, 1.0), now
    outcome = await scripted.run()
    assert outcome.reason == reasons.Refusal.SATURATED
    assert len(scripted.tried) == offers.MAX_LATE_REJECTIONS


async def test_request_is_sent_to_no_instance_outside_its_allowed_regions():
    scripted = ScriptedInstances([])
    outcome = await scripted.run(regions=frozenset({"elsewhere"}))
    assert outcome.reason == reasons.Refusal.REGION_NOT_ALLOWED and outcome.retry_at
    assert scripted.tried == []


async def test_service_without_instances_is_refused_at_once():
    scripted = ScriptedInstances([], instances=0)
    outcome = await scripted.run()
    assert outcome.reason == reasons.Refusal.NO_ENDPOINT
    assert scripted.tried == []


def test_service_is_drawn_by_the_weights_of_a_route():
    parts = (routes.Part("a", 90.0), routes.Part("b", 10.0))
    route = routes.Route("r", "h", "/", False, 0.4, 0.8, 1, 2, parts)
    rng = random.Random(1)
    drawn = [dispatch.draw_service(route, rng) for _ in range(2000)]
    assert 0.87 < drawn.count("a") / len(drawn) < 0.93


async def test_nodes_without_an_endpoint_do_not_count_as_saturated():
    now = instants.system_clocks().monotonic()
    no_endpoint = rejected(now, reason=reasons.Refusal.NO_ENDPOINT)
    scripted = ScriptedInstances([no_endpoint, no_endpoint, no_endpoint, ran()])
    assert isinstance(await scripted.run(once=True), outcomes.Ran)
    scripted = ScriptedInstances([no_endpoint] * 4)
    outcome = await scripted.run(once=True)
    assert outcome.reason == reasons.Refusal.NO_ENDPOINT
    assert outcome.retry_at == pytest.approx(now + 0.1)


@pytest.mark.parametrize("reason", [reasons.Refusal.NODE_STOPPING, reasons.Refusal.SATURATED])
async def test_node_that_accepts_no_requests_is_told_from_a_saturated_one(reason):
    now = instants.system_clocks().monotonic()
    scripted = ScriptedInstances([rejected(now, reason=reason)], instances=1)
    await scripted.run(once=True)
    instance = scripted.directory.by_id["n0"]
    is_unavailable = instance.unavailable_until == instance.backoff_until
    assert is_unavailable == (reason == reasons.Refusal.NODE_STOPPING)


FORWARDED_CALL = requests.Call(
    "try", "r", "s", True, 1, "c", "GET", "/", "h", (), b"", 0.0, 0.0, forward_allowed=True
)


async def forward(scripted, served):
    scripted.dispatcher.offers.own_id = "n0"
    call = FORWARDED_CALL._replace(target_at=scripted.now + 0.4, deadline=scripted.now + 0.8)
    return await scripted.dispatcher.forward(call, served)


async def test_request_of_another_region_that_is_rejected_here_goes_to_another_instance():
    """Guards against a trip between regions for each endpoint that is slow for a moment."""
    now = instants.system_clocks().monotonic()
    scripted = ScriptedInstances([rejected(now), ran()])
    served = await forward(scripted, rejected(now))
    assert isinstance(served.outcome, outcomes.Ran)
    assert served.arrived and served.forwarded
    assert len(scripted.tried) == 2 and "n0" not in scripted.tried


async def test_forwarded_request_reaches_one_endpoint_at_most():
    """Guards against a request that runs at more endpoints than its route and entry node allow."""
    now = instants.system_clocks().monotonic()
    scripted = ScriptedInstances([ran(500), ran()])
    served = await forward(scripted, rejected(now))
    assert served.outcome.answer.status == 500
    assert len(scripted.tried) == 1


async def test_request_that_all_instances_of_the_region_reject_did_not_run():
    now = instants.system_clocks().monotonic()
    scripted = ScriptedInstances([rejected(now)] * 3)
    served = await forward(scripted, rejected(now))
    assert isinstance(served.outcome, outcomes.NotRun)
    assert served.forwarded and not served.arrived
    assert len(scripted.tried) == dispatch.MAX_FORWARDS


@pytest.mark.parametrize(
    "served",
    [
        ran(500),
        unknown(),
        rejected(0.0, arrived=True, reason=reasons.Refusal.ENDPOINT_REFUSED),
        rejected(0.0, reason=reasons.Refusal.REGION_NOT_ALLOWED),
        rejected(0.0, reason=reasons.Refusal.EVACUATED),
    ],
)
async def test_request_that_may_have_run_or_may_not_run_here_is_not_forwarded(served):
    scripted = ScriptedInstances([ran()])
    assert await forward(scripted, served) == served
    assert scripted.tried == []


class LimitedFleet:
    """Five instances in virtual time with their real admission, two of them with a rate limit."""

    def __init__(self, reports_sustained_slots):
        clocks = instants.loop_clocks()
        self.directory = ScriptedInstances([], instances=5).directory
        self.controllers = {}
        self.rejections = collections.Counter()
        for number in range(5):
            controller = admission.AdmissionController(clocks)
            controller.set_slots(12)
            controller.set_rate_limit(6.0 if number < 2 else None)
            if not reports_sustained_slots:
                controller.load = functools.partial(self.load_without_rate, controller)
            self.controllers[f"n{number}"] = controller
        self.dispatcher = dispatch.Dispatcher(
            PLACE,
            self.directory,
            self.serve,
            retry_budget.Terms(0.2, 56, 10.0),
            clocks,
            counters.Counts(),
            random.Random(1),
        )
        self.clocks = clocks

    def load_without_rate(self, controller):
        return loads.Load(
            controller.in_flight,
            len(controller.queue),
            controller.limit,
            controller.current_pace(),
        )

    async def serve(self, instance, call):
        controller = self.controllers[instance.row.node_id]
        refused = await controller.admit(call.admission_request())
        if refused is not None:
            self.rejections[instance.row.node_id] += 1
            outcome = outcomes.NotRun(reasons.Refusal(refused.reason), refused.retry_at)
            return requests.Served(outcome, controller.load(), arrived=False)
        at_start, started = controller.load_snapshot(), self.clocks.monotonic()
        await asyncio.sleep(0.1)
        controller.apply_load_report(loads.Load(controller.in_flight, 0, 12, 1.0))
        controller.record_service_time("s", self.clocks.monotonic() - started, at_start)
        controller.release()
        return requests.Served(outcomes.Ran(ANSWER), controller.load(), arrived=True)

    async def run(self):
        """Return how the requests of 20 s end: tag of the outcome, and whether it was in time."""
        rng = random.Random(2)

        async def send(at):
            await asyncio.sleep(at)
            now = self.clocks.monotonic()
            call = requests.Call(
                "try", "r", "s", False, 1, "c", "GET", "/", "h", (), b"", now + 0.4, now + 1.0
            )
            outcome = await self.dispatcher.run(call, 2)
            return outcome.tag, self.clocks.monotonic() <= call.target_at

        gaps = (rng.expovariate(80.0) for _ in range(1600))
        return await asyncio.gather(*(send(at) for at in itertools.accumulate(gaps)))


def test_fewer_requests_are_sent_to_instances_whose_rate_limit_would_reject_them():
    async def play(reports_sustained_slots):
        fleet = LimitedFleet(reports_sustained_slots)
        return await fleet.run(), sum(fleet.rejections.values())

    current, rejections = virtual_time.run(play(True))
    former, former_rejections = virtual_time.run(play(False))
    assert rejections < 0.5 * former_rejections
    assert current.count(("ran", True)) >= former.count(("ran", True))


def evacuate(scripted, domain, present=True):
    position = tables.Position(1, 9 if present else 10)
    key = evacuations.KEY_PREFIX + domain
    value = {} if present else None
    scripted.dispatcher.offers.evacuations.apply_change(
        tables.Change(replica.CONFIGURATION, key, position, value)
    )


async def test_request_is_refused_at_once_if_its_failure_domains_are_evacuated():
    """Guards against attempts at endpoints that refuse, and a refusal without a time."""
    scripted = ScriptedInstances([])
    evacuate(scripted, PLACE.failure_domain)
    outcome = await scripted.run()
    assert outcome.reason == reasons.Refusal.EVACUATED
    assert outcome.retry_at >= scripted.now + offers.EVACUATED_RETRY_S
    assert scripted.tried == []


async def test_request_handed_back_by_an_evacuated_endpoint_goes_on_to_others():
    now = instants.system_clocks().monotonic()
    handed_back = rejected(now, reason=reasons.Refusal.EVACUATED)
    scripted = ScriptedInstances([handed_back] * 3 + [ran()])
    assert isinstance(await scripted.run(once=True), outcomes.Ran)


async def test_request_runs_in_a_domain_that_ramps_up_if_no_other_can_run_it():
    """Guards against refusals by the ramp itself."""
    scripted = ScriptedInstances([ran()] * 20)
    evacuate(scripted, PLACE.failure_domain)
    evacuate(scripted, PLACE.failure_domain, present=False)
    assert all([isinstance(await scripted.run(), outcomes.Ran) for _ in range(20)])


async def test_request_is_refused_at_once_if_its_failure_domains_are_unreachable():
    scripted = ScriptedInstances([])
    reached = scripted.dispatcher.offers.reachability
    for number in range(reachability.MIN_SILENT_INSTANCES):
        reached.record_silence(PLACE.failure_domain, f"n{number}")
    outcome = await scripted.run()
    assert outcome.reason == reasons.Refusal.DOMAIN_UNREACHABLE
    assert outcome.retry_at > scripted.now
    assert scripted.tried == []
