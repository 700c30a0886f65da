"""The member list: the newest known entry of each node."""

from __future__ import annotations

import collections
import itertools
import typing

from goldcrestgrade import instants, records
from goldcrestgrade_node.membership import digests, messages

SUSPICION_TIMEOUT_S = 3.0
"""Time in which a suspected node may refute the suspicion."""

TOMBSTONE_LIFETIME_S = 600.0
"""Time for which a tombstone is kept, so that old records do not restore a lost or left node."""

MAX_MEMBERS = 4096
"""Largest number of nodes in the member list."""


class Merged(typing.NamedTuple):
    """Result of a merge."""

    applied: list[records.Entry]
    """Entries that were newer than the known ones and replaced them."""
    changed_services: set[str]
    """Services whose endpoints or entry nodes may have changed."""
    urgent: list[records.Entry]
    """Applied entries after which an endpoint is no longer ready, or its node suspected or lost."""


class Members:
    """The newest entry of each node; owned by the event loop of the node."""

    def __init__(self, clocks: instants.Clocks) -> None:
        self.clocks = clocks
        self.entries: dict[str, records.Entry] = {}
        self.digests = digests.Digests()
        # Dictionaries instead of sets keep the order of arrival, so that simulations are
        # repeatable.
        self.by_bucket: list[dict[str, None]] = [{} for _ in range(digests.BUCKETS)]
        self.by_service: collections.defaultdict[str, set[str]] = collections.defaultdict(set)
        self.entry_nodes: collections.defaultdict[str, set[str]] = collections.defaultdict(set)
        """Ids of the nodes that send requests to each service."""
        self.deadlines: dict[str, None] = {}
        """Ids of the nodes whose entry has a deadline."""
        self.generation = 0
        """Number that increases with each change of the entries."""
        self.silent_regions: frozenset[str] = frozenset()
        """Regions without contact; their entries are kept, but their endpoints get no requests."""

    def merge(self, received: typing.Iterable[records.Entry]) -> Merged:
        """Apply the entries that are plausible and newer than the known ones."""
        now = self.clocks.wall()
        merged = Merged([], set(), [])
        for entry in (_expire_suspicion(entry, now) for entry in received):
            if self._is_newer(entry, now):
                merged.applied.append(entry)
                if self._ends_availability(entry):
                    merged.urgent.append(entry)
                merged.changed_services.update(self._put(entry))
        return merged

    def expire(self) -> set[str]:
        """Mark suspected nodes as lost and remove tombstones whose deadline has passed.

        Returns the services whose endpoints or entry nodes may have changed.
        """
        now = self.clocks.wall()
        pending = [self.entries[node_id] for node_id in self.deadlines]
        due = [entry for entry in pending if entry["until"] <= now]
        changed = {e["record"]["endpoint"]["service"] for e in due if e["record"]["endpoint"]}
        changed.update(itertools.chain.from_iterable(map(_called_services, due)))
        for entry in due:
            if entry["standing"] == records.Standing.SUSPECT:
                self._put(_expire_suspicion(entry, now))
            else:
                self._remove(entry["record"]["node_id"])
        return changed

    def alive(self) -> list[records.NodeRecord]:
        """Return the records of all nodes that have neither left nor been lost."""
        return [entry["record"] for entry in self.entries.values() if is_present(entry)]

    def ready(self, service: str) -> list[records.NodeRecord]:
        """Return the records of nodes whose endpoint accepts new requests of `service`."""
        entries = (self.entries[node_id] for node_id in sorted(self.by_service.get(service, ())))
        return [
            entry["record"]
            for entry in entries
            if entry["record"]["state"] == records.EndpointState.READY
            and entry["standing"] != records.Standing.LOST
            and entry["record"]["region"] not in self.silent_regions
        ]

    def record(self, node_id: str) -> records.NodeRecord | None:
        """Return the record of a node, or `None` if it is unknown, has left or was lost."""
        entry = self.entries.get(node_id)
        return entry["record"] if entry is not None and is_present(entry) else None

    def set_silent_regions(self, regions: frozenset[str]) -> set[str]:
        """Set the regions without contact; return the services whose ready endpoints change."""
        differing = regions ^ self.silent_regions
        self.silent_regions = regions
        if not differing:
            return set()
        return {
            record["endpoint"]["service"]
            for record in self.alive()
            if record["endpoint"] is not None and record["region"] in differing
        }

    def in_buckets(self, buckets: typing.Iterable[int]) -> list[records.Entry]:
        """Return the entries in the buckets with these numbers."""
        ids = itertools.chain.from_iterable(self.by_bucket[bucket] for bucket in buckets)
        return [self.entries[node_id] for node_id in ids]

    def keep_only(self, node_id: str) -> set[str]:
        """Remove all nodes but one; return the services of the removed endpoints."""
        return set(
            itertools.chain.from_iterable(
                self._remove(other) for other in list(self.entries) if other != node_id
            )
        )

    def _is_newer(self, entry: records.Entry, now: instants.WallInstant) -> bool:
        record = entry["record"]
        if 0 < entry["until"] <= now or not _is_plausible(entry, now):
            return False
        known = self.entries.get(record["node_id"])
        if known is None:
            return len(self.entries) < MAX_MEMBERS
        return records.entry_order(entry) > records.entry_order(known)

    def _ends_availability(self, entry: records.Entry) -> bool:
        known = self.entries.get(entry["record"]["node_id"])
        return known is not None and _is_available(known) and not _is_available(entry)

    def _put(self, entry: records.Entry) -> set[str]:
        node_id = entry["record"]["node_id"]
        called = _called_services(self.entries.get(node_id))
        changed = self._remove(node_id)
        self.entries[node_id] = entry
        for service in _called_services(entry):
            self.entry_nodes[service].add(node_id)
        changed |= called ^ _called_services(entry)
        self.generation += 1
        if entry["until"] > 0:
            self.deadlines[node_id] = None
        self.digests.toggle(entry)
        self.by_bucket[digests.bucket_of(node_id)][node_id] = None
        endpoint = entry["record"]["endpoint"]
        if endpoint is not None:
            self.by_service[endpoint["service"]].add(node_id)
            changed.add(endpoint["service"])
        return changed

    def _remove(self, node_id: str) -> set[str]:
        entry = self.entries.pop(node_id, None)
        if entry is None:
            return set()
        self.generation += 1
        self.deadlines.pop(node_id, None)
        self.digests.toggle(entry)
        self.by_bucket[digests.bucket_of(node_id)].pop(node_id, None)
        for service in _called_services(entry):
            self.entry_nodes[service].discard(node_id)
        endpoint = entry["record"]["endpoint"]
        if endpoint is None:
            return set()
        self.by_service[endpoint["service"]].discard(node_id)
        return {endpoint["service"]}


