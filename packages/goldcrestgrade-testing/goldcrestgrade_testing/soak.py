"""Runs generated schedules; fails with the smallest one whose history violates a guarantee."""

from __future__ import annotations

import argparse
import contextlib
import typing
from unittest import mock

import hypothesis
from hypothesis import strategies

from goldcrestgrade import findings
from goldcrestgrade_node.once import keys
from goldcrestgrade_testing import history, once_simulation, schedules

KEY_LIFETIME_S = 2.5
"""Lifetime of dated keys in a run; so short that some expire within it."""

EVICTION_MARGIN_S = 1.2
"""Time for which a claim row is kept after the deadline of its key in a run."""

EXAMPLES = 10_000
"""Number of schedules that the command runs by default."""


@contextlib.contextmanager
def short_lived_keys() -> typing.Iterator[None]:
    """Patch the key lifetimes so that dated keys expire within a run."""
    with (
        mock.patch.object(keys, "KEY_LIFETIME_S", KEY_LIFETIME_S),
        mock.patch.object(keys, "EVICTION_MARGIN_S", EVICTION_MARGIN_S),
    ):
        yield


def violations(schedule: schedules.Schedule) -> list[findings.Finding]:
    """Return the guarantees that a run of `schedule` violates."""
    with short_lived_keys():
        simulation = once_simulation.simulate(schedule)
    return history.check(simulation.log.events, schedules.max_late_start_s(schedule))


def explore(
    generated: strategies.SearchStrategy[schedules.Schedule], seed: int, examples: int
) -> None:
    """Run `examples` schedules generated from `seed`; a violation raises `AssertionError`.

    The same seed generates the same schedules only if the same modules are loaded.
    """

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=examples,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(generated)
    def violates_nothing(schedule: schedules.Schedule) -> None:
        violated = violations(schedule)
        assert not violated, "\n".join(str(finding) for finding in violated)

    violates_nothing()


def main() -> None:
    """Run schedules from the seed on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=EXAMPLES)
    arguments = parser.parse_args()
    explore(schedules.of_kinds(), arguments.seed, arguments.examples)
    print(f"seed {arguments.seed}: {arguments.examples} schedules, no guarantee violated")


if __name__ == "__main__":
    main()
