"""Where the worth of each day is lost, from the latest score of each site in the journal."""

from __future__ import annotations

import argparse
import pathlib
import typing

import orjson

MIN_PRICE = 0.005
"""Smallest price that is listed, in shares of the day's worth."""


class Loss(typing.NamedTuple):
    """One part of the worth of a day that was not earned, or a price."""

    name: str
    worth: float


class Day(typing.NamedTuple):
    """One day as it was played."""

    name: str
    worth: float
    rules: tuple[str, ...]
    """Rules that were broken."""
    losses: list[Loss]
    """Parts not earned, by their weight, then prices, the largest of each first."""


class Entry(typing.NamedTuple):
    """One entry of the journal with days that were played."""

    site: str
    taken_at: str
    """Start, in ISO 8601 with time zone UTC."""
    commit: str
    why: str
    days: list[Day]


def read(folder: pathlib.Path, commands: typing.Container[str]) -> list[Entry]:
    """Return the entries of some commands of the bench with played days, the oldest first.

    Raises `KeyError` if an entry is malformed.
    """
    documents = (orjson.loads(path.read_bytes()) for path in folder.glob("*.json"))
    played = (
        document
        for document in documents
        if document["cmd"] in commands and document.get("site") and document.get("days")
    )
    return sorted(map(_decode, played), key=lambda entry: entry.taken_at)


def _decode(document: dict[str, typing.Any]) -> Entry:
    days = [_decode_day(day) for day in document["days"] if day.get("parts")]
    return Entry(document["site"], document["at"][0], document["head"], document["why"], days)


def _decode_day(day: dict[str, typing.Any]) -> Day:
    parts = [Loss(name, weight * (1 - earned)) for name, weight, earned in day["parts"]]
    prices = [Loss(name, worth) for name, _, worth in day["prices"] if (worth or 0) >= MIN_PRICE]
    losses = [
        *sorted(parts, key=lambda loss: -loss.worth),
        *sorted(prices, key=lambda loss: -loss.worth),
    ]
    return Day(day["name"], day["G"], tuple(day["rules"]), losses)


def latest(entries: typing.Iterable[Entry]) -> dict[str, Entry]:
    """Return the latest entry of each site."""
    return {entry.site: entry for entry in entries if entry.days}


def table(entry: Entry) -> typing.Iterator[str]:
    """Yield the lines of a Markdown table with a column of losses for each day."""
    names = list(dict.fromkeys(loss.name for day in entry.days for loss in day.losses))
    yield f"{entry.site}, {entry.taken_at}, commit {entry.commit[:7]}: {entry.why}"
    yield ""
    yield f"| | {' | '.join(day.name for day in entry.days)} |"
    yield f"| --- |{' --- |' * len(entry.days)}"
    yield f"| worth | {' | '.join(f'{day.worth:.3f}' for day in entry.days)} |"
    yield f"| rules broken | {' | '.join(', '.join(day.rules) or '-' for day in entry.days)} |"
    for name in names:
        lost = ({loss.name: loss.worth for loss in day.losses}.get(name) for day in entry.days)
        cells = " | ".join("-" if worth is None else f"{worth:.3f}" for worth in lost)
        yield f"| {name} | {cells} |"


def main() -> None:
    """Print the table of the latest entry of each site."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--journal", type=pathlib.Path, default=pathlib.Path("journal"))
    parser.add_argument("--sites", nargs="*", help="names of the sites; all by default")
    parser.add_argument("--commands", nargs="*", default=["score"], help="such as score or run")
    arguments = parser.parse_args()
    for site, entry in latest(read(arguments.journal, arguments.commands)).items():
        if not arguments.sites or site in arguments.sites:
            print("\n".join(table(entry)) + "\n")


if __name__ == "__main__":
    main()
