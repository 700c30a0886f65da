"""Notices that other parts of the node share with all nodes until their deadlines."""

from __future__ import annotations

import typing

import xxhash

from goldcrestgrade import instants
from goldcrestgrade_node.membership import messages

MAX_LIFETIME_S = 3600.0
"""Largest time until the deadline of a notice; notices with a later deadline are ignored."""

Handler = typing.Callable[[messages.Notice], None]
"""Applies a notice of one kind."""


class Notices:
    """The newest notice of each kind and key; owned by the event loop of the node."""

    def __init__(self, clocks: instants.Clocks) -> None:
        self.clocks = clocks
        self.by_key: dict[tuple[str, str], messages.Notice] = {}
        self.handlers: dict[str, Handler] = {}
        self.digest = 0

    def subscribe(self, kind: str, handler: Handler) -> None:
        """Call `handler` for each new notice of `kind`; it replaces an earlier handler."""
        self.handlers[kind] = handler

    def merge(self, received: typing.Iterable[messages.Notice]) -> list[messages.Notice]:
        """Store the notices that are newer than the known ones, and return them.

        Beyond `MAX_NOTICES`, those with the earliest deadlines are dropped.
        """
        accepted = [notice for notice in received if self._is_newer(notice)]
        self.by_key.update((key_of(notice), notice) for notice in accepted)
        self._replace_all(sorted(self.by_key.values(), key=_retention_key)[-messages.MAX_NOTICES :])
        kept = [notice for notice in accepted if self.by_key.get(key_of(notice)) is notice]
        for notice in kept:
            if notice["kind"] in self.handlers:
                self.handlers[notice["kind"]](notice)
        return kept

    def expire(self) -> None:
        """Remove the notices whose deadline has passed."""
        now = self.clocks.wall()
        if any(notice["until"] <= now for notice in self.by_key.values()):
            self._replace_all([notice for notice in self.by_key.values() if notice["until"] > now])

    def latest(self) -> list[messages.Notice]:
        """Return the newest notice of each kind and key."""
        return list(self.by_key.values())

    def _replace_all(self, kept: list[messages.Notice]) -> None:
        self.by_key = {key_of(notice): notice for notice in kept}
        names = sorted(f"{n['kind']}|{n['key']}|{n['order']}" for n in kept)
        self.digest = int(xxhash.xxh3_64_intdigest("|".join(names).encode()))

    def _is_newer(self, notice: messages.Notice) -> bool:
        now = self.clocks.wall()
        known = self.by_key.get(key_of(notice))
        return now < notice["until"] <= now + MAX_LIFETIME_S and (
            known is None or notice["order"] > known["order"]
        )


def key_of(notice: messages.Notice) -> tuple[str, str]:
    """Return the kind and key, under which a newer notice replaces an older one."""
    return notice["kind"], notice["key"]


def _retention_key(notice: messages.Notice) -> tuple[float, str, str]:
    return notice["until"], *key_of(notice)
