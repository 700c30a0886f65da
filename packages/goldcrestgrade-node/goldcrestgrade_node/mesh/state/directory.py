"""The instances that this node knows, with the load and the failures it has seen of each."""

from __future__ import annotations

import collections
import dataclasses
import ipaddress
import logging
import math
import typing

from goldcrestgrade import backoffs, instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh.transport import loads, signals

log = logging.getLogger(__name__)

INSTANCE_PREFIX = "instance/"
"""Prefix of the keys of instance rows."""

BACKOFF_BASE_S = 0.5
"""Backoff after an instance was first unreachable; doubles with each further failure."""

MAX_REPORTS = 4096
"""Largest number of endpoints whose reports are remembered."""

BACKOFF_LIMIT_S = 4.0
"""Longest backoff before an instance is probed again."""


class Location(typing.NamedTuple):
    """Failure domain and region of an instance."""

    failure_domain: str
    region: str


class InstanceRow(typing.NamedTuple):
    """What an instance publishes about itself to all nodes."""

    node_id: str
    host: str
    port: int
    place: Location
    service: str
    serving: bool
    """False until its endpoint is known, and again once the endpoint drains or leaves."""
    started_ms: int
    """Wall clock of the node's start, in milliseconds."""
    link_mbps: float = 0.0
    """Bandwidth of the instance's link in megabits a second; 0 if it is not known or not thin."""


class Warming(typing.NamedTuple):
    """What an entry node knows of one instance's warm-up."""

    unproven: bool = True
    """Whether no load was reported since the instance appeared, failed or served again."""
    cold_until: instants.Instant = 0.0
    """Latest instant until which it may be cold, as far as is known."""
    considered_at: instants.Instant = 0.0
    """When this node last considered offering it a request while it may be cold."""
    offer_rate: float = 0.0
    """Requests a second that this node offers it meanwhile; 0 if that was not set yet."""


@dataclasses.dataclass(slots=True)
class Instance:
    """An instance with its observed load and failures; owned by the node's event loop."""

    row: InstanceRow
    position: tables.Position
    """Position of the row in the history of the store."""
    in_flight: int = 0
    """Requests that this node has sent there and that have not ended."""
    load: loads.Load | None = None
    load_at: instants.Instant = 0.0
    """When `load` was reported."""
    in_flight_at_load: int = 0
    """`in_flight` when `load` was reported, since the load includes these requests."""
    failures: int = 0
    """Consecutive failed attempts to reach it."""
    backoff_until: instants.Instant = 0.0
    """Its node rejected a request; no others are sent there until then."""
    unavailable_until: instants.Instant = 0.0
    """Its node said that it accepts no requests at all; assumed until then."""
    next_probe_at: instants.Instant = 0.0
    """After a failure it is not probed before then, and not used until a probe succeeds."""
    warming: Warming = dataclasses.field(default_factory=Warming)

    @property
    def address(self) -> str:
        """Host and port, joined by a colon."""
        return f"{self.row.host}:{self.row.port}"


