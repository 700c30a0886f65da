"""Command line of the operators."""

from __future__ import annotations

import getpass
import pathlib
import sys

from absl import flags

from goldcrestgrade import exceptions
from goldcrestgrade_operator.commands import apply, check

USAGE = """goldcrestgrade: the operators command line

usage: goldcrestgrade check SHEET.csv
       goldcrestgrade apply SHEET.csv --platform=http://HOST:PORT

Exit status 0: done. 1: refused or not reached. 2: the sheet or the command line is wrong.
"""

FLAGS = flags.FlagValues()  # type: ignore[no-untyped-call]
PLATFORM = flags.DEFINE_string(
    "platform", "http://127.0.0.1:6000", "URL of the platform's services.", flag_values=FLAGS
)
OPERATOR = flags.DEFINE_string(
    "operator", getpass.getuser(), "Name that the history shows.", flag_values=FLAGS
)


def main() -> None:
    """Parse the command line and run its command."""
    try:
        sys.exit(_main(sys.argv))
    except exceptions.UserError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_status)


def _main(arguments: list[str]) -> int:
    try:
        _, *positional = FLAGS(arguments)
    except flags.Error as error:
        raise exceptions.InvalidCommand(f"{error}\n\n{USAGE}") from error
    match positional:
        case ["check", path]:
            return check.run(pathlib.Path(path))
        case ["apply", path]:
            return apply.run(pathlib.Path(path), PLATFORM.value, OPERATOR.value)
        case _:
            raise exceptions.InvalidCommand(USAGE)


if __name__ == "__main__":
    main()
