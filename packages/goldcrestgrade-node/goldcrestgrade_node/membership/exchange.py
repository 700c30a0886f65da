"""Exchange of entries between nodes: gossip rounds, immediate pushes and confirmed suspicion."""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
import typing

import pydantic

from goldcrestgrade import counters, instants, records
from goldcrestgrade_node.membership import (
    budgets,
    contacts,
    members,
    messages,
    notices,
    peers,
    selection,
)

log = logging.getLogger(__name__)

EXCHANGE_PATH = "/v1/exchange"
RECONCILE_PATH = "/v1/reconcile"
PROBE_PATH = "/v1/probe"

BUSY_ROUND_INTERVAL_S = 1.0
"""Time between gossip rounds, before jitter, while requests are in flight or entries change."""

IDLE_ROUND_INTERVAL_S = 6.0
"""Time between gossip rounds, before jitter, while nothing changes."""

BUSY_PERIOD_S = 30.0
"""Time after a change for which rounds follow at `BUSY_ROUND_INTERVAL_S`."""

PUSH_DELAY_S = 0.05
"""Time for which changes are collected before they are pushed together, before jitter."""

PUSH_FANOUT = 3
"""Number of peers that one push is sent to."""

ORDINARY_PUSHES = 1
"""Number of pushes that carry an ordinary change."""

URGENT_PUSHES = 3
"""Number of pushes that carry an urgent change.

Notices, new sheet versions and changes that end the availability of an endpoint are urgent.
"""

MAX_PUSH_ENTRIES = 100
"""Largest number of entries in one push."""

PUSH_BYTES_PER_S = 1500.0
"""Rate at which the byte budget of pushes refills."""

PUSH_BURST_BYTES = 48_000.0
"""Largest balance of the byte budget of pushes."""

ENTRY_BYTES = 350
"""Assumed size of an entry on the wire."""

MAX_RECONCILE_BUCKETS = 8
"""Largest number of buckets that one message reconciles."""

OBSERVER_COUNT = 2
"""Number of nodes asked to confirm that another node is unreachable."""

TICK_INTERVAL_S = 0.5
"""Time between two checks of the deadlines of entries."""

MAX_PAUSE_S = 15.0
"""Longest pause of this process after which it keeps its entries of other nodes."""

T = typing.TypeVar("T")
K = typing.TypeVar("K")


class Pending(typing.NamedTuple, typing.Generic[T]):
    """A change that is to be pushed, and the number of pushes left."""

    change: T
    pushes_left: int


class Hooks(typing.NamedTuple):
    """Callbacks by which the exchange notifies and queries the rest of the node."""

    services_changed: typing.Callable[[set[str]], None]
    """Called with the services whose endpoints or entry nodes may have changed."""
    sheet_version: typing.Callable[[], int]
    """Returns the version of the sheet in force on this node."""
    newer_sheet_found: typing.Callable[[int, str], None]
    """Called with a newer version of the sheet and the URL of a peer that has it in force."""
    is_busy: typing.Callable[[], bool]
    """Returns whether the node has requests in flight."""


