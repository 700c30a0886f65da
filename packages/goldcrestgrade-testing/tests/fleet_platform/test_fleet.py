"""Requests through real node processes, with stand-ins for the platform's endpoints and store."""

import asyncio
import re
import signal
import time

import orjson
import pytest

from goldcrestgrade_testing.fleet_platform import endpoint, fleet, store

PLACEMENTS = {
    "east-1": fleet.Placement("east", "r1", "archive"),
    "east-2": fleet.Placement("east", "r1", "intake"),
    "west-1": fleet.Placement("west", "r1", "archive"),
}

CONFIG_APPLY_S = 2.0
"""Time within which a configuration is in force on a node that reaches the store or a peer."""

GRACE_S = 6.0
"""Time that the platform allows a node between SIGTERM and SIGKILL."""

STORE_RECOVERY_S = 2.0
"""Time after an outage of the store within which a node is ready."""


@pytest.fixture
async def running_fleet():
    async with fleet.running(PLACEMENTS) as started:
        yield started


async def wait_until(condition, timeout_s):
    deadline = time.monotonic() + timeout_s
    while not await condition():
        assert time.monotonic() < deadline, f"condition not met within {timeout_s} s"
        await asyncio.sleep(0.05)


async def test_request_reaches_an_endpoint_on_another_instance(running_fleet):
    east_1, east_2, _ = running_fleet.instances
    answer = await running_fleet.call(east_2, "/archive/letters")
    assert answer.status == 200
    assert answer.body == b"body of " + answer.attempt_id.encode()
    assert answer.fields["x-attempt-id"] == answer.attempt_id
    assert (
        answer.fields["x-upstream-signature"]
        == f"{east_1.endpoint.endpoint_id}.{answer.attempt_id}"
    )
    assert east_1.endpoint.calling_services[answer.attempt_id] == "intake"
    assert 0 < east_1.endpoint.deadlines_ms[answer.attempt_id] <= 1000
    assert east_1.endpoint.expected_instances == {east_1.endpoint.endpoint_id}
    unrouted = await running_fleet.call(east_2, "/nothing/here")
    assert unrouted.status == 404


async def test_run_once_request_runs_at_most_once_under_each_answer_fault(running_fleet):
    east_2 = running_fleet.instances[1]
    kinds = ("cut", "reset", "spoiled", "doubled", "late", "unframed", "lost")
    for kind in (*kinds, "endless", "endless_junk", "endless_hints"):
        for instance in running_fleet.instances:
            instance.endpoint.fail_next_answers(endpoint.AnswerFault(kind, 1))
        for _ in range(4):
            answer = await running_fleet.call(east_2, "/archive/file/x", "POST")
            runs = running_fleet.run_count(answer.attempt_id)
            assert runs <= 1, kind
            assert answer.status in (200, 502), kind
            if answer.status == 200:
                assert runs == 1
                assert answer.body == b"body of " + answer.attempt_id.encode(), kind
        for instance in running_fleet.instances:
            instance.endpoint.answer_faults.clear()


async def test_idempotent_request_is_resent_after_a_lost_answer(running_fleet):
    east_1, east_2, _ = running_fleet.instances
    east_1.endpoint.fail_next_answers(endpoint.AnswerFault("lost", 1))
    for _ in range(20):
        answer = await running_fleet.call(east_2, "/archive/letters")
        assert answer.status == 200
        if not east_1.endpoint.answer_faults:
            break
    assert running_fleet.run_count(answer.attempt_id) == 2


async def test_refused_requests_did_not_run_and_carry_a_retry_time(running_fleet):
    for instance in running_fleet.instances:
        instance.endpoint.behaviour.slots = 1
        instance.endpoint.behaviour.service_time_s = 0.3
    await asyncio.sleep(3 * fleet.HEARTBEAT_INTERVAL_S)
    answers = await asyncio.gather(
        *(
            running_fleet.call(running_fleet.instances[1], "/archive/file/x", "POST")
            for _ in range(24)
        )
    )
    refused = [answer for answer in answers if answer.status == 503]
    assert refused
    for answer in refused:
        assert running_fleet.run_count(answer.attempt_id) == 0
        assert float(answer.fields["retry-after"]) > 0
        assert answer.latency_s < 0.5
    assert {answer.status for answer in answers} <= {200, 502, 503}
    assert all(running_fleet.run_count(answer.attempt_id) <= 1 for answer in answers)


