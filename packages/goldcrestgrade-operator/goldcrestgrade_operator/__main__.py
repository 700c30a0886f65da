"""Entry point of the operators' command line."""

from __future__ import annotations

import os
import sys
import typing

from goldcrestgrade import command_flags, exceptions
from goldcrestgrade_operator import command_table, options

INTERRUPTED_STATUS = 130
"""Exit status after Ctrl-C, the one that shells use."""


def main() -> None:
    """Parse the command line and run its command."""
    sys.exit(run(sys.argv))


def run(arguments: typing.Sequence[str]) -> int:
    """Run the command line `arguments` and return its exit status."""
    try:
        status = _run(arguments)
        sys.stdout.flush()
        return status
    except exceptions.UserError as error:
        print(error, file=sys.stderr)
        return error.exit_status
    except KeyboardInterrupt:
        return INTERRUPTED_STATUS
    except BrokenPipeError:
        # The reader closed the pipe; Python must not write to it again when it exits.
        sys.stdout = open(os.devnull, "w", encoding="utf-8")  # noqa: SIM115, PTH123
        return 0


def _run(arguments: typing.Sequence[str]) -> int:
    usage = command_table.usage()
    values = options.define()
    positional = command_flags.parse(values, arguments, usage)
    if command_flags.help_requested(values):
        print(f"{usage}\n\nflags:\n{command_flags.describe(values)}")
        return 0
    command, rest = command_table.find(positional)
    return command.run(rest, options.from_flags(values))


if __name__ == "__main__":
    main()
