"""Charges at a node and messages between nodes, in virtual time."""

import asyncio
import contextlib
import random
import types

import orjson
import pytest

from goldcrestgrade import counters, instants, outcomes, reasons, routes
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.quota import bucket, exchange, limited, members, messages, terms
from goldcrestgrade_node.mesh.state import directory
from goldcrestgrade_testing import quota_replay, virtual_time

RULES = terms.Rules(5.0, 0.1, 20.0)
NAMES = ("n0", "n1", "n2")


def table(**rates):
    workspaces = {name: routes.Workspace(name, (), 1, rate, rate) for name, rate in rates.items()}
    return routes.RouteTable(1, routes.Limits(), {}, {}, types.MappingProxyType(workspaces))


class Fleet:
    """Three nodes of one region that have run for a while, and the messages between them."""

    def __init__(self, quotas):
        self.sent = []
        self.silent = set()
        self.clocks = instants.loop_clocks()
        self.known = directory.Directory()
        for port, name in enumerate(NAMES):
            row = directory.InstanceRow(
                name, "10.0.0.1", port, directory.Location("d", "r"), "s", True, 1
            )
            self.known.by_id[name] = directory.Instance(row, tables.parse_position("1.1"))
        self.nodes = {name: self.start(name) for name in NAMES}
        for node in self.nodes.values():
            node.apply(quotas, RULES)

    def start(self, name):
        fleet = members.Members(name, 2, self.known, lambda: 0.5, self.clocks)
        site, counts = exchange.Site(name, "r"), counters.Counts()
        return exchange.Quotas(
            site, RULES, self.known, fleet, self.post, self.clocks, counts, random.Random(1)
        )

    async def post(self, name, body):
        self.sent.append((name, messages.decode_ask(body).kind))
        await asyncio.sleep(0.001)
        if name in self.silent:
            raise exchange.Unanswered("connection refused")
        return await self.nodes[name].answer(body)


def run(check, quotas):
    async def main():
        fleet = Fleet(quotas)
        await asyncio.sleep(10.0)
        for node in fleet.nodes.values():
            node.tick()
        await asyncio.sleep(10.0)
        return await check(fleet)

    return virtual_time.run(main())


async def charged(node, count, workspace="w"):
    results = [await node.charge(workspace) for _ in range(count)]
    return [result for result in results if not isinstance(result, outcomes.NotRun)]


def test_workspaces_without_requests_and_a_node_with_tokens_cause_no_messages():
    """Guards against traffic that thousands of idle workspaces would cause."""

    async def check(fleet):
        assert len(await charged(fleet.nodes["n0"], 10)) == 10
        return fleet.sent

    assert run(check, table(w=100.0, **{f"idle{n}": 5.0 for n in range(50)})) == []


def test_one_node_gets_the_tokens_of_all_and_no_more():
    async def check(fleet):
        results = await charged(fleet.nodes["n0"], 400)
        return len(results)

    quota = terms.derive(60.0, 60.0, RULES)
    held = quota.flow * quota.lifetime_s
    assert 0.75 * held <= run(check, table(w=60.0)) <= held + 60


def test_steady_use_below_the_quota_at_one_node_is_not_refused():
    """Guards against rounds of collecting that back off although each brings what is then used."""

    async def check(fleet):
        admitted = 0
        for _ in range(1000):
            admitted += len(await charged(fleet.nodes["n0"], 1))
            await asyncio.sleep(0.02)
        return admitted

    assert run(check, table(w=60.0)) >= 990


def test_a_node_that_only_lacks_tokens_ahead_asks_for_its_next_request():
    """Guards against refusals while the accounting node has got tokens again."""

    async def check(fleet):
        shard = members.shard("w")
        accounting, *others = sorted(NAMES, key=lambda n: members.score(shard, n), reverse=True)
        asking = fleet.nodes[others[-1]]
        use = asking._demand("w")
        for node in fleet.nodes.values():
            now = fleet.clocks.monotonic()
            node.ledger.offer("w", 1e6, now)
            node.ledger.settled("w", now).own_from = instants.NEVER
        stock = fleet.nodes[accounting].ledger.settled("w", now)
        stock.received = {}
        for _ in range(3):
            use.requests.record(now, 10.0)
            stock.add([bucket.Lot(fleet.clocks.monotonic(), 1.5)])
            assert len(await charged(asking, 1)) == 1

    run(check, table(w=10.0))


