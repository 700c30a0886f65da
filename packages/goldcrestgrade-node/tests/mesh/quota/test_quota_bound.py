"""No interleaving of what happens to tokens, and no difference in knowledge, exceeds a quota."""

import functools
import itertools
import random
import types

import hypothesis
import pytest
from hypothesis import strategies

from goldcrestgrade import instants, routes
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.quota import bucket, ledger, members, messages, terms
from goldcrestgrade_node.mesh.state import directory

RULES = terms.Rules(5.0, 0.1, 20.0)
NODES = 4


def table(rate, burst):
    workspace = routes.Workspace("w", (), 1, rate, burst)
    return routes.RouteTable(1, routes.Limits(), {}, {}, types.MappingProxyType({"w": workspace}))


NODE = strategies.integers(0, NODES - 1)
STEPS = strategies.one_of(
    strategies.tuples(strategies.just("advance"), strategies.floats(0.01, 4.0)),
    strategies.tuples(strategies.just("spend"), NODE, strategies.integers(1, 500)),
    strategies.tuples(strategies.just("ask"), NODE, NODE, strategies.floats(0.5, 500)),
    strategies.tuples(strategies.just("ask_twice"), NODE, NODE, strategies.floats(0.5, 500)),
    strategies.tuples(strategies.just("deliver"), strategies.integers(0, 9)),
    strategies.tuples(strategies.just("restart"), NODE),
    strategies.tuples(strategies.just("refuse_last"), NODE),
    strategies.tuples(strategies.just("lower"), NODE),
)


class Model:
    """Nodes that spend and transfer tokens; messages arrive late, in any order, or never.

    A frozen node is one to which nothing happens for a while; any node may act as the accounting
    node of any other at any time.
    """

    def __init__(self, rate, burst):
        self.now = 1000.0
        self.before, self.after = table(rate, burst), table(rate / 2, burst / 3)
        self.in_force = [self.before] * NODES
        self.nodes = [self.start(n, -instants.NEVER) for n in range(NODES)]
        self.lowered_at = instants.NEVER
        self.pending = []
        self.spent = []
        self.last = {}

    def start(self, node, since):
        made = ledger.Ledger(lambda _workspace, _now: bucket.Accrual(1 / NODES, since))
        made.apply(self.in_force[node], RULES, since)
        return made

    def step(self, kind, *arguments):
        getattr(self, kind)(*arguments)

    def advance(self, seconds):
        self.now += seconds

    def spend(self, node, count):
        for _ in range(count):
            lots = self.nodes[node].spend("w", self.now)
            if lots is None:
                break
            self.spent.append(self.now)
            self.last[node] = self.now, lots
        self.check()

    def refuse_last(self, node):
        at, lots = self.last.pop(node, (None, None))
        if lots is not None:
            self.spent.remove(at)
            self.nodes[node].give_back("w", lots)

    def ask(self, node, other, wanted, times=1):
        for _ in range(times):
            offer = self.nodes[other].offer("w", wanted, self.now)
        # The answer passes through its encoding, which must not add tokens or make them younger.
        offers = messages.decode_answer(messages.encode_answer({"w": offer}))
        self.pending.append((node, offers, self.now))

    def ask_twice(self, node, other, wanted):
        self.ask(node, other, wanted, times=2)

    def deliver(self, index):
        if index < len(self.pending):
            node, offers, asked_at = self.pending.pop(index)
            for workspace, offer in offers.items():
                self.nodes[node].receive(workspace, offer, asked_at)

    def restart(self, node):
        self.nodes[node] = self.start(node, self.now)
        self.pending = [message for message in self.pending if message[0] != node]
        self.last.pop(node, None)

    def lower(self, node):
        self.in_force[node] = self.after
        self.nodes[node].apply(self.after, RULES, self.now)
        if all(known is self.after for known in self.in_force):
            self.lowered_at = min(self.lowered_at, self.now)

    def check(self):
        begin = self.now - RULES.window_s
        counted = sum(at > begin for at in self.spent)
        quota = (self.after if begin >= self.lowered_at else self.before).workspaces["w"]
        assert counted <= terms.allowed(quota.rate, quota.burst, RULES) + 0.01


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(
    rate=strategies.sampled_from((0.5, 4.0, 40.0, 138.0)),
    burst_s=strategies.sampled_from((0.0, 0.3, 1.0, 12.0)),
    steps=strategies.lists(STEPS, max_size=60),
)
def test_no_interleaving_exceeds_the_bound(rate, burst_s, steps):
    model = Model(rate, rate * burst_s)
    for step in steps:
        model.step(*step)
    for node in range(NODES):
        model.spend(node, 5000)


HELD_BACK = [
    *([("advance", 1.5), *(("ask", 0, node, 500.0) for node in range(1, NODES))] * 8),
    *([("deliver", 0)] * 8 * (NODES - 1)),
    *(("spend", node, 5000) for node in range(NODES)),
]
"""Answers that a frozen process reads together after 12 s."""