class Directory:
    """Instances by node id and by service; owned by the node's event loop."""

    def __init__(self) -> None:
        self.by_id: dict[str, Instance] = {}
        self.by_service: dict[str, list[Instance]] = {}
        self.reports: collections.OrderedDict[str, signals.Report] = collections.OrderedDict()
        """Signals that endpoints sent with answers to this node, by the id of their node.

        A report outlives the row of the node, which restarts without its endpoint.
        """

    def record_report(self, node_id: str, report: signals.Report) -> None:
        """Record the signals in an answer of the endpoint of a node.

        Answers may overtake each other, so that an endpoint leaves until another one answers.
        """
        known = self.reports.get(node_id)
        # Answers without signals do not name their endpoint.
        same_endpoint = known is not None and report.endpoint_id in ("", known.endpoint_id)
        if known is not None and same_endpoint and known.signals.leaving:
            report = known._replace(signals=report.signals._replace(leaving=True))
        if report.signals == signals.NONE:
            self.reports.pop(node_id, None)
            return
        self.reports[node_id] = report
        self.reports.move_to_end(node_id)
        while len(self.reports) > MAX_REPORTS:
            self.reports.popitem(last=False)

    def apply_change(self, change: tables.Change) -> None:
        """Apply a change of an instance row; a malformed row is logged and ignored.

        An instance whose row was overwritten by a malformed one stays in use until its node has
        written the row again, or until the row is removed since the node is unreachable.
        """
        node_id = change.key.removeprefix(INSTANCE_PREFIX)
        row = None if change.value is None else decode(node_id, change.value)
        known = self.by_id.get(node_id)
        if change.value is not None and row is None:
            log.warning("instance row is malformed; ignored", extra={"key": change.key})
            if known is not None:
                known.position = change.position
            return
        if row is None:
            self.by_id.pop(node_id, None)
        elif known is None or known.row.started_ms != row.started_ms:
            self.by_id[node_id] = Instance(row, change.position)
        elif known.row == row:
            # The store has come back from a copy, and the row has another position in its history.
            known.position = change.position
            return
        else:
            if (row.serving and not known.row.serving) or row.service != known.row.service:
                known.warming = Warming()
            known.row, known.position = row, change.position
        log.info(
            "instance known" if row else "instance removed",
            extra={
                "instance": node_id,
                "position": str(change.position),
                "row": row and row._asdict(),
            },
        )
        self._rebuild_index()

    def of_service(self, service: str) -> list[Instance]:
        """Return the instances whose endpoint serves `service`."""
        return self.by_service.get(service, [])

    def failure_domains(self) -> set[str]:
        """Return the failure domains of all instances."""
        return {instance.row.place.failure_domain for instance in self.by_id.values()}

    def of_failure_domain(self, failure_domain: str) -> list[Instance]:
        """Return the instances of a failure domain."""
        return [i for i in self.by_id.values() if i.row.place.failure_domain == failure_domain]

    def record_unreachable(self, instance: Instance, now: instants.Instant) -> None:
        """Record that an instance was unreachable, and set its backoff."""
        instance.failures += 1
        instance.warming = Warming()
        backoff_s = backoffs.exponential_s(instance.failures, BACKOFF_BASE_S, BACKOFF_LIMIT_S)
        instance.next_probe_at = now + backoff_s
        log.warning(
            "instance not reached",
            extra={"instance": instance.row.node_id, "failures": instance.failures},
        )

    def record_reachable(self, instance: Instance) -> None:
        """Record that an instance answered, which ends its backoff."""
        if instance.failures:
            log.info("instance reached again", extra={"instance": instance.row.node_id})
            instance.failures = 0

    def _drop_replaced(self) -> None:
        """Remove instances at whose address another one registered later."""
        latest: dict[str, Instance] = {}
        for instance in sorted(self.by_id.values(), key=lambda i: i.position):
            earlier = latest.get(instance.address)
            if earlier is not None:
                del self.by_id[earlier.row.node_id]
            latest[instance.address] = instance

    def _rebuild_index(self) -> None:
        self._drop_replaced()
        self.by_service = {}
        for instance in sorted(self.by_id.values(), key=lambda i: i.row.node_id):
            if instance.row.serving:
                self.by_service.setdefault(instance.row.service, []).append(instance)


def encode(row: InstanceRow) -> tables.Value:
    """Return the row in the form that the table stores."""
    document = row._asdict()
    del document["node_id"]
    if not row.link_mbps:
        # Rows of instances without a thin link stay readable for nodes of earlier builds.
        del document["link_mbps"]
    return {**document, "place": row.place._asdict()}


def decode(node_id: str, value: tables.Value) -> InstanceRow | None:
    """Return the row in `value`, or none if it or the id is malformed."""
    if not node_id:
        return None
    try:
        row = InstanceRow(node_id=node_id, **{**value, "place": Location(**value["place"])})
    except (TypeError, KeyError):
        return None
    kinds = (
        (row.host, str),
        (row.port, int),
        (row.place.failure_domain, str),
        (row.place.region, str),
        (row.service, str),
        (row.serving, bool),
        (row.started_ms, int),
    )
    if type(row.link_mbps) not in (int, float) or not 0 <= row.link_mbps < math.inf:
        return None
    if not all(type(field) is kind for field, kind in kinds):
        return None
    return row if _is_address(row.host, row.port) else None


def _is_address(host: str, port: int) -> bool:
    """Return whether a connection can be opened to an address, by the rules of the settings."""
    try:
        ipaddress.IPv4Address(host)
    except ipaddress.AddressValueError:
        return False
    return 0 < port < 65536
