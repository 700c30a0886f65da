"""Order of queued requests of several workspaces, and which of them give way."""

import asyncio
import collections

import hypothesis
import pytest
from hypothesis import strategies

from goldcrestgrade import instants, reasons
from goldcrestgrade_node.mesh.endpoint import admission, decision, queueing
from goldcrestgrade_node.mesh.transport import loads

QUEUES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2),
        strategies.booleans(),
        strategies.sampled_from(["", "a", "b", "c"]),
    ),
    max_size=30,
)


def queued(arrival, workspace, priority=1, long=True, service_time_s=1.0):
    request = decision.Request("route", priority, 9.0, 9.0, False, workspace)
    return queueing.QueuedRequest(priority, long, arrival, request, None, service_time_s, 0.0)


def queue_of(drawn):
    return [
        queued(n, workspace, priority, long) for n, (priority, long, workspace) in enumerate(drawn)
    ]


def names(requests):
    return [each.request.workspace for each in requests]


def test_workspaces_take_turns_and_each_keeps_its_order_of_arrival():
    queue = [queued(n, name) for n, name in enumerate("aaaabbc")]
    ordered = queueing.in_order(queue, {})
    assert "".join(names(ordered)) == "abcabaa"
    assert [each.arrival for each in ordered if each.request.workspace == "a"] == [0, 1, 2, 3]


def test_started_work_counts_while_others_wait_and_requests_count_by_their_length():
    time = queueing.VirtualTime()
    time.record_start("a", 2.0)
    queue = [queued(1, "a"), queued(2, "b"), queued(3, "b"), queued(4, "c", service_time_s=5.0)]
    assert "".join(names(queueing.in_order(queue, {(1, True): time}))) == "bcba"
    assert queueing.count_ahead_of_new(queue, (1, True), {(1, True): time}) == 2


@hypothesis.given(drawn=QUEUES)
def test_one_class_starts_by_priority_length_and_arrival_as_without_workspaces(drawn):
    """Guards against a change of order in deployments without workspaces."""
    queue = queue_of([(priority, long, "") for priority, long, _ in drawn])
    assert queueing.in_order(queue, {}) == sorted(queue)


@hypothesis.given(drawn=QUEUES, places=strategies.integers(0, 12))
def test_no_workspace_gives_way_while_one_with_a_larger_share_keeps_its_requests(drawn, places):
    """Guards against an eviction from a workspace within its share."""
    queue = queue_of(drawn)
    evicted = queueing.evictions(queueing.in_order(queue, {}), lambda _, ahead: ahead >= places)
    gone = {each.arrival for each in evicted}
    kept = [each for each in queue if each.arrival not in gone]
    assert len(kept) == min(places, len(queue))
    for victim in evicted:
        left = collections.Counter(names(e for e in kept if e.priority == victim.priority))
        assert all(count <= left[victim.request.workspace] + 1 for count in left.values())
        assert all(each.priority <= victim.priority for each in kept)


def test_request_that_nothing_would_help_is_rejected_alone():
    """Guards against evictions that serve nobody."""
    queue = [*(queued(n, "a") for n in range(5)), queued(5, "b")]
    ordered = queueing.in_order(queue, {})
    evicted = queueing.evictions(ordered, lambda each, _: each.request.workspace == "b")
    assert names(evicted) == ["b"]


def test_thousands_of_workspaces_leave_a_bounded_state():
    """Guards against memory that grows with the number of workspaces."""
    time = queueing.VirtualTime()
    for number in range(20_000):
        time.record_start(f"w{number}", 1.0)
    assert len(time.finish_tags_s) <= queueing.MAX_FINISH_TAGS


class Queue:
    """A controller whose endpoint is full and whose queue one workspace has filled."""

    def __init__(self):
        self.now = 1000.0
        self.controller = admission.AdmissionController(
            instants.Clocks(lambda: self.now, lambda: self.now)
        )
        self.controller.set_slots(2)
        self.controller.apply_load_report(loads.Load(0, 0, 2, 1.0))
        self.tasks = []

    async def send(self, workspace, target_s=0.5, priority=1):
        """Have the controller evaluate a request, and return the task that waits for it."""
        request = decision.Request(
            "route", priority, self.now + target_s, self.now + 2.0, False, workspace
        )
        self.tasks.append(asyncio.create_task(self.controller.admit(request)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return self.tasks[-1]

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
async def full():
    queue = Queue()
    sent = [await queue.send("hot") for _ in range(12)]
    queue.rejected = [task.result() for task in sent if task.done() and task.result()]
    yield queue
    await queue.close()


async def test_hot_workspace_is_told_its_share_and_gives_way_to_another(full):
    assert {each.reason for each in full.rejected} == {reasons.Refusal.FAIR_SHARE_EXCEEDED}
    assert all(each.retry_at > full.now for each in full.rejected)
    before = len(full.controller.queue)
    other = await full.send("small")
    assert not other.done() and len(full.controller.queue) <= before + 1
    full.controller.release()
    full.controller.release()
    await asyncio.sleep(0)
    assert other.done() and other.result() is None


async def test_priority_comes_before_the_share(full):
    low = await full.send("small", priority=2)
    assert low.done() and low.result() is not None
    first = await full.send("hot", priority=0)
    full.controller.release()
    await asyncio.sleep(0)
    assert first.done() and first.result() is None


async def test_shares_are_forgotten_once_one_workspace_waits(full):
    await full.send("small")
    for _ in range(3):
        full.controller.release()
    assert full.controller.virtual_times == {}


async def test_requests_without_a_workspace_are_rejected_as_saturated():
    """Guards against a new reason in deployments without workspaces."""
    queue = Queue()
    sent = [await queue.send("") for _ in range(12)]
    assert {t.result().reason for t in sent if t.done() and t.result()} == {"saturated"}
    await queue.close()
