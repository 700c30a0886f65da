"""The commands of the operators' command line, and its usage text."""

from __future__ import annotations

import typing

from goldcrestgrade import exceptions
from goldcrestgrade_operator import options
from goldcrestgrade_operator.commands import (
    apply,
    check,
    diff,
    drain,
    endpoints,
    explain,
    history,
    status,
)

CommandFunction = typing.Callable[[typing.Sequence[str], options.Options], int]
"""Runs a command with its arguments and options, and returns the exit status."""


class Command(typing.NamedTuple):
    """How a command is called, described and run."""

    arguments: str
    """Arguments as the usage text shows them."""
    summary: str
    argument_counts: frozenset[int]
    """Numbers of arguments that are accepted."""
    run: CommandFunction


NO_ARGUMENTS = frozenset({0})
ONE_ARGUMENT = frozenset({1})

COMMANDS: dict[str, Command] = {
    "check": Command("SHEET.csv", "Check a sheet and change nothing.", ONE_ARGUMENT, check.run),
    "diff": Command("SHEET.csv", "Show what a sheet would change.", ONE_ARGUMENT, diff.run),
    "apply": Command("SHEET.csv", "Put a sheet in force.", ONE_ARGUMENT, apply.run),
    "history": Command("", "Show the accepted sheets, latest first.", NO_ARGUMENTS, history.run),
    "status": Command("", "Show the nodes and their sheet versions.", NO_ARGUMENTS, status.run),
    "endpoints": Command("", "Show the endpoints by service.", NO_ARGUMENTS, endpoints.run),
    "drain": Command("NODE_ID", "Drain the endpoint of a node.", ONE_ARGUMENT, drain.run),
    "explain": Command(
        "REASON | SERVICE METHOD PATH | REQUEST_ID --logs=FILES",
        "Explain a reason, how the sheet in force treats a request, or what happened to a request.",
        frozenset({1, 3}),
        explain.run,
    ),
}
"""Commands by name."""

EXIT_STATUSES = {
    0: "Done.",
    1: "Refused, or the platform or a node was unreachable; nothing changed.",
    2: "The sheet, a file or the command line is wrong; nothing changed.",
    3: "Unknown whether the sheet was accepted; run history.",
    4: "Done, but not confirmed everywhere within --wait_timeout_s.",
    130: "Interrupted.",
}
"""Meaning of each exit status."""


def usage() -> str:
    """Return the usage text: commands and exit statuses."""
    commands = [
        f"  {' '.join((name, command.arguments)).rstrip()}\n      {command.summary}"
        for name, command in COMMANDS.items()
    ]
    statuses = [f"  {status:<4} {meaning}" for status, meaning in EXIT_STATUSES.items()]
    return "\n".join(
        [
            "goldcrestgrade: the operators command line",
            "",
            "usage: goldcrestgrade COMMAND [ARGUMENTS] [FLAGS]",
            "",
            "commands:",
            *commands,
            "",
            "exit status:",
            *statuses,
        ]
    )


def find(positional: typing.Sequence[str]) -> tuple[Command, list[str]]:
    """Return the command that is named first, and its arguments; raises `InvalidCommand`."""
    name, *arguments = positional or [""]
    command = COMMANDS.get(name)
    if command is None:
        problem = f"no command {name!r}" if name else "no command given"
        raise exceptions.InvalidCommand(f"{problem}\n\n{usage()}")
    if len(arguments) not in command.argument_counts:
        raise exceptions.InvalidCommand(f"usage: goldcrestgrade {name} {command.arguments}")
    return command, arguments
