"""The deployment of a mountain equipment rental, with its real failure domains and services."""

from __future__ import annotations

from goldcrestgrade_testing import shapes

REGIONS = {
    "cz-east-a": "cz-east",
    "cz-east-b": "cz-east",
    "cz-west-a": "cz-west",
    "cz-west-b": "cz-west",
}
"""Region of each failure domain."""

SHAPE = shapes.Shape(
    name="krkonos",
    regions=REGIONS,
    services={
        "katalog": (*REGIONS, "cz-east-a"),
        "rezervace": tuple(REGIONS),
        "platby": tuple(REGIONS),
    },
    slots=12,
    shared_key="krkonos-shared-key",
)
"""Layout with five endpoints of the catalogue, and four each of reservations and of payments."""
