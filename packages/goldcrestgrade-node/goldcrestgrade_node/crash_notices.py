"""Crashes held against requests, spread to all nodes as notices."""

from __future__ import annotations

import logging

import pydantic
import typing_extensions

from goldcrestgrade import instants
from goldcrestgrade_node.membership import exchange, messages
from goldcrestgrade_node.routing import quarantine

log = logging.getLogger(__name__)

KIND = "crash"
"""Kind of the notices that tell of crashes."""


class CrashDocument(typing_extensions.TypedDict):
    """Text of a notice, as JSON."""

    request: str
    endpoint: str


CRASH_ADAPTER: pydantic.TypeAdapter[CrashDocument] = pydantic.TypeAdapter(CrashDocument)


def connect(
    own_quarantine: quarantine.Quarantine, node_exchange: exchange.Exchange, clocks: instants.Clocks
) -> None:
    """Have crashes that `known` takes in told to other nodes, and theirs taken in."""

    def apply_notice(notice: messages.Notice) -> None:
        try:
            document = CRASH_ADAPTER.validate_json(notice["text"])
        except pydantic.ValidationError as error:
            log.warning("notice ignored", extra={"kind": KIND, "error": str(error)})
            return
        deadline = clocks.from_wall(notice["until"])
        crash = quarantine.Crash(document["request"], document["endpoint"], deadline)
        own_quarantine.apply_crash(crash, clocks.monotonic())

    def send_notice(crash: quarantine.Crash) -> None:
        node_exchange.merge_notices([to_notice(crash, clocks)])

    node_exchange.notices.subscribe(KIND, apply_notice)
    own_quarantine.notify_crash = send_notice


def to_notice(crash: quarantine.Crash, clocks: instants.Clocks) -> messages.Notice:
    """Return the notice that tells of `crash`; each crash has a key of its own."""
    document = CrashDocument(request=crash.request, endpoint=crash.endpoint)
    return messages.Notice(
        kind=KIND,
        key=f"{crash.request}/{crash.endpoint}",
        order=0,
        text=CRASH_ADAPTER.dump_json(document).decode(),
        until=clocks.to_wall(crash.deadline),
    )
