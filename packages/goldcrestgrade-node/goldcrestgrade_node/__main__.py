"""Command line of the node."""

from __future__ import annotations

import logging
import pathlib
import sys

from absl import flags

from goldcrestgrade import exceptions, logs, settings
from goldcrestgrade_node.commands import run

USAGE = """goldcrestgrade-node: the process beside each endpoint instance

usage: goldcrestgrade-node --settings=FILE.json [--check] [--log_level=info]

Runs until SIGTERM, drains its endpoint and exits with status 0. A second SIGTERM ends the drain.
Exit status 1: the node could not run. 2: the settings or the command line are wrong.
"""

FLAGS = flags.FlagValues()  # type: ignore[no-untyped-call]
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
HELP = flags.DEFINE_bool("help", False, "Print this help.", short_name="h", flag_values=FLAGS)


def main() -> None:
    """Parse the flags and run the node."""
    try:
        sys.exit(_main(sys.argv))
    except exceptions.UserError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_status)


def _main(arguments: list[str]) -> int:
    try:
        FLAGS(arguments)
    except flags.Error as error:
        print(f"{error}\n\n{USAGE}", file=sys.stderr)
        return 2
    if HELP.value or SETTINGS.value is None:
        print(f"{USAGE}\nflags:\n{FLAGS.main_module_help() or FLAGS.get_help()}")
        return 0 if HELP.value else 2
    config = settings.load(pathlib.Path(SETTINGS.value))
    if CHECK.value:
        print("settings are valid")
        return 0
    logs.configure(getattr(logging, LOG_LEVEL.value.upper()), config["node_id"])
    run.run(config)
    return 0


if __name__ == "__main__":
    main()
