"""Keeps the node's replica of the shared tables up to date, from a peer or from the store.

In each failure domain the reachable node with the lowest id is the source of the others, which poll
it. These first nodes follow the one of the first failure domain of their region, which watches the
store, so that the number of store requests grows with neither nodes nor failure domains. Nodes only
follow nodes before them in this order, so no two can follow each other.

A node that loses its source asks several peers at once for the next one. The first node of a
failure domain watches the store meanwhile, so that the others hardly notice.

A silent source looks like one that has nothing new until a poll of it times out, and along a chain
of sources the time-outs add up. Each answer therefore states how old the knowledge of the source
is, and a node whose own may be older than `MAX_AGE_S` reads the configuration from the store,
whatever its sources do.

Load pattern: all nodes of a region start at once, and a configuration of 1,400 routes is in a store
behind a link of 30 Mbit/s. If each node read it there, none would have it in time. Reads that take
too long are therefore left to the first node in the order of sources; the others ask peers, and
one more of them reads it again after each `LOAD_STAGGER_S`.

Load pattern: a configuration grows by 1,600 routes, and the link of the node that watches the store
carries 5 Mbit/s. The node reads on for as long as parts of the answer arrive. When all nodes of a
region have lost the store and regain it, they would fill the link between the regions that way for
seconds, so all but one of them give a slow read up after `QUICK_POLL_TRANSFER_S`. After a read
that failed, a node asks the first nodes of its region until its turn to read comes.

Load pattern: many nodes of a failure domain are lost or cut off at once, the watcher among them.
Each round of the search takes as long as one silent peer, however many are silent. While no peer
has the store, the number of nodes that try it themselves doubles with each round.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
import typing
import zlib

import aiohttp
import orjson

from goldcrestgrade import backoffs, instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.state import directory, pacing, replica

log = logging.getLogger(__name__)

STORE_LONG_POLLS_S = {replica.CONFIGURATION: 0.7, replica.MESH: 4.0}
"""Longest time for which the store may wait for changes of a table before it answers a poll.

Each answer to a poll of the configuration shows all followers that theirs is up to date. A silent
connection is noticed by these polls; those of both tables then begin anew.
"""

MAX_AGE_S = 1.1
"""Age of its knowledge at which a node reads the configuration from the store itself.

More than a long poll of the store, and less than the 2 s within which a configuration must be in
force.
"""

AGE_SPREAD_S = 0.3
"""Time over which the followers of one lost source spread their reads of the configuration."""

FIRST_READERS = 4
"""Nodes of a region that read the configuration at `MAX_AGE_S`; the others ask them first."""

READERS_LEAD_S = 0.3
"""Time that the other nodes leave to them."""

READ_BACKOFF_S = 1.5
"""Longest time between two reads of a follower while the store does not answer."""

AGE_CHECK_INTERVAL_S = 0.1
"""Shortest time between two checks of the age."""

MAX_REGION_AGE_S = 2.0
"""Age of its knowledge from which a node that the store does not answer polls other regions too."""

MAX_STATED_AGE_S = 3600.0
"""Largest age that an answer to a poll states."""

STORE_POLL_DELAYS_S = {replica.CONFIGURATION: 0.0, replica.MESH: 0.25}
"""Time between two polls of a table, in which changes gather into one answer.

Each request to the store has a price. An outdated instance row costs a request one hop, and a node
that stops waits longer than this after it has removed its row.
"""

PEER_LONG_POLL_S = 0.8
"""Longest time for which a peer may wait for changes before it answers a poll.