def is_present(entry: records.Entry) -> bool:
    """Return whether the node of `entry` has neither left nor been lost."""
    return (
        entry["standing"] != records.Standing.LOST
        and entry["record"]["state"] != records.EndpointState.LEFT
    )


def _is_available(entry: records.Entry) -> bool:
    ready = entry["record"]["state"] == records.EndpointState.READY
    return ready and entry["standing"] == records.Standing.ALIVE


def _called_services(entry: records.Entry | None) -> set[str]:
    return (
        set(entry["record"].get("calls", ())) if entry is not None and is_present(entry) else set()
    )


def summary(entry: records.Entry) -> messages.Summary:
    """Return the order of `entry` in the form that a `Reconcile` message carries."""
    incarnation, revision = records.record_order(entry["record"])
    return messages.Summary(entry["record"]["node_id"], incarnation, revision, entry["standing"])


def _expire_suspicion(entry: records.Entry, now: instants.WallInstant) -> records.Entry:
    if entry["standing"] == records.Standing.SUSPECT and entry["until"] <= now:
        until = entry["until"] + TOMBSTONE_LIFETIME_S
        return records.Entry(record=entry["record"], standing=records.Standing.LOST, until=until)
    return entry


def _is_plausible(entry: records.Entry, now: instants.WallInstant) -> bool:
    # An incarnation far in the future would outrank every later entry of the node itself, and an
    # entry with a deadline far in the future would never be removed.
    ahead = now + instants.MAX_CLOCK_SKEW_S
    needs_deadline = not is_present(entry) or entry["standing"] == records.Standing.SUSPECT
    return (
        entry["record"]["incarnation"] <= ahead * 1000
        and entry["until"] <= ahead + SUSPICION_TIMEOUT_S + TOMBSTONE_LIFETIME_S
        and needs_deadline == (entry["until"] > 0)
    )


class OwnRecord:
    """The record of this node; owned by the event loop of the node."""

    def __init__(self, first: records.NodeRecord, clocks: instants.Clocks) -> None:
        self.record = first
        self.clocks = clocks

    def revise(
        self,
        state: records.EndpointState,
        endpoint: records.EndpointDocument | None,
        sheet_version: int,
        called: typing.Collection[str] = (),
    ) -> records.Entry:
        """Set these values under a new revision and return the entry.

        `called` contains the names of the services that the node sends requests to.
        """
        self.record = {
            **self.record,
            "state": state,
            "endpoint": endpoint,
            "sheet_version": sheet_version,
            "calls": sorted(called),
            "revision": self.record["revision"] + 1,
        }
        return self.entry()

    def outrank(self, other: records.Order) -> records.Entry:
        """Raise the revision above that of `other` and return the entry."""
        revision = max(self.record["revision"], other.revision) + 1
        self.record = {**self.record, "revision": revision}
        return self.entry()

    def entry(self) -> records.Entry:
        """Return the entry that the node publishes about itself.

        Once the node has left, the entry carries the deadline of its tombstone.
        """
        left = self.record["state"] == records.EndpointState.LEFT
        until = self.clocks.wall() + TOMBSTONE_LIFETIME_S if left else 0.0
        return records.Entry(record=self.record, standing=records.Standing.ALIVE, until=until)


def first_record(
    node_id: str, region: str, failure_domain: str, host: str, port: int, incarnation: int
) -> records.NodeRecord:
    """Return the record of a node that has just started."""
    return records.NodeRecord(
        node_id=node_id,
        incarnation=incarnation,
        revision=0,
        region=region,
        failure_domain=failure_domain,
        control_host=host,
        control_port=port,
        state=records.EndpointState.ABSENT,
        endpoint=None,
        sheet_version=0,
        expires_at=0.0,
    )
