"""Settings of a node of the mesh, a JSON file that is validated as a whole."""

from __future__ import annotations

import collections.abc
import ipaddress
import pathlib
import time
import typing

import orjson

from goldcrestgrade import durations, exceptions, findings
from goldcrestgrade_node import intake

WRITE_TIMEOUT_S = 1.0
"""Time for which an invalid file may be incomplete because it is still being written."""

READ_INTERVAL_S = 0.02
"""Time between two reads of such a file."""


class Settings(typing.NamedTuple):
    """The settings in a node's settings file; times in seconds."""

    node_id: str
    host: str
    region: str
    failure_domain: str
    service: str
    """Service of the node's endpoint."""
    endpoint: str
    """Address of that endpoint."""
    calls: str
    """Address at which clients on the instance connect."""
    relay: str
    """Address at which other nodes connect."""
    readiness: str
    heartbeats: str
    """Address to which the own endpoint sends its heartbeats."""
    metrics: str
    """Address of metrics and of the latest log records."""
    store: str
    """Address of the platform's store."""
    grace_s: float
    """Time between SIGTERM and SIGKILL."""
    resend_ratio: float
    resend_slack: float
    resend_window_s: float
    regions: frozenset[str]
    """Regions of the deployment; empty if they are not known."""
    link_mbps: float
    """Bandwidth of the instance's link in megabits a second; 0 if it is not known."""
    memory_mb: float
    """Memory of the process in megabytes; connections may hold a share of it."""
    max_fds: int
    """Descriptors of the process; a share of them may be connections of clients."""
    warm_up_overage: float
    """Factor by which the requests of a cold endpoint may exceed its warm-up rate in a second."""
    warm_up_slack: float
    """Further requests that a cold endpoint may get in a second."""
    quota_window_s: float
    """Time over which the requests of a workspace are compared with its quota."""
    quota_overage: float
    """Share by which a quota may be exceeded in a window."""
    quota_slack: float
    """Further requests of a workspace that a window may hold."""
    revocation_s: float
    """Age of its configuration from which a node can't tell whether a key was withdrawn."""
    first_start: bool
    """Whether the whole deployment starts for the first time."""
    refuse_when_outdated: bool
    """Whether requests with keys are refused beyond that age."""


class Field(typing.NamedTuple):
    """How one setting is read; `read` raises `ValueError`."""

    read: typing.Callable[[typing.Any], typing.Any]
    default: typing.Any = None
    """Value if the file sets none; a field without a default is required."""


def _text(value: typing.Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"must be a non-empty string, not {value!r}")
    return value


def _host(value: typing.Any) -> str:
    try:
        return str(ipaddress.IPv4Address(_text(value)))
    except ipaddress.AddressValueError:
        raise ValueError(f"must be an IPv4 address, not {value!r}") from None


def _address(value: typing.Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not (port.isascii() and port.isdecimal() and 0 < int(port) < 65536):
        raise ValueError(f"must end with a port from 1 to 65535, not {port!r}")
    return f"{_host(host)}:{port}"


def _number(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"must be a number of at least 0, not {value!r}")
    return float(value)


def _positive(value: typing.Any) -> float:
    if _number(value) == 0:
        raise ValueError(f"must be a number above 0, not {value!r}")
    return float(value)


def _descriptors(value: typing.Any) -> int:
    return int(_positive(value))


def _flag(value: typing.Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"must be true or false, not {value!r}")
    return value


def _names(value: typing.Any) -> frozenset[str]:
    if not isinstance(value, list | frozenset):
        raise ValueError(f"must be a list of names, not {value!r}")
    return frozenset(_text(name) for name in value)


FIELDS: typing.Mapping[str, Field] = {
    "node_id": Field(_text),
    "host": Field(_host),
    "region": Field(_text),
    "failure_domain": Field(_text),
    "service": Field(_text),
    "endpoint": Field(_address),
    "calls": Field(_address),
    "relay": Field(_address),
    "readiness": Field(_address),
    "heartbeats": Field(_address),
    "metrics": Field(_address),
    "store": Field(_address),
    "grace_s": Field(durations.parse_seconds, 6.0),
    "resend_ratio": Field(_number, 0.2),
    "resend_slack": Field(_number, 10.0),
    "resend_window_s": Field(durations.parse_seconds, 10.0),
    "regions": Field(_names, frozenset()),
    "link_mbps": Field(_number, 0.0),
    "memory_mb": Field(_positive, intake.DEFAULT_MEMORY_MB),
    "max_fds": Field(_descriptors, intake.DEFAULT_MAX_FDS),
    "warm_up_overage": Field(_number, 1.0),
    "warm_up_slack": Field(_number, 0.0),
    "quota_window_s": Field(durations.parse_seconds, 5.0),
    "quota_overage": Field(_number, 0.0),
    "quota_slack": Field(_number, 0.0),
    "revocation_s": Field(durations.parse_seconds, 5.0),
    "first_start": Field(_flag, False),
    "refuse_when_outdated": Field(_flag, False),
}
"""How each setting is read; the defaults suit a small deployment."""


def load(path: pathlib.Path) -> Settings:
    """Return the settings in the file at `path`; raises `InvalidDocument` with every fault.

    An unreadable file raises `UserError`.
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise exceptions.UserError(f"{path}: {error.strerror}") from error
    return validate(body, path.name)


def load_when_complete(path: pathlib.Path) -> Settings:
    """Return the settings in the file at `path`, which another process may be writing.

    An invalid file is read again for `WRITE_TIMEOUT_S`. Blocks, and raises the errors of `load`.
    """
    deadline = time.monotonic() + WRITE_TIMEOUT_S
    while True:
        try:
            return load(path)
        except exceptions.InvalidDocument:
            if time.monotonic() >= deadline:
                raise
        time.sleep(READ_INTERVAL_S)


def validate(body: bytes, name: str) -> Settings:
    """Return the settings in `body`; raises `InvalidDocument` with every fault.

    Settings that this version does not know are ignored.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        fault = findings.Finding(name, f"is not JSON: {error}")
        raise exceptions.InvalidDocument([fault]) from error
    if not isinstance(document, dict):
        raise exceptions.InvalidDocument([findings.Finding(name, "is not a JSON object")])
    values: dict[str, typing.Any] = {}
    faults = list(_read_fields(document, name, values))
    if faults:
        raise exceptions.InvalidDocument(faults)
    return Settings(**values)


def _read_fields(
    document: dict[str, typing.Any], name: str, values: dict[str, typing.Any]
) -> collections.abc.Iterator[findings.Finding]:
    for key, field in FIELDS.items():
        value = document.get(key)
        if value is None and field.default is not None:
            values[key] = field.default
            continue
        try:
            values[key] = field.read(value)
        except ValueError as error:
            yield findings.Finding(f"{name}:{key}", str(error))
