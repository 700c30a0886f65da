"""A node of the mesh: creates its parts and connects them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
import typing

import aiohttp

from goldcrestgrade import answer_memory, counters, instants, outcomes, reasons, routes
from goldcrestgrade.storage import tables
from goldcrestgrade_node import asgi
from goldcrestgrade_node.attempts import liveness
from goldcrestgrade_node.mesh import settings
from goldcrestgrade_node.mesh.endpoint import admission, coldness, endpoints, health, local
from goldcrestgrade_node.mesh.entry import app, dispatch, reachability, retry_budget
from goldcrestgrade_node.mesh.quota import exchange, limited, members, terms
from goldcrestgrade_node.mesh.state import (
    departures,
    directory,
    evacuations,
    quarantine,
    registration,
    replica,
    restoration,
    trials,
    watch,
    withdrawals,
)
from goldcrestgrade_node.mesh.transport import (
    bodies,
    connections,
    dialect,
    peers,
    relay,
    requests,
    signals,
    transfer,
)

log = logging.getLogger(__name__)

STOPPING_RETRY_S = 0.05
"""Delay after which a request that a stopping node rejected may be retried."""

QUARANTINE_RETRY_S = 30.0
"""Delay after which a client may retry a quarantined request, one that crashes endpoints."""

TRIAL_RETRY_S = 0.3
"""The same while a trial is under way, which may end the quarantine."""

REGION_RETRY_S = 0.3
"""Delay after which a request that may not run in the region of a node may be retried."""

UNKNOWN_WARM_UP_RETRY_S = 0.1
"""Delay after which a node that has no configuration yet may be retried."""

COLD_END_MARGIN_S = 0.005
"""Delay of the health check after a cold time; timers may run early by the clock's resolution."""
EVACUATED_RETRY_S = 0.3
"""Delay after which a request that an evacuated endpoint rejected may be sent there again."""
WITHDRAWAL_RETRY_S = 0.1
"""Delay after which a client may retry a request that was accepted before a withdrawal."""

FIRST_CHECK_TIMEOUT_S = 0.3
"""Longest wait for the first health check; the first row then says whether the endpoint serves.

Covers a few round trips on loopback while the rest of the node starts.
"""

FOLLOWER_REGISTRATION_DELAY_S = 4.0
"""Longest wait of a node that follows a peer for its endpoint, before it writes its first row.

Endpoints start within seconds. Nobody needs the row of such a node before.
"""

LOST_CONNECTION_REASONS = frozenset(
    {reasons.Uncertainty.ANSWER_LOST, reasons.Uncertainty.ANSWER_CUT}
)
"""Outcomes of a request after which the node checks whether the endpoint has ended."""

READINESS_LAG_S = 2.3
"""Time in which clients notice that a node is no longer ready: two checks a second apart."""

HANDOVER_S = 0.4
"""Time before the servers stop at which this node stops sending requests to its endpoint.

Several times the delay after which the other nodes know of it.
"""

GRACE_MARGIN_S = 0.7
"""Time before SIGKILL at which the node ends all in-flight requests."""

ReadConfiguration = typing.Callable[[tables.Value], routes.Draft]
"""Returns the parts of a configuration, readable or not; raises `InvalidDocument`."""


class Platform(typing.NamedTuple):
    """What the adapter of a deployment provides to a node."""

    store: tables.WatchedTables
    read_configuration: ReadConfiguration
    header_names: dialect.Dialect


