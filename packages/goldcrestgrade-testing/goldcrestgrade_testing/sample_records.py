"""Sample node records for tests and measurements."""

from __future__ import annotations

from goldcrestgrade import records

HOST = "127.0.0.1"


def ready(
    node_id: str,
    service: str = "archive",
    region: str = "khomas",
    failure_domain: str = "khomas-a",
    port: int = 2,
    slots: int = 10,
) -> records.NodeRecord:
    """Return the record of a node whose endpoint is ready; its control port is 1."""
    return records.NodeRecord(
        node_id=node_id,
        incarnation=1,
        revision=1,
        region=region,
        failure_domain=failure_domain,
        control_host=HOST,
        control_port=1,
        state=records.EndpointState.READY,
        endpoint=records.EndpointDocument(
            service=service, host=HOST, port=port, slots=slots, connections=220
        ),
        sheet_version=1,
        expires_at=0.0,
    )
