"""A client's request within the node."""

from __future__ import annotations

import typing

import xxhash

from goldcrestgrade import instants, outcomes, sheet


class Request(typing.NamedTuple):
    """A request that was read completely and whose kind is known."""

    request_id: str
    service: str
    kind: sheet.Kind
    method: str
    target: str
    """Path and query, as the client sent them."""
    headers: outcomes.Headers
    body: bytes
    idempotency_key: str | None
    deadline: instants.Instant
    retries_allowed: bool
    """False for a request on behalf of another one, whose entry node retries."""


def digest(request: Request) -> str:
    """Return a hexadecimal digest of service, method, target and body."""
    hasher = xxhash.xxh3_128()
    for part in (request.service, request.method, request.target):
        hasher.update(part.encode())
        hasher.update(b"\0")
    hasher.update(request.body)
    return hasher.hexdigest()