class MeshNode:
    """All parts of a node; owned by its event loop."""

    def __init__(
        self,
        config: settings.Settings,
        platform: Platform,
        session: aiohttp.ClientSession,
        health_session: aiohttp.ClientSession,
    ) -> None:
        self.config = config
        self.platform = platform
        self.clocks = instants.system_clocks()
        self.counts = counters.Counts()
        platform.store.on_era(self.on_store_era)
        self.rng = random.Random()
        self.stopping = asyncio.Event()
        self.handing_over = asyncio.Event()
        """Set once a stopping node sends its endpoint no more requests."""
        self.endpoint_known = asyncio.Event()
        """Set once an endpoint was found on this instance."""
        self.table: routes.RouteTable | None = None
        self.excluded = routes.Excluded(frozenset(), frozenset())
        """Hosts and workspaces with requests that may not run in the region of this node."""
        self.location = directory.Location(config.failure_domain, config.region)
        self.instances = directory.Directory()
        self.evacuations = evacuations.Evacuations(self.clocks, self.counts)
        self.evacuations.on_started = self.on_evacuation_started
        self.replica = replica.Replica(self.on_row_changed, self.clocks)
        self.sync = watch.Sync(
            config.node_id,
            self.location,
            self.replica,
            self.instances,
            platform.store,
            session,
            self.clocks,
            self.rng,
        )
        if config.first_start:
            self.sync.spread_start()
        self.initial_row = self._initial_row(time.time())
        self.registration = registration.Registration(
            self.initial_row, self.replica, platform.store, self.clocks, self.rng
        )
        self.restoration = restoration.Restoration(
            config.failure_domain,
            self.replica,
            platform.store,
            self.sync.is_first_in_failure_domain,
            self.registration.check,
            self.clocks,
            self.rng,
        )
        self.own = endpoints.OwnEndpoint(
            endpoints.ConfiguredEndpoint(config.endpoint, config.service, config.failure_domain),
            self.clocks,
            self.on_endpoint_changed,
        )
        self.controller = admission.AdmissionController(self.clocks)
        self.controller.rate.coldness = self.own.coldness
        self.own.on_candidate = lambda: self.health.request_check()
        self.own.is_known_service = self.is_known_service
        self.own.coldness.on_warm = self.controller.start_queued
        self.own.coldness.on_cold = self.on_endpoint_cold
        self.own.coldness.on_change = self.on_warm_up_state
        self.cold_end: asyncio.TimerHandle | None = None
        """Health check at the end of a known cold time."""
        self.own.on_signals = self.on_signals
        self.health = health.HealthChecks(
            self.own,
            lambda: self.table,
            health_session,
            platform.header_names,
            self.clocks,
            self.rng,
        )
        self.own.coldness.on_doubt = self.health.request_pace_check
        self.health.on_load = self.controller.apply_load_report
        self.health.on_missing_load = self.controller.record_missing_load
        self.local = local.LocalRunner(
            self.own,
            self.controller,
            connections.ConnectionPool(config.endpoint),
            platform.header_names,
            local.Hooks(
                self.refusal_for,
                self.health.request_check,
                self.health.request_pace_check,
                self.health.refresh_pace,
                self.on_call_broken,
                self.on_call_answered,
                self.on_call_rejected,
            ),
            self.clocks,
        )
        self.quarantine = quarantine.Quarantine(
            platform.store,
            self.replica,
            lambda: len(self.instances.by_id),
            self.clocks,
            self.counts,
            self.rng,
        )
        self.withdrawals = withdrawals.Withdrawals()
        self.crash_checks: set[asyncio.Task[None]] = set()
        self.body_memory = bodies.BodyMemory()
        self.answers = answer_memory.AnswerMemory(on_wait=self.on_answer_waits)
        self.relay = relay.RelayClient(platform.header_names, self.clocks, self.counts)
        self.relay.on_unreachable = self.on_node_unreachable
        self.reachability = reachability.Reachability(
            config.node_id, config.failure_domain, self.instances.failure_domains, self.counts
        )
        self.reachability.on_unreachable = self.on_domain_unreachable
        self.reachability.on_reached = self.on_domain_reached
        self.prober = peers.Prober(
            config.node_id,
            self.instances,
            session,
            platform.store,
            self.clocks,
            self.reachability,
        )
        self.departures = departures.Departures(
            config.node_id,
            self.own,
            self.replica,
            platform.store,
            self.prober.has_lowest_reachable_id,
            self.clocks,
            self.rng,
        )
        self.quotas = exchange.Quotas(
            exchange.Site(config.node_id, config.region),
            _quota_rules(config),
            self.instances,
            members.Members(
                config.node_id,
                self.initial_row.started_ms,
                self.instances,
                self.sync.age_s,
                self.clocks,
            ),
            peers.post_tokens(self.instances, session),
            self.clocks,
            self.counts,
            self.rng,
        )
        self.quotas.on_unanswered = self.prober.suspected.add
        self.dispatcher = dispatch.Dispatcher(
            self.location,
            self.instances,
            self.serve_at,
            _terms(config),
            self.clocks,
            self.counts,
            self.rng,
            self.evacuations,
            self.reachability,
        )
        self.dispatcher.offers.own_id = config.node_id
        self.dispatcher.offers.own_load = self.controller.load
        self.dispatcher.link_mbps = config.link_mbps
        self.dispatcher.offers.find_service = self.find_service
        self.client_app: app.EntryApp | None = None
        """Application that receives requests of clients, once the servers are created."""

    def is_known_service(self, name: str) -> bool:
        """Return whether the configuration in force has a service."""
        return self.table is not None and name in self.table.services

    def find_service(self, name: str) -> routes.Service | None:
        """Return a service in the configuration in force, with the warm-up rate that it may use."""
        service = None if self.table is None else self.table.services.get(name)
        if service is None or not service.warm_up_rate:
            return service
        rate = coldness.sustained_rate(service, self.config.warm_up_overage)
        return service._replace(warm_up_rate=rate)

    def _initial_row(self, now: instants.WallInstant) -> directory.InstanceRow:
        host, _, port = self.config.relay.rpartition(":")
        return directory.InstanceRow(
            self.config.node_id,
            host,
            int(port),
            self.location,
            self.config.service,
            serving=False,
            started_ms=int(now * 1000),
            link_mbps=_published_link_mbps(self.config),
        )

    def apply_settings(self, config: settings.Settings) -> None:
        """Apply changed settings; the node listens at changed addresses only after a restart."""
        self.config = config
        self.initial_row = self.initial_row._replace(service=config.service)
        self.own.configure(self.own.configured._replace(service=config.service))
        self.on_endpoint_changed()
        if self.client_app is not None:
            self.client_app.caller = config.service
        self.dispatcher.set_terms(_terms(config))
        self._apply_warm_up()
        self.dispatcher.link_mbps = config.link_mbps
        if self.table is not None:
            self.excluded = routes.excluded(self.table, config.region)
            self.quotas.apply(self.table, _quota_rules(config))

    # State

    def on_row_changed(self, change: tables.Change) -> bool:
        """Apply a change of a shared row, and return whether the replica keeps it."""
        if change.table == replica.CONFIGURATION:
            if change.key.startswith(evacuations.KEY_PREFIX):
                self.evacuations.apply_change(change)
                return True
            if change.key != replica.CURRENT or change.value is None:
                return change.key != replica.CURRENT
            return self._apply_configuration(change.value, change.position)
        if change.key.startswith(quarantine.KEY_PREFIX):
            self.quarantine.apply_change(change)
        elif change.key.startswith(trials.KEY_PREFIX):
            self.quarantine.trials.apply_change(change)
        elif change.key.startswith(departures.KEY_PREFIX):
            self.departures.apply_change(change)
        elif change.key.startswith(directory.INSTANCE_PREFIX):
            self.instances.apply_change(change)
            if change.key == self.registration.key:
                self.registration.on_own_row_change(change)
            else:
                self.registration.on_other_row_change(change)
        elif change.key == self.registration.endpoint_key:
            self._apply_endpoint_row(change)
        return True

    def _apply_endpoint_row(self, change: tables.Change) -> None:
        """Apply the row by which an earlier process of this node has recorded its endpoint."""
        found = None if change.value is None else registration.decode_endpoint(change.value)
        if found is not None:
            self.own.restore_service(*found)
        elif change.value is not None:
            log.warning("row of the endpoint is malformed; ignored", extra={"key": change.key})
        self.registration.on_own_row_change(change)

    def on_evacuation_started(self, failure_domain: str) -> None:
        """Hand the queued requests back at once if the own failure domain is evacuated."""
        if failure_domain == self.config.failure_domain:
            self.controller.reject_queued(reasons.Refusal.EVACUATED)

    def on_store_era(self, era: int) -> None:
        """Record that the store is in a new era."""
        self.counts.store_era = era

    def _apply_configuration(self, value: tables.Value, position: tables.Position) -> bool:
        """Put a configuration in force unless a newer one is; return whether it is in force."""
        try:
            draft = self.platform.read_configuration(value)
            table, faults = routes.salvage(draft, self.table)
        except Exception as error:
            log.error(
                "configuration not valid; the one in force stays",
                extra={"position": str(position), "error": str(error)},
            )
            return False
        if self.table is not None and table.version <= self.table.version:
            if table.version < self.table.version:
                log.warning(
                    "older configuration ignored",
                    extra={"version": table.version, "in_force": self.table.version},
                )
            return table.version == self.table.version
        for fault in faults:
            log.error(
                "part of the configuration not valid; it keeps its form in force, or is closed",
                extra={"version": table.version, "place": fault.place, "finding": fault.text},
            )
        first = self.table is None
        if self.table is not None:
            self.withdrawals.record(self.table, table, self.clocks.monotonic())
        self.table = table
        self.excluded = routes.excluded(table, self.config.region)
        self.quotas.apply(table, _quota_rules(self.config))
        for finding in routes.unknown_regions(table, self.config.regions or {self.config.region}):
            log.warning(
                "region not known; nothing runs there",
                extra={"place": finding.place, "finding": finding.text},
            )
        self._apply_warm_up()
        self.counts.configuration_version = table.version
        log.info(
            "configuration in force",
            extra={
                "version": table.version,
                "position": str(position),
                "source": self.sync.answered_by,
            },
        )
        if first:
            self.health.request_check()
        return True

    def _apply_warm_up(self) -> None:
        """Apply the warm-up of the own endpoint's service."""
        if self.table is not None:
            service = self.table.services.get(self.own.service())
            self.own.coldness.set_terms(
                coldness.terms(service, self.config.warm_up_overage, self.config.warm_up_slack)
            )

    def on_endpoint_cold(self, until: instants.Instant) -> None:
        """Check the endpoint at the end of a cold time, so that its full rate begins at once."""
        if self.cold_end is not None:
            self.cold_end.cancel()
        loop = asyncio.get_running_loop()
        self.cold_end = loop.call_at(until + COLD_END_MARGIN_S, self.health.request_pace_check)

    def on_warm_up_state(self, state: str) -> None:
        """Count a change of the own endpoint's warm-up state."""
        if state == "cold":
            self.counts.events[reasons.Event.ENDPOINT_COLD] += 1

    def on_answer_waits(self) -> None:
        """Count a large answer that waits for memory."""
        self.counts.events[reasons.Event.ANSWER_MEMORY_FULL] += 1

    def on_call_rejected(self, reason: reasons.Refusal) -> None:
        """Count a request that the warm-up rate keeps from the own endpoint."""
        if reason == reasons.Refusal.WARMING_UP:
            self.counts.events[reasons.Event.WARM_UP_REJECTED] += 1

    def on_endpoint_changed(self) -> None:
        """Apply a change of the own endpoint: it started, left, drains or refused a connection."""
        current = self.own.current
        if current is not None:
            self.endpoint_known.set()
        if self.own.slots:
            self.controller.set_slots(self.own.slots)
        if self.own.usable() is None:
            self.local.reject_queued()
        self._apply_warm_up()
        if current is not None and not self.own.unreachable:
            self.registration.set_endpoint(current.endpoint_id, current.service)
        elif current is None:
            self.registration.clear_endpoint()
        if not self.handing_over.is_set():
            serving = current is not None and not self.own.leaves()
            self.registration.set_desired(
                self.initial_row._replace(serving=serving, service=self.own.service())
            )

    def on_signals(self, latest: signals.Signals) -> None:
        """Apply what the own endpoint says of itself: its rate limit, and whether it leaves."""
        self.controller.set_rate_limit(latest.rate_limit)
        self.on_endpoint_changed()

    def is_ready(self) -> bool:
        """Return whether clients may send requests to this node."""
        return self.is_state_read() and not self.stopping.is_set()

    def is_state_read(self) -> bool:
        """Return whether the shared rows were read in full since the start of this process.

        The first table may come from a peer that is cut off and knows no later evacuation.
        """
        return self.table is not None and self.sync.complete.is_set()

    def is_configuration_outdated(self) -> bool:
        """Return whether a key may have been withdrawn longer ago than the settings allow."""
        return self.config.refuse_when_outdated and self.sync.age_s() >= self.config.revocation_s

    # Requests

    async def serve_at(
        self, instance: directory.Instance, call: requests.Call
    ) -> requests.Served | None:
        """Have the node of `instance` serve a request; return none if the node was unreachable."""
        if instance.row.node_id == self.config.node_id:
            return await self.local.serve(call)
        served = await self.relay.serve(instance.address, call)
        if served is not None and served.load is not None:
            # Only an answer of the node states a load.
            self.reachability.record_response(instance.row.place.failure_domain)
        return served

    async def serve_relayed(
        self, call: requests.Call, fetch_body: bodies.FetchBody | None
    ) -> requests.Served:
        """Serve a request of another node; forward it if it may and the endpoint can't run it."""
        served = await self.local.serve(call, fetch_body)
        if not call.forward_allowed or fetch_body is not None or not self.is_ready():
            return served
        return await self.dispatcher.forward(call, served)

    def on_node_unreachable(self, address: str, text: str) -> None:
        """Record what an unsuccessful connection attempt says of a failure domain."""
        for instance in self.instances.by_id.values():
            if instance.address == address:
                domain = instance.row.place.failure_domain
                if text == transfer.SILENT:
                    self.reachability.record_silence(domain, instance.row.node_id)
                elif text == transfer.REFUSED:
                    self.reachability.record_response(domain)

    def on_domain_unreachable(self, failure_domain: str) -> None:
        """Have requests that wait for a connection to a failure domain go on to others."""
        for instance in self.instances.of_failure_domain(failure_domain):
            self.relay.abandon_connecting(instance.address)

    def on_domain_reached(self, failure_domain: str) -> None:
        """Probe all instances of a failure domain that were not reached."""
        for instance in self.instances.of_failure_domain(failure_domain):
            instance.next_probe_at = 0.0

    async def run_call(self, call: requests.Call, attempts: int) -> outcomes.Outcome:
        """Run a request of a client, unless it is quarantined since it crashes endpoints."""
        if self.quarantine.crashes:
            digest = requests.digest(call)
            if self.quarantine.is_quarantined(digest):
                return await self._run_quarantined(call, digest)
        return await self.dispatcher.run(call, attempts)

    async def _run_quarantined(self, call: requests.Call, digest: str) -> outcomes.Outcome:
        """Run a quarantined request if this node holds its trial, else refuse it."""
        held_trials = self.quarantine.trials
        if held_trials.take(digest):
            outcome = await self.dispatcher.run(call._replace(trial=True), attempts=1)
            if isinstance(outcome, outcomes.NotRun):
                held_trials.give_back(digest)
            return outcome
        delay_s = TRIAL_RETRY_S
        if not held_trials.request(digest):
            delay_s = min(QUARANTINE_RETRY_S, TRIAL_RETRY_S + held_trials.wait_s(digest))
        retry_at = self.clocks.monotonic() + delay_s
        return outcomes.NotRun(reasons.Refusal.CRASHES_ENDPOINTS, retry_at)

    def refusal_for(self, call: requests.Call) -> local.Refused | None:
        """Return why a request must not reach the own endpoint, or none if it may."""
        if (
            self.quarantine.crashes
            and not call.trial
            and self.quarantine.is_quarantined(requests.digest(call))
        ):
            retry_at = self.clocks.monotonic() + QUARANTINE_RETRY_S
            return local.Refused(reasons.Refusal.CRASHES_ENDPOINTS, retry_at)
        if self.config.warm_up_slack > 0 and not self.is_state_read():
            # The warm-up of the service, or an evacuation that began lately, is not known yet.
            retry_at = self.clocks.monotonic() + UNKNOWN_WARM_UP_RETRY_S
            return local.Refused(reasons.Refusal.WARMING_UP, retry_at)
        if self.handing_over.is_set():
            retry_at = self.clocks.monotonic() + STOPPING_RETRY_S
            return local.Refused(reasons.Refusal.NODE_STOPPING, retry_at)
        if self.config.failure_domain in self.evacuations.domains:
            retry_at = self.clocks.monotonic() + EVACUATED_RETRY_S
            return local.Refused(reasons.Refusal.EVACUATED, retry_at)
        now = self.clocks.monotonic()
        if self.withdrawals.concerns(call.workspace, call.configuration, now):
            return local.Refused(reasons.Refusal.CONFIGURATION_OUTDATED, now + WITHDRAWAL_RETRY_S)
        if not self.is_region_allowed(call):
            retry_at = self.clocks.monotonic() + REGION_RETRY_S
            return local.Refused(reasons.Refusal.REGION_NOT_ALLOWED, retry_at)
        return None

    def is_region_allowed(self, call: requests.Call) -> bool:
        """Return whether a request may run in the region of this node.

        The request may have been queued, or on its way, when a configuration narrowed its regions.
        """
        region = self.config.region
        if call.allowed_regions is not None and region not in call.allowed_regions:
            return False
        hosts, workspaces = self.excluded
        if call.workspace not in workspaces and (
            not hosts or routes.host_name(call.host) not in hosts
        ):
            return True
        if self.table is None:
            return True
        route = routes.find(self.table, call.host, call.target)
        if route is None:
            return True
        workspace = self.table.workspaces.get(call.workspace)
        regions = routes.allowed_regions(route, workspace)
        return regions is None or region in regions

    def on_call_broken(self, call: requests.Call, reason: reasons.Uncertainty) -> None:
        """Check whether the endpoint crashed after it gave no complete answer to a request."""
        current = self.own.current
        if reason not in LOST_CONNECTION_REASONS or current is None:
            return
        self.own.coldness.record_doubt("lost connection")
        task = asyncio.create_task(self._check_for_crash(call, current))
        self.crash_checks.add(task)
        task.add_done_callback(self.crash_checks.discard)

    async def _check_for_crash(self, call: requests.Call, current: endpoints.Endpoint) -> None:
        host, _, port = self.config.endpoint.rpartition(":")
        if await liveness.has_exited(host, int(port)):
            self.own.record_refused_connection()
            self.health.request_check()
            self.quarantine.record_crash(
                requests.digest(call), f"{current.endpoint_id}-{current.born_ms}"
            )

    def on_call_answered(self, call: requests.Call) -> None:
        """Record that the endpoint answered a request."""
        if self.quarantine.crashes:
            self.quarantine.record_answer(requests.digest(call))

    # Applications

    def entry(self) -> app.EntryApp:
        """Return the application that receives requests of clients."""
        self.client_app = app.EntryApp(
            limited.limited(self.run_call, self.quotas),
            lambda: self.table,
            self.config.service,
            self.platform.header_names,
            self.stopping.is_set,
            self.clocks,
            self.counts,
            self.rng,
            self.is_configuration_outdated,
            self.body_memory,
            self.answers,
        )
        return self.client_app

    def peers(self) -> asgi.App:
        """Return the application that receives requests of other nodes."""
        relay_app = relay.RelayApp(
            self.serve_relayed,
            self.platform.header_names,
            lambda: routes.DEFAULT_MAX_BODY_BYTES,
            self.handing_over.is_set,
            self.clocks,
            relay.BodyTerms(
                self.body_memory, lambda: self.config.link_mbps, self.counts, self.answers
            ),
        )
        return peers.app(relay_app, self.sync, self.quotas)

    # Lifecycle

    def tasks(self) -> list[typing.Coroutine[typing.Any, typing.Any, None]]:
        """Return the background tasks that run alongside the servers until the node stops."""
        return [
            self.sync.run(),
            self.sync.keep_current(),
            self._register(),
            self.restoration.run(),
            self.departures.run(),
            self.health.run(),
            self.health.run_pace_checks(),
            self.prober.run(),
            self.quarantine.run(),
            self.quotas.run(),
        ]

    async def _register(self) -> None:
        await self.sync.complete.wait()
        # Without an answer by then, the row says that no endpoint serves; a later check updates it.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_CHECK_TIMEOUT_S):
                await self.health.first_check_done.wait()
        register_by = self.clocks.monotonic() + FOLLOWER_REGISTRATION_DELAY_S
        while self._is_row_dispensable() and self.clocks.monotonic() < register_by:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FIRST_CHECK_TIMEOUT_S):
                    await self.endpoint_known.wait()
        await self.registration.run()

    def _is_row_dispensable(self) -> bool:
        """Return whether peers can do without the row of this node, which has no endpoint yet.

        A first row and a second one for the endpoint would double the writes at the start of a
        fleet. A row of an earlier start is outdated, and a watcher has to be found by its row.
        """
        registered = (replica.MESH, self.registration.key) in self.replica.rows
        follows = self.sync.source_id is not None
        return follows and not registered and not self.endpoint_known.is_set()

    async def drain(self) -> instants.Instant:
        """Serve until clients have noticed that this node is not ready, then reject new requests.

        Load pattern: nodes restart in turn under load. An endpoint can only be reached through its
        node, so the node sends it requests, however many still arrive, until just before the
        servers stop accepting new ones and finish those in flight. Return the instant by which the
        process must have ended.
        """
        started = self.clocks.monotonic()
        deadline = started + self.config.grace_s - GRACE_MARGIN_S
        lag_s = min(READINESS_LAG_S, deadline - started)
        await asyncio.sleep(max(0.0, lag_s - HANDOVER_S))
        self.handing_over.set()
        self.registration.set_desired(None)
        self.local.reject_queued()
        log.info(
            "draining: no more requests go to the endpoint",
            extra={"at_endpoint": len(self.local.in_flight_tasks)},
        )
        await asyncio.sleep(min(HANDOVER_S, lag_s))
        log.info(
            "no more requests are taken",
            extra={
                "in_flight": self.counts.in_flight,
                "at_endpoint": len(self.local.in_flight_tasks),
            },
        )
        return deadline


def _published_link_mbps(config: settings.Settings) -> float:
    """Return the bandwidth that the row of this node carries: only that of a thin link."""
    return config.link_mbps if 0 < config.link_mbps < bodies.THIN_LINK_MBPS else 0.0


def _terms(config: settings.Settings) -> retry_budget.Terms:
    return retry_budget.Terms(config.resend_ratio, config.resend_slack, config.resend_window_s)


def _quota_rules(config: settings.Settings) -> terms.Rules:
    return terms.Rules(config.quota_window_s, config.quota_overage, config.quota_slack)