async def test_draining_endpoint_gets_no_new_requests_and_others_serve_them(running_fleet):
    east_1, east_2, west_1 = running_fleet.instances
    east_1.endpoint.behaviour.draining = True
    await asyncio.sleep(3 * fleet.HEARTBEAT_INTERVAL_S)
    before = sum(east_1.endpoint.run_counts.values())
    answers = [await running_fleet.call(east_2, "/archive/letters") for _ in range(10)]
    assert {answer.status for answer in answers} == {200}
    assert sum(east_1.endpoint.run_counts.values()) == before
    assert sum(west_1.endpoint.run_counts.values()) >= 10


async def test_endpoint_at_a_reused_address_gets_no_requests_meant_for_its_predecessor(
    running_fleet,
):
    east_1, east_2, _ = running_fleet.instances
    await running_fleet.call(east_2, "/archive/letters")
    await running_fleet.replace_endpoint(east_1, "i-other")
    answers = [await running_fleet.call(east_2, "/archive/letters") for _ in range(20)]
    assert {answer.status for answer in answers} <= {200}
    assert east_1.endpoint.expected_instances <= {"i-other", "i-east-1-1"}

    async def new_endpoint_runs():
        await running_fleet.call(east_1, "/archive/letters")
        return bool(sum(east_1.endpoint.run_counts.values()))

    await wait_until(new_endpoint_runs, 5.0)


async def test_configuration_reaches_a_node_without_store_connection_in_time(running_fleet):
    east_2 = running_fleet.instances[1]
    east_2.store_access.outage = store.Outage.SILENT
    await asyncio.sleep(1.0)
    running_fleet.configure(fleet.route("moved", "/moved/", {"archive": 1}))

    async def serves_new_route():
        answers = [await running_fleet.call(i, "/moved/x") for i in running_fleet.instances]
        return {answer.status for answer in answers} == {200}

    await wait_until(serves_new_route, CONFIG_APPLY_S)


async def test_new_configuration_arrives_after_the_store_dropped_its_history(running_fleet):
    running_fleet.store.drop_history()
    await asyncio.sleep(0.2)
    running_fleet.configure(fleet.route("moved", "/moved/", {"archive": 1}))

    async def serves_new_route():
        return (await running_fleet.call(running_fleet.instances[2], "/moved/x")).status == 200

    await wait_until(serves_new_route, CONFIG_APPLY_S)


async def test_node_started_during_a_store_outage_is_ready_soon_after_the_outage(running_fleet):
    east_1 = running_fleet.instances[0]
    for instance in running_fleet.instances:
        instance.store_access.outage = store.Outage.BUSY
    east_1.process.kill()
    east_1.process.wait()
    running_fleet.start_node(east_1)

    async def listens():
        return (await running_fleet.call(east_1, "/archive/letters")).status != 0

    await wait_until(listens, fleet.READY_TIMEOUT_S)
    await asyncio.sleep(2.0)
    assert not await running_fleet.is_ready(east_1)
    refused = await running_fleet.call(east_1, "/archive/letters")
    assert refused.status == 503 and "retry-after" in refused.fields
    for instance in running_fleet.instances:
        instance.store_access.outage = store.Outage.NONE

    async def ready():
        return await running_fleet.is_ready(east_1)

    await wait_until(ready, STORE_RECOVERY_S)


def instance_rows(running_fleet):
    """Return the keys of the instance rows in the store."""
    return {
        key.removeprefix("instance/")
        for table, _, key in running_fleet.store.rows
        if table == "goldcrestgrade" and key.startswith("instance/")
    }


