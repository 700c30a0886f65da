"""Names of the headers of a deployment's clients and endpoints, supplied by its adapter."""

from __future__ import annotations

import typing


class Dialect(typing.NamedTuple):
    """Header names, in lower case."""

    attempt_id: str
    """Id of one attempt of a client, which the answer of the endpoint repeats."""
    remaining_ms: str
    """Milliseconds for which the sender still waits for the answer."""
    expected_endpoint: str
    """Id of the only endpoint that may run the request."""
    endpoint_id: str
    """Id of the endpoint that answers."""
    caller: str
    """Service of the instance on which a request originated."""
    signature: str
    """Proof that an endpoint made an answer."""
    not_run: str
    """Set by an endpoint that did not run the request."""
    load: str
    """In-flight requests, queued requests, slots and, optionally, the pace in percent."""
    rate_limit: str
    """Requests a second that the endpoint takes from all nodes together; a decimal number."""
    leaving: str
    """`1` in all answers of an endpoint that will end soon."""
    workspace: str
    """Name of the workspace on whose behalf a request is made."""
    authorization: str
    """Key of the client, after the scheme."""
    authorization_scheme: str
    """Word before the key in that header."""
    warm_up_left: str
    """Milliseconds for which an endpoint stays cold, in answers to health checks."""

    @property
    def set_by_node(self) -> frozenset[str]:
        """Headers that the node sets itself on requests to an endpoint."""
        return frozenset({self.remaining_ms, self.expected_endpoint, self.caller})