@pytest.mark.parametrize("kind", ["refused", "silent"])
def test_another_node_accounts_once_the_accounting_node_is_gone(kind):
    """Guards against a workspace that is refused for good because one node is gone."""

    async def check(fleet):
        shard = members.shard("w")
        dead, *others = sorted(NAMES, key=lambda n: members.score(shard, n), reverse=True)
        fleet.silent = {dead}
        if kind == "silent":
            post = fleet.post

            async def silent(name, body):
                if name == dead:
                    await asyncio.sleep(exchange.TIMEOUT_S)
                return await post(name, body)

            for node in fleet.nodes.values():
                node.post = silent
        own = len(await charged(fleet.nodes[others[-1]], 40))
        await asyncio.sleep(1.0)
        return own + len(await charged(fleet.nodes[others[-1]], 40))

    assert run(check, table(w=30.0)) > 30


def test_refused_clients_are_told_different_times_within_the_window():
    """Guards against refused clients that all return in the same moment."""

    async def check(fleet):
        node = fleet.nodes["n0"]
        results = [await node.charge("w") for _ in range(300)]
        now = fleet.clocks.monotonic()
        return now, [r for r in results if isinstance(r, outcomes.NotRun)]

    now, refused = run(check, table(w=10.0))
    assert {result.reason for result in refused} == {reasons.Refusal.QUOTA_EXCEEDED}
    assert len({result.retry_at for result in refused}) == len(refused)
    assert max(result.retry_at for result in refused) <= now + RULES.window_s


def test_request_that_did_not_run_gets_its_token_back_and_a_resend_is_not_charged():
    """Guards against requests refused for other reasons that use a quota up."""

    async def check(fleet):
        node = fleet.nodes["n0"]
        answers = [outcomes.NotRun(reasons.Refusal.SATURATED)] * 50
        attempts = []

        async def serve(_call, count):
            attempts.append(count)
            return answers.pop() if answers else outcomes.Unknown(reasons.Uncertainty.TIMED_OUT)

        call = types.SimpleNamespace(workspace="w")
        quotas = limited.limited(serve, node)
        # The oldest tokens of a full bucket would become void meanwhile.
        await charged(node, 5)
        before = node.ledger.total("w", fleet.clocks.monotonic())
        for _ in range(50):
            await quotas(call, 2)
        kept = node.ledger.total("w", fleet.clocks.monotonic())
        await quotas(call, 2)
        return before, kept, node.ledger.total("w", fleet.clocks.monotonic())

    before, kept, after = run(check, table(w=10.0))
    assert kept == pytest.approx(before)
    assert after == pytest.approx(before - 1)


def test_lower_quota_shrinks_what_nodes_hold_at_once():
    """Guards against tokens of the former quota that are used after a lower one is in force."""

    async def check(fleet):
        node, now = fleet.nodes["n0"], fleet.clocks.monotonic()
        before = node.ledger.total("w", now)
        node.apply(table(w=10.0), RULES)
        return before, node.ledger.total("w", now)

    before, after = run(check, table(w=100.0))
    lower = terms.derive(10.0, 10.0, RULES)
    assert after <= lower.flow * lower.lifetime_s / 3 + 1e-6 < before


def test_tokens_given_back_after_the_quota_was_lowered_shrink_too():
    """Guards against a lower quota that is exceeded by returned tokens, which live up to 27 s."""

    async def check(fleet):
        node = fleet.nodes["n0"]
        charges = await charged(node, 50)
        node.apply(table(w=0.7), RULES)
        now = fleet.clocks.monotonic()
        before = node.ledger.total("w", now)
        for charge in charges:
            node.ledger.give_back("w", charge)
        return len(charges), node.ledger.total("w", now) - before

    count, returned = run(check, table(w=70.0))
    assert returned <= count * 0.7 / 70.0 + 1e-6


