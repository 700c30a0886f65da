from __future__ import annotations

import random

import falcon.testing
import pytest

from goldcrestgrade import counters, headers, instants, sheet
from goldcrestgrade_node.configuration import adoption
from goldcrestgrade_node.control import app, routes
from goldcrestgrade_testing import fleet, memory_platform

KEY = "0123456789abcdef"
BODY = sheet.encode(fleet.sheet_document("2026-01-01"))


class Target:
    """The sheet resource of a node that has version 4 in force."""

    def __init__(self) -> None:
        clocks = instants.Clocks(monotonic=lambda: 0.0, wall=lambda: 0.0)
        self.sheets = adoption.Adoption(
            memory_platform.MemoryTables(),
            memory_platform.MemoryObjects(),
            None,
            lambda _adopted: None,
            lambda: True,
            clocks,
            counters.Counts(),
            random.Random(1),
        )
        self.sheets.adopt_if_newer(4, BODY)
        resource = routes.sheet_resource(self.sheets)
        self.client = falcon.testing.TestClient(app.create([KEY], {"/v1/sheet": resource}))

    def put(self, version: str, body: bytes) -> int:
        fields = {headers.CONTROL_KEY: KEY, headers.SHEET_VERSION: version}
        return self.client.simulate_put("/v1/sheet", body=body, headers=fields).status_code


def test_newer_sheet_that_is_put_is_adopted():
    target = Target()
    assert target.put("5", BODY) == 204
    assert target.sheets.version == 5


@pytest.mark.parametrize(
    ("version", "body", "status"),
    [
        ("3", BODY, 409),
        ("4", BODY, 409),
        ("5", b"{}", 409),
        ("five", BODY, 400),
        ("9" * 16, BODY, 400),
        ("5", b" " * ((1 << 20) + 1), 413),
    ],
)
def test_older_invalid_or_oversized_sheet_is_refused(version: str, body: bytes, status: int):
    target = Target()
    assert target.put(version, body) == status
    assert target.sheets.version == 4