@pytest.mark.parametrize("counts_from_arrival", [False, True])
def test_the_model_finds_tokens_made_younger_by_a_late_answer(monkeypatch, counts_from_arrival):
    model = Model(138.0, 138.0)
    receive = ledger.Ledger.receive
    if counts_from_arrival:
        monkeypatch.setattr(
            ledger.Ledger,
            "receive",
            lambda self, name, offer, _asked_at: receive(self, name, offer, model.now),
        )
    try:
        for step in HELD_BACK:
            model.step(*step)
        exceeded = False
    except AssertionError:
        exceeded = True
    assert exceeded == counts_from_arrival


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    rate=strategies.floats(0.01, 5000),
    burst=strategies.floats(0, 5000),
    overage=strategies.floats(0, 1),
    slack=strategies.floats(0, 100),
)
def test_flow_and_lifetime_fill_the_bound_and_do_not_exceed_it(rate, burst, overage, slack):
    rules = terms.Rules(5.0, overage, slack)
    quota = terms.derive(rate, burst, rules)
    assert quota.lifetime_s > 0
    assert quota.flow >= terms.MIN_FLOW * rate * (1 - 1e-9)
    tokens = quota.flow * (rules.window_s + quota.lifetime_s)
    assert tokens <= terms.allowed(rate, burst, rules) * (1 + 1e-9)


class View:
    """What one node knows of a fleet; a node out of contact keeps what it knew."""

    def __init__(self, fleet, node_id, known_before):
        self.fleet = fleet
        self.node_id = node_id
        self.instances = directory.Directory()
        self.lag_s = fleet.rng.uniform(0.1, 2.9)
        self.cut_off_at = instants.NEVER
        clocks = instants.Clocks(lambda: fleet.now, lambda: fleet.now)
        started_ms = 2 if known_before else 1
        self.members = members.Members(node_id, started_ms, self.instances, self.age_s, clocks)

    def as_of(self):
        return min(self.cut_off_at, self.fleet.now - self.lag_s)

    def age_s(self):
        return self.fleet.now - self.as_of()

    def share(self):
        known = self.fleet.known_at(self.as_of())
        if self.instances.by_id.keys() != known:
            self.instances.by_id = {name: self.fleet.instance(name) for name in known}
        accrual = self.members.accrual("w", self.fleet.now)
        return accrual.share if accrual.since <= self.fleet.now else 0.0


class Fleet:
    """Rows of a store over time, and the nodes that follow it."""

    def __init__(self, seed, size):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.history = [(0.0, frozenset(f"n{n}" for n in range(size)))]
        self.views = {name: View(self, name, True) for name in self.history[0][1]}

    @functools.cache  # noqa: B019
    def instance(self, name):
        row = directory.InstanceRow(name, name, 1, directory.Location("d", "r"), "s", True, 1)
        return directory.Instance(row, tables.parse_position("1.1"))

    def known_at(self, at):
        return next(names for since, names in reversed(self.history) if since <= at)

    def change(self, names):
        self.history.append((self.now, frozenset(names)))


@pytest.mark.parametrize(("seed", "size"), itertools.product(range(3), (3, 20, 60)))
def test_shares_never_add_up_to_more_than_the_reserve_allows(seed, size):
    """A third of the nodes loses contact and its rows are removed, while a sixth joins and some
    restart: knowledge that differs must not let the shares add up to more than the flow."""
    fleet = Fleet(seed, size)
    cut_off = fleet.rng.sample(sorted(fleet.views), size // 3)
    totals = []
    for step in range(400):
        fleet.now += 0.25
        names = fleet.history[-1][1]
        if step == 40:
            for name in cut_off:
                fleet.views[name].cut_off_at = fleet.now
        if 48 <= step < 48 + size // 6:
            joined = f"j{step}"
            fleet.change(names | {joined})
            fleet.views[joined] = View(fleet, joined, False)
        if step == 40 + int(28 / 0.25):
            fleet.change(names - set(cut_off))
        if step == 300:
            for name in cut_off:
                fleet.views[name].cut_off_at = instants.NEVER
                fleet.change(fleet.history[-1][1] | {name})
        totals.append(sum(view.share() for view in fleet.views.values()))
    assert max(totals) <= 1 + terms.MEMBERSHIP_RESERVE
    assert totals[20] > 0.99
    assert totals[-1] > 0.99


@pytest.mark.parametrize("looks_meanwhile", [False, True])
def test_a_node_whose_row_was_gone_unnoticed_accrues_like_a_new_one(looks_meanwhile):
    """Guards against a frozen or isolated node that accrues for the time in which others have had
    its share, because its row is back before it looks."""
    fleet = Fleet(1, 3)
    view = fleet.views["n0"]
    view.share()
    fleet.now += 5.0
    assert view.share() > 0
    view.cut_off_at = fleet.now
    for _ in range(120):
        fleet.now += 0.5
        if looks_meanwhile:
            view.members.refresh(fleet.now)
    view.cut_off_at = instants.NEVER
    view.lag_s = 0.1
    row = view.instances.by_id["n0"].row
    view.instances.by_id["n0"] = directory.Instance(row, tables.parse_position("1.2"))
    returned_at = fleet.now
    accrual = view.members.accrual("w", fleet.now)
    assert accrual.share == 0.0
    fleet.now += members.JOIN_DELAY_S + members.REFRESH_S
    accrual = view.members.accrual("w", fleet.now)
    assert accrual.share > 0
    assert accrual.since >= returned_at + members.JOIN_DELAY_S


def test_a_node_whose_row_stayed_while_the_store_was_away_accrues_at_once_but_not_for_the_past():
    """Guards against a stop of several seconds of all quotas after the store was away."""
    fleet = Fleet(1, 3)
    view = fleet.views["n0"]
    view.share()
    view.cut_off_at = fleet.now
    for _ in range(120):
        fleet.now += 0.5
        view.members.refresh(fleet.now)
    view.cut_off_at = instants.NEVER
    accrual = view.members.accrual("w", fleet.now)
    assert accrual.share > 0
    assert accrual.since == fleet.now
