"""Explanations of reasons and events: what each means and what an operator should do."""

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
        "Apply a sheet; if one is in force elsewhere, find out why the node reaches neither "
        "the platform nor a peer.",
    ),
    reasons.Refusal.UNKNOWN_SERVICE: Explanation(
        "The sheet in force contains no such service.",
        "Correct the service header or host that the client sends, or add the service to the "
        "sheet.",
    ),
    reasons.Refusal.INVALID_REQUEST: Explanation(
        "A header that goldcrestgrade reads is malformed.",
        "Correct the deadline or idempotency key that the client sends.",
    ),
    reasons.Refusal.BODY_TOO_LARGE: Explanation(
        "The request body is larger than a node accepts.", "Have the client send smaller bodies."
    ),
    reasons.Refusal.KEY_MISSING: Explanation(
        "A run-once request has no idempotency key.",
        "Have the client send a key, and the same key whenever it resends the request.",
    ),
    reasons.Refusal.KEY_REUSED: Explanation(
        "The idempotency key was used before for a different request.",
        "Have the client create a new key for each operation.",
    ),
    reasons.Refusal.KEY_EXPIRED: Explanation(
        "The idempotency key is past its deadline.",
        "Have the client find out how the first request ended before it creates a new key.",
    ),
    reasons.Refusal.DEADLINE_PASSED: Explanation(
        "The deadline passed before the request started.",
        "Check load and latency, and the clocks of the clients.",
    ),
    reasons.Refusal.NO_ENDPOINT: Explanation(
        "No endpoint of the service accepts requests.",
        "Run `goldcrestgrade endpoints`; start endpoints or find out why they left.",
    ),
    reasons.Refusal.SATURATED: Explanation(
        "Every endpoint that may run the request is at capacity.",
        "Add endpoints if this persists; clients retry after `Retry-After`.",
    ),
    reasons.Refusal.RATE_LIMITED: Explanation(
        "The endpoint gets as many requests as the rate limit that it names in its answers.",
        "Find out why the endpoint limits its rate; add endpoints if this persists.",
    ),
    reasons.Refusal.QUARANTINED: Explanation(
        "The request has crashed endpoints before.",
        "Find the request in the logs by its id; fix the fault in the endpoint.",
    ),
    reasons.Refusal.ENDPOINT_REFUSED: Explanation(
        "The endpoint shed the request before it had any effect.",
        "Check the endpoint's load; correct the number of slots that it announces.",
    ),
    reasons.Refusal.ENDPOINT_UNREACHED: Explanation(
        "No connection to an endpoint could be opened.",
        "Check the endpoint's process, its connection limit and the network.",
    ),
    reasons.Refusal.RETRY_BUDGET_SPENT: Explanation(
        "The request may be retried, but the service's retry budget is spent.",
        "Look in the retry counters for the failure that causes the retries.",
    ),
    reasons.Refusal.GUARD_UNREACHED: Explanation(
        "The chosen endpoint's node was unreachable.",
        "Check that node's process and the control addresses.",
    ),
    reasons.Refusal.GUARD_DRAINING: Explanation(
        "The chosen endpoint is leaving.", "None if a drain is planned; the client may retry."
    ),
    reasons.Refusal.CLAIM_BARRED: Explanation(
        "The request was given up before it started and is barred from starting.",
        "None; the client may retry.",
    ),
    reasons.Refusal.STORE_UNAVAILABLE: Explanation(
        "The table service does not accept claims.",
        "Check the platform; run-once requests are refused until the table service is back.",
    ),
    reasons.Refusal.STORE_SLOW: Explanation(
        "The table service did not answer a claim in time.",
        "Check the platform's latency and write rate.",
    ),
    reasons.Refusal.NO_ROUTE: Explanation(
        "No route of the configuration in force matches the host and the path.",
        "Compare the `configuration` field of the log line with the version that was written.",
    ),
    reasons.Refusal.EXPIRED_WAITING: Explanation(
        "The deadline passed before an endpoint could start the request.",
        "Check the load in the log lines of the request; add endpoints if it stays high.",
    ),
    reasons.Refusal.CRASHES_ENDPOINTS: Explanation(
        "Several endpoints ended after they began to run the request.",
        "Look for the log message `endpoint ended while it ran requests`; fix the endpoint.",
    ),
    reasons.Refusal.NODE_STOPPING: Explanation(
        "The endpoint's node was stopping.",
        "None; the request may go to another instance at once.",
    ),
    reasons.Refusal.REGION_NOT_ALLOWED: Explanation(
        "No endpoint in a region where the request may run is known.",
        "Check the allowed regions of its route and workspace, and the endpoints there.",
    ),
    reasons.Refusal.EVACUATED: Explanation(
        "The failure domains that could run the request are evacuated.",
        "End an evacuation, or have the service run in another failure domain.",
    ),
    reasons.Refusal.DOMAIN_UNREACHABLE: Explanation(
        "The failure domains that could run the request do not respond to this node.",
        "Check the network between the failure domains that `goldcrestgrade_unreachable` lists.",
    ),
    reasons.Refusal.WARMING_UP: Explanation(
        "The endpoint is cold and gets as many requests as it takes while it warms up.",
        "None; it ends with the warm-up. Start endpoints in smaller groups if this persists.",
    ),
    reasons.Refusal.UNAUTHORIZED: Explanation(
        "The request carries no key that a workspace holds, and its route needs one.",
        "Check the key of the client; keys are withdrawn by a new configuration.",
    ),
    reasons.Refusal.CONFIGURATION_OUTDATED: Explanation(
        "The node's configuration is too old to tell whether a key is still valid.",
        "If it lasts, find out why the node reaches neither the store nor a peer.",
    ),
    reasons.Refusal.CONFIGURATION_NOT_VALID: Explanation(
        "The configuration has a fault in the route or workspace of the request.",
        "Correct the fault, which nodes log with its place as they read the configuration.",
    ),
    reasons.Refusal.QUOTA_EXCEEDED: Explanation(
        "The workspace has used its quota of requests over all nodes.",
        "None; clients retry after `Retry-After`. Raise the quota if the load is wanted.",
    ),
    reasons.Refusal.FAIR_SHARE_EXCEEDED: Explanation(
        "The endpoint is saturated, and the workspace holds more than its share of the queue.",
        "Add endpoints if this persists; other workspaces are served meanwhile.",
    ),
    reasons.Refusal.BODY_NOT_RECEIVED: Explanation(
        "The body of an admitted request did not come in time over the link of a node.",
        "Check the bandwidth of the entry node and of the endpoint's node.",
    ),
}
"""Explanation of each refusal; a refused request has not run and will not run."""

