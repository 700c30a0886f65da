"""The records of all nodes that this node knows of."""

from __future__ import annotations

import typing

from goldcrestgrade import instants, records

RECORD_LEASE_S = 15.0
"""Time that a record holds after its node last refreshed it."""


class Members:
    """The newest record of each node; owned by the event loop of the node."""

    def __init__(self, clocks: instants.Clocks) -> None:
        self.clocks = clocks
        self.by_id: dict[str, records.NodeRecord] = {}

    def merge(self, received: typing.Iterable[records.NodeRecord]) -> set[str]:
        """Take in the records that are newer than the known; return the services they touch."""
        fresh = [record for record in received if self._newer(record)]
        touched = {
            endpoint["service"]
            for record in fresh
            for endpoint in (record["endpoint"], self._endpoint(record["node_id"]))
            if endpoint is not None
        }
        self.by_id.update((record["node_id"], record) for record in fresh)
        return touched

    def expire(self) -> set[str]:
        """Drop the records whose deadline passed; return the services they touch."""
        now = self.clocks.wall()
        expired = [record for record in self.by_id.values() if record["expires_at"] <= now]
        for record in expired:
            del self.by_id[record["node_id"]]
        return {r["endpoint"]["service"] for r in expired if r["endpoint"] is not None}

    def ready(self, service: str) -> list[records.NodeRecord]:
        """Return the records of nodes whose endpoint takes new work of `service`."""
        return [
            record
            for record in self.by_id.values()
            if record["state"] == records.EndpointState.READY
            and record["endpoint"] is not None
            and record["endpoint"]["service"] == service
        ]

    def _newer(self, record: records.NodeRecord) -> bool:
        known = self.by_id.get(record["node_id"])
        return known is None or records.order(record) > records.order(known)

    def _endpoint(self, node_id: str) -> records.EndpointDocument | None:
        known = self.by_id.get(node_id)
        return None if known is None else known["endpoint"]


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
    ) -> records.NodeRecord:
        """Return the record with these values, a new revision and a new deadline."""
        self.record = {
            **self.record,
            "state": state,
            "endpoint": endpoint,
            "sheet_version": sheet_version,
            "revision": self.record["revision"] + 1,
            "expires_at": self.clocks.wall() + RECORD_LEASE_S,
        }
        return self.record


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
