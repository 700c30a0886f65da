"""Settings of a node: a JSON file, checked whole against a schema."""

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
"""Smallest time for a planned stop, in which all nodes hear of it."""

MAX_DRAIN_TIMEOUT_S = 3600.0
"""Largest time for a planned stop."""


def _ip_number(text: str) -> str:
    return str(ipaddress.IPv4Address(text))


def _platform_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    ipaddress.IPv4Address(parts.hostname or "")
    if parts.port == 0:
        raise ValueError("port 0 cannot be connected to")
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
    """An address of TCP."""

    host: IpNumber
    """IPv4 number."""
    port: Port
    """Port number."""


@pydantic.with_config(extra="forbid", use_attribute_docstrings=True)
class Platform(typing_extensions.TypedDict):
    """Where the platform's services are."""

    tables: HttpUrl
    """URL of the table service, its host as an IPv4 number."""
    objects: HttpUrl
    """URL of the object store, its host as an IPv4 number."""


@pydantic.with_config(extra="forbid", use_attribute_docstrings=True)
class NodeSettings(typing_extensions.TypedDict):
    """Everything that a node learns from its settings file."""

    node_id: Name
    """Name of the node, different from that of any other."""
    region: Name
    """Region that the instance stands in."""
    failure_domain: Name
    """Failure domain that the instance stands in."""
    calls: Address
    """Where callers connect."""
    control: Address
    """Where peers, operators and the node's own endpoint connect."""
    platform: Platform
    """Where the platform's services are."""
    keys: typing.Annotated[list[SharedKey], pydantic.Field(min_length=1, max_length=2)]
    """Shared keys of control requests; the first is sent, each is accepted."""
    peers: typing.Annotated[list[Address], pydantic.Field(max_length=64)]
    """Control addresses to join through while the table service is down."""
    drain_timeout_s: typing.Annotated[
        float, pydantic.Field(ge=MIN_DRAIN_TIMEOUT_S, le=MAX_DRAIN_TIMEOUT_S)
    ]
    """Longest time, in seconds, that a planned stop waits for calls in flight."""


SCHEMA: pydantic.TypeAdapter[NodeSettings] = pydantic.TypeAdapter(NodeSettings)


def load(path: pathlib.Path) -> NodeSettings:
    """Return the settings in the file at `path`; raises `InvalidDocument` with every fault."""
    try:
        body = path.read_bytes()
    except OSError as error:
        raise exceptions.UserError(f"{path}: {error.strerror}") from error
    return validate(body, path.name)


def validate(body: bytes, name: str) -> NodeSettings:
    """Return the settings in `body`; raises `InvalidDocument` with every fault."""
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
