"""Metrics by OpenTelemetry, exported in the Prometheus text format.

The call path counts in plain integers; the SDK reads them when a scrape asks.
"""

from __future__ import annotations

import bisect
import collections
import itertools
import typing

import opentelemetry.metrics as metrics
import prometheus_client
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics

from goldcrestgrade import reasons

LATENCY_BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""Upper bounds of the buckets of the latency histogram."""


class Counts:
    """The counts of one process, by name and reason."""

    def __init__(self) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.unknowns: collections.Counter[str] = collections.Counter()
        self.retries: collections.Counter[str] = collections.Counter()
        self.events: collections.Counter[str] = collections.Counter()
        self.in_flight = 0
        self.latency_buckets = [0] * (len(LATENCY_BOUNDS_S) + 1)
        """Calls by duration, one count for each bound and one for all above."""
        self.latency_sum_s = 0.0

    def record_latency(self, latency_s: float) -> None:
        """Count a call that took `latency_s`."""
        self.latency_buckets[bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1
        self.latency_sum_s += latency_s


class Registry(typing.NamedTuple):
    """The meter provider of a process and the scrape that reads it."""

    provider: sdk_metrics.MeterProvider

    def scrape(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()


def register(counts: Counts) -> Registry:
    """Return a registry that observes `counts`."""
    provider = sdk_metrics.MeterProvider(metric_readers=[prometheus.PrometheusMetricReader()])
    meter = provider.get_meter("goldcrestgrade")
    families = (
        ("calls", counts.calls, "outcome", ("ran", "not_run", "unknown")),
        ("refusals", counts.refusals, "reason", tuple(reasons.Refusal)),
        ("unknowns", counts.unknowns, "reason", tuple(reasons.Uncertainty)),
        ("retries", counts.retries, "reason", tuple(reasons.Retry)),
        ("events", counts.events, "event", tuple(reasons.Event)),
    )
    for name, counter, label, known in families:
        meter.create_observable_counter(
            f"goldcrestgrade.{name}", callbacks=[_observer(counter, label, known)]
        )
    meter.create_observable_gauge(
        "goldcrestgrade.in_flight", callbacks=[lambda _: [metrics.Observation(counts.in_flight)]]
    )
    meter.create_observable_counter(
        "goldcrestgrade.calls_within", callbacks=[lambda _: _observe_latency(counts)]
    )
    meter.create_observable_counter(
        "goldcrestgrade.call_duration",
        unit="s",
        callbacks=[lambda _: [metrics.Observation(counts.latency_sum_s)]],
    )
    return Registry(provider)


def _observe_latency(counts: Counts) -> list[metrics.Observation]:
    """Return, for each bound, the calls that took no longer."""
    bounds = (*map(str, LATENCY_BOUNDS_S), "+Inf")
    totals = itertools.accumulate(counts.latency_buckets)
    return [
        metrics.Observation(total, {"le": bound})
        for bound, total in zip(bounds, totals, strict=True)
    ]


def _observer(
    counter: collections.Counter[str], label: str, known: typing.Sequence[str]
) -> typing.Callable[[metrics.CallbackOptions], list[metrics.Observation]]:
    def observe(_: metrics.CallbackOptions) -> list[metrics.Observation]:
        names = dict.fromkeys(itertools.chain(known, counter))
        return [metrics.Observation(counter[name], {label: name}) for name in names]

    return observe
