"""Settings of a node: a JSON file, checked whole against a schema."""

from __future__ import annotations

import collections
import ipaddress
import pathlib
import typing

import pydantic
import typing_extensions

from goldcrestgrade import exceptions, findings

MIN_KEY_LENGTH = 16
"""Smallest length of a shared key, in characters."""


def _ip_number(text: str) -> str:
    ipaddress.ip_address(text)
    return text


IpNumber = typing.Annotated[str, pydantic.AfterValidator(_ip_number)]
Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
Name = typing.Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
SharedKey = typing.Annotated[str, pydantic.Field(min_length=MIN_KEY_LENGTH)]
HttpUrl = typing.Annotated[str, pydantic.Field(pattern=r"^https?://[^/?#]+$")]


@pydantic.with_config(extra="forbid")
class Address(typing_extensions.TypedDict):
    """An IP number and a port."""

    host: IpNumber
    port: Port


@pydantic.with_config(extra="forbid")
class Platform(typing_extensions.TypedDict):
    """Where the platform's services are."""

    tables: HttpUrl
    objects: HttpUrl


@pydantic.with_config(extra="forbid")
class NodeSettings(typing_extensions.TypedDict):
    """Everything that a node learns from its settings file."""

    node_id: Name
    region: Name
    failure_domain: Name
    calls: Address
    """Where callers connect."""
    control: Address
    """Where peers, operators and the node's own endpoint connect."""
    platform: Platform
    keys: typing.Annotated[list[SharedKey], pydantic.Field(min_length=1, max_length=2)]
    """Shared keys of control requests; the first is sent, each is accepted."""
    peers: list[Address]
    """Control addresses to join through while the table service is down."""
    drain_timeout_s: typing.Annotated[float, pydantic.Field(gt=0, le=3600)]
    """Longest time that a planned stop waits for calls in flight."""


_SETTINGS: pydantic.TypeAdapter[NodeSettings] = pydantic.TypeAdapter(NodeSettings)


def load(path: pathlib.Path) -> NodeSettings:
    """Return the settings in the file at `path`; raises `InvalidDocument` with every fault."""
    try:
        body = path.read_bytes()
    except OSError as error:
        raise exceptions.UserError(f"{path}: {error.strerror}") from error
    return validate(body, path.name)


def validate(body: bytes, name: str) -> NodeSettings:
    """Return the settings in `body`; raises `InvalidDocument` with every fault."""
    try:
        settings = _SETTINGS.validate_json(body, strict=True)
    except pydantic.ValidationError as error:
        raise exceptions.InvalidDocument(findings.from_validation(name, error)) from error
    faults = [*_address_clashes(settings, name), *_repeated_keys(settings, name)]
    if faults:
        raise exceptions.InvalidDocument(faults)
    return settings


def _address_clashes(settings: NodeSettings, name: str) -> list[findings.Finding]:
    places = [("control", settings["control"])] + [
        (f"peers.{index}", peer) for index, peer in enumerate(settings["peers"])
    ]
    return [
        findings.Finding(f"{name}:{place}", "is the same address as calls")
        for place, address in places
        if address == settings["calls"]
    ]


def _repeated_keys(settings: NodeSettings, name: str) -> list[findings.Finding]:
    counts = collections.Counter(settings["keys"])
    return [findings.Finding(f"{name}:keys", "names a key twice") for n in counts.values() if n > 1]
