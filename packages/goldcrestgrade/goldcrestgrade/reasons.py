"""Reasons for refusals, unknown outcomes and retries, and events; each value has a counter."""

from __future__ import annotations

import enum


class Refusal(enum.StrEnum):
    """Why a request was not run."""

    NO_SHEET = "no_sheet"
    UNKNOWN_SERVICE = "unknown_service"
    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    KEY_MISSING = "key_missing"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    DEADLINE_PASSED = "deadline_passed"
    NO_ENDPOINT = "no_endpoint"
    SATURATED = "saturated"
    RATE_LIMITED = "rate_limited"
    QUARANTINED = "quarantined"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_UNREACHED = "endpoint_unreached"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    GUARD_UNREACHED = "guard_unreached"
    GUARD_DRAINING = "guard_draining"
    CLAIM_BARRED = "claim_barred"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_SLOW = "store_slow"
    NO_ROUTE = "no_route"
    EXPIRED_WAITING = "expired_waiting"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    NODE_STOPPING = "node_stopping"
    REGION_NOT_ALLOWED = "region_not_allowed"
    EVACUATED = "evacuated"
    WARMING_UP = "warming_up"
    UNAUTHORIZED = "unauthorized"
    CONFIGURATION_OUTDATED = "configuration_outdated"
    QUOTA_EXCEEDED = "quota_exceeded"
    FAIR_SHARE_EXCEEDED = "fair_share_exceeded"


class Uncertainty(enum.StrEnum):
    """Why it is unknown whether a request ran, or whether it ran to completion."""

    ANSWER_LOST = "answer_lost"
    ANSWER_CUT = "answer_cut"
    ANSWER_CROSSED = "answer_crossed"
    ANSWER_INVALID = "answer_invalid"
    ANSWER_TOO_LARGE = "answer_too_large"
    ENDPOINT_DIED = "endpoint_died"
    TIMED_OUT = "timed_out"
    GUARD_LOST = "guard_lost"
    CLAIM_ORPHANED = "claim_orphaned"
    CLAIM_RUNNING = "claim_running"


class Retry(enum.StrEnum):
    """Why a request was sent again."""

    UNREACHED = "unreached"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    HEDGED = "hedged"


class Event(enum.StrEnum):
    """Other events that a node counts."""

    SHEET_STALE_IGNORED = "sheet_stale_ignored"
    SHEET_INVALID_IGNORED = "sheet_invalid_ignored"
    ATTEMPT_RELAYED = "attempt_relayed"
    CALLER_DISCONNECTED = "caller_disconnected"
    ENDPOINT_DIED = "endpoint_died"
    SILENT_CONNECTION = "silent_connection"
    STREAMED_ANSWER_CUT = "streamed_answer_cut"
    SUSPECT_CONNECTION_CLOSED = "suspect_connection_closed"
    EXCHANGE_LOCAL = "exchange_local"
    EXCHANGE_CROSSING = "exchange_crossing"
    EXCHANGE_FAILED = "exchange_failed"
    RECONCILED = "reconciled"
    NODE_SUSPECTED = "node_suspected"
    SUSPICION_NOT_CONFIRMED = "suspicion_not_confirmed"
    SUSPICION_REFUTED = "suspicion_refuted"
    NODE_ID_REPLACED = "node_id_replaced"
    PAUSED = "paused"
    QUOTA_WITHDRAWN = "quota_withdrawn"
    QUOTA_COLLECTED = "quota_collected"
    QUOTA_BORROWED = "quota_borrowed"
    QUOTA_UNANSWERED = "quota_unanswered"
