"""Measures the processor time of the routing decisions that a node makes for a request."""

from __future__ import annotations

import functools
import random
import sys
import timeit
import typing

from goldcrestgrade import outcomes, records, sheet
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results
from goldcrestgrade_node.routing import (
    choice,
    ejection,
    endpoint_stats,
    feedback,
    hedging,
    quarantine,
    views,
)
from goldcrestgrade_testing import sample_records

ENDPOINT_COUNTS = (4, 40, 400)
"""Numbers of endpoints of the measured service."""

REPETITIONS = 5
"""Measurements of each decision, of which the fastest is reported."""

DECISIONS_PER_RUN = 5000
"""Decisions in one measurement."""

ENTRY_LOCALITY = choice.Locality("khomas", "khomas-a")

NOW = 1.0

ANSWERED = results.Answered(outcomes.Answer(200, (), bytes(2500)), 3)

REQUEST = requests.Request(
    "r1",
    "archive",
    sheet.Kind("GET /*", run_once=False, timeout_s=5.0),
    "GET",
    "/letters/2026/12/03",
    (),
    bytes(500),
    None,
    NOW + 5.0,
    True,
)


class Cost(typing.NamedTuple):
    """Processor time of one decision."""

    decision: str
    endpoints: int
    microseconds: float


def measure(endpoints: int) -> list[Cost]:
    """Return the cost of each decision for a service with this number of endpoints."""
    view = _view(endpoints)
    endpoint = next(iter(view.endpoints.values()))
    rng = random.Random(1)
    request_quarantine = quarantine.Quarantine()
    key = quarantine.request_key(REQUEST)
    decisions: dict[str, typing.Callable[[], object]] = {
        "choose": lambda: choice.choose(view, ENTRY_LOCALITY, (), NOW, rng),
        "choose, all near ones hot": functools.partial(
            _choose_loaded, _loaded_view(endpoints), rng
        ),
        "return of ejected": lambda: ejection.readmit_due(view, NOW),
        "start and finish": lambda: _attempt(view, endpoint),
        "hedge time": lambda: hedging.hedge_at(REQUEST, view, endpoint, NOW),
        "latency window": lambda: view.record_latency(0.02),
        "name of the request": lambda: quarantine.request_key(REQUEST),
        "quarantine": lambda: _quarantine(request_quarantine, key, endpoint),
    }
    return [
        Cost(
            decision,
            endpoints,
            min(timeit.repeat(run, number=DECISIONS_PER_RUN, repeat=REPETITIONS))
            / DECISIONS_PER_RUN
            * 1e6,
        )
        for decision, run in decisions.items()
    ]


def _attempt(view: views.ServiceView, endpoint: endpoint_stats.EndpointStats) -> None:
    started = feedback.start(view, endpoint, ENTRY_LOCALITY, NOW - 0.02)
    feedback.finish(view, endpoint, started, ANSWERED, NOW)


def _quarantine(
    request_quarantine: quarantine.Quarantine, key: str, endpoint: endpoint_stats.EndpointStats
) -> None:
    request_quarantine.permission(key, NOW)
    request_quarantine.start_attempt(key, endpoint)
    request_quarantine.end_attempt(key, endpoint)
    quarantine.record_result(request_quarantine, key, endpoint, ANSWERED, NOW - 0.02, NOW)


def _choose_loaded(view: views.ServiceView, rng: random.Random) -> choice.Decision:
    return choice.choose(view, ENTRY_LOCALITY, (), NOW, rng)


def _loaded_view(endpoints: int) -> views.ServiceView:
    view = _view(endpoints)
    for endpoint in view.endpoints.values():
        endpoint.in_flight = 18 if endpoint.region == ENTRY_LOCALITY.region else 0
    return view


def _view(endpoints: int) -> views.ServiceView:
    view = views.Views(lambda: NOW).of("archive")
    view.update([_record(index) for index in range(endpoints)], NOW)
    for endpoint in view.endpoints.values():
        endpoint_stats.record_latency(endpoint, 0.02, 0.0, NOW)
    return view


def _record(index: int) -> records.NodeRecord:
    region = ("khomas", "oshana")[index % 2]
    domain = f"{region}-{'ab'[index // 2 % 2]}"
    return sample_records.ready(f"upstream-{index}", region=region, failure_domain=domain)


def main() -> int:
    """Print a Markdown table of the costs in microseconds."""
    by_count = [measure(count) for count in ENDPOINT_COUNTS]
    print(f"| decision, µs | {' | '.join(f'{count} endpoints' for count in ENDPOINT_COUNTS)} |")
    print("|---" * (1 + len(ENDPOINT_COUNTS)) + "|")
    for costs in zip(*by_count, strict=True):
        print(f"| {costs[0].decision} | {' | '.join(f'{c.microseconds:.1f}' for c in costs)} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
