"""The whole path with real processes, against the stand-ins of the platform."""

import asyncio
import signal
import time

import orjson
import pytest

from goldcrestgrade_testing.fleet_platform import endpoint, fleet, store

PLACES = {
    "east-1": fleet.Place("east", "r1", "archive"),
    "east-2": fleet.Place("east", "r1", "intake"),
    "west-1": fleet.Place("west", "r1", "archive"),
}

CONFIG_APPLY_S = 2.0
"""Time in which a configuration must be in force on a node that reaches the store or a peer."""

GRACE_S = 6.0
"""Time between SIGTERM and SIGKILL."""

STORE_BACK_S = 2.0
"""Time after the store's return in which rows must be back."""


@pytest.fixture
async def running():
    async with fleet.running(PLACES) as found:
        yield found


async def eventually(holds, within_s):
    deadline = time.monotonic() + within_s
    while not await holds():
        assert time.monotonic() < deadline, "not in time"
        await asyncio.sleep(0.05)


async def test_requests_reach_the_endpoint_beside_another_node(running):
    east_1, east_2, _ = running.instances
    answer = await running.call(east_2, "/archive/letters")
    assert answer.status == 200
    assert answer.body == b"body of " + answer.attempt.encode()
    assert answer.fields["x-attempt-id"] == answer.attempt
    assert (
        answer.fields["x-upstream-signature"] == f"{east_1.endpoint.endpoint_id}.{answer.attempt}"
    )
    assert east_1.endpoint.calling_services[answer.attempt] == "intake"
    assert 0 < east_1.endpoint.deadlines_ms[answer.attempt] <= 1000
    assert east_1.endpoint.expected_instances == {east_1.endpoint.endpoint_id}
    missing = await running.call(east_2, "/nothing/here")
    assert missing.status == 404


async def test_run_once_requests_run_once_whatever_goes_wrong_with_answers(running):
    east_2 = running.instances[1]
    for kind in ("cut", "reset", "spoiled", "doubled", "late", "unframed", "lost"):
        for instance in running.instances:
            instance.endpoint.fail_next_answers(endpoint.AnswerFault(kind, 1))
        for _ in range(4):
            answer = await running.call(east_2, "/archive/file/x", "POST")
            runs = running.runs(answer.attempt)
            assert runs <= 1, kind
            assert answer.status in (200, 502), kind
            if answer.status == 200:
                assert runs == 1
                assert answer.body == b"body of " + answer.attempt.encode(), kind
        for instance in running.instances:
            instance.endpoint.answer_faults.clear()


async def test_idempotent_requests_are_sent_again_after_a_broken_answer(running):
    east_1, east_2, _ = running.instances
    east_1.endpoint.fail_next_answers(endpoint.AnswerFault("lost", 1))
    for _ in range(20):
        answer = await running.call(east_2, "/archive/letters")
        assert answer.status == 200
        if not east_1.endpoint.answer_faults:
            break
    assert running.runs(answer.attempt) == 2


async def test_refusals_say_truly_that_nothing_ran_and_when_to_come_back(running):
    for instance in running.instances:
        instance.endpoint.behaviour.slots = 1
        instance.endpoint.behaviour.service_time_s = 0.3
    await asyncio.sleep(3 * fleet.HEARTBEAT_S)
    answers = await asyncio.gather(
        *(running.call(running.instances[1], "/archive/file/x", "POST") for _ in range(24))
    )
    refused = [answer for answer in answers if answer.status == 503]
    assert refused
    for answer in refused:
        assert running.runs(answer.attempt) == 0
        assert float(answer.fields["retry-after"]) > 0
        assert answer.took_s < 0.5
    assert {answer.status for answer in answers} <= {200, 502, 503}
    assert all(running.runs(answer.attempt) <= 1 for answer in answers)


