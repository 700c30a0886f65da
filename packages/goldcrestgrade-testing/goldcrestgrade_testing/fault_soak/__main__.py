"""Plays the soak for some minutes with fresh or given seeds."""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import random
import sys
import time

from goldcrestgrade_testing.fault_soak import soak

SECONDS = 20.0
"""Length of the troubles of one seed."""


def main() -> int:
    """Play seeds until the time is over and return 1 where a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0, help="first seed; 0 draws one")
    parser.add_argument("--seeds", type=int, default=0, help="number of seeds; 0 goes by minutes")
    parser.add_argument("--minutes", type=float, default=1.0, help="time after which it ends")
    parser.add_argument("--logs", type=pathlib.Path, help="folder for the logs of broken seeds")
    arguments = parser.parse_args()
    seed = arguments.seed or random.SystemRandom().randrange(1, 1 << 31)
    until = time.monotonic() + 60 * arguments.minutes
    broken = played = 0
    while played < arguments.seeds or (not arguments.seeds and time.monotonic() < until):
        result = asyncio.run(soak.run(seed, SECONDS))
        statuses = collections.Counter(request.status for request in result.seen.requests)
        kinds = sorted({fault.kind for fault in result.seen.injected_faults})
        print(f"seed {seed}: {dict(sorted(statuses.items()))}; {' '.join(kinds)}", flush=True)
        for text in result.violations:
            print(f"  BROKEN {text}", flush=True)
        if result.violations:
            broken += 1
            _keep(arguments.logs, seed, result.logs)
        played += 1
        seed += 1
    print(f"{played} seeds, {broken} with a broken promise")
    return 1 if broken else 0


def _keep(folder: pathlib.Path | None, seed: int, logs: dict[str, str]) -> None:
    if folder is None:
        return
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in logs.items():
        (folder / f"seed-{seed}-{name}.log").write_text(text, "utf-8")


if __name__ == "__main__":
    sys.exit(main())
