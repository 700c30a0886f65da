"""Reload of the settings while the node runs, on a signal or when the file changes."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import typing

from goldcrestgrade import exceptions
from goldcrestgrade_node.mesh import settings

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0
"""Time between checks of the file, which may change without a signal."""


class SettingsReloader:
    """The task that reads the settings file again; owned by the event loop of the node."""

    def __init__(
        self,
        path: pathlib.Path,
        in_force: settings.Settings,
        apply: typing.Callable[[settings.Settings], None],
    ) -> None:
        self.path = path
        self.in_force = in_force
        self.apply = apply
        self.requested = asyncio.Event()
        self.body: bytes | None = None
        """Content of the file at the last check; none before, as it may change during the start."""

    async def run(self) -> None:
        """Check the file on request and at each poll interval, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self.requested.wait()
            except TimeoutError:
                pass
            self.requested.clear()
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Apply the file if it changed; an invalid one is logged and the settings in force stay."""
        body = _body(self.path)
        if body is None or body == self.body:
            return
        self.body = body
        try:
            changed = settings.validate(body, self.path.name)
        except exceptions.InvalidDocument as error:
            log.error(
                "settings not valid; those in force stay",
                extra={"faults": [str(fault) for fault in error.faults]},
            )
            return
        if changed == self.in_force:
            return
        before, after = self.in_force._asdict(), changed._asdict()
        log.info(
            "settings reloaded",
            extra={"changed": {k: v for k, v in after.items() if before[k] != v}},
        )
        self.in_force = changed
        self.apply(changed)


def _body(path: pathlib.Path) -> bytes | None:
    try:
        return path.read_bytes()
    except OSError as error:
        log.warning(
            "settings file not readable; settings in force stay", extra={"error": repr(error)}
        )
        return None
