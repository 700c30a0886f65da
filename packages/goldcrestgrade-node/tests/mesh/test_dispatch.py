"""Dispatch of client requests: instances tried, retry budget, and the outcome."""

import asyncio
import random

import pytest

from goldcrestgrade import counters, instants, outcomes, reasons, routes
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import directory, dispatch, loads, replica, requests, retry_budget

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
            row = directory.InstanceRow(f"n{number}", "h", number + 1, PLACE, "s", True, 1)
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

    async def run(self, once=False, attempts=2):
        call = requests.Call(
            "try", "r", "s", once, 1, "c", "GET", "/", "h", (), b"", self.now + 0.4, self.now + 0.8
        )
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
    scripted = ScriptedInstances([rejected(now)] * 3)
    outcome = await scripted.run()
    assert outcome.reason == reasons.Refusal.SATURATED
    assert outcome.retry_at == pytest.approx(now + 0.1)
    assert len(scripted.tried) == dispatch.MAX_REJECTIONS


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
