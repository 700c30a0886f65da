"""Deployments and scenarios of the experiments."""

from __future__ import annotations

import typing

FAULT_AT_S = 2.0
"""Time at which the fault of a scenario begins."""

MEASURED_FROM_S = 3.0
"""Time at which the measured part of a run begins."""

DURATION_S = 8.0
"""Time for which requests arrive."""


class Placement(typing.NamedTuple):
    """Region and failure domain of an instance."""

    region: str
    failure_domain: str


class Deployment(typing.NamedTuple):
    """The measured service and the nodes that send it requests."""

    name: str
    service: str
    endpoints: tuple[Placement, ...]
    nodes: tuple[Placement, ...]
    slots: int
    """Slots of each endpoint."""
    domain_delay_s: float
    """One-way delay between failure domains of a region."""
    region_delay_s: float
    """One-way delay between regions."""

    @property
    def total_slots(self) -> int:
        """Slots of all endpoints together."""
        return self.slots * len(self.endpoints)


class Scenario(typing.NamedTuple):
    """One experiment; its fault lasts from `FAULT_AT_S` to the end."""

    name: str
    load: float
    """Offered load as a share of the capacity of all slots."""
    straggler_factor: float = 1.0
    """Factor on the service time of the first endpoint."""
    failing: bool = False
    """The first endpoint answers each request at once with an error."""
    silent: bool = False
    """The open connections to the first endpoint stop carrying bytes."""
    cold_start: bool = False
    """The last endpoint joins at `FAULT_AT_S` and is slow at first."""
    report_delay_s: float = 0.0
    """Age of the load that the endpoints report."""
    lying: bool = False
    """The first endpoint has only a third of its slots and reports a load of 0."""
    region_gone: bool = False
    """The endpoints of the first region are unreachable."""
    burst_calls_per_slot: float = 0.0
    """Additional requests per slot, within `BURST_S` each second from `FAULT_AT_S` on."""
    duration_s: float = DURATION_S

    @property
    def has_fault(self) -> bool:
        """Return whether the scenario adds a fault or bursts to its load, and so has a baseline."""
        return self._replace(name="", load=0.0, duration_s=0.0) != Scenario("", 0.0, duration_s=0.0)

    def baseline(self) -> Scenario:
        """Return the scenario with the same load, but without faults or bursts."""
        return Scenario(f"twin-{self.name}", self.load)


BURST_S = 0.002
"""Time within which the requests of a burst arrive."""

SCENARIOS = (
    Scenario("steady-50", 0.5),
    Scenario("steady-80", 0.8),
    Scenario("burst", 0.5, burst_calls_per_slot=0.75),
    Scenario("straggler", 0.5, straggler_factor=10.0),
    Scenario("fast-fail", 0.5, failing=True),
    Scenario("silent", 0.5, silent=True),
    Scenario("cold-start", 0.5, cold_start=True),
    Scenario("stale-reports", 0.7, report_delay_s=1.0),
    Scenario("lying", 0.5, lying=True),
    Scenario("region-gone", 0.3, region_gone=True),
    Scenario("overload", 1.3),
    Scenario("idle-night", 0.00002, duration_s=600.0),
)
"""All scenarios, in the order of the report."""


def _placements(*names: str) -> tuple[Placement, ...]:
    return tuple(Placement(name.rpartition("-")[0], name) for name in names)


_LETTERS_DESK_DOMAINS = ("khomas-a", "khomas-b", "oshana-a", "oshana-b")
_KRKONOS_DOMAINS = ("cz-east-a", "cz-east-b", "cz-west-a", "cz-west-b")

DEPLOYMENTS = (
    Deployment(
        "letters-desk",
        "archive",
        _placements(*_LETTERS_DESK_DOMAINS),
        _placements(*_LETTERS_DESK_DOMAINS * 3),
        10,
        1e-3,
        8e-3,
    ),
    Deployment(
        "krkonos",
        "katalog",
        _placements(*_KRKONOS_DOMAINS, "cz-east-a"),
        _placements(*_KRKONOS_DOMAINS * 3, "cz-east-a"),
        12,
        1.5e-3,
        8e-3,
    ),
)
"""The measured deployments, at their present sizes."""