class Exchange:
    """The exchange of state between a node and its peers; owned by the event loop of the node."""

    def __init__(
        self,
        own: members.OwnRecord,
        known: members.Members,
        remote: peers.Peers,
        hooks: Hooks,
        clocks: instants.Clocks,
        counts: counters.Counts,
        rng: random.Random,
    ) -> None:
        self.own = own
        self.known = known
        self.remote = remote
        self.hooks = hooks
        self.clocks = clocks
        self.counts = counts
        self.rng = rng
        self.contacts = contacts.Contacts(own.record["region"], clocks)
        self.notices = notices.Notices(clocks)
        self.budget = budgets.TokenBucket(PUSH_BYTES_PER_S, PUSH_BURST_BYTES, clocks.monotonic)
        self.pending: dict[str, Pending[records.Entry]] = {}
        self.pending_notices: dict[tuple[str, str], Pending[messages.Notice]] = {}
        self.sheet_pushes_left = 0
        """Pushes left that report the sheet version in force, even without other changes."""
        self.push_count = 0
        self.push_requested = asyncio.Event()
        self.busy_until: instants.Instant = 0.0
        self.last_tick = clocks.monotonic()
        self.cached_view = selection.view(own.record, [])
        self.cached_view_generation = known.generation
        self.rejoin_urls: list[str] = []
        """URLs of peers to join again after a pause of this process."""

    # Messages of peers

    def receive(self, message: messages.Exchange) -> messages.ExchangeReply:
        """Apply the state that a peer sent; return this node's sheet version and contact ages.

        If the peer requests bucket digests and the root digests differ, the reply contains them.
        """
        self.check_pause()
        self._record_contact(message["node_id"], message["region"], message["heard"])
        self.merge_entries(message["entries"])
        self.merge_notices(message["notices"])
        sender = self.known.record(message["node_id"])
        if sender is not None and message["sheet_version"] > self.hooks.sheet_version():
            self.hooks.newer_sheet_found(message["sheet_version"], records.control_url(sender))
        omit_buckets = not message["settle"] or message["digest"] == self._root_digest()
        return messages.ExchangeReply(
            node_id=self.own.record["node_id"],
            region=self.own.record["region"],
            sheet_version=self.hooks.sheet_version(),
            heard=self._contact_ages_s_for(message["region"]),
            buckets=[] if omit_buckets else self.known.digests.buckets,
        )

    def reconcile(self, message: messages.Reconcile) -> messages.ReconcileReply:
        """Return the entries that the peer lacks, and the nodes for which it has newer entries."""
        self.check_pause()
        self.merge_notices(message["notices"])
        peer_summaries = {summary.node_id: summary for summary in message["summaries"]}
        local_entries = self.known.in_buckets(message["buckets"])
        local_orders = {e["record"]["node_id"]: records.entry_order(e) for e in local_entries}
        newer = [
            entry
            for entry in local_entries
            if (summary := peer_summaries.get(entry["record"]["node_id"])) is None
            or records.entry_order(entry) > summary[1:]
        ]
        wanted = [
            node_id
            for node_id, summary in peer_summaries.items()
            if node_id not in local_orders or local_orders[node_id] < summary[1:]
        ]
        return messages.ReconcileReply(
            entries=newer[: messages.MAX_ENTRIES], wanted=wanted, notices=self.notices.latest()
        )

    async def probe(self, message: messages.Probe) -> messages.ProbeReply:
        """Return whether this node can reach the node that a peer asks about."""
        record = self.known.record(message["node_id"])
        return messages.ProbeReply(reached=record is not None and await self._exchange(record))

    # Changes

    def merge_entries(self, entries: typing.Iterable[records.Entry]) -> None:
        """Merge entries of peers, refute newer ones about this node, and push the changes."""
        received = list(entries)
        own_id = self.own.record["node_id"]
        self._refute([entry for entry in received if entry["record"]["node_id"] == own_id])
        others = [entry for entry in received if entry["record"]["node_id"] != own_id]
        self._schedule_push(self.known.merge(others))

    def announce(self, entry: records.Entry) -> None:
        """Merge a new entry of this node and push it."""
        self._schedule_push(self.known.merge([entry]))

    def merge_notices(self, received: typing.Iterable[messages.Notice]) -> None:
        """Merge notices and push those that are new."""
        for notice in self.notices.merge(received):
            self.pending_notices[notices.key_of(notice)] = Pending(notice, URGENT_PUSHES)
            self.push_requested.set()

    def push_sheet_version(self) -> None:
        """Push the sheet version that has come into force to a few peers."""
        self.sheet_pushes_left = URGENT_PUSHES
        self.push_requested.set()

    def _schedule_push(self, merged: members.Merged) -> None:
        if not merged.applied:
            return
        self.busy_until = self.clocks.monotonic() + BUSY_PERIOD_S
        urgent = {entry["record"]["node_id"] for entry in merged.urgent}
        # While the byte budget is used up, only urgent entries are pushed; gossip rounds carry the
        # others.
        to_push = merged.applied if self.budget.in_credit() else merged.urgent
        for entry in to_push:
            node_id = entry["record"]["node_id"]
            pushes_left = URGENT_PUSHES if node_id in urgent else ORDINARY_PUSHES
            self.pending[node_id] = Pending(entry, pushes_left)
            self.push_requested.set()
        if merged.changed_services:
            self.hooks.services_changed(merged.changed_services)

    def _refute(self, claims: list[records.Entry]) -> None:
        own_order = records.entry_order(self.own.entry())
        higher = [order for order in map(records.entry_order, claims) if order > own_order]
        if not higher:
            return
        highest = max(higher)
        if highest.incarnation > own_order.incarnation:
            self.counts.events["node_id_replaced"] += 1
            return
        self.counts.events["suspicion_refuted"] += 1
        self.announce(self.own.outrank(highest))

    # Tasks

    async def gossip_forever(self) -> None:
        """Run gossip rounds at jittered intervals until cancelled."""
        while True:
            now = self.clocks.monotonic()
            busy = now < self.busy_until or self.hooks.is_busy()
            interval_s = BUSY_ROUND_INTERVAL_S if busy else IDLE_ROUND_INTERVAL_S
            await asyncio.sleep(interval_s * self.rng.uniform(0.5, 1.5))
            await self.gossip_round()

    async def gossip_round(self) -> None:
        """Exchange state with one peer; if it is unreachable, ask other nodes to confirm that."""
        peer = selection.choose_peer(self.view(), self.rng)
        if peer is not None and not await self._exchange(peer):
            await self._suspect(peer)

    async def push_forever(self) -> None:
        """Push changes to a few peers soon after they occur, until cancelled."""
        while True:
            await self.push_requested.wait()
            await asyncio.sleep(PUSH_DELAY_S * self.rng.uniform(0.5, 1.5))
            await self.push()

    async def push(self) -> None:
        """Push pending changes to a few peers."""
        self.push_requested.clear()
        entries = _next_batch(self.pending, MAX_PUSH_ENTRIES)
        pushed_notices = _next_batch(self.pending_notices, messages.MAX_NOTICES)
        self.sheet_pushes_left = max(0, self.sheet_pushes_left - 1)
        if self.pending or self.pending_notices or self.sheet_pushes_left:
            self.push_requested.set()
        view = self.view()
        chosen = [selection.choose_peer(view, self.rng) for _ in range(PUSH_FANOUT - 1)]
        # Each push of an urgent change goes to another successor on the ring.
        self.push_count += 1
        ring = selection.successors(view, URGENT_PUSHES)
        chosen += ring[self.push_count % URGENT_PUSHES :][:1]
        targets = {peer["node_id"]: peer for peer in chosen if peer is not None}
        self.budget.spend(ENTRY_BYTES * len(entries) * len(targets))
        await asyncio.gather(
            *(
                self._exchange(peer, entries, pushed_notices, compare_digests=False)
                for peer in targets.values()
            )
        )

    async def tick_forever(self) -> None:
        """Act on the deadlines of entries, and rejoin peers after a pause, until cancelled."""
        while True:
            self.check_pause()
            self.tick()
            urls, self.rejoin_urls = self.rejoin_urls, []
            await asyncio.gather(*(self.join(url) for url in urls))
            await asyncio.sleep(TICK_INTERVAL_S)

    def check_pause(self) -> None:
        """Drop the entries of other nodes if this process was paused, since they may be stale."""
        paused_s = self.clocks.monotonic() - self.last_tick
        self.last_tick = self.clocks.monotonic()
        if paused_s <= MAX_PAUSE_S:
            return
        log.warning(
            "process was paused; entries of other nodes are dropped", extra={"paused_s": paused_s}
        )
        self.counts.events["paused"] += 1
        chosen = [selection.choose_peer(self.view(), self.rng) for _ in range(PUSH_FANOUT)]
        self.rejoin_urls = [records.control_url(peer) for peer in chosen if peer is not None]
        self.hooks.services_changed(self.known.keep_only(self.own.record["node_id"]))

    def tick(self) -> None:
        """Expire entries and notices, and update the silent regions."""
        changed_services = self.known.expire()
        self.notices.expire()
        changed_services |= self.known.set_silent_regions(
            self.contacts.silent_regions(self.view().regions)
        )
        if changed_services:
            self.hooks.services_changed(changed_services)

    def view(self) -> selection.View:
        """Return the live nodes, grouped by failure domain and region."""
        if self.cached_view_generation != self.known.generation:
            self.cached_view = selection.view(self.own.record, self.known.alive())
            self.cached_view_generation = self.known.generation
        return self.cached_view

    async def join(self, url: str) -> None:
        """Exchange state with the node at `url`, whether or not it is known."""
        await self._exchange_at(url, None, [], [], compare_digests=True)

    async def push_own_entry(self) -> None:
        """Push the latest entry of this node without delay."""
        self.pending[self.own.record["node_id"]] = Pending(self.own.entry(), URGENT_PUSHES)
        await self.push()

    # Requests to peers

    async def _exchange(
        self,
        peer: records.NodeRecord,
        entries: typing.Sequence[records.Entry] = (),
        pushed_notices: typing.Sequence[messages.Notice] = (),
        compare_digests: bool = True,
    ) -> bool:
        crossing = peer["region"] != self.own.record["region"]
        self.counts.events["exchange_crossing" if crossing else "exchange_local"] += 1
        return await self._exchange_at(
            records.control_url(peer),
            peer["node_id"],
            list(entries),
            list(pushed_notices),
            compare_digests,
        )

    async def _exchange_at(
        self,
        url: str,
        expected_id: str | None,
        entries: list[records.Entry],
        pushed_notices: list[messages.Notice],
        compare_digests: bool,
    ) -> bool:
        self.check_pause()
        try:
            reply = await self._send_exchange(url, entries, pushed_notices, compare_digests)
            if expected_id not in (None, reply["node_id"]):
                return False
            self._record_contact(reply["node_id"], reply["region"], reply["heard"])
            if reply["sheet_version"] > self.hooks.sheet_version():
                self.hooks.newer_sheet_found(reply["sheet_version"], url)
            await self._reconcile_differences(url, reply["buckets"])
        except peers.PeerError as error:
            self.counts.events["exchange_failed"] += 1
            log.debug("exchange failed", extra={"peer": url, "error": str(error)})
            return False
        return True

    async def _reconcile_differences(self, url: str, buckets: list[int]) -> None:
        if len(buckets) != len(self.known.digests.buckets):
            return
        differing = self.known.digests.differing_buckets(buckets)
        # If no bucket differs, the notices do; one message without buckets reconciles them.
        for start in range(0, max(1, len(differing)), MAX_RECONCILE_BUCKETS):
            await self._reconcile(url, differing[start : start + MAX_RECONCILE_BUCKETS])

    async def _reconcile(self, url: str, buckets: list[int]) -> None:
        local_entries = self.known.in_buckets(buckets)[: messages.MAX_ENTRIES]
        message = messages.Reconcile(
            buckets=buckets,
            summaries=[members.summary(entry) for entry in local_entries],
            notices=self.notices.latest(),
        )
        reply = await self._request(
            url, RECONCILE_PATH, messages.RECONCILE.dump_json(message), messages.RECONCILE_REPLY
        )
        self.counts.events["reconciled"] += 1
        self.merge_entries(reply["entries"])
        self.merge_notices(reply["notices"])
        wanted = [self.known.entries[i] for i in reply["wanted"] if i in self.known.entries]
        if wanted:
            await self._send_exchange(url, wanted, [], compare_digests=False)

    async def _send_exchange(
        self,
        url: str,
        entries: list[records.Entry],
        pushed_notices: list[messages.Notice],
        compare_digests: bool,
    ) -> messages.ExchangeReply:
        message = messages.Exchange(
            node_id=self.own.record["node_id"],
            region=self.own.record["region"],
            sheet_version=self.hooks.sheet_version(),
            digest=self._root_digest(),
            heard=self.contacts.recent_ages_s(),
            entries=entries,
            notices=pushed_notices,
            settle=compare_digests,
        )
        return await self._request(
            url, EXCHANGE_PATH, messages.EXCHANGE.dump_json(message), messages.EXCHANGE_REPLY
        )

    async def _suspect(self, peer: records.NodeRecord) -> None:
        if peer["region"] != self.own.record["region"]:
            return
        observers = selection.choose_observers(self.view(), peer, OBSERVER_COUNT, self.rng)
        answers = await asyncio.gather(
            *(self._probe_through(peer, observer) for observer in observers)
        )
        if True in answers or (observers and False not in answers):
            self.counts.events["suspicion_not_confirmed"] += 1
            return
        entry = self.known.entries.get(peer["node_id"])
        if entry is None or records.record_order(entry["record"]) != records.record_order(peer):
            return
        log.info("node suspected", extra={"suspect": peer["node_id"]})
        self.counts.events["node_suspected"] += 1
        until = self.clocks.wall() + members.SUSPICION_TIMEOUT_S
        self.merge_entries(
            [records.Entry(record=peer, standing=records.Standing.SUSPECT, until=until)]
        )

    async def _probe_through(
        self, suspect: records.NodeRecord, observer: records.NodeRecord
    ) -> bool | None:
        message = messages.Probe(node_id=suspect["node_id"])
        try:
            reply = await self._request(
                records.control_url(observer),
                PROBE_PATH,
                messages.PROBE.dump_json(message),
                messages.PROBE_REPLY,
            )
        except peers.PeerError:
            return None
        return reply["reached"]

    async def _request(
        self, url: str, path: str, body: bytes, adapter: pydantic.TypeAdapter[T]
    ) -> T:
        reply = await self.remote.post(url, path, body)
        try:
            return adapter.validate_json(reply)
        except pydantic.ValidationError as error:
            raise peers.PeerError(f"invalid reply from {url}{path}") from error

    def _root_digest(self) -> int:
        return self.known.digests.root(self.notices.digest)

    def _record_contact(self, node_id: str, region: str, ages_s: dict[str, float]) -> None:
        if node_id == self.own.record["node_id"]:
            return
        self.contacts.record_direct(region)
        if region == self.own.record["region"]:
            self.contacts.merge_relayed(ages_s)

    def _contact_ages_s_for(self, region: str) -> dict[str, float]:
        return self.contacts.recent_ages_s() if region == self.own.record["region"] else {}


def _next_batch(pending: dict[K, Pending[T]], count: int) -> list[T]:
    first = [(key, pending.pop(key)) for key in list(itertools.islice(pending, count))]
    pending.update(
        (key, p._replace(pushes_left=p.pushes_left - 1)) for key, p in first if p.pushes_left > 1
    )
    return [p.change for _, p in first]
