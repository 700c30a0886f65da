"""Charges requests to the quota of their workspace, and exchanges tokens with other nodes.

Load pattern: requests of a workspace arrive at any node, and most workspaces stay below their
quota. A node that has a token uses it without a message. One that lacks tokens asks the accounting
node of its region, which collects what the accruing nodes of the region do not need and borrows
from the accounting nodes of other regions, at most every quarter of a second each. Without a node
that lacks tokens, no message is sent.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
import typing

from goldcrestgrade import counters, instants, outcomes, reasons, routes
from goldcrestgrade_node.mesh.quota import bucket, demand, ledger, members, messages, terms
from goldcrestgrade_node.mesh.state import directory

log = logging.getLogger(__name__)

WAIT_S = 0.1
"""Longest time that a request waits for a token."""

PROCURE_S = 0.085
"""Time in which the accounting node answers, so that a request that waits still gets its token."""

TIMEOUT_S = 0.3
"""Timeout of a message; several round trips between regions."""

AVOID_S = 2.0
"""Time for which a node that did not answer is not asked again."""

ROUND_INTERVAL_S = 0.25
"""Time between two rounds of collecting, or of borrowing, for a workspace.

With 0.5 s, more was refused below the quota in the replay, at almost as many messages.
"""

LONGEST_ROUND_INTERVAL_S = 2.0
"""The same after rounds that brought nothing, since all nodes use their tokens themselves."""

MIN_BROUGHT = 1.0
"""Tokens that a round brings at least to count as one that brought some."""

LOW_PART = 0.5
"""Part of the tokens expected to be needed until a round below which the next one begins."""

MIN_ROUND_INTERVAL_S = 0.1
"""Time between two rounds for a shard, whichever workspaces they are for."""

SERVED_S = 1.0
"""Time for which a node that withdrew tokens has none to spare."""

TICK_S = 0.5
"""Time between looks at the members and at the workspaces that are limited."""

MAX_NAMED = 100
"""Largest number of workspaces with counters of their own; others are counted together."""

Post = typing.Callable[[str, bytes], typing.Awaitable[bytes]]
"""Sends a message to the node with an id and returns the answer; raises `Unanswered`."""


class Unanswered(Exception):
    """A node did not answer a message."""


class Round(typing.NamedTuple):
    """One round of collecting or borrowing for a workspace."""

    task: asyncio.Task[None]
    next_at: instants.Instant
    """When the next round may begin."""
    interval_s: float


class Site(typing.NamedTuple):
    """The node itself."""

    node_id: str
    region: str


class Quotas:
    """The quotas at one node; owned by its event loop."""

    def __init__(
        self,
        site: Site,
        rules: terms.Rules,
        instances: directory.Directory,
        fleet: members.Members,
        post: Post,
        clocks: instants.Clocks,
        counts: counters.Counts,
        rng: random.Random,
    ) -> None:
        self.site = site
        self.rules = rules
        self.instances = instances
        self.fleet = fleet
        self.post = post
        self.clocks = clocks
        self.counts = counts
        self.rng = rng
        self.ledger = ledger.Ledger(fleet.accrual)
        self.demands: dict[str, demand.Demand] = {}
        self.avoid_until: dict[str, instants.Instant] = {}
        self.needed: dict[str, dict[str, asyncio.Future[None]]] = {}
        """Workspaces to ask an accounting node for, and what their requests wait for."""
        self.asking: dict[str, asyncio.Task[None]] = {}
        self.rounds: dict[tuple[messages.Kind, str], Round] = {}
        """Latest round of collecting and of borrowing by workspace."""
        self.brought: dict[tuple[messages.Kind, str], float] = {}
        """Tokens that the latest round of a workspace has brought."""
        self.shard_round_at: dict[tuple[messages.Kind, int], instants.Instant] = {}
        """When the latest round for a shard began."""
        self.accounting: dict[tuple[int, str], str | None] = {}
        """Accounting node by shard and region, remembered for `TICK_S`."""
        self.asked: dict[str, demand.Average] = {}
        """Tokens that this accounting node was asked for in its region, by workspace."""
        self.served_at: dict[tuple[str, str], instants.Instant] = {}
        """When a node last withdrew tokens of a workspace here, so that it has none to spare."""
        self.on_unanswered: typing.Callable[[str], None] = lambda _: None
        """Called with the id of a node that did not answer a message."""

    def apply(self, table: routes.RouteTable, rules: terms.Rules) -> None:
        """Put the quotas of a configuration in force."""
        self.rules = rules
        self.ledger.apply(table, rules, self.clocks.monotonic())
        self.demands = {n: d for n, d in self.demands.items() if n in self.ledger.quotas}
        self.asked = {n: average for n, average in self.asked.items() if n in self.ledger.quotas}

    # Requests of clients

    async def charge(self, workspace: str) -> ledger.Charge | outcomes.NotRun:
        """Take the token of a request of a workspace with a quota, or refuse the request."""
        now = self.clocks.monotonic()
        use = self._demand(workspace)
        use.requests.record(now)
        waits_until = now + WAIT_S
        while True:
            if workspace not in self.ledger.quotas:
                # Its quota was removed while the request waited.
                return ledger.Charge(0.0, [])
            charge = self.ledger.spend(workspace, now)
            if charge is not None:
                use.charged.record(now)
                self.counts.quota_charges[self._label(workspace)] += 1
                return charge
            if now >= waits_until or now < use.ask_at:
                return self._refuse(workspace, use, now)
            use.waiting += 1
            try:
                async with asyncio.timeout_at(waits_until):
                    await asyncio.shield(self._need(workspace))
                now = self.clocks.monotonic()
            except TimeoutError:
                # The timer may fire just before its instant.
                now = max(waits_until, self.clocks.monotonic())
            finally:
                use.waiting -= 1

    def _refuse(self, workspace: str, use: demand.Demand, now: instants.Instant) -> outcomes.NotRun:
        quota = self.ledger.quotas[workspace]
        if not use.refused:
            log.info(
                "workspace begins to be limited by its quota",
                extra={"workspace": workspace, "rate": quota.rate},
            )
        use.refused += 1
        use.refused_at = now
        self.counts.quota_refusals[self._label(workspace)] += 1
        own_rate = quota.flow * self.fleet.accrual(workspace, now).share
        retry_at = use.retry_at(now, own_rate, now + self.rules.window_s, self.rng)
        return outcomes.NotRun(reasons.Refusal.QUOTA_EXCEEDED, retry_at)

    def _demand(self, workspace: str) -> demand.Demand:
        known = self.demands.get(workspace)
        if known is None:
            known = self.demands[workspace] = demand.Demand()
        return known

    def _label(self, workspace: str) -> str:
        named = self.counts.quota_charges.keys() | self.counts.quota_refusals.keys()
        return (
            workspace if workspace in named or len(named) < MAX_NAMED else counters.OTHER_WORKSPACES
        )

    def _need(self, workspace: str) -> asyncio.Future[None]:
        """Have tokens of a workspace asked for; the result is done after the answer."""
        target = self._accounting_node(workspace, self.site.region) or self.site.node_id
        needed = self.needed.setdefault(target, {})
        if workspace not in needed:
            needed[workspace] = asyncio.get_running_loop().create_future()
        waited_for = needed[workspace]
        if target not in self.asking:
            self.asking[target] = asyncio.create_task(self._ask(target))
        return waited_for

    async def _ask(self, target: str) -> None:
        """Ask one accounting node for all that is needed, message after message."""
        try:
            while self.needed.get(target):
                needed = self.needed.pop(target)
                try:
                    await self._withdraw(target, [n for n in needed if n in self.ledger.quotas])
                finally:
                    for waited_for in needed.values():
                        if not waited_for.done():
                            waited_for.set_result(None)
        finally:
            del self.asking[target]

    async def _withdraw(self, target: str, workspaces: typing.Sequence[str]) -> None:
        now = self.clocks.monotonic()
        before = {name: self.ledger.total(name, now) for name in workspaces}
        wanted = {name: self._demand(name).wanted(before[name], now) for name in workspaces}
        if target == self.site.node_id:
            await self._procure({n: before[n] + tokens for n, tokens in wanted.items()}, True)
        elif not await self._ask_node(target, messages.Kind.WITHDRAW, wanted):
            # The next accounting node is asked at once.
            return
        now = self.clocks.monotonic()
        for name in workspaces:
            if name in self.ledger.quotas:
                use, total = self._demand(name), self.ledger.total(name, now)
                # A node that only lacks tokens ahead may ask again for its next request.
                lacking = total < use.waiting - bucket.EPSILON
                use.record_answer(lacking, total < before[name] + 0.5, now)

    # Exchange with other nodes

    def _accounting_node(self, workspace: str, region: str) -> str | None:
        """Return the accounting node of a workspace in a region, none if no node is reachable."""
        shard = members.shard(workspace)
        key = shard, region
        if key not in self.accounting:
            self.accounting[key] = max(
                self._reachable(region),
                key=lambda name: members.score(shard, name),
                default=None,
            )
        return self.accounting[key]

    def _reachable(self, region: str) -> list[str]:
        now = self.clocks.monotonic()
        return [
            name
            for name, instance in self.instances.by_id.items()
            if instance.row.place.region == region
            and (name == self.site.node_id or not instance.failures)
            and self.avoid_until.get(name, 0.0) <= now
        ]

    async def _ask_node(self, node_id: str, kind: messages.Kind, wanted: dict[str, float]) -> bool:
        """Ask a node for tokens and add those in its answer; return whether it answered."""
        asked_at = self.clocks.monotonic()
        ask = messages.Ask(kind, self.site.node_id, wanted)
        self.counts.events[EVENTS[kind]] += 1
        try:
            body = await self.post(node_id, messages.encode_ask(ask))
            offers = messages.decode_answer(body)
        except (Unanswered, ValueError) as error:
            self.counts.events[reasons.Event.QUOTA_UNANSWERED] += 1
            log.info(
                "message about quotas not answered",
                extra={"peer": node_id, "kind": kind, "error": str(error)},
            )
            self.avoid_until[node_id] = self.clocks.monotonic() + AVOID_S
            self.accounting.clear()
            self.on_unanswered(node_id)
            return False
        for workspace, offer in offers.items():
            if workspace in wanted:
                self.ledger.receive(workspace, offer, asked_at)
                if (kind, workspace) in self.brought:
                    self.brought[kind, workspace] += sum(tokens for _, tokens in offer.lots)
        return True

    async def answer(self, body: bytes) -> bytes:
        """Return the answer to a message of another node; raises `ValueError`."""
        ask = messages.decode_ask(body)
        quotas = self.ledger.quotas
        # A wrong number must not hold back tokens from others until its average has decayed.
        wanted = {
            name: min(tokens, terms.most_tokens(quotas[name]))
            for name, tokens in ask.wanted.items()
            if name in quotas
        }
        now = self.clocks.monotonic()
        if ask.kind is messages.Kind.COLLECT:
            wanted = {name: self._spare(name, now) for name in wanted}
        else:
            if ask.kind is messages.Kind.WITHDRAW:
                self.served_at.update(((ask.node_id, name), now) for name in wanted)
            await self._procure(wanted, ask.kind is messages.Kind.WITHDRAW)
            now = self.clocks.monotonic()
            if ask.kind is messages.Kind.BORROW:
                wanted = {name: min(n, self._spare(name, now)) for name, n in wanted.items()}
        offers = {
            name: self.ledger.offer(name, tokens, now)
            for name, tokens in wanted.items()
            if name in self.ledger.quotas
        }
        return messages.encode_answer(offers)

    def _spare(self, workspace: str, now: instants.Instant) -> float:
        """Return the tokens that this node needs neither for its clients nor for its region."""
        if workspace not in self.ledger.quotas:
            return 0.0
        use = self.demands.get(workspace)
        kept = self._expected(workspace, now) + (use.kept(now) if use is not None else 0.0)
        return max(0.0, self.ledger.total(workspace, now) - kept)

    def _expected(self, workspace: str, now: instants.Instant) -> float:
        """Return the tokens that the region will ask this accounting node for until a round."""
        average = self.asked.get(workspace)
        return 0.0 if average is None else average.value(now) * ROUND_INTERVAL_S

    async def _procure(self, wanted: typing.Mapping[str, float], borrow: bool) -> None:
        """Have at least the wanted tokens in the buckets of this accounting node, if there are any.

        With `borrow`, other regions are asked too; a message of such a region must not cause that.
        """
        now = self.clocks.monotonic()
        totals = {name: self.ledger.total(name, now) for name in wanted}
        if borrow:
            for name, tokens in wanted.items():
                self.asked.setdefault(name, demand.Average()).record(now, tokens)
        short = [name for name, tokens in wanted.items() if totals[name] < tokens]
        # A round begins before the tokens are used up, so that no request has to wait for it.
        low = [
            name
            for name, tokens in wanted.items()
            if totals[name] < tokens + LOW_PART * self._expected(name, now)
        ]
        kinds = (messages.Kind.COLLECT, messages.Kind.BORROW)[: 2 if borrow else 1]
        for kind, shard in itertools.product(kinds, sorted(set(map(members.shard, low)))):
            self._begin_round(kind, shard, low, now)
        running = {
            self.rounds[kind, name].task
            for kind, name in itertools.product(kinds, short)
            if (kind, name) in self.rounds and not self.rounds[kind, name].task.done()
        }
        if running:
            await asyncio.wait(running, timeout=PROCURE_S)

    def _begin_round(
        self,
        kind: messages.Kind,
        shard: int,
        low: typing.Sequence[str],
        now: instants.Instant,
    ) -> None:
        """Begin a round for a shard if one of the `low` workspaces is due for it.

        Others of the shard that were asked for lately join its messages.
        """

        def is_due(name: str) -> bool:
            latest = self.rounds.get((kind, name))
            return latest is None or (latest.task.done() and latest.next_at <= now)

        latest_at = self.shard_round_at.get((kind, shard), -instants.NEVER)
        if latest_at > now - MIN_ROUND_INTERVAL_S:
            return
        if not any(members.shard(name) == shard and is_due(name) for name in low):
            return
        names = sorted(
            name
            for name in {*low, *self.asked} & self.ledger.quotas.keys()
            if members.shard(name) == shard
        )
        self.shard_round_at[kind, shard] = now
        work = self._collect(shard, names) if kind is messages.Kind.COLLECT else self._borrow(names)
        task = asyncio.create_task(work)
        for name in names:
            latest, brought = self.rounds.get((kind, name)), self.brought.get((kind, name), 0.0)
            interval_s = ROUND_INTERVAL_S
            if latest is not None and brought < MIN_BROUGHT:
                interval_s = min(LONGEST_ROUND_INTERVAL_S, 2 * latest.interval_s)
            self.rounds[kind, name] = Round(task, now + interval_s, interval_s)
            self.brought[kind, name] = 0.0

    async def _collect(self, shard: int, names: typing.Sequence[str]) -> None:
        """Ask the accruing nodes of the region for the tokens that they do not need."""
        by_node = {
            node_id: {name: 0.0 for name in names if (node_id, name) not in self.served_at}
            for node_id in set(self._reachable(self.site.region))
            & set(self.fleet.accruing_nodes(shard))
            if node_id != self.site.node_id
        }
        await asyncio.gather(
            *(
                self._ask_node(node_id, messages.Kind.COLLECT, wanted)
                for node_id, wanted in by_node.items()
                if wanted
            )
        )

    async def _borrow(self, names: typing.Sequence[str]) -> None:
        """Ask the accounting nodes of the other regions for what is expected to be lacking."""
        now = self.clocks.monotonic()
        # A quota may have been removed since the round began.
        limited = [n for n in names if n in self.ledger.quotas]
        lacking = {n: 1.0 + self._expected(n, now) - self.ledger.total(n, now) for n in limited}
        regions = {instance.row.place.region for instance in self.instances.by_id.values()}
        by_target: dict[str, dict[str, float]] = {}
        for region, (name, tokens) in itertools.product(
            sorted(regions - {self.site.region}), lacking.items()
        ):
            target = self._accounting_node(name, region)
            if target is not None and tokens > 0:
                by_target.setdefault(target, {})[name] = tokens
        await asyncio.gather(
            *(
                self._ask_node(target, messages.Kind.BORROW, wanted)
                for target, wanted in by_target.items()
            )
        )

    # Lifecycle

    async def run(self) -> None:
        """Follow the members, and log workspaces that are no longer limited, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self.ledger.quotas:
                self.tick()

    def tick(self) -> None:
        """Follow the members and drop what is no longer needed."""
        now = self.clocks.monotonic()
        self.fleet.refresh(now)
        for name, use in self.demands.items():
            if use.refused and use.refused_at <= now - self.rules.window_s:
                log.info(
                    "workspace is no longer limited by its quota",
                    extra={"workspace": name, "refused": use.refused},
                )
                use.refused = 0
        self.served_at = {key: at for key, at in self.served_at.items() if at > now - SERVED_S}
        self.asked = {
            name: average
            for name, average in self.asked.items()
            if average.at > now - LONGEST_ROUND_INTERVAL_S
        }
        self.accounting.clear()
        self.rounds = {
            key: latest
            for key, latest in self.rounds.items()
            if not latest.task.done() or latest.next_at > now - LONGEST_ROUND_INTERVAL_S
        }
        self.brought = {key: n for key, n in self.brought.items() if key in self.rounds}
        self.avoid_until = {n: until for n, until in self.avoid_until.items() if until > now}


EVENTS = {
    messages.Kind.WITHDRAW: reasons.Event.QUOTA_WITHDRAWN,
    messages.Kind.COLLECT: reasons.Event.QUOTA_COLLECTED,
    messages.Kind.BORROW: reasons.Event.QUOTA_BORROWED,
}
"""Event that counts the messages of a kind."""
