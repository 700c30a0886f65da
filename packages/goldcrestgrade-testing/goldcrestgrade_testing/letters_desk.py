"""The Letters Desk at its real shape: regions, failure domains, services and a sheet."""

from __future__ import annotations

import itertools
import typing

from goldcrestgrade import settings, sheet

DOMAINS = {
    "khomas-a": "khomas",
    "khomas-b": "khomas",
    "oshana-a": "oshana",
    "oshana-b": "oshana",
}
"""Failure domains and their regions."""

SERVICES = ("archive", "intake", "corrections")

SHARED_KEY = "letters-desk-shared-key"

HOST = "127.0.0.1"


class Place(typing.NamedTuple):
    """One endpoint instance with its node, and their ports."""

    service: str
    failure_domain: str
    region: str
    node_id: str
    calls_port: int
    control_port: int
    endpoint_port: int


def places(first_port: int) -> list[Place]:
    """Return the endpoint instances, one for each service and failure domain."""
    pairs = itertools.product(SERVICES, DOMAINS.items())
    return [
        Place(
            service,
            domain,
            region,
            f"{service}-{domain}",
            first_port + 3 * index,
            first_port + 3 * index + 1,
            first_port + 3 * index + 2,
        )
        for index, (service, (domain, region)) in enumerate(pairs)
    ]


def node_settings(place: Place, platform_port: int) -> settings.NodeSettings:
    """Return the settings of the node at `place`."""
    platform = f"http://{HOST}:{platform_port}"
    return settings.NodeSettings(
        node_id=place.node_id,
        region=place.region,
        failure_domain=place.failure_domain,
        calls={"host": HOST, "port": place.calls_port},
        control={"host": HOST, "port": place.control_port},
        platform={"tables": platform, "objects": platform},
        keys=[SHARED_KEY],
        peers=[],
        drain_timeout_s=20.0,
    )


def sheet_document(day: str) -> sheet.SheetDocument:
    """Return the sheet of `day`."""
    return sheet.SheetDocument(
        day=day,
        services=[
            sheet.ServiceDocument(
                name=service,
                regions=sorted(set(DOMAINS.values())),
                kinds=[
                    sheet.KindDocument(method="GET", path="/*", run_once=False, timeout_s=5.0),
                    sheet.KindDocument(method="POST", path="/*", run_once=True, timeout_s=10.0),
                ],
            )
            for service in SERVICES
        ],
    )