A silent peer must be noticed within seconds.
"""

QUICK_POLL_TRANSFER_S = 0.4
"""Time after which a node leaves a slow answer to a poll of the store to others of its region."""

RESPONSE_MARGIN_S = 0.4
"""Time beyond the long poll without a byte after which a poll of a peer fails."""

MAX_TRANSFER_S = 5.0
"""Time after which a read of a peer or the store fails although its answer is still arriving."""

ROUND_INTERVAL_S = 0.02
"""Mean time between polls or searches that end at once, whatever the peers and the store answer."""

ROUND_BURST_S = 0.5
"""Time whose polls and searches may follow each other without a pause."""

MIN_COMPRESSED_BYTES = 2048
"""Size from which changes are compressed; small answers are most of them."""

COMPRESSION_LEVEL = 1
"""Level of `zlib`; configurations repeat so much that higher ones gain little."""

SEARCH_WIDTH = 4
"""Number of peers that a node without a source asks at once."""

STARTING_WIDTH = 2
"""Peers of the own and of other failure domains that a starting node asks after the first era."""

SEARCH_INTERVAL_S = 0.25
"""Time between two rounds of a search; a new watcher has read the changes by then."""

BACKOFF_BASE_S = 0.2
"""Longest backoff before the store is polled again after a first failure."""

BACKOFF_LIMIT_S = 1.5
"""Longest backoff after any failure; rows must be back two seconds after the store is."""

MAX_STORE_ANSWER_AGE_S = 3.0
"""Time after its last answer for which a node counts as connected to the store."""

PEER_BACKOFF_S = 5.0
"""Time for which a peer that did not answer is not asked again."""

DISCONNECTED_PEER_BACKOFF_S = 1.0
"""The same for a peer that answered that it does not have the store."""

MAX_SOURCE_ANSWER_AGE_S = PEER_LONG_POLL_S + RESPONSE_MARGIN_S
"""Time after the last answer of its source for which a node counts as connected to the store."""

START_SPREAD_S = 1.5
"""Time over which the nodes of a new fleet spread their first read of the store.

