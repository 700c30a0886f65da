"""Flags of the two binaries, and the text of their help."""

from __future__ import annotations

import typing

from absl import flags

from goldcrestgrade import exceptions

_LIBRARY_MODULE = "absl.flags"

_HELP_FLAGS = ("help", "helpfull")


def new_values() -> flags.FlagValues:
    """Return a new set of flags, independent of the global one, with `--help` and `--helpfull`."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    for name in _HELP_FLAGS:
        flags.DEFINE_bool(name, False, "Print this help.", flag_values=values)
    return values


def parse(values: flags.FlagValues, arguments: typing.Sequence[str], usage: str) -> list[str]:
    """Parse `arguments` and return the positional ones.

    The first argument is the name of the program. Raises `InvalidCommand`, whose message ends with
    `usage`.
    """
    try:
        return list(values(arguments, known_only=False))[1:]
    except flags.Error as error:
        raise exceptions.InvalidCommand(f"{error}\n\n{usage}") from error


def help_requested(values: flags.FlagValues) -> bool:
    """Return whether `--help` or `--helpfull` was given."""
    return any(values[name].value for name in _HELP_FLAGS)


def describe(values: flags.FlagValues) -> str:
    """Return the help of every flag in order of name, without the flags of the library."""
    own = [
        flag
        for module, group in values.flags_by_module_dict().items()
        for flag in group
        if module != _LIBRARY_MODULE and flag.name not in _HELP_FLAGS
    ]
    return "\n".join(_describe_flag(flag) for flag in sorted(own, key=lambda flag: flag.name))


def _describe_flag(flag: flags.Flag[typing.Any]) -> str:
    name = f"--{flag.name}" if flag.boolean else f"--{flag.name}=VALUE"
    default = "" if flag.default in (None, False, "") else f" Default: {flag.default}."
    return f"  {name}\n      {flag.help}{default}"
