"""Calls of clients: instances tried, budgets, and what the outcome says."""

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


def sent_back(now, arrived=False, reason=reasons.Refusal.SATURATED):
    return requests.Served(outcomes.NotRun(reason, now + 0.1), IDLE, arrived)


def unknown():
    return requests.Served(outcomes.Unknown(reasons.Uncertainty.ANSWER_LOST), None, arrived=True)


class World:
    """Instances that answer with prepared results, in the order in which they are tried."""

    def __init__(self, results, instances=4, slack=56):
        self.results = list(results)
        self.tried = []
        self.known = directory.Directory()
        clocks = instants.system_clocks()
        self.now = clocks.monotonic()
        for number in range(instances):
            row = directory.InstanceRow(f"n{number}", "h", number + 1, PLACE, "s", True, 1)
            self.known.apply_change(
                tables.Change(
                    replica.MESH,
                    directory.INSTANCE_PREFIX + row.node_id,
                    number + 1,
                    directory.encode(row),
                )
            )
        self.dispatcher = dispatch.Dispatcher(
            PLACE,
            self.known,
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


async def test_call_that_was_sent_back_goes_to_another_instance_at_once():
    now = instants.system_clocks().monotonic()
    world = World([sent_back(now), ran()])
    assert isinstance(await world.run(once=True), outcomes.Ran)
    assert len(set(world.tried)) == 2


async def test_run_once_call_with_an_unknown_outcome_goes_nowhere_else():
    world = World([unknown(), ran()])
    assert isinstance(await world.run(once=True), outcomes.Unknown)
    assert len(world.tried) == 1


async def test_run_once_call_goes_on_from_an_instance_that_was_not_reached():
    world = World([None, ran()])
    assert isinstance(await world.run(once=True), outcomes.Ran)
    assert world.known.by_id[world.tried[0]].failures == 1


async def test_instance_that_sends_a_repeated_call_back_costs_no_budget():
    now = instants.system_clocks().monotonic()
    world = World([unknown(), sent_back(now), ran()], slack=28)
    assert isinstance(await world.run(), outcomes.Ran)


async def test_no_more_endpoints_see_a_call_than_its_route_allows():
    world = World([unknown(), unknown(), ran()])
    assert isinstance(await world.run(attempts=2), outcomes.Unknown)
    assert len(world.tried) == 2


async def test_endpoint_that_shed_a_call_counts_as_one_that_has_seen_it():
    now = instants.system_clocks().monotonic()
    shed = sent_back(now, arrived=True, reason=reasons.Refusal.ENDPOINT_REFUSED)
    world = World([shed, shed, ran()])
    assert isinstance(await world.run(attempts=2), outcomes.NotRun)
    assert len(world.tried) == 2


async def test_failure_of_an_endpoint_is_returned_where_no_other_may_be_asked():
    world = World([ran(500), ran(500)])
    outcome = await world.run()
    assert outcome.answer.status == 500


async def test_refusal_says_when_the_first_instance_is_free_again():
    now = instants.system_clocks().monotonic()
    world = World([sent_back(now)] * 3)
    outcome = await world.run()
    assert outcome.reason == reasons.Refusal.SATURATED
    assert outcome.retry_at == pytest.approx(now + 0.1)
    assert len(world.tried) == dispatch.MAX_SENT_BACK


async def test_service_without_instances_is_refused_at_once():
    world = World([], instances=0)
    outcome = await world.run()
    assert outcome.reason == reasons.Refusal.NO_ENDPOINT
    assert world.tried == []


def test_requests_are_divided_by_the_weights_of_a_route():
    parts = (routes.Part("a", 90.0), routes.Part("b", 10.0))
    route = routes.Route("r", "h", "/", False, 0.4, 0.8, 1, 2, parts)
    rng = random.Random(1)
    drawn = [dispatch.divide(route, rng) for _ in range(2000)]
    assert 0.87 < drawn.count("a") / len(drawn) < 0.93


async def test_nodes_without_an_endpoint_say_nothing_of_how_full_the_others_are():
    now = instants.system_clocks().monotonic()
    without = sent_back(now, reason=reasons.Refusal.NO_ENDPOINT)
    world = World([without, without, without, ran()])
    assert isinstance(await world.run(once=True), outcomes.Ran)
    world = World([without] * 4)
    outcome = await world.run(once=True)
    assert outcome.reason == reasons.Refusal.NO_ENDPOINT
    assert outcome.retry_at == pytest.approx(now + 0.1)