async def test_draining_endpoint_gets_no_new_work_and_requests_go_elsewhere(running):
    east_1, east_2, west_1 = running.instances
    east_1.endpoint.behaviour.draining = True
    await asyncio.sleep(3 * fleet.HEARTBEAT_S)
    before = sum(east_1.endpoint.run_counts.values())
    answers = [await running.call(east_2, "/archive/letters") for _ in range(10)]
    assert {answer.status for answer in answers} == {200}
    assert sum(east_1.endpoint.run_counts.values()) == before
    assert sum(west_1.endpoint.run_counts.values()) >= 10


async def test_endpoint_at_a_reused_address_runs_nothing_meant_for_the_former(running):
    east_1, east_2, _ = running.instances
    await running.call(east_2, "/archive/letters")
    await running.replace_endpoint(east_1, "i-other")
    answers = [await running.call(east_2, "/archive/letters") for _ in range(20)]
    assert {answer.status for answer in answers} <= {200}
    assert east_1.endpoint.expected_instances <= {"i-other", "i-east-1-1"}

    async def runs_again():
        await running.call(east_1, "/archive/letters")
        return bool(sum(east_1.endpoint.run_counts.values()))

    await eventually(runs_again, 5.0)


async def test_configuration_is_in_force_in_time_also_on_a_node_cut_from_the_store(running):
    east_2 = running.instances[1]
    east_2.store_access.outage = store.Outage.SILENT
    await asyncio.sleep(1.0)
    running.configure(fleet.route("moved", "/moved/", {"archive": 1}))

    async def moved():
        answers = [await running.call(i, "/moved/x") for i in running.instances]
        return {answer.status for answer in answers} == {200}

    await eventually(moved, CONFIG_APPLY_S)


async def test_store_that_forgot_its_history_still_brings_new_configurations(running):
    running.store.drop_history()
    await asyncio.sleep(0.2)
    running.configure(fleet.route("moved", "/moved/", {"archive": 1}))

    async def moved():
        return (await running.call(running.instances[2], "/moved/x")).status == 200

    await eventually(moved, CONFIG_APPLY_S)


async def test_node_started_while_the_store_is_down_serves_soon_after_its_return(running):
    east_1 = running.instances[0]
    for instance in running.instances:
        instance.store_access.outage = store.Outage.BUSY
    east_1.process.kill()
    east_1.process.wait()
    running.start(east_1)

    async def listens():
        return (await running.call(east_1, "/archive/letters")).status != 0

    await eventually(listens, fleet.READY_S)
    await asyncio.sleep(2.0)
    assert not await running.ready(east_1)
    refused = await running.call(east_1, "/archive/letters")
    assert refused.status == 503 and "retry-after" in refused.fields
    for instance in running.instances:
        instance.store_access.outage = store.Outage.NONE

    async def ready():
        return await running.ready(east_1)

    await eventually(ready, STORE_BACK_S)


async def test_invalid_configuration_leaves_the_last_good_one_in_force(running):
    east_2 = running.instances[1]
    running.store.write("op", "config", {"version": 99, "listeners": "none"})
    await asyncio.sleep(0.5)
    assert (await running.call(east_2, "/archive/letters")).status == 200
    assert "configuration not valid" in running.log(running.instances[0])


async def test_changed_settings_are_reloaded_and_faulty_ones_ignored(running):
    east_1 = running.instances[0]
    path = running.folder / "east-1.json"
    path.write_bytes(b"{}")
    east_1.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.5)
    assert east_1.process.poll() is None
    changed = {**running.settings(east_1), "resend_slack": 7}
    path.write_bytes(orjson.dumps(changed))
    await asyncio.sleep(1.5)
    log = running.log(east_1)
    assert "settings not valid" in log
    assert '"changed":{"resend_slack":7.0}' in log
    assert (await running.call(east_1, "/archive/letters")).status == 200


