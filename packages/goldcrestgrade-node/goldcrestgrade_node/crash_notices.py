"""Notices by which nodes inform each other of requests that crashed an endpoint.

Load pattern: endpoints crash while they run a page that all clients request, and every node refuses
it from then on. Nodes claim trials in an order that differs by request, and tell each other of the
claim and of an answer.
"""

from __future__ import annotations

import logging
import typing

import pydantic
import typing_extensions
import xxhash

from goldcrestgrade import instants
from goldcrestgrade_node.membership import exchange, messages
from goldcrestgrade_node.routing import quarantine

log = logging.getLogger(__name__)

KIND = "crash"
"""Kind of the notices that report crashes."""

TRIAL_KIND = "crash_trial"
"""Kind of the notices that claim a trial of a quarantined request."""

CLEARED_KIND = "crash_cleared"
"""Kind of the notices that report an answer to a request after crashes."""


class CrashDocument(typing_extensions.TypedDict):
    """Text of a notice of a crash, as JSON."""

    request: str
    endpoint: str


class TrialDocument(typing_extensions.TypedDict):
    """Text of a notice of a trial, as JSON."""

    request: str
    number: int


class ClearedDocument(typing_extensions.TypedDict):
    """Text of a notice of an answer, as JSON."""

    request: str
    endpoints: list[str]


CRASH_ADAPTER: pydantic.TypeAdapter[CrashDocument] = pydantic.TypeAdapter(CrashDocument)
TRIAL_ADAPTER: pydantic.TypeAdapter[TrialDocument] = pydantic.TypeAdapter(TrialDocument)
CLEARED_ADAPTER: pydantic.TypeAdapter[ClearedDocument] = pydantic.TypeAdapter(ClearedDocument)


def connect(
    own_quarantine: quarantine.Quarantine, node_exchange: exchange.Exchange, clocks: instants.Clocks
) -> None:
    """Send what `own_quarantine` learns to other nodes, and record what they report."""

    def apply_crash(document: CrashDocument, deadline: instants.Instant) -> None:
        crash = quarantine.Crash(document["request"], document["endpoint"], deadline)
        own_quarantine.apply_crash(crash, clocks.monotonic())

    def apply_trial(document: TrialDocument, deadline: instants.Instant) -> None:
        trial = quarantine.Trial(document["request"], document["number"], deadline)
        own_quarantine.apply_trial(trial, clocks.monotonic())

    def apply_cleared(document: ClearedDocument, deadline: instants.Instant) -> None:
        cleared = quarantine.Cleared(document["request"], tuple(document["endpoints"]), deadline)
        own_quarantine.apply_cleared(cleared, clocks.monotonic())

    def subscribe(
        kind: str,
        adapter: pydantic.TypeAdapter[typing.Any],
        apply: typing.Callable[[typing.Any, instants.Instant], None],
    ) -> None:
        def apply_notice(notice: messages.Notice) -> None:
            try:
                document = adapter.validate_json(notice["text"])
            except pydantic.ValidationError as error:
                log.warning("malformed notice ignored", extra={"kind": kind, "error": str(error)})
                return
            apply(document, clocks.from_wall(notice["until"]))

        node_exchange.notices.subscribe(kind, apply_notice)

    subscribe(KIND, CRASH_ADAPTER, apply_crash)
    subscribe(TRIAL_KIND, TRIAL_ADAPTER, apply_trial)
    subscribe(CLEARED_KIND, CLEARED_ADAPTER, apply_cleared)

    def send(notice: messages.Notice) -> None:
        node_exchange.merge_notices([notice])

    def trial_rank(request: str) -> int:
        def order(node_id: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{request}/{node_id}".encode())

        own_order = order(node_exchange.own.record["node_id"])
        return sum(order(record["node_id"]) < own_order for record in node_exchange.known.alive())

    own_quarantine.notify_crash = lambda crash: send(to_notice(crash, clocks))
    own_quarantine.notify_trial = lambda trial: send(to_trial_notice(trial, clocks))
    own_quarantine.notify_cleared = lambda cleared: send(to_cleared_notice(cleared, clocks))
    own_quarantine.trial_rank = trial_rank


def to_notice(crash: quarantine.Crash, clocks: instants.Clocks) -> messages.Notice:
    """Return the notice that reports `crash`; its key is unique to the crash."""
    document = CrashDocument(request=crash.request, endpoint=crash.endpoint)
    return messages.Notice(
        kind=KIND,
        key=f"{crash.request}/{crash.endpoint}",
        order=0,
        text=CRASH_ADAPTER.dump_json(document).decode(),
        until=clocks.to_wall(crash.deadline),
    )


def to_trial_notice(trial: quarantine.Trial, clocks: instants.Clocks) -> messages.Notice:
    """Return the notice that claims `trial`; it replaces those of earlier trials.

    Their numbers begin anew after an answer, so the order is the time of the claim.
    """
    document = TrialDocument(request=trial.request, number=trial.number)
    return messages.Notice(
        kind=TRIAL_KIND,
        key=trial.request,
        order=int(1000 * clocks.wall()),
        text=TRIAL_ADAPTER.dump_json(document).decode(),
        until=clocks.to_wall(trial.deadline),
    )


def to_cleared_notice(cleared: quarantine.Cleared, clocks: instants.Clocks) -> messages.Notice:
    """Return the notice that reports an answer; it replaces earlier ones, whose names it has."""
    document = ClearedDocument(request=cleared.request, endpoints=list(cleared.endpoints))
    return messages.Notice(
        kind=CLEARED_KIND,
        key=cleared.request,
        order=int(1000 * clocks.wall()),
        text=CLEARED_ADAPTER.dump_json(document).decode(),
        until=clocks.to_wall(cleared.deadline),
    )