async def test_rows_and_configuration_are_back_soon_after_the_store_came_back_from_a_copy(
    running_fleet,
):
    names = {instance.name for instance in running_fleet.instances}
    running_fleet.configure(*running_fleet.rules, fleet.route("new", "/new/", {"archive": 1}))

    async def serves_new_route():
        answers = [await running_fleet.call(i, "/new/x") for i in running_fleet.instances]
        return {answer.status for answer in answers} == {200}

    await wait_until(serves_new_route, CONFIG_APPLY_S)
    statuses = []

    async def call_steadily():
        while True:
            for instance in running_fleet.instances:
                statuses.append((await running_fleet.call(instance, "/new/x")).status)

    calling = asyncio.create_task(call_steadily())
    # The copy is older than all rows of the nodes and than every configuration.
    await running_fleet.restore_store(age_s=60.0, away_s=0.3)

    async def all_rows_are_back():
        return instance_rows(running_fleet) == names

    await wait_until(all_rows_are_back, STORE_RECOVERY_S)
    await asyncio.sleep(STORE_RECOVERY_S + 0.5)
    calling.cancel()
    assert instance_rows(running_fleet) == names
    assert set(statuses) == {200}
    assert len(statuses) > 50


async def test_returns_of_the_store_that_overlap_lose_no_configuration(running_fleet):
    returns = []
    for _ in range(3):
        # Each return begins before the operator has noticed what the one before has lost.
        returns.append(asyncio.create_task(running_fleet.restore_store(age_s=60.0, away_s=0.05)))
        await asyncio.sleep(fleet.OPERATOR_DELAY_S / 2)
    await asyncio.gather(*returns)
    assert running_fleet.store.era == 4

    async def all_rows_are_back():
        return instance_rows(running_fleet) == {i.name for i in running_fleet.instances}

    await wait_until(all_rows_are_back, STORE_RECOVERY_S)
    answers = [await running_fleet.call(i, "/archive/x") for i in running_fleet.instances]
    assert {answer.status for answer in answers} == {200}


async def test_removal_of_a_row_is_repeated_after_the_store_came_back_from_an_older_copy(
    running_fleet,
):
    west_1 = running_fleet.instances[2]
    west_1.process.terminate()
    assert await asyncio.to_thread(west_1.process.wait, GRACE_S) == 0
    assert "west-1" not in instance_rows(running_fleet)
    removed_at = time.monotonic()
    await running_fleet.store.restore(age_s=time.monotonic() - removed_at + 2.0, away_s=0.3)
    assert "west-1" in instance_rows(running_fleet)

    async def row_is_removed_again():
        return "west-1" not in instance_rows(running_fleet)

    await wait_until(row_is_removed_again, STORE_RECOVERY_S)


async def test_invalid_configuration_leaves_the_last_good_one_in_force(running_fleet):
    east_2 = running_fleet.instances[1]
    running_fleet.store.write("op", "config", {"version": 99, "listeners": "none"})
    await asyncio.sleep(0.5)
    assert (await running_fleet.call(east_2, "/archive/letters")).status == 200
    assert "configuration not valid" in running_fleet.node_log(running_fleet.instances[0])


async def test_valid_settings_are_reloaded_and_invalid_ones_ignored(running_fleet):
    east_1 = running_fleet.instances[0]
    path = running_fleet.folder / "east-1.json"
    path.write_bytes(b"{}")
    east_1.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.5)
    assert east_1.process.poll() is None
    changed = {**running_fleet.settings(east_1), "resend_slack": 7}
    path.write_bytes(orjson.dumps(changed))
    await asyncio.sleep(1.5)
    log = running_fleet.node_log(east_1)
    assert "settings not valid" in log
    assert '"changed":{"resend_slack":7.0}' in log
    assert (await running_fleet.call(east_1, "/archive/letters")).status == 200


async def test_terminated_node_answers_requests_that_arrive_before_and_just_after_the_signal(
    running_fleet,
):
    east_1 = running_fleet.instances[0]
    for instance in running_fleet.instances:
        instance.endpoint.behaviour.service_time_s = 0.2
    calls = [
        asyncio.create_task(running_fleet.call(east_1, "/archive/file/x", "POST")) for _ in range(3)
    ]
    await asyncio.sleep(0.1)
    east_1.process.terminate()
    await asyncio.sleep(0.05)
    assert not await running_fleet.is_ready(east_1)
    calls += [asyncio.create_task(running_fleet.call(east_1, "/archive/letters"))]
    answers = await asyncio.gather(*calls)
    assert {answer.status for answer in answers} == {200}
    assert await asyncio.to_thread(east_1.process.wait, 6.0) == 0