def test_quota_removed_as_a_round_begins_does_not_end_the_round_of_others():
    """Guards against a round that fails for all workspaces of a shard."""

    async def check(fleet):
        node = fleet.nodes["n0"]
        borrowing = asyncio.create_task(node._borrow(["v", "w"]))
        node.apply(table(w=10.0), RULES)
        await borrowing

    run(check, table(v=10.0, w=10.0))


def test_counters_are_kept_for_a_bounded_number_of_workspaces():
    async def check(fleet):
        node = fleet.nodes["n0"]
        for number in range(150):
            await node.charge(f"w{number}")
        return node.counts.quota_charges

    counted = run(check, table(**{f"w{number}": 100.0 for number in range(150)}))
    assert len(counted) == exchange.MAX_NAMED + 1
    assert counted[counters.OTHER_WORKSPACES] == 50


def test_malformed_messages_are_rejected():
    for body in (b"", b"[]", b'{"kind":"steal"}', b'{"kind":"collect","node_id":"n","wanted":[]}'):
        with pytest.raises(ValueError):
            messages.decode_ask(body)
    for body in (b"[]", b'{"w":1}', b'{"w":[1,[[-5,1]]]}', b'{"w":[1,[[5,-1]]]}'):
        with pytest.raises(ValueError):
            messages.decode_answer(body)


@pytest.mark.parametrize("tokens", [1e308, 2**63, 1e15, 1e9])
def test_message_that_asks_for_far_too_many_tokens_does_not_hold_back_those_of_others(tokens):
    """Guards against an accounting node that hoards all tokens since one message asked for more."""

    async def check(fleet):
        node = fleet.nodes["n0"]

        def ask(kind, wanted):
            return orjson.dumps({"kind": kind, "node_id": "n1", "wanted": {"w": wanted}})

        with contextlib.suppress(ValueError):
            await node.answer(ask("withdraw", tokens))
        for _ in range(10):
            await asyncio.sleep(1.0)
            node.tick()
            await node.answer(ask("withdraw", 1.0))
        return messages.decode_answer(await node.answer(ask("borrow", 5.0)))

    assert "w" in run(check, table(w=100.0))


@pytest.mark.parametrize("lot", [[0, 1e308], [1e308, 1.0], [0, 2**63]])
def test_answer_with_far_too_many_tokens_is_refused(lot):
    """Guards against a node that exceeds a quota, or divides by an age that is no time."""
    with pytest.raises(ValueError):
        messages.decode_answer(orjson.dumps({"w": [10.0, [lot]]}))


def test_replayed_load_keeps_the_bound_and_refuses_less_than_shares():
    """A hot workspace with partition, freeze, restarts and a lower quota during the burst."""
    scenario = quota_replay.Scenario(
        nodes=31,
        workspaces=20,
        requests_per_s=140.0,
        hot=(1.0, 7.0),
        fault=(2.0, 5.0),
        restarts=(1.5, 3.0),
        lowered_at=3.0,
        seconds=12.0,
    )
    former = quota_replay.measure(scenario, "equal shares", 1)
    by_demand = quota_replay.measure(scenario, "shares that follow demand", 1)
    transferred = quota_replay.measure(scenario, "transfer of tokens", 1)
    assert transferred.worst_ratio <= 1
    assert transferred.lost_share < 0.75 * min(former.lost_share, by_demand.lost_share)


def test_node_that_does_not_answer_is_reported():
    """Guards against quotas of which an instance without a node holds a part for good."""

    async def check(fleet):
        reported = set()
        for node in fleet.nodes.values():
            node.on_unanswered = reported.add
        fleet.silent = {"n1"}
        for name in ("n0", "n2"):
            await charged(fleet.nodes[name], 60)
        return reported

    assert run(check, table(w=5.0)) == {"n1"}
