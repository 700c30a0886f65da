"""Plays the standard loads on several seeds and prints how their requests end."""

from __future__ import annotations

import concurrent.futures
import itertools
import sys
import typing

from absl import flags

from goldcrestgrade_testing.fleet_model import figures, fleet, oracle, policies, workload

FLAGS = flags.FLAGS

flags.DEFINE_list("loads", list(workload.STANDARD), "Loads to play.")
flags.DEFINE_list("policies", ["current"], "Policies to compare, or `all`.")
flags.DEFINE_integer("seeds", 3, "Number of seeds of each load.", lower_bound=1)
flags.DEFINE_integer("jobs", 4, "Number of days that are played in parallel.", lower_bound=1)


class Day(typing.NamedTuple):
    """One load with one seed and one policy."""

    load: str
    seed: int
    policy: str


def execute(day: Day) -> tuple[figures.Figures, float]:
    """Play a day; return its figures and the share of value that the oracle earns."""
    load = workload.standard(day.load, day.seed)
    with policies.POLICIES[day.policy]():
        played = fleet.play(load)
    owed = sum(result.kind.value for result in played.results)
    return figures.compute(played), sum(map(figures.value, oracle.play(load))) / owed


def main(arguments: typing.Sequence[str]) -> int:
    """Play the days and print a table for each policy, over all loads and by load."""
    FLAGS(arguments)
    names = list(policies.POLICIES) if FLAGS.policies == ["all"] else FLAGS.policies
    days = [
        Day(*parts) for parts in itertools.product(FLAGS.loads, range(1, FLAGS.seeds + 1), names)
    ]
    with concurrent.futures.ProcessPoolExecutor(FLAGS.jobs) as pool:
        results = dict(zip(days, pool.map(execute, days), strict=True))
    for loads in (FLAGS.loads, *([load] for load in FLAGS.loads)):
        bounds = [bound for day, (_, bound) in results.items() if day.load in loads]
        rows = [
            (
                name,
                figures.mean(
                    [
                        row
                        for day, (row, _) in results.items()
                        if day.policy == name and day.load in loads
                    ]
                ),
            )
            for name in names
        ]
        print(f"\n## {', '.join(loads)}\n\n{figures.table(rows)}")
        print(f"\nOracle: earned {sum(bounds) / len(bounds):.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
