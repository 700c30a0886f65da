"""Shapes of deployments: regions, failure domains, services and their endpoints."""

from __future__ import annotations

import typing

from goldcrestgrade import settings, sheet

HOST = "127.0.0.1"

PORTS_PER_INSTANCE = 3
"""Number of ports of one instance: calls, control and endpoint."""

DRAIN_TIMEOUT_S = 20.0
"""Longest time that a stopping node waits for in-flight requests."""


class InstanceSpec(typing.NamedTuple):
    """One instance, with the ports of its node and its endpoint."""

    service: str
    failure_domain: str
    region: str
    node_id: str
    calls_port: int
    control_port: int
    endpoint_port: int

    @property
    def calls_url(self) -> str:
        """URL to which clients send requests."""
        return f"http://{HOST}:{self.calls_port}"

    @property
    def control_url(self) -> str:
        """URL of the node's control address."""
        return f"http://{HOST}:{self.control_port}"

    @property
    def endpoint_url(self) -> str:
        """URL of the endpoint, without the node."""
        return f"http://{HOST}:{self.endpoint_port}"


class Shape(typing.NamedTuple):
    """The layout of a deployment, without ports."""

    name: str
    regions: typing.Mapping[str, str]
    """Region of each failure domain."""
    services: typing.Mapping[str, tuple[str, ...]]
    """Failure domains of the endpoints of each service."""
    slots: int
    """Concurrency limit of each endpoint."""
    shared_key: str


def endpoint_count(shape: Shape) -> int:
    """Return the number of instances of a deployment."""
    return sum(len(domains) for domains in shape.services.values())


def instance_specs(shape: Shape, ports: typing.Sequence[int]) -> list[InstanceSpec]:
    """Return the instances, each with its own part of `ports`."""
    pairs = [(service, domain) for service, domains in shape.services.items() for domain in domains]
    return [
        InstanceSpec(
            service,
            domain,
            shape.regions[domain],
            _node_id(pairs, index),
            *ports[PORTS_PER_INSTANCE * index : PORTS_PER_INSTANCE * (index + 1)],
        )
        for index, (service, domain) in enumerate(pairs)
    ]


def node_settings(
    instance: InstanceSpec, platform_port: int, shared_key: str
) -> settings.NodeSettings:
    """Return the settings of the node on `instance`."""
    platform = f"http://{HOST}:{platform_port}"
    return settings.NodeSettings(
        node_id=instance.node_id,
        region=instance.region,
        failure_domain=instance.failure_domain,
        calls={"host": HOST, "port": instance.calls_port},
        control={"host": HOST, "port": instance.control_port},
        platform={"tables": platform, "objects": platform},
        keys=[shared_key],
        peers=[],
        drain_timeout_s=DRAIN_TIMEOUT_S,
    )


def sheet_document(shape: Shape, day: str) -> sheet.SheetDocument:
    """Return the sheet of `day`, in which GET is idempotent and POST runs once."""
    return sheet.SheetDocument(
        day=day,
        services=[
            sheet.ServiceDocument(
                name=service,
                regions=sorted({shape.regions[domain] for domain in domains}),
                kinds=[
                    sheet.KindDocument(method="GET", path="/*", run_once=False, timeout_s=5.0),
                    sheet.KindDocument(method="POST", path="/*", run_once=True, timeout_s=10.0),
                ],
            )
            for service, domains in shape.services.items()
        ],
    )


def sheet_csv(document: sheet.SheetDocument) -> str:
    """Return `document` as a spreadsheet program may export it.

    Fields are separated by semicolons and lines by CRLF. The text begins with a byte order mark,
    truth values are `ja` and `nein`, and numbers have a decimal comma.
    """
    rows = [
        (
            document["day"],
            service["name"],
            " ".join(service["regions"]),
            kind["method"],
            kind["path"],
            "ja" if kind["run_once"] else "nein",
            f"{kind['timeout_s']:g}".replace(".", ","),
        )
        for service in document["services"]
        for kind in service["kinds"]
    ]
    header = ("day", "service", "regions", "method", "path", "run_once", "timeout_s")
    return "\ufeff" + "".join(";".join(row) + "\r\n" for row in (header, *rows))


def _node_id(pairs: typing.Sequence[tuple[str, str]], index: int) -> str:
    service, domain = pairs[index]
    repeated = pairs[:index].count((service, domain))
    return f"{service}-{domain}" + (f"-{repeated + 1}" if repeated else "")