async def test_terminated_node_under_steady_load_answers_all_requests_that_ran(running_fleet):
    east_1 = running_fleet.instances[0]
    for instance in running_fleet.instances:
        instance.endpoint.behaviour.service_time_s = 0.3
        instance.endpoint.behaviour.slots = 16
    await asyncio.sleep(3 * fleet.HEARTBEAT_INTERVAL_S)
    answers = []

    async def call_until_exit():
        while east_1.process.poll() is None:
            answers.append(await running_fleet.call(east_1, "/archive/letters"))
            if answers[-1].status != 200:
                await asyncio.sleep(0.02)

    clients = [asyncio.create_task(call_until_exit()) for _ in range(6)]
    await asyncio.sleep(0.5)
    east_1.process.terminate()
    stopped_at = time.monotonic()
    assert await asyncio.to_thread(east_1.process.wait, 6.0) == 0
    assert time.monotonic() - stopped_at < GRACE_S - 1.5
    await asyncio.gather(*clients)
    lost = [
        answer
        for answer in answers
        if answer.status == 0 and running_fleet.run_count(answer.attempt_id)
    ]
    assert lost == []
    assert {answer.status for answer in answers} <= {0, 200, 503}


def endings(answers):
    """Return the statuses of answers, each with the reason if it is a refusal."""
    return {(answer.status, answer.fields.get("goldcrestgrade-reason")) for answer in answers}


async def test_endpoint_is_used_while_its_node_is_stopping(running_fleet):
    east_1, east_2, west_1 = running_fleet.instances
    await running_fleet.call(east_2, "/archive/letters")
    east_1.process.terminate()
    await wait_until(lambda: _not_ready(running_fleet, east_1), 1.0)
    before = sum(east_1.endpoint.run_counts.values())
    answers = [await running_fleet.call(east_2, "/archive/file/x", "POST") for _ in range(10)]
    assert endings(answers) == {(200, None)}
    assert sum(east_1.endpoint.run_counts.values()) >= before + 10
    calls = []
    while east_1.process.poll() is None:
        calls.append(await running_fleet.call(east_2, "/archive/file/x", "POST"))
    assert endings(calls) == {(200, None)}
    assert sum(west_1.endpoint.run_counts.values()) > 0


async def _not_ready(running_fleet, instance):
    return not await running_fleet.is_ready(instance)


async def test_poison_request_is_refused_after_it_crashed_endpoints(running_fleet):
    for instance in running_fleet.instances:
        instance.endpoint.behaviour.crash_marker = "poison"
    for number in range(1, 4):
        await running_fleet.call(running_fleet.instances[1], "/archive/poison")
        for instance in (running_fleet.instances[0], running_fleet.instances[2]):
            await running_fleet.replace_endpoint(instance, f"i-{instance.name}-{number + 1}")
            instance.endpoint.behaviour.crash_marker = "poison"
        await asyncio.sleep(3 * fleet.HEARTBEAT_INTERVAL_S)
    before = len(running_fleet.former_endpoints)
    answer = await running_fleet.call(running_fleet.instances[1], "/archive/poison")
    assert answer.status == 503
    assert answer.fields["goldcrestgrade-reason"] == "crashes_endpoints"
    assert running_fleet.run_count(answer.attempt_id) == 0
    assert before == len(running_fleet.former_endpoints)
    assert (await running_fleet.call(running_fleet.instances[1], "/archive/letters")).status == 200


async def test_node_serves_metrics_and_recent_decisions(running_fleet):
    east_1 = running_fleet.instances[0]
    answer = await running_fleet.call(east_1, "/archive/letters")
    async with running_fleet.session.get(f"http://{east_1.address('metrics')}/metrics") as response:
        metrics = await response.text()
    assert 'goldcrestgrade_calls_total{outcome="ran"} 3.0' in metrics
    async with running_fleet.session.get(f"http://{east_1.address('metrics')}/recent") as response:
        assert answer.attempt_id in await response.text()


