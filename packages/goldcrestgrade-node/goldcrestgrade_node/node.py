"""Builds the components of a node and connects them."""

from __future__ import annotations

import asyncio
import logging
import random
import typing

import aiohttp

from goldcrestgrade import (
    counters,
    instants,
    outcomes,
    reasons,
    records,
    settings,
    sheet,
    telemetry,
)
from goldcrestgrade.storage import http_objects, http_tables, resilient_tables
from goldcrestgrade_node import asgi, crash_notices, requests
from goldcrestgrade_node.attempts import forwarding, liveness, results, shares, transport
from goldcrestgrade_node.configuration import adoption
from goldcrestgrade_node.control import app as control_app
from goldcrestgrade_node.control import routes
from goldcrestgrade_node.endpoint import lifecycle
from goldcrestgrade_node.entry import app as entry_app
from goldcrestgrade_node.entry import calls
from goldcrestgrade_node.membership import (
    called_services,
    discovery,
    exchange,
    members,
    peers,
    selection,
)
from goldcrestgrade_node.once import (
    claims,
    executions,
    guard,
    relay,
    relay_client,
    sweeper,
    write_behind,
)
from goldcrestgrade_node.routing import choice, views

log = logging.getLogger(__name__)

FLUSH_TIMEOUT_S = 3.0
"""Longest time for which a planned stop waits until outcomes are written."""

CONNECTION_LOST_REASONS = frozenset(
    {reasons.Uncertainty.ANSWER_LOST, reasons.Uncertainty.ANSWER_CUT}
)
"""Reasons of a broken attempt after which the node checks whether the endpoint has died."""

SMALL_FLEET_NODES = 64
"""Largest fleet in which each node publishes its record as soon as it adopts a sheet."""

TICK_S = 0.1
"""Time between checks of the lease and the drain of the endpoint."""


