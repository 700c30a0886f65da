"""Comparison of scores in the journal."""

import orjson

from goldcrestgrade_testing.regression import losses, scores

LANDED_AT = "2026-01-02T00:00:00Z"


def entry(at, worth, cmd="score", rules=None, **fields):
    day = {"name": "quiet-1", "G": worth, "rules": rules or {}, "gate": not rules}
    drawn = {"name": "fresh-12ab", "G": 0.1, "rules": {}, "gate": True}
    return {
        "cmd": cmd,
        "ok": True,
        "site": "desk",
        "at": [at, at],
        "head": "c0ffee0",
        "argv": ["desk.toml"],
        "days": [day, drawn],
        **fields,
    }


def compared(tmp_path, *entries):
    for number, document in enumerate(entries):
        (tmp_path / f"{number}.json").write_bytes(orjson.dumps(document))
    (comparison,) = scores.compare(scores.read(tmp_path), LANDED_AT)
    return comparison


def test_latest_score_is_compared_with_the_latest_one_at_the_landing(tmp_path):
    comparison = compared(
        tmp_path,
        entry("2026-01-03T00:00:00Z", 0.50),
        entry("2026-01-01T12:00:00Z", 0.52),
        entry("2026-01-01T00:00:00Z", 0.90),
    )
    assert comparison.now.worth_by_day == {"quiet-1": 0.50}
    assert comparison.landed.worth_by_day == {"quiet-1": 0.52}
    assert comparison.findings() == []
    assert "-0.020" in "\n".join(scores.table(comparison))


def test_fall_beyond_the_noise_and_a_broken_rule_are_findings(tmp_path):
    comparison = compared(
        tmp_path,
        entry("2026-01-03T00:00:00Z", 0.40, rules={"CONFIG": 3}),
        entry("2026-01-01T12:00:00Z", 0.52),
    )
    assert comparison.findings() == ["desk: quiet-1 broken", "desk: mean worth fell by 0.120"]


def test_partial_scores_and_other_runs_are_left_out(tmp_path):
    comparison = compared(
        tmp_path,
        entry("2026-01-03T00:00:00Z", 0.50),
        entry("2026-01-04T00:00:00Z", 0.10, days_left_out=4),
        entry("2026-01-04T00:00:00Z", 0.10, ok=False),
        entry("2026-01-04T00:00:00Z", 0.10, cmd="hunt"),
        entry("2026-01-04T00:00:00Z", 0.90, argv=["desk.toml", "--no-cpu"]),
    )
    assert comparison.now.worth_by_day == {"quiet-1": 0.50}
    assert comparison.landed is None
    assert comparison.findings() == []


def test_only_days_of_both_scores_are_compared(tmp_path):
    light = entry("2026-01-03T00:00:00Z", 0.50)
    whole = entry("2026-01-01T00:00:00Z", 0.51)
    whole["days"].append({"name": "trouble-1", "G": 0.9, "rules": {}, "gate": True})
    comparison = compared(tmp_path, light, whole)
    assert comparison.common_days() == ["quiet-1"]
    assert comparison.findings() == []


def test_losses_of_the_latest_score_list_parts_by_weight_and_prices_that_count(tmp_path):
    """Guards against figures of a page that come from another entry than the latest score."""
    played = {
        "parts": [["whole day", 0.25, 0.9], ["worst windows", 0.5, 0.5]],
        "prices": [["machine-seconds", 900.0, 0.04], ["duties missed", 0.0, None]],
    }
    documents = [
        entry("2026-01-03T00:00:00Z", 0.5, why="latest"),
        entry("2026-01-01T00:00:00Z", 0.9, why="former"),
        entry("2026-01-04T00:00:00Z", 0.1, cmd="run", why="a trial"),
    ]
    for number, document in enumerate(documents):
        document["days"] = [{**document["days"][0], **played}]
        (tmp_path / f"{number}.json").write_bytes(orjson.dumps(document))
    latest = losses.latest(losses.read(tmp_path, ["score"]))["desk"]
    assert latest.why == "latest"
    assert [loss.name for loss in latest.days[0].losses] == [
        "worst windows",
        "whole day",
        "machine-seconds",
    ]
    assert "| worst windows | 0.250 |" in list(losses.table(latest))
