"""The instances that this node knows of and what it has seen of each."""

from __future__ import annotations

import dataclasses
import logging
import typing

from goldcrestgrade import instants
from goldcrestgrade.storage import tables
from goldcrestgrade_node.mesh import loads

log = logging.getLogger(__name__)

INSTANCE_PREFIX = "instance/"
"""Prefix of the keys of instances."""

BACKOFF_BASE_S = 0.5
"""Time for which an instance is avoided after it first was not reached."""

BACKOFF_LIMIT_S = 4.0
"""Longest time for which an instance is avoided before it is tried again."""


class Location(typing.NamedTuple):
    """Where an instance stands."""

    failure_domain: str
    region: str


class InstanceRow(typing.NamedTuple):
    """What an instance tells all others of itself."""

    node_id: str
    host: str
    port: int
    place: Location
    service: str
    serving: bool
    """False until its endpoint is found and once it leaves."""
    started_ms: int
    """Wall milliseconds of the node's start."""


@dataclasses.dataclass(slots=True)
class Instance:
    """An instance and the evidence of it; owned by the event loop of the node."""

    row: InstanceRow
    version: int
    in_flight: int = 0
    """Requests that this node has sent there and that have not ended."""
    load: loads.Load | None = None
    load_at: instants.Instant = 0.0
    in_flight_at_load: int = 0
    failures: int = 0
    """Consecutive times that it was not reached."""
    backoff_until: instants.Instant = 0.0
    """It refused work until then."""
    next_probe_at: instants.Instant = 0.0
    """It is not used until a look at it succeeds, and not looked at before then."""

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.row.host}:{self.row.port}"


class Directory:
    """Instances by node id and by service; owned by the event loop of the node."""

    def __init__(self) -> None:
        self.by_id: dict[str, Instance] = {}
        self.by_service: dict[str, list[Instance]] = {}

    def apply_change(self, change: tables.Change) -> None:
        """Take in a change of an instance's row."""
        node_id = change.key.removeprefix(INSTANCE_PREFIX)
        row = None if change.value is None else decode(node_id, change.value)
        if change.value is not None and row is None:
            log.warning("instance row not readable; ignored", extra={"key": change.key})
            return
        known = self.by_id.get(node_id)
        if row is None:
            self.by_id.pop(node_id, None)
        elif known is None or known.row.started_ms != row.started_ms:
            self.by_id[node_id] = Instance(row, change.version)
        else:
            known.row, known.version = row, change.version
        log.info(
            "instance known" if row else "instance removed",
            extra={"instance": node_id, "version": change.version, "row": row and row._asdict()},
        )
        self._rebuild_index()

    def of_service(self, service: str) -> list[Instance]:
        """Return the instances whose endpoint serves `service`."""
        return self.by_service.get(service, [])

    def record_unreachable(self, instance: Instance, now: instants.Instant) -> None:
        """Take in that an instance was not reached."""
        instance.failures += 1
        backoff_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2 ** (instance.failures - 1))
        instance.next_probe_at = now + backoff_s
        log.warning(
            "instance not reached",
            extra={"instance": instance.row.node_id, "failures": instance.failures},
        )

    def record_reachable(self, instance: Instance) -> None:
        """Take in that an instance answered."""
        if instance.failures:
            log.info("instance reached again", extra={"instance": instance.row.node_id})
            instance.failures = 0

    def _drop_replaced(self) -> None:
        """Forget instances at whose address another one registered later."""
        latest: dict[str, Instance] = {}
        for instance in sorted(self.by_id.values(), key=lambda i: i.version):
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
    """Return the row as the table holds it."""
    document = row._asdict()
    del document["node_id"]
    return {**document, "place": row.place._asdict()}


def decode(node_id: str, value: tables.Value) -> InstanceRow | None:
    """Return the row in `value`, or none where it is not readable."""
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
    return row if all(type(field) is kind for field, kind in kinds) else None