@pytest.mark.parametrize("odd", ["\x01", "\x7f", "a\x0bb"], ids=repr)
async def test_answer_with_a_control_character_in_a_header_reaches_the_client(running_fleet, odd):
    """Guards against answers that are lost since a server refuses to write a header of them."""
    east_1, east_2, _ = running_fleet.instances
    header_fields = east_1.endpoint._header_fields

    def with_odd_header(attempt_id, fields):
        return header_fields(attempt_id, fields) + f"x-odd: [{odd}]\r\n"

    east_1.endpoint._header_fields = with_odd_header
    running_fleet.instances[2].endpoint.behaviour.draining = True
    await asyncio.sleep(2.0)
    for instance in (east_1, east_2):
        for method in ("GET", "POST"):
            answer = await running_fleet.call(instance, "/archive/file/x", method)
            assert answer.status == 200
            assert answer.fields["x-odd"] == "[" + re.sub(r"[\x00-\x1f\x7f]", " ", odd) + "]"


SENT_AFTER_S = (
    0.0,
    0.4,
    0.8,
    1.2,
    1.5,
    1.7,
    1.9,
    2.0,
    2.1,
    2.2,
    2.25,
    2.3,
    2.4,
    3.0,
    4.0,
    4.8,
    5.2,
)
"""Times after SIGTERM at which clients send a request on a connection that they have kept."""

BODY_PAUSE_S = 0.1
"""Time between the two parts of their bodies."""


