"""Errors that a person caused and can mend; commands print them without a traceback."""

from __future__ import annotations

import collections.abc

from goldcrestgrade import findings


class UserError(Exception):
    """An error that its message explains to the person at the command line."""

    exit_status = 1


class InvalidDocument(UserError):
    """A settings file or sheet with faults, all of them collected."""

    exit_status = 2

    def __init__(self, faults: collections.abc.Sequence[findings.Finding]) -> None:
        self.faults = tuple(faults)
        super().__init__("\n".join(str(fault) for fault in self.faults))


class InvalidCommand(UserError):
    """A command line that names no command, or a flag that does not exist."""

    exit_status = 2
