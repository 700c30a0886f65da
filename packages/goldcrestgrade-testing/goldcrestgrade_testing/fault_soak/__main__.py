"""Runs the fault soak for some minutes or a number of seeds."""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import random
import sys
import time

from goldcrestgrade_testing.fault_soak import soak

FAULT_PHASE_S = 20.0
"""Length of the phase in which faults are injected, for one seed."""


def main() -> int:
    """Run one soak per seed and return 1 if a guarantee was violated, otherwise 0.

    Stops after `--seeds` seeds or, without `--seeds`, once `--minutes` have passed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0, help="first seed; 0 draws a random one")
    parser.add_argument(
        "--seeds", type=int, default=0, help="number of seeds; 0: as many as --minutes allows"
    )
    parser.add_argument(
        "--minutes",
        type=float,
        default=1.0,
        help="time after which no new seed starts; ignored with --seeds",
    )
    parser.add_argument(
        "--size", type=int, default=1, help="instances of each service in each failure domain"
    )
    parser.add_argument(
        "--logs", type=pathlib.Path, help="folder for the node logs of failed seeds"
    )
    arguments = parser.parse_args()
    seed = arguments.seed or random.SystemRandom().randrange(1, 1 << 31)
    deadline = time.monotonic() + 60 * arguments.minutes
    failed = seeds_run = 0
    while seeds_run < arguments.seeds or (not arguments.seeds and time.monotonic() < deadline):
        result = asyncio.run(soak.run(seed, FAULT_PHASE_S, arguments.size))
        statuses = collections.Counter(request.status for request in result.observed.requests)
        kinds = sorted({fault.kind for fault in result.observed.injected_faults})
        print(f"seed {seed}: {dict(sorted(statuses.items()))}; {' '.join(kinds)}", flush=True)
        for violation in result.violations:
            print(f"  VIOLATED {violation}", flush=True)
        if result.violations:
            failed += 1
            _save_logs(arguments.logs, seed, result.logs)
        seeds_run += 1
        seed += 1
    print(f"{seeds_run} seeds, {failed} with a violated guarantee")
    return 1 if failed else 0


def _save_logs(folder: pathlib.Path | None, seed: int, logs: dict[str, str]) -> None:
    if folder is None:
        return
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in logs.items():
        (folder / f"seed-{seed}-{name}.log").write_text(text, "utf-8")


if __name__ == "__main__":
    sys.exit(main())
