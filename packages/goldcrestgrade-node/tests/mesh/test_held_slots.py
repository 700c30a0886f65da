"""Slots at the own endpoint that are held for a body."""

import asyncio
import contextlib
import itertools
import types

import pytest

from goldcrestgrade import instants, outcomes, reasons
from goldcrestgrade_node.mesh.endpoint import admission, endpoints, local, refused_attempts
from goldcrestgrade_node.mesh.transport import connections, dialect, requests
from goldcrestgrade_testing import raw_endpoint

NAMES = dialect.Dialect(**{name: f"x-{name}" for name in dialect.Dialect._fields})


async def respond(_, writer):
    writer.write(
        raw_endpoint.answer(b"ok", fields=f"{NAMES.attempt_id}: 1\r\n{NAMES.signature}: s\r\n")
    )


@contextlib.asynccontextmanager
async def runner():
    """Yield the runner of an endpoint, the endpoint, and the refusals that the node returns."""
    refusals = []
    clocks = instants.system_clocks()
    known = endpoints.Endpoint("e", 100, 1, 1, draining=False)
    own = types.SimpleNamespace(
        answered=True,
        service=lambda: "s",
        usable=lambda: known,
        record_answer=lambda _: None,
        coldness=types.SimpleNamespace(is_check_awaited=lambda: False),
    )
    hooks = local.Hooks(
        lambda _: refusals[0] if refusals else None,
        *[lambda *_: None] * 2,
        None,
        *[lambda *_: None] * 2,
    )
    controller = admission.AdmissionController(clocks)
    controller.set_slots(1)
    controller.reports_pace = False
    async with raw_endpoint.serving(respond) as endpoint:
        pool = connections.ConnectionPool(f"127.0.0.1:{endpoint.port}")
        yield local.LocalRunner(own, controller, pool, NAMES, hooks, clocks), endpoint, refusals
        pool.close_idle()


def call():
    now = instants.system_clocks().monotonic()
    return requests.Call(
        "1",
        "r",
        "s",
        True,
        1,
        "c",
        "POST",
        "/",
        "h",
        ((NAMES.attempt_id, "1"),),
        b"",
        now + 1,
        now + 2,
    )


async def test_body_is_fetched_after_admission_and_its_wait_is_no_service_time():
    """Guards against service times that include the transfer of bodies."""
    async with runner() as (local_runner, endpoint, _):
        controller = local_runner.controller

        async def fetch():
            assert (controller.in_flight, controller.at_endpoint) == (1, 0)
            await asyncio.sleep(0.3)
            return b"body"

        served = await local_runner.serve(call(), fetch)
        assert isinstance(served.outcome, outcomes.Ran)
        assert [request.body for request in endpoint.requests] == [b"body"]
        assert controller.service_times_s["s r"] < 0.2
        assert (controller.in_flight, controller.held) == (0, 0)


async def test_request_without_its_body_is_not_run_and_gives_back_its_slot():
    """Guards against a slot that is lost, and a request that runs with a part of its body."""
    async with runner() as (local_runner, endpoint, _):

        async def fetch():
            return reasons.Refusal.BODY_NOT_RECEIVED

        served = await local_runner.serve(call(), fetch)
        assert served.outcome.reason == reasons.Refusal.BODY_NOT_RECEIVED
        assert not served.arrived
        assert (local_runner.controller.in_flight, local_runner.controller.held) == (0, 0)
        assert endpoint.requests == []


async def test_refusal_that_began_while_the_body_came_is_applied():
    """Guards against a request that reaches an endpoint after its node stopped sending any."""
    async with runner() as (local_runner, endpoint, refusals):

        async def fetch():
            refusals.append(local.Refused(reasons.Refusal.NODE_STOPPING, 0.0))
            return b"body"

        served = await local_runner.serve(call(), fetch)
        assert served.outcome.reason == reasons.Refusal.NODE_STOPPING
        assert endpoint.requests == []
        assert local_runner.controller.in_flight == 0


@pytest.mark.parametrize("failure", [asyncio.CancelledError, OSError])
async def test_fetch_that_fails_gives_back_the_slot(failure):
    """Guards against a slot that stays held after an error."""
    async with runner() as (local_runner, _, _):

        async def fetch():
            raise failure

        with pytest.raises(failure):
            await local_runner.serve(call(), fetch)
        assert (local_runner.controller.in_flight, local_runner.controller.held) == (0, 0)


async def test_heartbeat_while_the_connection_is_opened_costs_no_request():
    """Guards against a request rejected as unreachable since a heartbeat has another sequence."""
    async with runner() as (local_runner, endpoint, _):
        beats = itertools.count(1)
        local_runner.own.usable = lambda: endpoints.Endpoint("e", 100, next(beats), 1, False)
        served = await local_runner.serve(call())
        assert isinstance(served.outcome, outcomes.Ran)
        assert len(endpoint.requests) == 1


