from __future__ import annotations

import prometheus_client.parser
import pytest

from goldcrestgrade import counters, reasons, telemetry

REASONS = [
    ("refusals", "reason", reasons.Refusal),
    ("unknowns", "reason", reasons.Uncertainty),
    ("broken_attempts", "reason", reasons.Uncertainty),
    ("retries", "reason", reasons.Retry),
    ("events", "event", reasons.Event),
]


def samples(registry: telemetry.Registry) -> dict[tuple[str, str], float]:
    families = prometheus_client.parser.text_string_to_metric_families(registry.scrape().decode())
    return {
        (sample.name, ",".join(sample.labels.values())): sample.value
        for family in families
        for sample in family.samples
    }


@pytest.mark.parametrize(("name", "label", "members"), REASONS)
def test_every_reason_is_exported_before_it_was_counted(name, label, members):
    exported_samples = samples(telemetry.register(counters.Counts()))
    exported = {
        value for metric, value in exported_samples if metric == f"goldcrestgrade_{name}_total"
    }
    assert exported == set(members)


def test_counts_are_exported_as_they_stand():
    counts = counters.Counts()
    registry = telemetry.register(counts)
    counts.refusals[reasons.Refusal.NO_SHEET] += 2
    counts.in_flight = 3
    counts.store_era = 2
    counts.configuration_version = 17
    values = samples(registry)
    assert values["goldcrestgrade_refusals_total", "no_sheet"] == 2
    assert values["goldcrestgrade_in_flight", ""] == 3
    assert values["goldcrestgrade_store_era", ""] == 2
    assert values["goldcrestgrade_configuration_version", ""] == 17


def test_registries_of_one_process_are_independent():
    first, second = counters.Counts(), counters.Counts()
    registries = telemetry.register(first), telemetry.register(second)
    first.in_flight = 1
    assert [samples(r)["goldcrestgrade_in_flight", ""] for r in registries] == [1, 0]


def test_call_durations_are_exported_as_a_histogram():
    counts = counters.Counts()
    registry = telemetry.register(counts)
    for latency_s in (0.001, 0.0015, 0.3, 60.0):
        counts.record_latency(latency_s)
    values = samples(registry)
    name = "goldcrestgrade_call_duration_seconds"
    bounds = ("0.001", "0.002", "0.5", "+Inf")
    assert [values[f"{name}_bucket", bound] for bound in bounds] == [1, 2, 3, 4]
    assert values[f"{name}_count", ""] == 4
    assert values[f"{name}_sum", ""] == pytest.approx(60.3025)
