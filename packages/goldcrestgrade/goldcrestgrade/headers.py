"""Names of HTTP headers, in lower case as ASGI gives them."""

from __future__ import annotations

SERVICE = "goldcrestgrade-service"
"""Service that a call is for; without it, the first label of `Host` names the service."""

IDEMPOTENCY_KEY = "idempotency-key"
"""Key that names one intention of a caller, the same in each of its tries."""

DEADLINE = "goldcrestgrade-deadline"
"""Wall instant, in seconds since the epoch, after which no answer is wanted."""

REQUEST_ID = "goldcrestgrade-request-id"
"""Id of a request, the same at each process that it passes."""

ATTEMPT_ID = "goldcrestgrade-attempt-id"
"""Id of one attempt; an endpoint's answer repeats it."""

NO_RETRY = "goldcrestgrade-no-retry"
"""Set on calls made on behalf of another call, whose entry node retries."""

CALLER_REGION = "goldcrestgrade-caller-region"
"""Region of the node that sent an attempt."""

OUTCOME = "goldcrestgrade-outcome"
"""`ran`, `not_run` or `unknown`."""

REASON = "goldcrestgrade-reason"
"""Reason of a refusal or of an unknown outcome."""

LOAD = "endpoint-load"
"""Requests in flight that an endpoint reports with an answer."""

NOT_RUN = "endpoint-not-run"
"""Set by an endpoint that shed a request before any effect."""

CONTROL_KEY = "goldcrestgrade-control-key"
"""Shared key of control and operator requests."""

SHEET_VERSION = "goldcrestgrade-sheet-version"
"""Version of a sheet that one node sends to another."""

ENDPOINT_STATE = "goldcrestgrade-endpoint-state"
"""State of the endpoint, in the answer to its announcement."""

INTERNAL = frozenset({ATTEMPT_ID, CALLER_REGION, OUTCOME, REASON, CONTROL_KEY, LOAD, NOT_RUN})
"""Headers that are removed from the requests of callers."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that describe one connection (RFC 9110, section 7.6.1)."""
