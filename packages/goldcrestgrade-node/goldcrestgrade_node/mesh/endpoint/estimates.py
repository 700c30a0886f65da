"""When a request at the own endpoint is expected to end, from paces and service times.

Load pattern: the endpoint becomes slow within milliseconds, reports its pace only with answers, and
may stop completing requests without a report.
"""

from __future__ import annotations

import typing

from goldcrestgrade_node.mesh.transport import loads

MIN_SERVICE_TIME_S = 0.001
"""Shortest service time that is assumed; the resolution of the endpoints' clocks."""

INITIAL_SERVICE_TIME_S = 0.1
"""Service time that is assumed before the first request has completed."""

SERVICE_TIME_MARGIN = 1.3
"""Factor on the expected service time within which most requests complete."""

MAX_SAMPLE_RATIO = 3.0
"""Multiple of the service time estimate at which samples are capped.

Longer ones include a degraded period that no pace report has shown.
"""

SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new sample in the moving averages of the service time."""

MAX_PACE_AGE_S = 0.5
"""Staleness limit of a report of the endpoint's pace."""

STALL_THRESHOLD = 6.0
"""Number of overdue completions from which the endpoint counts as stalled.

Completions come at random times; one gap in several hundred is this long by chance.
"""

STALLED_PACE = 4.0
"""Pace that an endpoint is assumed to have once it counts as stalled.

It grows with the number of overdue completions, until a health check reports the pace.
"""

DEGRADED_PACE = 1.5
"""Pace from which an endpoint counts as degraded."""

MAX_NORMAL_PACE = 1.2
"""Pace up to which an endpoint counts as normal, and ratio up to which two paces are equal."""

MAX_IN_FLIGHT_CHANGE = 1
"""Largest change in the number of in-flight requests during a request that is a slowdown sample."""

UNCONTENDED_SHARE = 0.6
"""Share of the slots up to which requests are assumed not to slow each other down."""

MAX_SAMPLE_PACE = 3.0
"""Largest pace at which a request updates its service time estimate.

Endpoints have a pace of 2 while they warm up.
"""


class LoadSnapshot(typing.NamedTuple):
    """Load of the endpoint as it was known when a request started."""

    load: loads.Load
    pace_age_s: float
    """Age of the pace in `load`."""

    def log_fields(self) -> dict[str, str | float]:
        """Return the fields of a log line."""
        return {"load": loads.encode(self.load), "pace_age_s": round(self.pace_age_s, 3)}


class Estimate(typing.NamedTuple):
    """When a request is expected to start and to end, in seconds from now."""

    start_s: float
    mean_end_s: float
    end_s: float
    """Time within which it most likely ends."""


def expected_pace(reported: float, age_s: float) -> float:
    """Return the pace to expect `age_s` after the endpoint reported the pace `reported`."""
    return 1 + (reported - 1) * max(0.0, 1 - age_s / MAX_PACE_AGE_S)


def stalled_pace(expected: float, overdue: float) -> float:
    """Return the pace to expect of an endpoint with `overdue` completions since its progress."""
    if overdue < STALL_THRESHOLD:
        return expected
    return max(expected, STALLED_PACE * overdue / STALL_THRESHOLD)


def is_comparable(pace_at_start: float, pace_at_end: float) -> bool:
    """Return whether an endpoint was degraded at both ends of a request, or at neither.

    Otherwise its service time describes neither state.
    """
    paces = pace_at_start, pace_at_end
    return max(paces) <= MAX_NORMAL_PACE * min(paces)


def was_normal(at_start: LoadSnapshot, pace_at_end: float) -> bool:
    """Return whether the endpoint was known to be normal when a request started and ended."""
    is_fresh = at_start.pace_age_s < MAX_PACE_AGE_S
    return is_fresh and max(at_start.load.pace, pace_at_end) <= MAX_NORMAL_PACE


def updated(average_s: float, sample_s: float) -> float:
    """Return the moving average of a service time after one more sample."""
    return average_s + SERVICE_TIME_WEIGHT * (sample_s - average_s)


def estimate(
    in_flight: int,
    ahead: int,
    slots: int,
    mean_service_time_s: float,
    service_time_s: float,
    pace: float,
) -> Estimate:
    """Return when a request is expected to start and to end behind `ahead` queued ones."""
    completions_needed = max(0, in_flight + ahead + 1 - slots)
    start_s = completions_needed * mean_service_time_s * pace / max(1, slots)
    expected_run_s = service_time_s * pace
    return Estimate(
        start_s, start_s + expected_run_s, start_s + expected_run_s * SERVICE_TIME_MARGIN
    )
