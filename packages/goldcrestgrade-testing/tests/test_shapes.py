from __future__ import annotations

from goldcrestgrade_operator.sheets import csv_reader
from goldcrestgrade_testing import krkonos, shapes


def test_sheet_of_a_shape_is_read_back_from_its_csv():
    document = shapes.sheet_document(krkonos.SHAPE, "2026-01-01")
    assert csv_reader.read(shapes.sheet_csv(document).encode(), "s.csv").document == {
        **document,
        "services": sorted(document["services"], key=lambda service: service["name"]),
    }
    assert {name: len(domains) for name, domains in krkonos.SHAPE.services.items()} == {
        "katalog": 5,
        "rezervace": 4,
        "platby": 4,
    }
