"""Runs the demo and exits with status 1 if a promise was broken."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys

from goldcrestgrade_testing import krkonos, letters_desk
from goldcrestgrade_testing.demo import report, scenario

SHAPES = {shape.name: shape for shape in (letters_desk.SHAPE, krkonos.SHAPE)}

INTERRUPTED_STATUS = 130
"""Exit status after Ctrl-C or SIGTERM."""


def main() -> int:
    """Run the demo and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shape", choices=sorted(SHAPES), default=letters_desk.SHAPE.name)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    try:
        return report.show(asyncio.run(_run(arguments.shape, arguments.seed)))
    except (KeyboardInterrupt, asyncio.CancelledError):
        return INTERRUPTED_STATUS


async def _run(shape_name: str, seed: int) -> scenario.Result:
    running = asyncio.current_task()
    assert running is not None
    for signum in (signal.SIGINT, signal.SIGTERM):
        # A shell that starts the demo in the background has it ignore SIGINT.
        asyncio.get_running_loop().add_signal_handler(signum, running.cancel)
    return await scenario.run(SHAPES[shape_name], scenario.Schedule(), seed)


if __name__ == "__main__":
    sys.exit(main())
