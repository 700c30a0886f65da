"""The deployment of the Letters Desk, with its real failure domains and services."""

from __future__ import annotations

from goldcrestgrade import settings, sheet
from goldcrestgrade_testing import shapes

HOST = shapes.HOST

SHARED_KEY = "letters-desk-shared-key"

REGIONS = {
    "khomas-a": "khomas",
    "khomas-b": "khomas",
    "oshana-a": "oshana",
    "oshana-b": "oshana",
}
"""Region of each failure domain."""

SERVICES = ("archive", "intake", "corrections")

SHAPE = shapes.Shape(
    name="letters_desk",
    regions=REGIONS,
    services={service: tuple(REGIONS) for service in SERVICES},
    slots=10,
    shared_key=SHARED_KEY,
)
"""Layout with four endpoints of each service, one in each failure domain."""

InstanceSpec = shapes.InstanceSpec


def instance_specs(first_port: int) -> list[shapes.InstanceSpec]:
    """Return the instances, with consecutive ports from `first_port` on."""
    count = shapes.PORTS_PER_INSTANCE * shapes.endpoint_count(SHAPE)
    return shapes.instance_specs(SHAPE, range(first_port, first_port + count))


def node_settings(instance: shapes.InstanceSpec, platform_port: int) -> settings.NodeSettings:
    """Return the settings of the node on `instance`."""
    return shapes.node_settings(instance, platform_port, SHARED_KEY)


def sheet_document(day: str) -> sheet.SheetDocument:
    """Return the sheet of `day`."""
    return shapes.sheet_document(SHAPE, day)
