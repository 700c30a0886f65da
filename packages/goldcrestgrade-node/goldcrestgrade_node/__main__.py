"""Command line of the node."""

from __future__ import annotations

import logging
import pathlib
import sys

from absl import flags

from goldcrestgrade import command_flags, exceptions, logs, settings
from goldcrestgrade_node.commands import run

log = logging.getLogger(__name__)

FAILURE_STATUS = 1
"""Exit status of a node that could not run."""

USAGE = """goldcrestgrade-node: the load balancer process on the instance of each endpoint

usage: goldcrestgrade-node --settings=FILE.json [--check] [--log_level=info]

Runs until SIGTERM, drains its endpoint and exits with status 0. A second SIGTERM ends the drain.
Exit status 1: the node could not run. 2: the settings or the command line are wrong.
"""

FLAGS = command_flags.new_values()
SETTINGS = flags.DEFINE_string(
    "settings", None, "Path of the settings file, in JSON.", flag_values=FLAGS
)
CHECK = flags.DEFINE_bool("check", False, "Check the settings and exit.", flag_values=FLAGS)
LOG_LEVEL = flags.DEFINE_enum(
    "log_level",
    "info",
    ["debug", "info", "warning", "error"],
    "Lowest level logged.",
    flag_values=FLAGS,
)


def main() -> None:
    """Parse the flags and run the node."""
    try:
        sys.exit(_main(sys.argv))
    except exceptions.UserError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_status)


def _main(arguments: list[str]) -> int:
    positional = command_flags.parse(FLAGS, arguments, USAGE)
    if command_flags.help_requested(FLAGS):
        print(f"{USAGE}\nflags:\n{command_flags.describe(FLAGS)}")
        return 0
    if positional:
        raise exceptions.InvalidCommand(f"unexpected argument {positional[0]!r}\n\n{USAGE}")
    if SETTINGS.value is None:
        raise exceptions.InvalidCommand(f"--settings is missing\n\n{USAGE}")
    config = settings.load(pathlib.Path(SETTINGS.value))
    if CHECK.value:
        print("settings are valid")
        return 0
    logs.configure(getattr(logging, LOG_LEVEL.value.upper()), config["node_id"])
    return _run(config)


def _run(config: settings.NodeSettings) -> int:
    try:
        run.run(config)
    except SystemExit:
        # The server has logged why it cannot listen and exits with a status of its own.
        return FAILURE_STATUS
    except Exception:
        log.exception("node failed; exiting")
        return FAILURE_STATUS
    return 0


if __name__ == "__main__":
    main()