async def read_status(reader):
    """Return the status of an answer with a length, or 0 if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = head.lower().partition(b"content-length: ")[2]
        await reader.readexactly(int(fields.partition(b"\r\n")[0]))
        return int(head.split()[1])
    except (OSError, asyncio.IncompleteReadError):
        return 0


async def send_on_kept_connection(instance, attempt_id, stopped, after_s):
    """Use a connection, keep it, and send one more request after the stop; return its status."""
    reader, writer = await asyncio.open_connection(fleet.HOST, instance.ports["calls"])
    head = (
        "{} /archive/file/x HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {}\r\n"
        "x-deadline-ms: 2000\r\ncontent-length: 2\r\n\r\n"
    )
    first = head.format("POST", fleet.ROUTE_HOSTNAME, f"before-{attempt_id}")
    writer.write(f"{first}ab".encode())
    assert await read_status(reader) == 200
    await stopped.wait()
    await asyncio.sleep(after_s)
    try:
        writer.write(f"{head.format('POST', fleet.ROUTE_HOSTNAME, attempt_id)}a".encode())
        await asyncio.sleep(BODY_PAUSE_S)
        writer.write(b"b")
        return await read_status(reader)
    except OSError:
        return 0
    finally:
        writer.close()


async def test_requests_on_kept_connections_are_answered_or_not_passed_on_at_any_time_of_a_stop(
    running_fleet,
):
    """Guards against run-once requests that are taken late in the grace and cut at its end."""
    east_1 = running_fleet.instances[0]
    for instance in running_fleet.instances:
        instance.endpoint.behaviour.service_time_s = 0.25
        instance.endpoint.behaviour.slots = 32
    await asyncio.sleep(3 * fleet.HEARTBEAT_INTERVAL_S)
    stopped = asyncio.Event()
    sending = {}
    for after_s in SENT_AFTER_S:
        attempt_id = f"after-{after_s}"
        sending[attempt_id] = asyncio.create_task(
            send_on_kept_connection(east_1, attempt_id, stopped, after_s)
        )
    await asyncio.sleep(1.0)
    east_1.process.terminate()
    stopped.set()
    assert await asyncio.to_thread(east_1.process.wait, GRACE_S) == 0
    statuses = {attempt_id: await task for attempt_id, task in sending.items()}
    runs = {attempt_id: running_fleet.run_count(attempt_id) for attempt_id in statuses}
    assert statuses[f"after-{SENT_AFTER_S[0]}"] == 200
    assert [a for a, status in statuses.items() if runs[a] and status != 200] == []
    assert max(runs.values()) == 1


@pytest.mark.parametrize("arrives_late", ["after the rows were read", "before"])
async def test_endpoint_that_left_is_not_used_again_after_its_node_was_killed(
    running_fleet, arrives_late
):
    """Guards against a late heartbeat that a new process takes for that of an endpoint in use."""
    east_1, east_2, west_1 = running_fleet.instances
    late_heartbeat = east_1.endpoint.heartbeat(
        east_1.address("endpoint"), east_1.placement.failure_domain
    )
    url = f"http://{east_1.address('heartbeats')}/-/instances/{east_1.endpoint.endpoint_id}"

    async def heartbeat_is_taken():
        try:
            async with running_fleet.session.put(url, json=late_heartbeat) as response:
                return response.ok
        except OSError:
            return False

    east_1.heartbeat_task.cancel()
    east_1.endpoint.behaviour.draining = True
    born = {"born": east_1.endpoint.born_ms}
    async with running_fleet.session.delete(url, json=born) as response:
        assert response.status == 200
    east_1.process.kill()
    east_1.process.wait()
    running_fleet.start_node(east_1)
    if arrives_late == "before":
        await wait_until(heartbeat_is_taken, 10.0)
    await running_fleet.wait_ready([east_1])
    assert await heartbeat_is_taken()
    await asyncio.sleep(1.0)
    before = sum(east_1.endpoint.run_counts.values())
    answers = [await running_fleet.call(east_2, "/archive/file/x", "POST") for _ in range(12)]
    answers += [await running_fleet.call(east_1, "/archive/file/x", "POST") for _ in range(12)]
    assert {answer.status for answer in answers} == {200}
    assert sum(east_1.endpoint.run_counts.values()) == before
    assert sum(west_1.endpoint.run_counts.values()) >= len(answers)


@pytest.mark.parametrize("late", [1, 3])
@pytest.mark.parametrize("lost", ["not written", "lost by the store", "removed"])
async def test_late_heartbeat_is_doubted_after_a_restart_without_the_row_of_the_departure(
    running_fleet, lost, late
):
    """Guards against use of an endpoint that left, when nothing but its health check says so.

    One or several of its heartbeats arrive at the next process of its node.
    """
    east_1, east_2, _ = running_fleet.instances
    late_heartbeats = [
        east_1.endpoint.heartbeat(east_1.address("endpoint"), east_1.placement.failure_domain)
        for _ in range(late)
    ]
    url = f"http://{east_1.address('heartbeats')}/-/instances/{east_1.endpoint.endpoint_id}"
    east_1.heartbeat_task.cancel()
    east_1.endpoint.behaviour.draining = True
    if lost == "not written":
        east_1.store_access.outage = store.Outage.SILENT
    born = {"born": east_1.endpoint.born_ms}
    async with running_fleet.session.delete(url, json=born) as response:
        assert response.status == 200
    east_1.process.kill()
    east_1.process.wait()
    east_1.store_access.outage = store.Outage.NONE
    if lost == "lost by the store":
        await running_fleet.restore_store(age_s=1.0, away_s=0.2)
    elif lost == "removed":
        running_fleet.store.remove("goldcrestgrade", "departure/east-1")
    running_fleet.start_node(east_1)
    await running_fleet.wait_ready([east_1])
    for late_heartbeat in late_heartbeats:
        async with running_fleet.session.put(url, json=late_heartbeat) as response:
            assert response.status == 200
        await asyncio.sleep(1.0)
    before = sum(east_1.endpoint.run_counts.values())
    answers = [await running_fleet.call(east_2, "/archive/file/x", "POST") for _ in range(12)]
    answers += [await running_fleet.call(east_1, "/archive/file/x", "POST") for _ in range(12)]
    assert {answer.status for answer in answers} == {200}
    assert sum(east_1.endpoint.run_counts.values()) == before


async def test_departure_is_confirmed_in_time_without_the_store(running_fleet):
    east_1 = running_fleet.instances[0]
    east_1.heartbeat_task.cancel()
    east_1.store_access.outage = store.Outage.SILENT
    url = f"http://{east_1.address('heartbeats')}/-/instances/{east_1.endpoint.endpoint_id}"
    async with asyncio.timeout(1.0), running_fleet.session.delete(url) as response:
        assert response.status == 200
