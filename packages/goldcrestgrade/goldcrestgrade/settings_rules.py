"""Rules that the parts of a settings file keep together.

They read the document as it was written, so that they also apply to the sound parts of a file
whose other parts break the schema.
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


class Place(typing.NamedTuple):
    """An address and where in the document it stands."""

    place: str
    host: ipaddress.IPv4Address
    port: int


Rule = typing.Callable[[_Object], typing.Iterator[findings.Finding]]
"""Returns the findings on a document, with places inside of it."""


def check(body: bytes, name: str) -> list[findings.Finding]:
    """Return the findings of all rules on the document in `body`."""
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
    found = itertools.chain(repeated, *(rule(document) for rule in RULES))
    return [finding._replace(place=f"{name}:{finding.place}") for finding in found]


def different_addresses(document: _Object) -> typing.Iterator[findings.Finding]:
    """Find addresses that this node cannot have at once, or that are not of another process."""
    calls = _address("calls", document.get("calls"))
    control = _address("control", document.get("control"))
    if calls and control and _clash(calls, control):
        yield findings.Finding("control", "is the same address as calls")
    for other in (*_peers(document), *_platform(document)):
        if calls and _clash(calls, other):
            yield findings.Finding(other.place, "is the same address as calls")
        if control and _clash(control, other) and other.place.startswith("platform"):
            yield findings.Finding(other.place, "is the same address as control")


def reachable_control(document: _Object) -> typing.Iterator[findings.Finding]:
    """Find a control address that peers cannot connect to, and peers that it cannot reach."""
    control = _address("control", document.get("control"))
    if control is None:
        return
    if control.host.is_unspecified:
        yield findings.Finding(
            "control.host", "stands for every address; name the one that peers connect to"
        )
        return
    for peer in _peers(document):
        if peer.host.is_loopback != control.host.is_loopback:
            yield findings.Finding(
                peer.place, "and control cannot reach each other: one of them is on loopback"
            )


def single_hosts(document: _Object) -> typing.Iterator[findings.Finding]:
    """Find hosts that no process can be connected to at."""
    named = [_address(name, document.get(name)) for name in ("calls", "control")] + [
        *_peers(document),
        *_platform(document),
    ]
    for place in named:
        if place is not None and (place.host.is_multicast or place.host == _BROADCAST):
            yield findings.Finding(f"{place.place}.host", "is not the address of one instance")
    for place in (*_peers(document), *_platform(document)):
        if place.host.is_unspecified:
            yield findings.Finding(f"{place.place}.host", "stands for every address")


def distinct_entries(document: _Object) -> typing.Iterator[findings.Finding]:
    """Find keys and peers that are listed twice."""
    keys = document.get("keys")
    if isinstance(keys, list) and len(keys) != len({json.dumps(key) for key in keys}):
        yield findings.Finding("keys", "names a key twice")
    peers = _peers(document)
    for index, peer in enumerate(peers):
        if any(earlier[1:] == peer[1:] for earlier in peers[:index]):
            yield findings.Finding(peer.place, "is listed twice")


def _peers(document: _Object) -> list[Place]:
    peers = document.get("peers")
    found = (
        _address(f"peers.{index}", peer)
        for index, peer in enumerate(peers if isinstance(peers, list) else ())
    )
    return [peer for peer in found if peer is not None]


def _platform(document: _Object) -> list[Place]:
    platform = document.get("platform")
    urls = platform if isinstance(platform, dict) else {}
    found = (_url_address(f"platform.{name}", urls.get(name)) for name in ("tables", "objects"))
    return [place for place in found if place is not None]


def _address(place: str, value: typing.Any) -> Place | None:
    match value:
        case {"host": str(host), "port": int(port)}:
            return _place(place, host, port)
        case _:
            return None


def _url_address(place: str, value: typing.Any) -> Place | None:
    if not isinstance(value, str):
        return None
    try:
        parts = urllib.parse.urlsplit(value)
        port = parts.port or _DEFAULT_PORTS.get(parts.scheme, 0)
    except ValueError:
        return None
    return _place(place, parts.hostname or "", port)


def _place(place: str, host: str, port: int) -> Place | None:
    try:
        return Place(place, ipaddress.IPv4Address(host), port)
    except ValueError:
        return None


def _clash(one: Place, other: Place) -> bool:
    same_host = one.host == other.host or one.host.is_unspecified or other.host.is_unspecified
    return same_host and one.port == other.port


_BROADCAST = ipaddress.IPv4Address("255.255.255.255")

_DEFAULT_PORTS = {"http": 80, "https": 443}

RULES: tuple[Rule, ...] = (different_addresses, reachable_control, single_hosts, distinct_entries)
"""All rules, in the order of their report."""
