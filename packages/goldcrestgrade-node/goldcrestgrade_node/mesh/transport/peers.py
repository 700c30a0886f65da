"""Requests between nodes that no client sent: polls for changes, probes, and tokens of quotas."""

from __future__ import annotations

import asyncio
import logging
import random
import urllib.parse

import aiohttp

from goldcrestgrade import headers, instants, outcomes
from goldcrestgrade.storage import tables
from goldcrestgrade_node import asgi
from goldcrestgrade_node.mesh.entry import reachability
from goldcrestgrade_node.mesh.quota import exchange
from goldcrestgrade_node.mesh.quota import messages as quota_messages
from goldcrestgrade_node.mesh.state import directory, registration, replica, watch
from goldcrestgrade_node.mesh.transport import relay

log = logging.getLogger(__name__)

PROBE_PATH = "/mesh/ping"
"""Path of the relay address that answers probes."""

NODE_ID_HEADER = "goldcrestgrade-node-id"
"""Header with the id of the node that answers; its address may have been another node's before."""

PROBE_TIMEOUT_S = 0.6
"""Timeout of a probe; several round trips between regions."""

PROBE_SCAN_INTERVAL_S = 0.2
"""Time between scans for instances that are due for a probe."""

DOMAIN_PROBE_INTERVAL_S = 1.0
"""Shortest time between two probes of an unreachable failure domain, at one instance in turn."""

SATURATED_RETRY_AFTER = "0.3"
"""Value of `Retry-After` in refusals of messages while too many are under way."""

MAX_FAILED_PROBES = 10
"""Consecutive failures after which the row of an instance is removed; about half a minute."""