Until a row of another node is known, each node watches the store itself, and writes its row before
its endpoint is known. Nodes that start a little later find a node to follow instead.
"""

QUICK_LOAD_S = 0.7
"""Time after which a starting node leaves a read of the configuration to others of its region."""

LOAD_STAGGER_S = 0.3
"""Time after which one more starting node of a region reads the configuration from the store."""

LOAD_INTERVAL_S = 0.1
"""Time between two rounds in which a starting node asks peers for the configuration."""

MAX_LOAD_DELAY_S = 2.0
"""Longest time for which a node leaves that to others of its region."""

FIRST_ERA = 1
"""Era of a store that has never come back from a copy."""

STORE = "store"
"""Name of the store as a source of changes in log lines."""

CHANGES_PATH = "/mesh/changes"
"""Path of the relay address at which a node answers polls of its peers for changes."""


class PeerError(Exception):
    """A peer did not return changes."""


def watches_itself(rank: int, search_round: int) -> bool:
    """Return whether a node watches the store itself after an unsuccessful round of its search.

    `rank` is the number of reachable peers with a lower id in the failure domain.
    """
    return rank < 1 << search_round


class Sync:
    """The task that watches one source after another; owned by the node's event loop."""

    def __init__(
        self,
        own_id: str,
        location: directory.Location,
        local_replica: replica.Replica,
        instances: directory.Directory,
        store: tables.WatchedTables,
        session: aiohttp.ClientSession,
        clocks: instants.Clocks,
        rng: random.Random,
    ) -> None:
        self.own_id = own_id
        self.location = location
        self.replica = local_replica
        self.instances = instances
        self.store = store
        self.session = session
        self.clocks = clocks
        self.rng = rng
        store.on_era(self.observe_era)
        self.store_answered_at: instants.Instant = -instants.NEVER
        self.backoff_until: dict[str, instants.Instant] = {}
        self.complete = asyncio.Event()
        """Set once all watched tables were read in full."""
        self.failures = 0
        """Failures of the store since all tables were last read."""
        self.failed_tables: set[str] = set()
        """Tables that the store has not returned since a poll of them failed."""
        self.read_failed_at: instants.Instant | None = None
        """When a read of the store first failed; none once one succeeds or a source is followed."""
        self.source_id: str | None = None
        """Peer that this node polls; none while it watches the store or searches a peer."""
        self.source_answered_at: instants.Instant = -instants.NEVER
        """When the present source last answered that it is connected to the store."""
        self.current_at: instants.Instant = -instants.NEVER
        """Latest instant as of which the replica is known to have the store's configuration."""
        self.region_search_at: instants.Instant = 0.0
        """When the first node of a failure domain next looks for a source in its region."""
        self.watches_store = False
        self.answered_by = STORE
        """Id of the peer that sent the latest answer, or `STORE`."""
        self.load_at: instants.Instant = clocks.monotonic()
        """When this node first reads the store."""
        self.pacer = pacing.Pacer(clocks, ROUND_INTERVAL_S, ROUND_BURST_S)
        self.known_era = 0
        """Latest era of the store that any answer has shown."""
        self.encoded_changes: dict[tuple[tables.Position, ...], bytes] = {}
        """Answers to polls by the positions of the peer, as of `encoded_at`."""
        self.encoded_at = local_replica.changed
        self.polled_at: dict[str, instants.Instant] = {}
        """When the store last answered a poll, by table."""
        self.pending_polls: dict[str, asyncio.Task[tables.Changes]] = {}
        """Polls of the store that wait for changes, by table."""

    def is_connected(self) -> bool:
        """Return whether the store, or a source that is connected to it, answers this node."""
        now = self.clocks.monotonic()
        if self.watches_store:
            return now - self.store_answered_at < MAX_STORE_ANSWER_AGE_S and not self.failures
        return now - self.source_answered_at < MAX_SOURCE_ANSWER_AGE_S

    def is_first_in_failure_domain(self) -> bool:
        """Return whether no node of the failure domain with a lower id is usable as a source."""
        return not self._lower_peers()

    def observe_era(self, era: int) -> None:
        """Record an era that an answer of the store or a poll of a peer has shown.

        If it is new, the polls of the store end, so that the tables are read in full.
        """
        if era > self.known_era:
            self.known_era = era
            for task in self.pending_polls.values():
                task.cancel()

    def spread_start(self) -> None:
        """Delay the first read, since all nodes of a new fleet start at once.

        Load pattern: hundreds of nodes start within 0.3 s, and none knows of another.
        """
        self.load_at = self.clocks.monotonic() + self.rng.uniform(0.0, START_SPREAD_S)

    async def run(self) -> None:
        """Read both tables in full, then watch them until cancelled."""
        await asyncio.sleep(max(0.0, self.load_at - self.clocks.monotonic()))
        await self._load()
        while True:
            await self._watch()
            await self.pacer.pause()

    async def _watch(self) -> None:
        """Poll the source or the store once, or search for a source."""
        source = None if self.source_id is None else self.instances.by_id.get(self.source_id)
        if source is not None:
            if not await self._watch_peer(source):
                self._leave_source()
        elif self._lower_peers():
            await self._search()
        elif self._region_peers() and self.region_search_at <= self.clocks.monotonic():
            await self._search_region()
        else:
            self.watches_store = True
            await self._watch_store()

    async def keep_current(self) -> None:
        """Read the configuration from the store whenever it may be too old, until cancelled.

        Load pattern: the sources of a node are cut off or stand still one after the other, or in a
        chain. A node that watches the store notices by its own polls.
        """
        await self.complete.wait()
        while True:
            max_age_s = MAX_AGE_S + self.rng.uniform(0.0, AGE_SPREAD_S)
            while self.watches_store or self.age_s() < max_age_s:
                await asyncio.sleep(max(AGE_CHECK_INTERVAL_S, max_age_s - self.age_s()))
            readers = self._readers_before()
            is_their_turn = self.age_s() < max_age_s + READERS_LEAD_S
            leaves_read = is_their_turn and len(readers) == FIRST_READERS
            leaves_read = leaves_read or self._leaves_reads_to_peers()
            if leaves_read and await self._hears_from(readers, 0.0):
                await asyncio.sleep(AGE_CHECK_INTERVAL_S)
            elif not await self._read_configuration():
                await asyncio.sleep(READ_BACKOFF_S * self.rng.uniform(0.5, 1.0))

    def _readers_before(self) -> list[directory.Instance]:
        """Return the nodes of the region that read before this one, `FIRST_READERS` at most."""
        return sorted(self._peers_before(), key=_source_rank)[:FIRST_READERS]

    async def _hears_from(
        self, readers: typing.Sequence[directory.Instance], wait_s: float
    ) -> bool:
        """Apply the changes of one of several peers; return whether it answered."""
        if not readers:
            return False
        peer = self.rng.choice(readers)
        try:
            await self._poll_peer(peer, wait_s)
        except PeerError as error:
            log.info("poll of a peer failed", extra={"peer": peer.row.node_id, "error": str(error)})
            self._back_off_from([peer], PEER_BACKOFF_S)
            return False
        return True

    async def _read_configuration(self) -> bool:
        """Read what changed in the configuration; return whether the store answered."""
        table = replica.CONFIGURATION
        try:
            try:
                received = await self.store.changes(
                    table,
                    self.replica.positions[table],
                    0.0,
                    self._transfer_s(QUICK_POLL_TRANSFER_S),
                )
                self.answered_by = STORE
                self.replica.apply_changes(table, received)
            except tables.HistoryGone:
                snapshot = await self.store.snapshot(table, self._transfer_s(QUICK_LOAD_S))
                self.answered_by = STORE
                self.replica.apply_snapshot(table, snapshot)
        except tables.ReadError as error:
            self._record_failed_read()
            log.info("configuration not read from the store", extra={"error": str(error)})
            return False
        self.read_failed_at = None
        self._record_current(self.clocks.monotonic())
        return True

    def age_s(self) -> float:
        """Return the largest possible age of the configuration that this node knows, in seconds."""
        return self.clocks.monotonic() - self.current_at

    def _record_current(self, as_of: instants.Instant) -> None:
        """Record that the replica has all that the store had at `as_of`, and tell followers."""
        if as_of > self.current_at:
            self.current_at = as_of
            self.replica.notify()
        if self.source_id is not None and self.age_s() < MAX_AGE_S:
            self.read_failed_at = None

    async def _load(self) -> None:
        """Read the instances from the store, and the configuration from a peer if there is one.

        A peer's configuration may be newer, since the store may come back from a copy of its past.
        That of a peer that is cut off may be older, so then the store's is read too. One silent
        peer must not decide for the store, which may have lost evacuations and withdrawn keys.
        """
        instances_read = False
        slow_at: instants.Instant | None = None
        """When a first read of the configuration had taken too long."""
        while not self.complete.is_set():
            try:
                if not instances_read:
                    await self._read(replica.MESH, MAX_TRANSFER_S)
                    instances_read = True
                is_first = slow_at is None
                if not await self._ask_for_configuration(is_first) or self.age_s() > MAX_AGE_S:
                    delay_s = self._load_delay_s()
                    if slow_at is not None and self.clocks.monotonic() < slow_at + delay_s:
                        await asyncio.sleep(LOAD_INTERVAL_S)
                        continue
                    async with asyncio.timeout(QUICK_LOAD_S if is_first and delay_s else None):
                        await self._read(replica.CONFIGURATION, MAX_TRANSFER_S)
                self.complete.set()
            except TimeoutError:
                slow_at = self.clocks.monotonic()
            except tables.ReadError as error:
                self._store_failed(error)
                await self._back_off()

    def _load_delay_s(self) -> float:
        """Return the time for which a slow read of the store is left to others of the region.

        It grows with the number of nodes before this one in the order of sources, so it is 0 for
        the node that watches the store.
        """
        return min(len(self._peers_before()) * LOAD_STAGGER_S, MAX_LOAD_DELAY_S)

    def _peers_before(self) -> list[directory.Instance]:
        """Return the peers before this node in the order of sources of its region."""
        own_rank = (self.location.failure_domain, self.own_id)
        return [peer for peer in self._peers_in_region() if _source_rank(peer) < own_rank]

    def _transfer_s(self, quick_s: float) -> float:
        """Return how long an answer of the store may take to arrive.

        That is `quick_s` while a slow read is left to other nodes of the region.
        """
        if not self._peers_before():
            return MAX_TRANSFER_S
        turn_at = self._read_turn_at()
        has_turn = turn_at is not None and self.clocks.monotonic() >= turn_at
        return MAX_TRANSFER_S if has_turn else quick_s

    def _leaves_reads_to_peers(self) -> bool:
        """Return whether this node leaves reads of the store to those before it in its region.

        Load pattern: the node that watches the store loses it for a second. All nodes of its region
        read the store at once, over a link that carries a few reads of a large configuration in a
        second. If they all read on, each new version fills the link again, and none regains the
        store.
        """
        turn_at = self._read_turn_at()
        return turn_at is not None and self.clocks.monotonic() < turn_at

    def _read_turn_at(self) -> instants.Instant | None:
        """Return from when this node reads the store on after a failure; none without one.

        While peers have a recent configuration, that is left to them.
        """
        delay_s = self._load_delay_s()
        if self.read_failed_at is None or not delay_s:
            return None
        return max(self.read_failed_at, self.current_at + MAX_AGE_S) + delay_s

    def _record_failed_read(self) -> None:
        if self.read_failed_at is None:
            self.read_failed_at = self.clocks.monotonic()

    async def _ask_for_configuration(self, is_first: bool) -> bool:
        """Ask peers for their configuration until one has it; return whether one had."""
        for peer in self._configuration_peers(is_first):
            try:
                await self._poll_peer(peer, 0.0)
            except PeerError:
                self._back_off_from([peer], DISCONNECTED_PEER_BACKOFF_S)
            if (replica.CONFIGURATION, replica.CURRENT) in self.replica.rows:
                return True
        return False

    def _configuration_peers(self, is_first: bool) -> list[directory.Instance]:
        """Return the peers that a starting node asks in turn for the configuration.

        After the first round, these include the first node of the region in the order of sources,
        which is the first to have a configuration that takes long to read.

        After the first era, the store may have lost rows that only peers know, and all peers of the
        own failure domain may start at the same time. Then several are asked, also in others.
        """
        own_domain = self.location.failure_domain
        peers = self._usable_peers()
        near = [peer for peer in peers if peer.row.place.failure_domain == own_domain]
        if self.known_era <= FIRST_ERA:
            first = min(self._peers_in_region(), key=_source_rank, default=None)
            asked = self.rng.sample(near, min(1, len(near)))
            if is_first or first is None or first in asked:
                return asked
            return [*asked, first]
        others = [peer for peer in peers if peer.row.place.failure_domain != own_domain]
        return [
            peer
            for group in (near, others)
            for peer in self.rng.sample(group, min(STARTING_WIDTH, len(group)))
        ]

    async def _read(self, table: str, transfer_s: float) -> None:
        received = await self.store.snapshot(table, transfer_s)
        self._store_answered(table)
        self.replica.apply_snapshot(table, received)
        if table == replica.CONFIGURATION:
            self._record_current(self.clocks.monotonic())

    async def _search(self) -> None:
        """Find a source in the failure domain, or begin to watch the store."""
        for search_round in itertools.count():
            asked = self._lower_peers()[:SEARCH_WIDTH]
            if await self._follow_one_of(asked):
                return
            remaining = self._lower_peers()
            if self.watches_store or watches_itself(len(remaining), search_round):
                self._back_off_from(remaining, DISCONNECTED_PEER_BACKOFF_S)
                self.watches_store = True
                log.info(
                    "watching the store", extra={"rank": len(remaining), "round": search_round}
                )
                return
            if any(peer in remaining for peer in asked):
                await asyncio.sleep(SEARCH_INTERVAL_S)

    async def _search_region(self) -> None:
        """Find a source in another failure domain of the region, if there is one."""
        self.region_search_at = self.clocks.monotonic() + DISCONNECTED_PEER_BACKOFF_S
        await self._follow_one_of(self._region_peers()[:SEARCH_WIDTH])

    async def _follow_one_of(self, asked: typing.Sequence[directory.Instance]) -> bool:
        """Ask peers at once and follow the first one that has the store; return whether one has."""
        connected = await asyncio.gather(*(self._ask(peer) for peer in asked))
        sources = [peer for peer, usable in zip(asked, connected, strict=True) if usable]
        if not sources:
            return False
        self._cancel_polls()
        self.watches_store = False
        self.source_id = sources[0].row.node_id
        self.source_answered_at = self.clocks.monotonic()
        log.info("source found", extra={"peer": self.source_id})
        return True

    def _leave_source(self) -> None:
        """Stop following the source, and tell so to the peers that poll this node."""
        self.source_id = None
        self.source_answered_at = -instants.NEVER
        self.region_search_at = self.clocks.monotonic() + DISCONNECTED_PEER_BACKOFF_S
        self.replica.notify()

    async def _ask(self, peer: directory.Instance) -> bool:
        """Apply the changes of a peer without waiting for any; return whether it has the store."""
        try:
            return await self._poll_peer(peer, 0.0)
        except PeerError as error:
            log.info("poll of a peer failed", extra={"peer": peer.row.node_id, "error": str(error)})
            self._back_off_from([peer], PEER_BACKOFF_S)
            return False

    def _back_off_from(self, peers: typing.Iterable[directory.Instance], backoff_s: float) -> None:
        until = self.clocks.monotonic() + backoff_s
        self.backoff_until.update((peer.row.node_id, until) for peer in peers)

    def _lower_peers(self) -> list[directory.Instance]:
        """Return the usable peers of the failure domain with lower ids, which are its sources."""
        peers = (
            peer
            for peer in self._usable_peers()
            if peer.row.place.failure_domain == self.location.failure_domain
            and peer.row.node_id < self.own_id
        )
        return sorted(peers, key=lambda peer: peer.row.node_id)

    def _region_peers(self) -> list[directory.Instance]:
        """Return the usable first node of each earlier failure domain of the region."""
        first_nodes: dict[str, directory.Instance] = {}
        for peer in sorted(self._usable_peers(), key=lambda peer: peer.row.node_id):
            place = peer.row.place
            before = place.failure_domain < self.location.failure_domain
            if place.region == self.location.region and before:
                first_nodes.setdefault(place.failure_domain, peer)
        return [first_nodes[name] for name in sorted(first_nodes)]

    def _fallback_peer(self) -> directory.Instance | None:
        """Return a peer to poll while the store does not answer this node.

        Load pattern: the store denies all nodes of a region. Polls of another region cost traffic
        between regions, so they begin once the peers of the own one have had nothing new.
        """
        peers = self._usable_peers()
        near = self._peers_in_region()
        if not near or self.age_s() >= MAX_REGION_AGE_S:
            near = peers
        return self.rng.choice(near) if near else None

    def _peers_in_region(self) -> list[directory.Instance]:
        region = self.location.region
        return [peer for peer in self._usable_peers() if peer.row.place.region == region]

    def _usable_peers(self) -> list[directory.Instance]:
        now = self.clocks.monotonic()
        return [
            instance
            for instance in self.instances.by_id.values()
            if instance.row.node_id != self.own_id
            and instance.failures == 0
            and self.backoff_until.get(instance.row.node_id, 0.0) <= now
        ]

    async def _watch_store(self) -> None:
        if self._leaves_reads_to_peers():
            self._cancel_polls()
            if await self._hears_from(self._readers_before(), PEER_LONG_POLL_S):
                return
        if any(position.era < self.known_era for position in self.replica.positions.values()):
            self._cancel_polls()
            await self._read_all()
            return
        try:
            await self._poll_store()
        except tables.HistoryGone:
            self._cancel_polls()
            log.warning("changes since the last poll are not to be had; reading all rows again")
            await self._read_all()
        except tables.ReadError as error:
            self._cancel_polls()
            self._store_failed(error)
            if self.failures == 1:
                # The connection alone may be dead, so the store is polled again without a backoff.
                return
            peer = self._fallback_peer()
            if peer is None:
                await self._back_off()
            else:
                # A poll of a peer replaces the backoff, and ends early if the peer has changes.
                await self._watch_peer(peer)

    async def _read_all(self) -> None:
        """Read both tables in full, or back off if the store does not answer."""
        try:
            for table in replica.TABLES:
                await self._read(table, self._transfer_s(QUICK_LOAD_S))
            self.known_era = self._latest_era()
        except tables.ReadError as error:
            self._store_failed(error)
            await self._back_off()

    async def _poll_store(self) -> None:
        """Wait for the first answer to the polls of the store and apply it."""
        for table in replica.TABLES:
            if table not in self.pending_polls:
                self.pending_polls[table] = asyncio.create_task(self._poll_table(table))
        await asyncio.wait(self.pending_polls.values(), return_when=asyncio.FIRST_COMPLETED)
        for table, task in list(self.pending_polls.items()):
            if task.done():
                del self.pending_polls[table]
                if task.cancelled():
                    raise tables.HistoryGone("a new era of the store began")
                try:
                    received = task.result()
                except tables.ReadError:
                    self.failed_tables.add(table)
                    raise
                self._store_answered(table)
                self.replica.apply_changes(table, received)
                if table == replica.CONFIGURATION:
                    self._record_current(self.clocks.monotonic())

    async def _poll_table(self, table: str) -> tables.Changes:
        """Poll the store for changes of a table, `STORE_POLL_DELAYS_S` after the last answer."""
        due_at = self.polled_at.get(table, -instants.NEVER) + STORE_POLL_DELAYS_S[table]
        await asyncio.sleep(max(0.0, due_at - self.clocks.monotonic()))
        wait_s = 0.0 if self.failures else STORE_LONG_POLLS_S[table]
        received = await self.store.changes(
            table,
            self.replica.positions[table],
            wait_s,
            self._transfer_s(QUICK_POLL_TRANSFER_S),
        )
        self.polled_at[table] = self.clocks.monotonic()
        return received

    def _cancel_polls(self) -> None:
        for task in self.pending_polls.values():
            task.cancel()
            # Retrieve the error of another failed poll; its cause is that of the reported one.
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
        self.pending_polls.clear()

    async def _watch_peer(self, peer: directory.Instance) -> bool:
        """Poll a peer once and return whether it still has the store."""
        try:
            connected = await self._poll_peer(peer, PEER_LONG_POLL_S)
            if connected:
                self.source_answered_at = self.clocks.monotonic()
            return connected
        except PeerError as error:
            log.info(
                "poll of a peer failed; using another source",
                extra={"peer": peer.row.node_id, "error": str(error)},
            )
            self._back_off_from([peer], PEER_BACKOFF_S)
            return False

    async def _poll_peer(self, peer: directory.Instance, wait_s: float) -> bool:
        """Apply the changes of a peer, after `wait_s` at most; return whether it has the store."""
        stated_era = self.known_era
        try:
            document = parse_answer(await self._fetch_changes(peer, wait_s))
            if document["node_id"] != peer.row.node_id:
                raise PeerError(
                    f"node {document['node_id']} answers at the address of {peer.row.node_id}"
                )
            self.answered_by = peer.row.node_id
            for table in replica.TABLES:
                self._apply_answer(table, decode(table, document[table]))
            self._record_current(self.clocks.monotonic() - max(0.0, float(document["age_s"])))
            connected = bool(document["connected"])
            if connected and self.known_era == stated_era:
                # The peer has learned of it. One that the store never had must not be stated again.
                self.known_era = self._latest_era()
            return connected
        except (orjson.JSONDecodeError, zlib.error, KeyError, TypeError, ValueError) as error:
            raise PeerError(f"malformed answer: {error!r}") from error

    def _latest_era(self) -> int:
        """Return the latest era of which this node has a table."""
        return max(position.era for position in self.replica.positions.values())

    async def _fetch_changes(self, peer: directory.Instance, wait_s: float) -> bytes:
        query = {f"after-{name}": str(after) for name, after in self.replica.positions.items()}
        timeout = aiohttp.ClientTimeout(
            total=MAX_TRANSFER_S,
            connect=RESPONSE_MARGIN_S,
            sock_read=wait_s + RESPONSE_MARGIN_S,
        )
        try:
            async with self.session.get(
                f"http://{peer.address}{CHANGES_PATH}",
                params={**query, "wait_s": f"{wait_s:.2f}", "era": str(self.known_era)},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await response.read()
                if response.status != 200:
                    raise PeerError(f"status {response.status}")
                return body
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PeerError(repr(error)) from error

    def _apply_answer(self, table: str, received: tables.Changes) -> None:
        """Apply a peer's changes, which are all its rows if its era is later than this node's."""
        self.known_era = max(self.known_era, received.position.era)
        if received.position.era > self.replica.positions[table].era:
            self.replica.apply_snapshot(table, received)
        else:
            self.replica.apply_changes(table, received)

    async def answer_poll(
        self, positions: typing.Mapping[str, tables.Position], wait_s: float
    ) -> bytes:
        """Return what `parse_answer` reads: the changes that a peer at `positions` lacks.

        Waits `wait_s` at most for such changes.

        The wait also ends when this node loses the store or learns that nothing has changed.
        """
        deadline = self.clocks.monotonic() + min(wait_s, PEER_LONG_POLL_S)
        connected, current_at = self.is_connected(), self.current_at
        try:
            async with asyncio.timeout_at(deadline):
                while not self.replica.has_changes_since(positions):
                    await self.replica.changed.wait()
                    if self.current_at > current_at or (connected and not self.is_connected()):
                        break
        except TimeoutError:
            pass
        status = {
            "node_id": self.own_id,
            "connected": self.is_connected(),
            "age_s": round(min(self.age_s(), MAX_STATED_AGE_S), 3),
        }
        return orjson.dumps(status) + b"\n" + self._encoded_changes(positions)

    def _encoded_changes(self, positions: typing.Mapping[str, tables.Position]) -> bytes:
        """Return the changes after `positions`, encoded once for all peers that ask alike."""
        after = tuple(positions[table] for table in replica.TABLES)
        if self.encoded_at is not self.replica.changed:
            self.encoded_changes.clear()
            self.encoded_at = self.replica.changed
        if after not in self.encoded_changes:
            changes = orjson.dumps(
                {
                    table: encode(self.replica.changes_since(table, positions[table]))
                    for table in replica.TABLES
                }
            )
            if len(changes) >= MIN_COMPRESSED_BYTES:
                changes = zlib.compress(changes, COMPRESSION_LEVEL)
            self.encoded_changes[after] = changes
        return self.encoded_changes[after]

    def _store_answered(self, table: str) -> None:
        """Record that the store returned a table; it is regained once no table is missing.

        Otherwise the answers for a small table would hide that a large one can't be read.
        """
        self.failed_tables.discard(table)
        if self.failed_tables:
            return
        if self.failures:
            log.info("store regained", extra={"failures": self.failures})
        self.failures = 0
        self.read_failed_at = None
        self.answered_by = STORE
        self.store_answered_at = self.clocks.monotonic()

    def _store_failed(self, error: tables.ReadError) -> None:
        self.failures += 1
        if self.failures > 1 or isinstance(error, tables.ReadCut):
            # After the first failure, the connection alone may be dead.
            self._record_failed_read()
        self.region_search_at = self.clocks.monotonic()
        if self.failures == 1:
            log.warning("store lost", extra={"error": str(error)})
            self.replica.notify()

    async def _back_off(self) -> None:
        limit_s = backoffs.exponential_s(self.failures, BACKOFF_BASE_S, BACKOFF_LIMIT_S)
        await asyncio.sleep(limit_s * self.rng.uniform(0.5, 1.0))


def _source_rank(peer: directory.Instance) -> tuple[str, str]:
    """Return the place of a node in the order of sources of its region."""
    return peer.row.place.failure_domain, peer.row.node_id


def parse_answer(body: bytes) -> dict[str, typing.Any]:
    """Return the document in an answer to a poll of a peer.

    The first line holds the state of the peer as JSON, the rest the changes as JSON, which may be
    compressed. Raises `ValueError` and `zlib.error`.
    """
    status, _, changes = body.partition(b"\n")
    if not changes.startswith(b"{"):
        changes = zlib.decompress(changes)
    return {**orjson.loads(status), **orjson.loads(changes)}


def encode(received: tables.Changes) -> dict[str, typing.Any]:
    """Return changes as the document that peers exchange."""
    rows = [(change.key, str(change.position), change.value) for change in received.changes]
    return {"position": str(received.position), "rows": rows}


def decode(table: str, document: typing.Any) -> tables.Changes:
    """Return the changes in a peer's document; raises `KeyError`, `TypeError`, `ValueError`."""
    changes = tuple(
        tables.Change(table, str(key), tables.parse_position(position), _decode_value(value))
        for key, position, value in document["rows"]
    )
    return tables.Changes(changes, tables.parse_position(document["position"]))


def _decode_value(value: typing.Any) -> tables.Value | None:
    if value is not None and not isinstance(value, dict):
        raise TypeError("the value of a row is not an object")
    return value
