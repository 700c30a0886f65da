"""What each reason and event means and what an operator does about it."""

from __future__ import annotations

import typing

from goldcrestgrade import reasons


class Explanation(typing.NamedTuple):
    """Meaning of a reason, and what to do about it."""

    meaning: str
    action: str


REFUSALS: dict[reasons.Refusal, Explanation] = {
    reasons.Refusal.NO_SHEET: Explanation(
        "The node has no sheet in force yet.",
        "Apply a sheet; if one is in force elsewhere, see why the node reaches neither the "
        "platform nor a peer.",
    ),
    reasons.Refusal.UNKNOWN_SERVICE: Explanation(
        "The sheet in force names no such service.",
        "Correct the caller's service header or host, or add the service to the sheet.",
    ),
    reasons.Refusal.INVALID_REQUEST: Explanation(
        "A header that goldcrestgrade reads is malformed.",
        "Correct the caller's deadline or idempotency key.",
    ),
    reasons.Refusal.BODY_TOO_LARGE: Explanation(
        "The body is larger than a node holds.", "Have the caller send smaller bodies."
    ),
    reasons.Refusal.KEY_MISSING: Explanation(
        "A run-once request has no idempotency key.",
        "Have the caller send the same key with each try of one intention.",
    ),
    reasons.Refusal.KEY_REUSED: Explanation(
        "The idempotency key was used before for a different request.",
        "Have the caller make a new key for each intention.",
    ),
    reasons.Refusal.KEY_EXPIRED: Explanation(
        "The idempotency key is past its deadline.",
        "Have the caller look up what became of the first try before it makes a new key.",
    ),
    reasons.Refusal.DEADLINE_PASSED: Explanation(
        "The deadline passed before the request started.",
        "Look at load and latency; check the callers' clocks.",
    ),
    reasons.Refusal.NO_ENDPOINT: Explanation(
        "No endpoint of the service takes work.",
        "Run `goldcrestgrade endpoints`; start endpoints or see why they left.",
    ),
    reasons.Refusal.SATURATED: Explanation(
        "Every endpoint that may take the request is full.",
        "Add endpoints if it lasts; callers come back after `Retry-After`.",
    ),
    reasons.Refusal.QUARANTINED: Explanation(
        "The request crashed endpoints before.",
        "Find the request in the logs by its id; mend the endpoint's fault.",
    ),
    reasons.Refusal.ENDPOINT_REFUSED: Explanation(
        "The endpoint shed the request before any effect.",
        "Look at the endpoint's load; correct its announced slots.",
    ),
    reasons.Refusal.ENDPOINT_UNREACHED: Explanation(
        "No connection to an endpoint came about.",
        "Check the endpoint's process, its connection limit and the network.",
    ),
    reasons.Refusal.RETRY_BUDGET_SPENT: Explanation(
        "The request may be retried, but the service's retry budget is spent.",
        "Look for the failure behind the retries in the retry counters.",
    ),
    reasons.Refusal.GUARD_UNREACHED: Explanation(
        "The node of the chosen endpoint was not reached.",
        "Check that node's process and the control addresses.",
    ),
    reasons.Refusal.GUARD_DRAINING: Explanation(
        "The chosen endpoint is leaving.", "None if a drain is planned; the caller may try again."
    ),
    reasons.Refusal.CLAIM_BARRED: Explanation(
        "The request was given up before it started and is barred from starting.",
        "None; the caller may try again.",
    ),
    reasons.Refusal.STORE_UNAVAILABLE: Explanation(
        "The table service does not take claims.",
        "Look at the platform; run-once requests are refused until it is back.",
    ),
    reasons.Refusal.STORE_SLOW: Explanation(
        "The table service did not answer a claim in time.",
        "Look at the platform's latency and write rate.",
    ),
    reasons.Refusal.NO_ROUTE: Explanation(
        "No route of the configuration in force matches the host and the path.",
        "Compare the `configuration` of the log line with the version that was written.",
    ),
    reasons.Refusal.EXPIRED_WAITING: Explanation(
        "The deadline passed before an endpoint had room.",
        "Look at the load in the lines of the request; add endpoints if it stays.",
    ),
    reasons.Refusal.CRASHES_ENDPOINTS: Explanation(
        "The request ended several endpoints that began to run it.",
        "Look for `endpoint ended while it ran requests`; mend the endpoint.",
    ),
    reasons.Refusal.NODE_STOPPING: Explanation(
        "The node beside the endpoint had been told to stop.",
        "None; the request may go to another instance at once.",
    ),
}
"""Explanation of each refusal; a refused request did not run and will not."""