async def test_planned_stop_cuts_off_no_request(running):
    east_1 = running.instances[0]
    for instance in running.instances:
        instance.endpoint.behaviour.service_time_s = 0.2
    calls = [asyncio.create_task(running.call(east_1, "/archive/file/x", "POST")) for _ in range(3)]
    await asyncio.sleep(0.1)
    east_1.process.terminate()
    await asyncio.sleep(0.05)
    assert not await running.ready(east_1)
    calls += [asyncio.create_task(running.call(east_1, "/archive/letters"))]
    answers = await asyncio.gather(*calls)
    assert {answer.status for answer in answers} == {200}
    assert await asyncio.to_thread(east_1.process.wait, 6.0) == 0


async def test_node_that_stops_under_steady_calls_takes_no_new_ones_and_answers_the_last(running):
    east_1 = running.instances[0]
    for instance in running.instances:
        instance.endpoint.behaviour.service_time_s = 0.3
        instance.endpoint.behaviour.slots = 16
    await asyncio.sleep(3 * fleet.HEARTBEAT_S)
    answers = []

    async def call_until_gone():
        while east_1.process.poll() is None:
            answers.append(await running.call(east_1, "/archive/letters"))
            if answers[-1].status != 200:
                await asyncio.sleep(0.02)

    callers = [asyncio.create_task(call_until_gone()) for _ in range(6)]
    await asyncio.sleep(0.5)
    east_1.process.terminate()
    stopped_at = time.monotonic()
    assert await asyncio.to_thread(east_1.process.wait, 6.0) == 0
    assert time.monotonic() - stopped_at < GRACE_S - 1.5
    await asyncio.gather(*callers)
    cut = [answer for answer in answers if answer.status == 0 and running.runs(answer.attempt)]
    assert cut == []
    assert {answer.status for answer in answers} <= {0, 200, 503}


async def test_endpoint_is_used_while_its_stopping_node_waits_for_clients_to_notice(running):
    east_1, east_2, west_1 = running.instances
    await running.call(east_2, "/archive/letters")
    east_1.process.terminate()
    await eventually(lambda: _not_ready(running, east_1), 1.0)
    before = sum(east_1.endpoint.run_counts.values())
    answers = [await running.call(east_2, "/archive/file/x", "POST") for _ in range(10)]
    assert {answer.status for answer in answers} == {200}
    assert sum(east_1.endpoint.run_counts.values()) >= before + 10
    calls = []
    while east_1.process.poll() is None:
        calls.append(await running.call(east_2, "/archive/file/x", "POST"))
    assert {answer.status for answer in calls} == {200}
    assert sum(west_1.endpoint.run_counts.values()) > 0


async def _not_ready(running, instance):
    return not await running.ready(instance)


async def test_request_that_crashes_endpoints_is_refused_at_all_nodes(running):
    for instance in running.instances:
        instance.endpoint.behaviour.crash_marker = "poison"
    for number in range(1, 4):
        await running.call(running.instances[1], "/archive/poison")
        for instance in (running.instances[0], running.instances[2]):
            await running.replace_endpoint(instance, f"i-{instance.name}-{number + 1}")
            instance.endpoint.behaviour.crash_marker = "poison"
        await asyncio.sleep(3 * fleet.HEARTBEAT_S)
    before = len(running.former)
    answer = await running.call(running.instances[1], "/archive/poison")
    assert answer.status == 503
    assert answer.fields["goldcrestgrade-reason"] == "crashes_endpoints"
    assert running.runs(answer.attempt) == 0
    assert before == len(running.former)
    assert (await running.call(running.instances[1], "/archive/letters")).status == 200


async def test_metrics_and_recent_decisions_are_served(running):
    east_1 = running.instances[0]
    answer = await running.call(east_1, "/archive/letters")
    async with running.session.get(f"http://{east_1.address('metrics')}/metrics") as response:
        metrics = await response.text()
    assert 'goldcrestgrade_calls_total{outcome="ran"} 3.0' in metrics
    async with running.session.get(f"http://{east_1.address('metrics')}/recent") as response:
        assert answer.attempt in await response.text()
