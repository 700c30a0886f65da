from __future__ import annotations

from goldcrestgrade import telemetry


def test_scrape_tells_calls_by_duration():
    counts = telemetry.Counts()
    registry = telemetry.register(counts)
    for latency_s in (0.001, 0.0015, 0.3, 60.0):
        counts.record_latency(latency_s)
    lines = registry.scrape().decode().splitlines()
    values = dict(line.rsplit(" ", 1) for line in lines if "calls_within" in line)
    by_bound = {
        name.partition('le="')[2].partition('"')[0]: value for name, value in values.items()
    }
    assert [by_bound[bound] for bound in ("0.001", "0.002", "0.5", "+Inf")] == [
        "1.0",
        "2.0",
        "3.0",
        "4.0",
    ]
