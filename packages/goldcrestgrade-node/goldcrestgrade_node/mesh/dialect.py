"""Header names that clients and endpoints of a deployment use, given by its adapter."""

from __future__ import annotations

import typing


class Dialect(typing.NamedTuple):
    """Names of headers, in lower case."""

    attempt_id: str
    """Id of one try of a client, which the endpoint's answer repeats."""
    remaining_ms: str
    """Milliseconds that the sender still waits."""
    expected_endpoint: str
    """Id of the only endpoint that may run the request."""
    endpoint_id: str
    """Id of the endpoint that answers."""
    caller: str
    """Service of the instance on which a request began."""
    signature: str
    """Proof that an endpoint made an answer."""
    not_run: str
    """Set by an endpoint that did not run the request."""
    load: str
    """Requests running, requests waiting, slots and, where told, the pace of work in percent."""

    @property
    def set_by_node(self) -> frozenset[str]:
        """Headers that the node sets itself on the way to an endpoint."""
        return frozenset({self.remaining_ms, self.expected_endpoint, self.caller})
