"""Settings of a node: a JSON file, validated against a schema and further rules."""

from __future__ import annotations

import ipaddress
import pathlib
import typing
import urllib.parse

import pydantic
import typing_extensions

from goldcrestgrade import exceptions, findings, settings_rules

MIN_KEY_LENGTH = 16
"""Smallest length of a shared key, in characters."""

MIN_DRAIN_TIMEOUT_S = 2.0
"""Smallest timeout of a planned stop; within this time all nodes are notified of the stop."""

MAX_DRAIN_TIMEOUT_S = 3600.0
"""Largest timeout of a planned stop."""


def _ip_number(text: str) -> str:
    return str(ipaddress.IPv4Address(text))


def _platform_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    ipaddress.IPv4Address(parts.hostname or "")
    if parts.port == 0:
        raise ValueError(f"{text}: port 0 cannot be connected to")
    return text


IpNumber = typing.Annotated[str, pydantic.AfterValidator(_ip_number)]
Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
Name = typing.Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
SharedKey = typing.Annotated[
    str, pydantic.Field(min_length=MIN_KEY_LENGTH, max_length=256, pattern=r"^[!-~]*$")
]
HttpUrl = typing.Annotated[
    str, pydantic.Field(pattern=r"^https?://[^/?#@]+$"), pydantic.AfterValidator(_platform_url)
]


@pydantic.with_config(extra="forbid", use_attribute_docstrings=True)
class Address(typing_extensions.TypedDict):
    """A TCP address."""

    host: IpNumber
    """IPv4 address."""
    port: Port
    """TCP port."""


@pydantic.with_config(extra="forbid", use_attribute_docstrings=True)
class Platform(typing_extensions.TypedDict):
    """URLs of the platform's services."""

    tables: HttpUrl
    """URL of the table service; the host is an IPv4 address."""
    objects: HttpUrl
    """URL of the object store; the host is an IPv4 address."""


@pydantic.with_config(extra="forbid", use_attribute_docstrings=True)
class NodeSettings(typing_extensions.TypedDict):
    """The settings file of a node."""

    node_id: Name
    """Name of the node, unique among all nodes."""
    region: Name
    """Region of the instance."""
    failure_domain: Name
    """Failure domain of the instance."""
    calls: Address
    """Address for clients."""
    control: Address
    """Address for peers, operators and the node's own endpoint."""
    platform: Platform
    """URLs of the platform's services."""
    keys: typing.Annotated[list[SharedKey], pydantic.Field(min_length=1, max_length=2)]
    """Shared keys of control requests; the node sends the first and accepts each."""
    peers: typing.Annotated[list[Address], pydantic.Field(max_length=64)]
    """Control addresses of nodes through which to join while the table service is down."""
    drain_timeout_s: typing.Annotated[
        float, pydantic.Field(ge=MIN_DRAIN_TIMEOUT_S, le=MAX_DRAIN_TIMEOUT_S)
    ]
    """Longest time, in seconds, that a planned stop waits for in-flight requests."""


SCHEMA: pydantic.TypeAdapter[NodeSettings] = pydantic.TypeAdapter(NodeSettings)


def load(path: pathlib.Path) -> NodeSettings:
    """Return the settings in the file at `path`.

    Raises `UserError` if the file cannot be read, and `InvalidDocument` with all its faults.
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise exceptions.UserError(f"cannot read settings {path}: {error.strerror}") from error
    return validate(body, path.name)


def validate(body: bytes, name: str) -> NodeSettings:
    """Return the settings in `body`; raises `InvalidDocument` with all faults."""
    faults: list[findings.Finding] = []
    settings: NodeSettings | None = None
    try:
        settings = SCHEMA.validate_json(body, strict=True)
    except pydantic.ValidationError as error:
        faults += findings.from_validation(name, error)
    faults += settings_rules.check(body, name)
    if settings is None or faults:
        raise exceptions.InvalidDocument(faults)
    return settings