UNCERTAINTIES: dict[reasons.Uncertainty, Explanation] = {
    reasons.Uncertainty.ANSWER_LOST: Explanation(
        "The connection to the endpoint ended before an answer was received.",
        "Look up the request id in the endpoint's log before the request is sent again.",
    ),
    reasons.Uncertainty.ANSWER_CUT: Explanation(
        "The answer of the endpoint ended early.", "Look for endpoints that stop without draining."
    ),
    reasons.Uncertainty.ANSWER_CROSSED: Explanation(
        "The answer received belongs to another request; it was discarded.",
        "Check the endpoint, and whatever is between the node and the endpoint.",
    ),
    reasons.Uncertainty.ANSWER_INVALID: Explanation(
        "The data received is not a valid HTTP answer of known length; it was discarded.",
        "Check what the endpoint sends for the request id.",
    ),
    reasons.Uncertainty.ANSWER_TOO_LARGE: Explanation(
        "The answer to a run-once request is larger than a node accepts; it was discarded.",
        "Have the endpoint send smaller answers to run-once requests.",
    ),
    reasons.Uncertainty.ENDPOINT_DIED: Explanation(
        "The endpoint ended while it ran the request.",
        "Look up the request id in the endpoint's log.",
    ),
    reasons.Uncertainty.TIMED_OUT: Explanation(
        "The deadline passed while the request ran.",
        "Check the endpoint's latency; raise `timeout_s` in the sheet if it is too short.",
    ),
    reasons.Uncertainty.GUARD_LOST: Explanation(
        "The node that ran the request does not answer.",
        "Check that node; the client may send the request again with the same key.",
    ),
    reasons.Uncertainty.CLAIM_ORPHANED: Explanation(
        "The node that claimed the key is gone and stored no outcome.",
        "Look up the key in the endpoint's records; the request is never rerun automatically.",
    ),
    reasons.Uncertainty.CLAIM_RUNNING: Explanation(
        "An earlier request with the same key is still running.",
        "None; the client sends the request again with the same key.",
    ),
}
"""Explanation of each unknown outcome; the request may have run."""

RETRIES: dict[reasons.Retry, Explanation] = {
    reasons.Retry.UNREACHED: Explanation(
        "No connection to the endpoint could be opened.",
        "Check the endpoint and its connection limit.",
    ),
    reasons.Retry.REFUSED: Explanation(
        "The endpoint or its node refused the request before it had any effect.",
        "Check the load, and whether endpoints are draining.",
    ),
    reasons.Retry.FAILED: Explanation(
        "The endpoint answered an idempotent request with a 5xx status.",
        "Check the endpoint's log.",
    ),
    reasons.Retry.BROKEN: Explanation(
        "An idempotent request got no complete answer.", "Look for endpoints that crash."
    ),
    reasons.Retry.TIMED_OUT: Explanation(
        "An attempt took longer than its time limit.", "Look for stragglers and silent connections."
    ),
    reasons.Retry.HEDGED: Explanation(
        "An idempotent request was also sent to a second endpoint, because the first was slow.",
        "None; a high share indicates stragglers.",
    ),
}
"""Explanation of each retry."""