UNCERTAINTIES: dict[reasons.Uncertainty, Explanation] = {
    reasons.Uncertainty.ANSWER_LOST: Explanation(
        "The connection to the endpoint ended before an answer.",
        "Look at the endpoint's log for the request id before the request is sent anew.",
    ),
    reasons.Uncertainty.ANSWER_CUT: Explanation(
        "The answer of the endpoint ended early.",
        "Look for endpoints that stop without a drain.",
    ),
    reasons.Uncertainty.ANSWER_CROSSED: Explanation(
        "The answer that came belongs to another request; it was dropped.",
        "Look at the endpoint, and at what stands between node and endpoint.",
    ),
    reasons.Uncertainty.ANSWER_INVALID: Explanation(
        "What came back is no answer of known length by HTTP; it was dropped.",
        "Look at what the endpoint sends for the request id.",
    ),
    reasons.Uncertainty.ANSWER_TOO_LARGE: Explanation(
        "The answer of a run-once request is larger than a node holds; it was dropped.",
        "Have the endpoint answer run-once requests with less.",
    ),
    reasons.Uncertainty.ENDPOINT_DIED: Explanation(
        "The endpoint ended while it ran the request.",
        "Look at the endpoint's log for the request id.",
    ),
    reasons.Uncertainty.TIMED_OUT: Explanation(
        "The deadline passed while the request ran.",
        "Look at the endpoint's latency; raise `timeout_s` in the sheet if it is too short.",
    ),
    reasons.Uncertainty.GUARD_LOST: Explanation(
        "The node that ran the request does not answer.",
        "Check that node; the caller may ask again with the same key.",
    ),
    reasons.Uncertainty.CLAIM_ORPHANED: Explanation(
        "The node that claimed the key is gone and stored no outcome.",
        "Look at the endpoint's records for the key; it is never run again by itself.",
    ),
    reasons.Uncertainty.CLAIM_RUNNING: Explanation(
        "An earlier try with the key is still running.",
        "None; the caller asks again with the same key.",
    ),
}
"""Explanation of each unknown outcome; the request may have run."""

RETRIES: dict[reasons.Retry, Explanation] = {
    reasons.Retry.UNREACHED: Explanation(
        "No connection to the endpoint came about.", "Check the endpoint and its connection limit."
    ),
    reasons.Retry.REFUSED: Explanation(
        "The endpoint or its node refused the request before any effect.",
        "Look at load and at drains.",
    ),
    reasons.Retry.FAILED: Explanation(
        "The endpoint answered an idempotent request with a 5xx status.",
        "Look at the endpoint's log.",
    ),
    reasons.Retry.BROKEN: Explanation(
        "An idempotent request got no whole answer.", "Look for endpoints that crash."
    ),
    reasons.Retry.TIMED_OUT: Explanation(
        "An attempt took longer than it was given.", "Look for stragglers and silent connections."
    ),
    reasons.Retry.HEDGED: Explanation(
        "An idempotent request was sent to a second endpoint, since the first was slow.",
        "None; a high share tells of stragglers.",
    ),
}
"""Explanation of each retry."""

