"""Runs scenarios with several routing policies and writes the results as JSON and Markdown."""

from __future__ import annotations

import concurrent.futures
import itertools
import pathlib
import sys
import typing

import orjson
from absl import flags

from goldcrestgrade_testing.bench import arrivals, figures, policies, report, runs, scenarios

FLAGS = flags.FLAGS

flags.DEFINE_string("scenario", "all", "Scenario to run, or `all`.")
flags.DEFINE_list("policies", list(policies.DEFAULT_POLICIES), "Policies to compare.")
flags.DEFINE_list("deployments", [d.name for d in scenarios.DEPLOYMENTS], "Deployments to measure.")
flags.DEFINE_integer("seed", 1, "Seed of arrivals, service times and routing decisions.")
flags.DEFINE_integer("jobs", 3, "Number of runs in parallel.", lower_bound=1)
flags.DEFINE_string("output", "build/bench", "Folder for the JSON and Markdown reports.")


class Job(typing.NamedTuple):
    """One run of one policy in one scenario of one deployment."""

    deployment: scenarios.Deployment
    scenario: scenarios.Scenario
    policy: str
    seed: int


def execute(job: Job) -> figures.Figures:
    """Run one job and return its figures."""
    planned = arrivals.generate(job.deployment, job.scenario, job.seed)
    result = runs.run(job.deployment, job.scenario, planned, job.policy, job.seed)
    return figures.compute(job.deployment, job.scenario, job.policy, job.seed, result)


def main(arguments: typing.Sequence[str]) -> int:
    """Run the scenarios, print and write their tables; return 2 for an unknown scenario."""
    FLAGS(arguments)
    chosen = [s for s in scenarios.SCENARIOS if FLAGS.scenario in ("all", s.name)]
    if not chosen:
        print(f"unknown scenario: {FLAGS.scenario}", file=sys.stderr)
        return 2
    with_baselines = [*chosen, *(s.baseline() for s in chosen if s.has_fault)]
    deployments = [d for d in scenarios.DEPLOYMENTS if d.name in FLAGS.deployments]
    jobs = [
        Job(deployment, scenario, policy, FLAGS.seed)
        for deployment, scenario, policy in itertools.product(
            deployments, with_baselines, FLAGS.policies
        )
    ]
    with concurrent.futures.ProcessPoolExecutor(FLAGS.jobs) as pool:
        rows = list(pool.map(execute, jobs))
    _write(pathlib.Path(FLAGS.output), deployments, rows)
    return 0


def _write(
    folder: pathlib.Path,
    deployments: typing.Sequence[scenarios.Deployment],
    rows: list[figures.Figures],
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    name = f"{FLAGS.scenario}-{FLAGS.seed}"
    parts = [_section(d, [row for row in rows if row["deployment"] == d.name]) for d in deployments]
    text = "\n\n".join(parts)
    (folder / f"{name}.json").write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))
    (folder / f"{name}.md").write_text(text + "\n", "utf-8")
    print(text)


def _section(deployment: scenarios.Deployment, rows: list[figures.Figures]) -> str:
    shown = [row for row in rows if not row["scenario"].startswith("twin-")]
    return f"## {deployment.name}\n\n{report.markdown(shown)}\n\n{report.ratios(rows)}"


if __name__ == "__main__":
    sys.exit(main(sys.argv))