async def test_replacement_while_the_connection_is_opened_keeps_the_request_from_it():
    """Guards against a request at an incarnation that it was not admitted for."""
    async with runner() as (local_runner, endpoint, _):
        starts = itertools.count(100)
        local_runner.own.usable = lambda: endpoints.Endpoint("e", next(starts), 1, 1, False)
        served = await local_runner.serve(call())
        assert served.outcome.reason == reasons.Refusal.ENDPOINT_UNREACHED
        assert endpoint.requests == []


@pytest.mark.parametrize("run_once", [False, True])
@pytest.mark.parametrize("iterations", range(6))
async def test_client_that_leaves_as_its_request_is_admitted_gives_back_the_slot(
    iterations, run_once
):
    """Guards against a slot that is lost with a task that was cancelled before its first step."""
    async with runner() as (local_runner, _, _):
        controller = local_runner.controller
        assert await controller.admit(call().admission_request()) is None
        request = call()._replace(run_once=run_once)
        leaving = asyncio.create_task(local_runner.serve(request))
        while not controller.queue:
            await asyncio.sleep(0)
        controller.release()
        for _ in range(iterations):
            await asyncio.sleep(0)
        leaving.cancel()
        await asyncio.gather(leaving, *local_runner.in_flight_tasks, return_exceptions=True)
        await asyncio.sleep(0)
        assert controller.in_flight == 0
        assert isinstance((await local_runner.serve(call())).outcome, outcomes.Ran)


@pytest.mark.parametrize("run_once", [False, True])
@pytest.mark.parametrize("echoed", ["", f"{NAMES.attempt_id}: 1\r\n"])
@pytest.mark.parametrize(
    "refusal", [("421 Misdirected", ""), ("503 Busy", f"{NAMES.not_run}: 1\r\n")]
)
async def test_refusal_counts_for_a_run_once_request_only_if_it_echoes_its_id(
    refusal, echoed, run_once
):
    """Guards against a refusal of another request, after which this one would run twice."""

    async def refuse(_, writer):
        status, fields = refusal
        writer.write(raw_endpoint.answer(status=status, fields=fields + echoed))

    async with runner() as (local_runner, endpoint, _):
        endpoint.respond = refuse
        local_runner.own.record_replacement = lambda: None
        outcome = (await local_runner.serve(call()._replace(run_once=run_once))).outcome
        assert outcome.tag == ("not_run" if echoed or not run_once else "unknown")


async def test_attempt_that_the_endpoint_refused_is_not_sent_to_it_again():
    """Guards against a repeated refusal that is taken for the answer to the second try."""
    left = [("503 Busy", f"{NAMES.not_run}: 1\r\n"), ("200 OK", f"{NAMES.signature}: s\r\n")]

    async def refuse_first(request, writer):
        status, fields = left.pop(0)
        fields += f"{NAMES.attempt_id}: {request.field(NAMES.attempt_id)}\r\n"
        writer.write(raw_endpoint.answer(status=status, fields=fields))

    async with runner() as (local_runner, endpoint, _):
        endpoint.respond = refuse_first
        assert (await local_runner.serve(call())).arrived
        again = await local_runner.serve(call())
        assert again.outcome.reason == reasons.Refusal.ENDPOINT_REFUSED
        assert not again.arrived
        other = call()._replace(attempt_id="2", headers=((NAMES.attempt_id, "2"),))
        assert isinstance((await local_runner.serve(other)).outcome, outcomes.Ran)
        assert len(endpoint.requests) == 2


async def test_refused_attempts_are_forgotten_after_their_deadlines():
    clocks = instants.system_clocks()
    refused = refused_attempts.RefusedAttempts(clocks)
    refused.record("1", clocks.monotonic() + 0.01)
    refused.record("2", clocks.monotonic() + 5.0)
    assert "1" in refused and "2" in refused
    await asyncio.sleep(0.02)
    refused.record("3", clocks.monotonic() + 5.0)
    assert list(refused.deadlines) == ["2", "3"]


@pytest.mark.parametrize("field", [f"{NAMES.load}: 1,1,", "keep-alive: timeout="])
async def test_answer_with_a_number_of_too_many_digits_is_passed_on(field):
    """Guards against an exception in place of the answer of a request that ran."""

    async def respond_with_number(_, writer):
        fields = f"{NAMES.attempt_id}: 1\r\n{NAMES.signature}: s\r\n{field}{'9' * 5000}\r\n"
        writer.write(raw_endpoint.answer(b"ok", fields=fields))

    async with runner() as (local_runner, endpoint, _):
        endpoint.respond = respond_with_number
        assert isinstance((await local_runner.serve(call())).outcome, outcomes.Ran)