class Node:
    """The components of a node; owned by its event loop."""

    def __init__(
        self,
        config: settings.NodeSettings,
        control_session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
    ) -> None:
        self.config = config
        self.clocks = instants.system_clocks()
        self.counts = counters.Counts()
        self.registry = telemetry.register(self.counts)
        self.rng = random.Random()
        self.stopping = asyncio.Event()
        self.stop_forced = asyncio.Event()
        self.views = views.Views(self.clocks.monotonic)
        self.members = members.Members(self.clocks)
        self.called = called_services.CalledServices()
        incarnation = int(self.clocks.wall() * 1000)
        self.own = members.OwnRecord(
            members.first_record(
                config["node_id"],
                config["region"],
                config["failure_domain"],
                config["control"]["host"],
                config["control"]["port"],
                incarnation,
            ),
            self.clocks,
        )
        store = http_tables.HttpTables(control_session, config["platform"]["tables"])
        objects = http_objects.HttpObjects(control_session, config["platform"]["objects"])
        self.lifecycle = lifecycle.Lifecycle(self.clocks, self.publish_record)
        remote = peers.HttpPeers(control_session, config["keys"][0])
        self.sheets = adoption.Adoption(
            store,
            objects,
            remote,
            self.on_sheet_adopted,
            lambda: selection.polls_frequently(self.exchange.view()),
            self.clocks,
            self.counts,
            self.rng,
        )
        self.exchange = exchange.Exchange(
            self.own,
            self.members,
            remote,
            exchange.Hooks(
                services_changed=self.refresh_services,
                sheet_version=lambda: self.sheets.version,
                newer_sheet_found=self.sheets.record_peer_version,
                is_busy=lambda: self.counts.in_flight > 0,
            ),
            self.clocks,
            self.counts,
            self.rng,
        )
        self.discovery = discovery.Discovery(
            lambda: self.own.record,
            [f"http://{seed['host']}:{seed['port']}" for seed in config["peers"]],
            store,
            self.exchange.join,
            self.clocks,
            self.rng,
        )
        claim_store = resilient_tables.ResilientTables(store, self.clocks, self.rng)
        self.committer = claims.Committer(claim_store, self.clocks)
        self.writer = write_behind.WriteBehind(claim_store, self.clocks)
        self.sweeper = sweeper.Sweeper(claim_store, self.clocks, self.rng)
        guard_client = relay.HttpGuardClient(
            control_session, config["keys"][0], self.clocks, fresh_session
        )
        self.transport = transport.HttpTransport(self.clocks, self.counts, config["keys"][0])
        self.guard = guard.Guard(
            executions.Identity(
                config["node_id"], incarnation, records.control_url(self.own.record)
            ),
            self.committer,
            self.writer,
            guard_client,
            self.send_to_endpoint,
            self.lifecycle.is_accepting,
            self.endpoint_died,
            self.clocks,
        )
        self.calls = calls.Calls(
            choice.Locality(config["region"], config["failure_domain"]),
            self.views,
            self.transport.send,
            relay_client.RelayClient(
                relay.LocalGuardClient(self.guard, guard_client), self.clocks
            ).run,
            self.clocks,
            self.counts,
            self.rng,
        )
        crash_notices.connect(self.calls.quarantine, self.exchange, self.clocks)
        self.publish_record()

    def publish_record(self) -> None:
        """Create a new revision of this node's record and announce it to peers."""
        state, endpoint = self.lifecycle.state, self.lifecycle.endpoint
        called = self.called.publish(self.clocks.monotonic())
        self.exchange.announce(self.own.revise(state, endpoint, self.sheets.version, called))

    def refresh_services(self, services: set[str]) -> None:
        """Update the routing state of `services` from the records of nodes."""
        own_id = self.config["node_id"]
        for service in services:
            ready = self.members.ready(service)
            entry_nodes = self.members.entry_nodes.get(service, set())
            self.views.update(service, ready)
            self.transport.set_shares(service, shares.by_address(own_id, ready, entry_nodes))
        self.views.share_link(self.exchange.view().region_size)

    def on_sheet_adopted(self, _adopted: sheet.Sheet) -> None:
        """Announce the version in force to peers."""
        self.exchange.push_sheet_version()
        if len(self.members.entries) <= SMALL_FLEET_NODES:
            self.publish_record()

    async def send_to_endpoint(
        self, request: requests.Request, attempt_id: str
    ) -> results.AttemptResult:
        """Send a claimed request to this node's endpoint and check whether the endpoint died."""
        endpoint = self.lifecycle.endpoint
        if endpoint is None:
            return results.Unreachable("no endpoint")
        host, port = endpoint["host"], endpoint["port"]
        attempt = transport.Attempt(attempt_id, request, host, port, self.config["region"])
        result = await self.transport.send(attempt)
        connection_lost = (
            isinstance(result, results.Broken) and result.reason in CONNECTION_LOST_REASONS
        )
        if connection_lost and await liveness.has_exited(host, port):
            return results.Broken(reasons.Uncertainty.ENDPOINT_DIED)
        return result

    def endpoint_died(self, request: requests.Request) -> None:
        """Count and log a run-once request whose attempt ended because the endpoint died."""
        self.counts.events["endpoint_died"] += 1
        log.warning(
            "endpoint died while it ran a request", extra={"request_id": request.request_id}
        )

    async def run_measured(self, request: requests.Request) -> outcomes.Outcome:
        """Run a request of a client and record its latency."""
        started = self.clocks.monotonic()
        self.called.record_request(request.service, started)
        outcome = await self.calls.run(request)
        self.counts.record_latency(self.clocks.monotonic() - started)
        return outcome

    def routes(self) -> dict[str, control_app.Resource]:
        """Return the resources of the control address by path."""
        return {
            "/v1/endpoint": routes.endpoint_resource(self.lifecycle),
            "/v1/drain": routes.drain_resource(self.lifecycle),
            "/v1/exchange": routes.exchange_resource(self.exchange),
            "/v1/reconcile": routes.reconcile_resource(self.exchange),
            "/v1/probe": routes.probe_resource(self.exchange),
            "/v1/sheet": routes.sheet_resource(self.sheets),
            "/v1/adoption": routes.adoption_resource(self.sheets),
            "/v1/ready": routes.ready_resource(self.sheets, self.stopping.is_set),
            "/v1/status": routes.status_resource(
                self.own, self.members, self.sheets, lambda: self.counts.in_flight
            ),
            "/metrics": routes.metrics_resource(self.registry.scrape),
        }

    def control(self) -> typing.Any:
        """Return the application of the control address."""
        keys = self.config["keys"]
        relays: dict[str, asgi.App] = {
            relay.PATH: relay.RelayApp(self.guard, self.clocks),
            transport.FORWARD_PATH: forwarding.ForwardApp(
                self.transport.send,
                lambda: self.lifecycle.endpoint,
                self.count_in_flight,
                self.clocks,
                self.counts.events,
            ),
        }
        return control_app.with_relays(control_app.create(keys, self.routes()), relays, keys)

    def entry(self) -> entry_app.EntryApp:
        """Return the application of the calls address, which clients use."""
        return entry_app.EntryApp(
            self.run_measured,
            lambda: self.sheets.in_force,
            self.count_refusal,
            self.stopping.is_set,
            self.clocks,
            self.counts.events,
        )

    def count_in_flight(self, change: int) -> None:
        """Add `change` to the in-flight requests when a relayed attempt begins or ends."""
        self.counts.in_flight += change

    def count_refusal(self, reason: str) -> None:
        """Count a request that the entry refused before it was run."""
        self.counts.calls["not_run"] += 1
        self.counts.refusals[reason] += 1

    async def advance_forever(self) -> None:
        """Keep this node's record and the endpoint's state up to date, until cancelled."""
        while True:
            self.lifecycle.advance(len(self.guard.tasks))
            if self.called.is_due(self.clocks.monotonic()):
                self.publish_record()
            await asyncio.sleep(TICK_S)

    async def drain(self) -> None:
        """Drain the endpoint, wait until outcomes are written, and announce that the node leaves.

        The drain ends once no node sends new requests and none are in flight, at the drain timeout,
        or when the stop is forced.
        """
        deadline = self.clocks.monotonic() + self.config["drain_timeout_s"]
        self.lifecycle.stop()
        await self.exchange.push_own_entry()
        await self._wait_until(self._drained, deadline)
        cut_off = not self._drained()
        if cut_off:
            self._log_cut_off_work()
        await self._wait_until(self.writer.is_idle, self.clocks.monotonic() + FLUSH_TIMEOUT_S)
        self.lifecycle.finish(cut_off)
        await self.exchange.push_own_entry()
        await self.discovery.leave()

    def _log_cut_off_work(self) -> None:
        cut_off = self.lifecycle.cut_off_work()
        calls, claimed = self.counts.in_flight, len(self.guard.tasks)
        level = logging.WARNING if calls or claimed or cut_off.endpoint_calls else logging.INFO
        fields = {"calls": calls, "claimed": claimed, **cut_off._asdict()}
        log.log(level, "drain ended early", extra=fields)

    def _drained(self) -> bool:
        return self.counts.in_flight == 0 and self.lifecycle.state == records.EndpointState.LEFT

    async def _wait_until(
        self, condition: typing.Callable[[], bool], deadline: instants.Instant
    ) -> None:
        while (
            not condition() and not self.stop_forced.is_set() and self.clocks.monotonic() < deadline
        ):
            await asyncio.sleep(TICK_S)