EVENTS: dict[reasons.Event, Explanation] = {
    reasons.Event.SHEET_STALE_IGNORED: Explanation(
        "The platform or a peer offered an older sheet than the one in force.",
        "None if it is rare; else the platform's table may have been restored to an older state.",
    ),
    reasons.Event.SHEET_INVALID_IGNORED: Explanation(
        "An accepted sheet could not be read by this node.",
        "Update the node; compare its version with that of the command line.",
    ),
    reasons.Event.ATTEMPT_RELAYED: Explanation(
        "An attempt went through the node beside its endpoint.",
        "None; the endpoint accepts fewer connections than there are nodes.",
    ),
    reasons.Event.CALLER_DISCONNECTED: Explanation(
        "A caller went away before its answer.",
        "Compare the callers' time-outs with the latency.",
    ),
    reasons.Event.ENDPOINT_DIED: Explanation(
        "The endpoint ended while it ran a run-once request.",
        "Look at the endpoint's log for the request id.",
    ),
    reasons.Event.SILENT_CONNECTION: Explanation(
        "A reused connection gave no byte of an answer by the deadline of its attempt.",
        "Look for stragglers, and for what forgets idle connections between node and endpoint.",
    ),
    reasons.Event.STREAMED_ANSWER_CUT: Explanation(
        "A large answer ended early after its first part had gone to the caller.",
        "Look for endpoints that stop without a drain.",
    ),
    reasons.Event.SUSPECT_CONNECTION_CLOSED: Explanation(
        "An idle connection was closed, since another to the same endpoint was silent.",
        "As for `silent_connection`.",
    ),
    reasons.Event.EXCHANGE_LOCAL: Explanation(
        "A message of membership went to a peer of the own region.",
        "None; about one a second while something changes, fewer when idle.",
    ),
    reasons.Event.EXCHANGE_CROSSING: Explanation(
        "A message of membership went to another region.",
        "None; all nodes of a region together send a few a second.",
    ),
    reasons.Event.EXCHANGE_FAILED: Explanation(
        "A peer did not answer a message of membership.",
        "Look at the peers that the log names, and at the network between.",
    ),
    reasons.Event.RECONCILED: Explanation(
        "Two nodes held different records and settled them.",
        "None if it is rare; else look for nodes that come and go.",
    ),
    reasons.Event.NODE_SUSPECTED: Explanation(
        "A node was not reached from here, and no observer reached it either.",
        "Look at that node; its endpoint is dropped in three seconds unless it answers.",
    ),
    reasons.Event.SUSPICION_NOT_CONFIRMED: Explanation(
        "A node was not reached from here, but an observer reached it or could not tell.",
        "Look at the network between this node and that one.",
    ),
    reasons.Event.SUSPICION_REFUTED: Explanation(
        "Other nodes suspected this node, and it told them that it is alive.",
        "Look for pauses of this process and for a loaded processor.",
    ),
    reasons.Event.NODE_ID_REPLACED: Explanation(
        "Another process with the same node id started later.",
        "Give each node an id of its own, or stop the older process.",
    ),
    reasons.Event.PAUSED: Explanation(
        "This process stood still so long that it dropped what it knew of other nodes.",
        "Look for a stopped or overloaded instance.",
    ),
}
"""Explanation of each event that is neither refusal, unknown outcome nor retry."""


class Group(typing.NamedTuple):
    """The explanations of one enumeration."""

    title: str
    metric: str
    label: str
    explanations: typing.Mapping[typing.Any, Explanation]


GROUPS = (
    Group("Refusals: the request did not run", "goldcrestgrade_refusals_total", "reason", REFUSALS),
    Group(
        "Unknown outcomes: the request may have run",
        "goldcrestgrade_unknowns_total",
        "reason",
        UNCERTAINTIES,
    ),
    Group(
        "Attempts without a whole answer",
        "goldcrestgrade_broken_attempts_total",
        "reason",
        UNCERTAINTIES,
    ),
    Group("Retries", "goldcrestgrade_retries_total", "reason", RETRIES),
    Group("Events", "goldcrestgrade_events_total", "event", EVENTS),
)
"""Every enumeration of reasons, with the metric that counts it."""