def app(
    relay_app: relay.RelayApp, sync: watch.Sync, quotas: exchange.Quotas | None = None
) -> asgi.App:
    """Return the ASGI application of the relay address."""
    relay_header = headers.RELAY.encode()

    async def serve(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        if any(name == relay_header for name, _ in scope["headers"]):
            await relay_app(scope, receive, send)
            return
        answer = outcomes.Answer(404, (), b"")
        if scope["path"] == PROBE_PATH:
            # Also while saturated, as nodes that do not answer probes are removed.
            answer = outcomes.Answer(200, ((NODE_ID_HEADER, headers.quote(sync.own_id)),), b"")
        elif asgi.SATURATED in scope:
            answer = outcomes.Answer(503, (("retry-after", SATURATED_RETRY_AFTER),), b"")
        elif scope["path"] == watch.CHANGES_PATH:
            answer = await _changes(scope, sync)
        elif quotas is not None and scope["path"] == quota_messages.PATH:
            answer = await _tokens(receive, quotas)
        await asgi.send_plain(send, answer, close=False)

    return serve


async def _changes(scope: asgi.Scope, sync: watch.Sync) -> outcomes.Answer:
    query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
    try:
        positions = {
            table: tables.parse_position(query[f"after-{table}"]) for table in replica.TABLES
        }
        wait_s = float(query["wait_s"])
        era = int(query["era"])
    except (KeyError, ValueError) as error:
        log.warning(
            "poll for changes is malformed; answered with status 400", extra={"error": repr(error)}
        )
        return outcomes.Answer(400, (), b"")
    sync.observe_era(era)
    body = await sync.answer_poll(positions, wait_s)
    return outcomes.Answer(200, (("content-type", "application/octet-stream"),), body)


async def _tokens(receive: asgi.Receive, quotas: exchange.Quotas) -> outcomes.Answer:
    try:
        body = await asgi.read_body(receive)
        return outcomes.Answer(
            200, (("content-type", "application/json"),), await quotas.answer(body or b"")
        )
    except (asgi.Disconnected, ValueError) as error:
        log.warning(
            "message about quotas is malformed; answered with status 400",
            extra={"error": repr(error)},
        )
        return outcomes.Answer(400, (), b"")


def post_tokens(instances: directory.Directory, session: aiohttp.ClientSession) -> exchange.Post:
    """Return the function that sends a message about quotas to a node."""
    timeout = aiohttp.ClientTimeout(total=exchange.TIMEOUT_S)

    async def post(node_id: str, body: bytes) -> bytes:
        instance = instances.by_id.get(node_id)
        if instance is None:
            raise exchange.Unanswered("the instance is not known")
        try:
            async with session.post(
                f"http://{instance.address}{quota_messages.PATH}",
                data=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                answer = await response.read()
                if response.status != 200:
                    raise exchange.Unanswered(f"status {response.status}")
                return answer
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise exchange.Unanswered(repr(error)) from error

    return post


class Prober:
    """Probes unreachable instances, outside the path of requests."""

    def __init__(
        self,
        own_id: str,
        instances: directory.Directory,
        session: aiohttp.ClientSession,
        store: tables.TableService,
        clocks: instants.Clocks,
        reached: reachability.Reachability,
    ) -> None:
        self.reachability = reached
        self.suspected: set[str] = set()
        """Ids of instances that did not answer something else than a request; probed next."""
        self.domain_probe_at: dict[str, instants.Instant] = {}
        """When an unreachable failure domain is due for a probe."""
        self.own_id = own_id
        self.instances = instances
        self.session = session
        self.store = store
        self.clocks = clocks

    async def run(self) -> None:
        """Probe each unreachable instance when its backoff ends, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_SCAN_INTERVAL_S)
            now = self.clocks.monotonic()
            due = [
                instance
                for instance in self.instances.by_id.values()
                if (instance.failures and instance.next_probe_at <= now)
                or (not instance.failures and instance.row.node_id in self.suspected)
            ]
            self.suspected.clear()
            domain_probes = (self._probe_domain(instance) for instance in self._domain_probes(now))
            await asyncio.gather(*map(self.probe, due), *domain_probes)

    def _domain_probes(self, now: instants.Instant) -> list[directory.Instance]:
        """Return an instance of each unreachable failure domain that is due for a probe.

        An instance that was not found silent is preferred, since it may show that only others are.
        """
        found = []
        for domain in self.reachability.unreachable:
            instances = self.instances.of_failure_domain(domain)
            others = [instance for instance in instances if instance.row.node_id != self.own_id]
            if others and self.domain_probe_at.get(domain, 0.0) <= now:
                self.domain_probe_at[domain] = now + DOMAIN_PROBE_INTERVAL_S
                fewest = min(instance.failures for instance in others)
                found.append(random.choice([i for i in others if i.failures == fewest]))
        return found

    async def _probe_domain(self, instance: directory.Instance) -> None:
        if await self._is_alive(instance):
            self.instances.record_reachable(instance)
            self.reachability.record_response(instance.row.place.failure_domain)

    async def probe(self, instance: directory.Instance) -> None:
        """Probe one instance, record the result, and remove its row after too many failures."""
        if await self._is_alive(instance):
            self.instances.record_reachable(instance)
            self.reachability.record_response(instance.row.place.failure_domain)
            return
        self.instances.record_unreachable(instance, self.clocks.monotonic())
        if instance.failures >= MAX_FAILED_PROBES:
            if self.has_lowest_reachable_id():
                await self._remove(instance)
            elif instance.failures % MAX_FAILED_PROBES == 0:
                await self._check_lowest_id()

    async def _check_lowest_id(self) -> None:
        """Probe the instance with the lowest id, which has not removed an unreachable one.

        It may never have been in use: no request and no poll then shows that nothing is there.
        """
        reachable = [i for i in self.instances.by_id.values() if not i.failures]
        lowest = min(reachable, key=lambda i: i.row.node_id)
        if not await self._is_alive(lowest):
            self.instances.record_unreachable(lowest, self.clocks.monotonic())

    async def _is_alive(self, instance: directory.Instance) -> bool:
        """Return whether an instance answers a probe."""
        try:
            async with self.session.get(
                f"http://{instance.address}{PROBE_PATH}",
                timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            ) as response:
                node_id = headers.unquote(response.headers.get(NODE_ID_HEADER, ""))
                return response.status == 200 and node_id == instance.row.node_id
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            log.debug("probe failed", extra={"error": repr(error)})
            return False

    def has_lowest_reachable_id(self) -> bool:
        """Return whether this node has the lowest id of the reachable nodes."""
        reachable = (i.row.node_id for i in self.instances.by_id.values() if not i.failures)
        return min(reachable, default=self.own_id) == self.own_id

    async def _remove(self, instance: directory.Instance) -> None:
        key = directory.INSTANCE_PREFIX + instance.row.node_id
        result = await self.store.transact(
            tables.Transaction(
                (tables.Condition(replica.MESH, key, instance.position),),
                tuple(
                    tables.Write(replica.MESH, removed, None)
                    for removed in (key, registration.ENDPOINT_PREFIX + instance.row.node_id)
                ),
            )
        )
        log.info(
            "removal of the rows of an unreachable instance",
            extra={"instance": instance.row.node_id, "result": result.tag},
        )
