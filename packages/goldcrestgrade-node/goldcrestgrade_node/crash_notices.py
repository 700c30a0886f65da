"""Notices by which nodes inform each other of requests that crashed an endpoint."""

from __future__ import annotations

import logging

import pydantic
import typing_extensions

from goldcrestgrade import instants
from goldcrestgrade_node.membership import exchange, messages
from goldcrestgrade_node.routing import quarantine

log = logging.getLogger(__name__)

KIND = "crash"
"""Kind of the notices that report crashes."""


class CrashDocument(typing_extensions.TypedDict):
    """Text of a notice, as JSON."""

    request: str
    endpoint: str


CRASH_ADAPTER: pydantic.TypeAdapter[CrashDocument] = pydantic.TypeAdapter(CrashDocument)


def connect(
    own_quarantine: quarantine.Quarantine, node_exchange: exchange.Exchange, clocks: instants.Clocks
) -> None:
    """Send crashes seen by `own_quarantine` to other nodes, and record those that they report."""

    def apply_notice(notice: messages.Notice) -> None:
        try:
            document = CRASH_ADAPTER.validate_json(notice["text"])
        except pydantic.ValidationError as error:
            log.warning("malformed notice ignored", extra={"kind": KIND, "error": str(error)})
            return
        deadline = clocks.from_wall(notice["until"])
        crash = quarantine.Crash(document["request"], document["endpoint"], deadline)
        own_quarantine.apply_crash(crash, clocks.monotonic())

    def send_notice(crash: quarantine.Crash) -> None:
        node_exchange.merge_notices([to_notice(crash, clocks)])

    node_exchange.notices.subscribe(KIND, apply_notice)
    own_quarantine.notify_crash = send_notice


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
