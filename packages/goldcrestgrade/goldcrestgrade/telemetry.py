"""OpenTelemetry metrics, exported in the Prometheus text format.

Requests update plain integers; the SDK reads them at each scrape.
"""

from __future__ import annotations

import collections
import itertools
import typing

import opentelemetry.metrics as metrics
import prometheus_client
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from prometheus_client import metrics_core, registry

from goldcrestgrade import counters, reasons


class Registry(typing.NamedTuple):
    """The meter provider of a process, and the registry that a scrape reads."""

    provider: sdk_metrics.MeterProvider
    collectors: prometheus_client.CollectorRegistry

    def scrape(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.collectors)


class _Family(typing.NamedTuple):
    name: str
    counter: collections.Counter[str]
    label: str
    known: tuple[str, ...]
    """Values of the label that are exported even before they are first counted."""
    description: str


def register(counts: counters.Counts) -> Registry:
    """Return a new registry with the metrics of `counts` and of the process."""
    collectors = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=collectors)
    prometheus_client.GCCollector(registry=collectors)
    reader = prometheus.PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False, registry=collectors
    )
    provider = sdk_metrics.MeterProvider(metric_readers=[reader])
    meter = provider.get_meter("goldcrestgrade")
    for family in _families(counts):
        meter.create_observable_counter(
            f"goldcrestgrade.{family.name}",
            callbacks=[_observer(family.counter, family.label, family.known)],
            description=family.description,
        )
    meter.create_observable_gauge(
        "goldcrestgrade.in_flight",
        callbacks=[lambda _: [metrics.Observation(counts.in_flight)]],
        description="Calls of callers that have not ended.",
    )
    meter.create_observable_gauge(
        "goldcrestgrade.store_era",
        callbacks=[lambda _: [metrics.Observation(counts.store_era)]],
        description="Latest era of the store, which rises when it comes back from a copy.",
    )
    meter.create_observable_gauge(
        "goldcrestgrade.configuration_version",
        callbacks=[lambda _: [metrics.Observation(counts.configuration_version)]],
        description="Version of the configuration in force.",
    )
    domain_gauges: tuple[tuple[str, typing.Callable[[], frozenset[str]], str], ...] = (
        ("evacuated", lambda: counts.evacuated, "Failure domains that are evacuated."),
        ("unreachable", lambda: counts.unreachable, "Failure domains that do not respond."),
    )
    for name, domains, description in domain_gauges:
        meter.create_observable_gauge(
            f"goldcrestgrade.{name}",
            callbacks=[_domain_observer(domains)],
            description=description,
        )
    collectors.register(_LatencyCollector(counts))
    return Registry(provider, collectors)


def _families(counts: counters.Counts) -> tuple[_Family, ...]:
    outcomes = ("ran", "not_run", "unknown")
    return (
        _Family("calls", counts.calls, "outcome", outcomes, "Calls of callers that ended."),
        _Family(
            "refusals",
            counts.refusals,
            "reason",
            tuple(reasons.Refusal),
            "Calls that were refused and did not run.",
        ),
        _Family(
            "unknowns",
            counts.unknowns,
            "reason",
            tuple(reasons.Uncertainty),
            "Calls that may have run and whose answer is lost.",
        ),
        _Family(
            "broken_attempts",
            counts.broken_attempts,
            "reason",
            tuple(reasons.Uncertainty),
            "Attempts that were sent and got no whole answer of their own.",
        ),
        _Family(
            "retries",
            counts.retries,
            "reason",
            tuple(reasons.Retry),
            "Attempts that followed an attempt of the same call.",
        ),
        _Family(
            "events", counts.events, "event", tuple(reasons.Event), "Other events worth a look."
        ),
        _Family(
            "quota_charges",
            counts.quota_charges,
            "workspace",
            (counters.OTHER_WORKSPACES,),
            "Calls that were charged to the quota of their workspace.",
        ),
        _Family(
            "quota_refusals",
            counts.quota_refusals,
            "workspace",
            (counters.OTHER_WORKSPACES,),
            "Calls that were refused for the quota of their workspace.",
        ),
    )


class _LatencyCollector(registry.Collector):
    """Exports the latency of requests as a histogram.

    The SDK has no asynchronous histogram, and its synchronous one costs microseconds per request.
    """

    def __init__(self, counts: counters.Counts) -> None:
        self.counts = counts

    def collect(self) -> typing.Iterator[metrics_core.HistogramMetricFamily]:
        """Yield the current state of the histogram."""
        bounds = (*map(str, counters.LATENCY_BOUNDS_S), "+Inf")
        totals = itertools.accumulate(self.counts.latency_buckets)
        yield metrics_core.HistogramMetricFamily(
            "goldcrestgrade_call_duration_seconds",
            "Time from a call read whole to its outcome.",
            buckets=list(zip(bounds, totals, strict=True)),
            sum_value=self.counts.latency_sum_s,
        )


def _observer(
    counter: collections.Counter[str], label: str, known: typing.Sequence[str]
) -> typing.Callable[[metrics.CallbackOptions], list[metrics.Observation]]:
    def observe(_: metrics.CallbackOptions) -> list[metrics.Observation]:
        names = dict.fromkeys(itertools.chain(known, counter))
        return [metrics.Observation(counter[name], {label: name}) for name in names]

    return observe


def _domain_observer(
    domains: typing.Callable[[], frozenset[str]],
) -> typing.Callable[[metrics.CallbackOptions], list[metrics.Observation]]:
    """Return a callback that reports 1 for each present domain, and 0 for each former one."""
    seen: set[str] = set()

    def observe(_: metrics.CallbackOptions) -> list[metrics.Observation]:
        present = domains()
        seen.update(present)
        return [
            metrics.Observation(int(domain in present), {"failure_domain": domain})
            for domain in sorted(seen)
        ]

    return observe
