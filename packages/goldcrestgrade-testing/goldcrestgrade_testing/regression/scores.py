"""Scores of deployments as the journal of the users' bench holds them, and their comparison."""

from __future__ import annotations

import itertools
import pathlib
import typing

import orjson

MAX_FALL = 0.03
"""Largest fall of the mean worth of a site's days that is no finding; the bench's noise."""

OTHER_MEASURES = frozenset({"--no-cpu", "--small"})
"""Options of the bench whose figures can't be compared with those of usual scores."""


class Score(typing.NamedTuple):
    """One whole score of a site."""

    site: str
    taken_at: str
    """Start of the score, in ISO 8601 with time zone UTC."""
    commit: str
    worth_by_day: typing.Mapping[str, float]
    """Worth of each standard day; a day that is drawn for one score is left out."""
    broken: tuple[str, ...]
    """Days on which a rule was broken or the gate was missed, drawn days included."""

    def mean_worth(self, days: typing.Collection[str]) -> float:
        """Return the mean worth of `days`."""
        return sum(self.worth_by_day[day] for day in days) / len(days)


class Comparison(typing.NamedTuple):
    """The latest score of a site and the one of the last landing, if there is one."""

    now: Score
    landed: Score | None

    def common_days(self) -> list[str]:
        """Return the days of both scores, or of the latest one if there is no other."""
        landed = self.now if self.landed is None else self.landed
        return [day for day in self.now.worth_by_day if day in landed.worth_by_day]

    def findings(self) -> list[str]:
        """Return what is worse than at the last landing, and each broken day."""
        found = [f"{self.now.site}: {day} broken" for day in self.now.broken]
        days = self.common_days()
        if self.landed is not None and days:
            fall = self.landed.mean_worth(days) - self.now.mean_worth(days)
            if fall > MAX_FALL:
                found.append(f"{self.now.site}: mean worth fell by {fall:.3f}")
        return found


def read(folder: pathlib.Path) -> list[Score]:
    """Return the complete scores in a journal, the oldest first.

    Raises `KeyError` if an entry is malformed.
    """
    entries = (orjson.loads(path.read_bytes()) for path in folder.glob("*.json"))
    scores = [_decode(entry) for entry in entries if _is_usual(entry)]
    return sorted(scores, key=lambda score: score.taken_at)


def _is_usual(entry: dict[str, typing.Any]) -> bool:
    """Return whether an entry is a score whose days were all played as usual."""
    complete = bool(entry.get("ok") and entry.get("days") and not entry.get("days_left_out"))
    return entry["cmd"] == "score" and complete and OTHER_MEASURES.isdisjoint(entry["argv"])


def _decode(entry: dict[str, typing.Any]) -> Score:
    days = entry["days"]
    return Score(
        entry["site"],
        entry["at"][0],
        entry["head"],
        {day["name"]: day["G"] for day in days if not day["name"].startswith("fresh")},
        tuple(day["name"] for day in days if day["rules"] or not day["gate"]),
    )


def compare(scores: typing.Iterable[Score], landed_at: str) -> list[Comparison]:
    """Compare the latest score of each site with its latest one up to `landed_at`, in ISO 8601."""
    by_site = itertools.groupby(sorted(scores), key=lambda score: score.site)
    comparisons = []
    for _, group in by_site:
        of_site = list(group)
        landed = [score for score in of_site if score.taken_at <= landed_at]
        comparisons.append(Comparison(of_site[-1], landed[-1] if landed else None))
    return comparisons


def table(comparison: Comparison) -> typing.Iterator[str]:
    """Yield the lines of a table with the worth by day, now and at the last landing."""
    now, landed = comparison
    before = {} if landed is None else landed.worth_by_day
    yield f"{now.site}, {now.taken_at}, commit {now.commit[:7]}"
    for day, worth in now.worth_by_day.items():
        change = f"{worth - before[day]:+.3f}" if day in before else "new"
        yield f"  {day:12} {worth:6.3f}  {change}"
    days = comparison.common_days()
    change = "new"
    if landed is not None and days:
        change = f"{now.mean_worth(days) - landed.mean_worth(days):+.3f}"
    yield f"  {'mean':12} {now.mean_worth(days):6.3f}  {change}"
