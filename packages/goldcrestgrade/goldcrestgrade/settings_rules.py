"""Rules on settings that the schema cannot express, mostly between several settings.

They read the unvalidated document, so that they also apply to the valid parts of a file that
violates the schema elsewhere.
"""

from __future__ import annotations

import collections
import ipaddress
import itertools
import json
import typing
import urllib.parse

from goldcrestgrade import findings

_Object = dict[str, typing.Any]


class LocatedAddress(typing.NamedTuple):
    """An address and its location in the document."""

    place: str
    host: ipaddress.IPv4Address
    port: int


Rule = typing.Callable[[_Object], typing.Iterator[findings.Finding]]
"""Returns the findings on a document, with locations relative to it."""


def check(body: bytes, name: str) -> list[findings.Finding]:
    """Return findings on repeated keys and those of all rules; empty if `body` is not an object."""
    repeated: list[findings.Finding] = []

    def collect(pairs: list[tuple[str, typing.Any]]) -> _Object:
        counts = collections.Counter(key for key, _ in pairs)
        repeated.extend(
            findings.Finding(key, "is given twice") for key, count in counts.items() if count > 1
        )
        return dict(pairs)

    try:
        document = json.loads(body, object_pairs_hook=collect)
    except (ValueError, RecursionError):
        return []
    if not isinstance(document, dict):
        return []
    all_findings = itertools.chain(repeated, *(rule(document) for rule in RULES))
    return [finding._replace(place=f"{name}:{finding.place}") for finding in all_findings]


def different_addresses(document: _Object) -> typing.Iterator[findings.Finding]:
    """Find overlaps between the addresses of this node, and with those of other processes.

    Addresses of peers are compared with `calls` only.
    """
    calls = _address("calls", document.get("calls"))
    control = _address("control", document.get("control"))
    if calls and control and _overlap(calls, control):
        yield findings.Finding("control", "is the same address as calls")
    for other in (*_peers(document), *_platform(document)):
        if calls and _overlap(calls, other):
            yield findings.Finding(other.place, "is the same address as calls")
        if control and _overlap(control, other) and other.place.startswith("platform"):
            yield findings.Finding(other.place, "is the same address as control")


def reachable_control(document: _Object) -> typing.Iterator[findings.Finding]:
    """Find a control address that peers cannot connect to, and peers unreachable from it."""
    control = _address("control", document.get("control"))
    if control is None:
        return
    if control.host.is_unspecified:
        yield findings.Finding(
            "control.host", "matches every address; set the one that peers connect to"
        )
        return
    for peer in _peers(document):
        if peer.host.is_loopback != control.host.is_loopback:
            yield findings.Finding(
                peer.place, "and control cannot reach each other: only one of them is on loopback"
            )


def single_instance_hosts(document: _Object) -> typing.Iterator[findings.Finding]:
    """Find hosts that are not the address of a single instance."""
    addresses = [_address(name, document.get(name)) for name in ("calls", "control")] + [
        *_peers(document),
        *_platform(document),
    ]
    for address in addresses:
        if address is not None and (address.host.is_multicast or address.host == _BROADCAST):
            yield findings.Finding(f"{address.place}.host", "is not the address of one instance")
    for address in (*_peers(document), *_platform(document)):
        if address.host.is_unspecified:
            yield findings.Finding(
                f"{address.place}.host", "matches every address; set that of one instance"
            )


def distinct_entries(document: _Object) -> typing.Iterator[findings.Finding]:
    """Find keys and peers that are listed twice."""
    keys = document.get("keys")
    if isinstance(keys, list) and len(keys) != len({json.dumps(key) for key in keys}):
        yield findings.Finding("keys", "contains a key twice")
    peers = _peers(document)
    for index, peer in enumerate(peers):
        if any(earlier[1:] == peer[1:] for earlier in peers[:index]):
            yield findings.Finding(peer.place, "is listed twice")


def _peers(document: _Object) -> list[LocatedAddress]:
    peers = document.get("peers")
    addresses = (
        _address(f"peers.{index}", peer)
        for index, peer in enumerate(peers if isinstance(peers, list) else ())
    )
    return [peer for peer in addresses if peer is not None]


def _platform(document: _Object) -> list[LocatedAddress]:
    platform = document.get("platform")
    urls = platform if isinstance(platform, dict) else {}
    addresses = (_url_address(f"platform.{name}", urls.get(name)) for name in ("tables", "objects"))
    return [address for address in addresses if address is not None]


def _address(place: str, value: typing.Any) -> LocatedAddress | None:
    match value:
        case {"host": str(host), "port": int(port)}:
            return _located_address(place, host, port)
        case _:
            return None


def _url_address(place: str, value: typing.Any) -> LocatedAddress | None:
    if not isinstance(value, str):
        return None
    try:
        parts = urllib.parse.urlsplit(value)
        port = parts.port or _DEFAULT_PORTS.get(parts.scheme, 0)
    except ValueError:
        return None
    return _located_address(place, parts.hostname or "", port)


def _located_address(place: str, host: str, port: int) -> LocatedAddress | None:
    try:
        return LocatedAddress(place, ipaddress.IPv4Address(host), port)
    except ValueError:
        return None


def _overlap(one: LocatedAddress, other: LocatedAddress) -> bool:
    same_host = one.host == other.host or one.host.is_unspecified or other.host.is_unspecified
    return same_host and one.port == other.port


_BROADCAST = ipaddress.IPv4Address("255.255.255.255")

_DEFAULT_PORTS = {"http": 80, "https": 443}

RULES: tuple[Rule, ...] = (
    different_addresses,
    reachable_control,
    single_instance_hosts,
    distinct_entries,
)
"""All rules, in the order in which their findings are reported."""
