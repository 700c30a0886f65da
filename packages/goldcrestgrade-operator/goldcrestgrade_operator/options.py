"""Flags of the operators' command line."""

from __future__ import annotations

import getpass
import os
import pathlib
import re
import typing

from absl import flags

from goldcrestgrade import command_flags, exceptions

KEY_VARIABLE = "GOLDCRESTGRADE_KEY"
"""Environment variable that may hold the shared key."""

DEFAULT_WAIT_TIMEOUT_S = 60.0
"""Longest time that `--wait` waits by default."""

DEFAULT_HISTORY_LIMIT = 20
"""Number of versions that history shows by default."""

MAX_HISTORY_LIMIT = 1000
"""Largest number of versions that history shows."""

DEFAULT_PLATFORM_URL = "http://127.0.0.1:6000"

DEFAULT_NODE_URL = "http://127.0.0.1:7001"

MAX_OPERATOR_LENGTH = 64
"""Largest length of an operator's name, in characters."""

_URL = re.compile(r"https?://[^/?#\s]+")


class Options(typing.NamedTuple):
    """Values of the flags, checked and converted."""

    platform_url: str = DEFAULT_PLATFORM_URL
    node_url: str = DEFAULT_NODE_URL
    key_file: pathlib.Path | None = None
    operator: str = ""
    on_version: int | None = None
    wait: bool = False
    wait_timeout_s: float = DEFAULT_WAIT_TIMEOUT_S
    limit: int = DEFAULT_HISTORY_LIMIT
    as_json: bool = False
    logs: tuple[pathlib.Path, ...] = ()
    """Log files of nodes that explain searches for a request."""


def define() -> flags.FlagValues:
    """Return the flags with their default values."""
    values = command_flags.new_values()
    flags.DEFINE_string(
        "platform",
        DEFAULT_PLATFORM_URL,
        "URL of the platform's services, for diff, apply, history and explain.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "node",
        DEFAULT_NODE_URL,
        "URL of the control address of any node, for status, endpoints, drain and --wait.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "key_file",
        None,
        "File that holds the shared key of the nodes. Without this flag, the key is read from "
        f"the environment variable {KEY_VARIABLE}.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "operator",
        None,
        "Operator name that history shows; the default is your user name.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "on_version",
        None,
        "Apply only if this version, as shown by diff, is still in force.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_bool(
        "wait",
        False,
        "With apply, wait until every node has the version in force; with drain, until the "
        "endpoint may be stopped.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "wait_timeout_s",
        DEFAULT_WAIT_TIMEOUT_S,
        "Longest time that --wait waits, in seconds.",
        lower_bound=0.0,
        flag_values=values,
    )
    flags.DEFINE_integer(
        "limit",
        DEFAULT_HISTORY_LIMIT,
        "Number of versions that history shows, latest first.",
        lower_bound=1,
        upper_bound=MAX_HISTORY_LIMIT,
        flag_values=values,
    )
    flags.DEFINE_list(
        "logs",
        [],
        "With explain, log files of nodes, separated by commas, in which to look up the lines of "
        "a request.",
        flag_values=values,
    )
    flags.DEFINE_bool("json", False, "Print JSON instead of tables.", flag_values=values)
    return values


def from_flags(values: flags.FlagValues) -> Options:
    """Return the options of a parsed command line; raises `InvalidCommand`."""
    flag_values: dict[str, typing.Any] = values.flag_values_dict()
    return Options(
        platform_url=_parse_url("platform", flag_values["platform"]),
        node_url=_parse_url("node", flag_values["node"]),
        key_file=None if flag_values["key_file"] is None else pathlib.Path(flag_values["key_file"]),
        operator=_checked_operator(flag_values["operator"] or _user_name()),
        on_version=flag_values["on_version"],
        wait=flag_values["wait"],
        wait_timeout_s=flag_values["wait_timeout_s"],
        limit=flag_values["limit"],
        as_json=flag_values["json"],
        logs=tuple(map(pathlib.Path, flag_values["logs"])),
    )


def shared_key(options: Options) -> str:
    """Return the shared key from the key file or the environment; raises `UserError`."""
    if options.key_file is None:
        key = os.environ.get(KEY_VARIABLE, "")
        source = f"{KEY_VARIABLE} in the environment"
    else:
        key = _read_key_file(options.key_file)
        source = str(options.key_file)
    key = key.strip()
    if not key:
        raise exceptions.UserError(f"no shared key in {source}; see --key_file")
    if not (key.isascii() and key.isprintable()):
        raise exceptions.UserError(f"the shared key in {source} is not printable ASCII")
    return key


def _read_key_file(path: pathlib.Path) -> str:
    try:
        return path.read_text("utf-8")
    except OSError as error:
        raise exceptions.UserError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise exceptions.UserError(f"{path}: is not UTF-8 text") from error


def _checked_operator(name: str) -> str:
    if len(name) > MAX_OPERATOR_LENGTH or not name.isprintable():
        limit = f"at most {MAX_OPERATOR_LENGTH} printable characters"
        raise exceptions.InvalidCommand(f"--operator: {name!r} is not a name of {limit}")
    return name


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError) as error:
        raise exceptions.InvalidCommand(
            "your user name cannot be determined; set --operator"
        ) from error


def _parse_url(name: str, text: str) -> str:
    url = text.rstrip("/")
    if _URL.fullmatch(url) is None:
        raise exceptions.InvalidCommand(f"--{name}: {text!r} is not a URL such as http://HOST:PORT")
    return url