EVENTS: dict[reasons.Event, Explanation] = {
    reasons.Event.SHEET_STALE_IGNORED: Explanation(
        "The platform or a peer offered an older sheet than the one in force.",
        "None if it is rare; otherwise the platform's table may have been restored to an "
        "older state.",
    ),
    reasons.Event.SHEET_INVALID_IGNORED: Explanation(
        "An accepted sheet could not be read by this node.",
        "Update the node; compare its version with that of the command line.",
    ),
    reasons.Event.ATTEMPT_RELAYED: Explanation(
        "An attempt was sent through the endpoint's node.",
        "None; the endpoint accepts fewer connections than there are nodes.",
    ),
    reasons.Event.CALLER_DISCONNECTED: Explanation(
        "A client disconnected before it received its answer.",
        "Compare the timeouts of the clients with the latency.",
    ),
    reasons.Event.ENDPOINT_DIED: Explanation(
        "The endpoint ended while it ran a run-once request.",
        "Look up the request id in the endpoint's log.",
    ),
    reasons.Event.SILENT_CONNECTION: Explanation(
        "A reused connection returned no byte of an answer by the deadline of its attempt.",
        "Look for stragglers, and for anything between node and endpoint that drops idle "
        "connections.",
    ),
    reasons.Event.STREAMED_ANSWER_CUT: Explanation(
        "A large answer ended early after its first part had been sent to the client.",
        "Look for endpoints that stop without draining.",
    ),
    reasons.Event.SUSPECT_CONNECTION_CLOSED: Explanation(
        "An idle connection was closed because another one to the same endpoint was silent.",
        "As for `silent_connection`.",
    ),
    reasons.Event.EXCHANGE_LOCAL: Explanation(
        "A membership message was sent to a peer in the node's own region.",
        "None; about one a second while something changes, fewer when idle.",
    ),
    reasons.Event.EXCHANGE_CROSSING: Explanation(
        "A membership message was sent to another region.",
        "None; all nodes of a region together send a few a second.",
    ),
    reasons.Event.EXCHANGE_FAILED: Explanation(
        "A peer did not answer a membership message.",
        "Check the peers that the log names, and the network between them and this node.",
    ),
    reasons.Event.RECONCILED: Explanation(
        "Two nodes had different records and reconciled them.",
        "None if it is rare; otherwise look for nodes that keep leaving and rejoining.",
    ),
    reasons.Event.NODE_SUSPECTED: Explanation(
        "A node was unreachable from this node, and no observer reached it either.",
        "Check that node; its endpoint is dropped in three seconds unless it answers.",
    ),
    reasons.Event.SUSPICION_NOT_CONFIRMED: Explanation(
        "A node was unreachable from this node, but an observer reached it, or none answered.",
        "Check the network between the two nodes.",
    ),
    reasons.Event.SUSPICION_REFUTED: Explanation(
        "Other nodes suspected this node, and it reported to them that it is alive.",
        "Look for pauses of this process and for an overloaded processor.",
    ),
    reasons.Event.NODE_ID_REPLACED: Explanation(
        "Another process with the same node id started later.",
        "Give each node its own id, or stop the older process.",
    ),
    reasons.Event.PAUSED: Explanation(
        "This process was paused for so long that it discarded its entries of other nodes.",
        "Look for a stopped or overloaded instance.",
    ),
    reasons.Event.ENDPOINT_COLD: Explanation(
        "The endpoint on this instance became cold, after a start or while it ran.",
        "None after a start; else look in its log for the reason.",
    ),
    reasons.Event.WARM_UP_REJECTED: Explanation(
        "This node sent a request back since its endpoint is cold and gets its warm-up rate.",
        "None; the request may go to another instance at once.",
    ),
    reasons.Event.EVACUATION_STARTED: Explanation(
        "The operator evacuated a failure domain; its endpoints get no more requests.",
        "None; the gauge `goldcrestgrade_evacuated` lists the domains.",
    ),
    reasons.Event.EVACUATION_ENDED: Explanation(
        "The evacuation of a failure domain ended; its endpoints get requests again.",
        "None; the requests return over 6 s.",
    ),
    reasons.Event.DOMAIN_UNREACHABLE: Explanation(
        "Several instances of a failure domain were silent, and none of it responded.",
        "Check the network between this node and the failure domain that the log names.",
    ),
    reasons.Event.DOMAIN_REACHED: Explanation(
        "A failure domain that was unreachable responds again.",
        "None; compare with the times in the log of the other nodes.",
    ),
    reasons.Event.BODY_ASKED: Explanation(
        "A request with a large body asked another node for admission before it sent the body.",
        "None; it is usual for uploads.",
    ),
    reasons.Event.BODY_SAVED: Explanation(
        "Another node rejected such a request, and the body was not sent to it.",
        "Add endpoints if this is a large share of those that asked.",
    ),
    reasons.Event.BODY_NOT_RECEIVED: Explanation(
        "The body of an admitted request did not come in time, or its sender left.",
        "Check the links of the instances; the slot at the endpoint was given back.",
    ),
    reasons.Event.PIPELINED: Explanation(
        "A pipelined request ran beside an earlier one of its connection.",
        "None; it shows that clients send requests ahead of answers.",
    ),
    reasons.Event.FORWARDED: Explanation(
        "A request of another region that the endpoint here could not run went to another one.",
        "Add endpoints in the regions in which such requests may run if it is a large share.",
    ),
    reasons.Event.ANSWER_MEMORY_FULL: Explanation(
        "A large answer waited, since others hold the memory for answers.",
        "Look for an endpoint whose answers have no end, or clients that don't read theirs.",
    ),
    reasons.Event.BODY_MEMORY_FULL: Explanation(
        "A request was refused since this node holds as many bytes of bodies as it may.",
        "Spread clients over more nodes; look for clients that send slowly.",
    ),
    reasons.Event.HEAD_TOO_LARGE: Explanation(
        "A request was refused since its head or its trailers exceed `max_header_bytes`.",
        "Look for clients that exceed limits, or raise the limit in the configuration.",
    ),
    reasons.Event.REQUEST_TOO_SLOW: Explanation(
        "A request was refused since its head or body did not come in time.",
        "Look for clients that send byte by byte; see `header_timeout` in the configuration.",
    ),
    reasons.Event.REQUESTS_FULL: Explanation(
        "A request was refused since as many are under way at its address as may be.",
        "Spread clients over more nodes; look for clients that send many requests ahead.",
    ),
    reasons.Event.ANSWER_NOT_READ: Explanation(
        "A connection was closed since its client took too long to read an answer.",
        "Look for clients that don't read their answers.",
    ),
    reasons.Event.CONNECTION_MEMORY_FULL: Explanation(
        "A connection was closed since all connections together held too much memory.",
        "Look for clients that send heads without end, or don't read their answers.",
    ),
    reasons.Event.CONNECTIONS_FULL: Explanation(
        "A connection was closed so that others could be opened.",
        "Look for clients that open many connections; raise the descriptors of the process.",
    ),
    reasons.Event.QUOTA_WITHDRAWN: Explanation(
        "This node asked the accounting node of its region for tokens of quotas.",
        "None; expected while workspaces come near their quota.",
    ),
    reasons.Event.QUOTA_COLLECTED: Explanation(
        "This node accounts for workspaces and asked another node for tokens that it can spare.",
        "None; expected while workspaces come near their quota.",
    ),
    reasons.Event.QUOTA_BORROWED: Explanation(
        "This node accounts for workspaces and asked another region for tokens.",
        "None; expected while a workspace is used in one region more than in others.",
    ),
    reasons.Event.QUARANTINE_TRIAL: Explanation(
        "This node claimed a trial of a request that several endpoints ended under.",
        "Look for `trial of a quarantined request claimed`, and whether an answer followed.",
    ),
    reasons.Event.QUARANTINE_CLEARED: Explanation(
        "Requests that endpoints had ended under were answered and count as harmless.",
        "Look for another cause of the ends of these endpoints.",
    ),
    reasons.Event.QUOTA_UNANSWERED: Explanation(
        "A node did not answer a message about quotas; the tokens in its answer are lost.",
        "Check the nodes in the log lines; workspaces may get less than their quota meanwhile.",
    ),
}
"""Explanation of each event that is neither refusal, unknown outcome nor retry."""


class Group(typing.NamedTuple):
    """Explanations of the reasons that one metric counts."""

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
        "Attempts without a complete answer",
        "goldcrestgrade_broken_attempts_total",
        "reason",
        UNCERTAINTIES,
    ),
    Group("Retries", "goldcrestgrade_retries_total", "reason", RETRIES),
    Group("Events", "goldcrestgrade_events_total", "event", EVENTS),
)
"""Explanations of each enumeration, with the metric that counts its values."""
