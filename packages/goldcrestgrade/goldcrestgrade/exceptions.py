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
        """Every finding, warnings included."""
        super().__init__("\n".join(str(fault) for fault in self.faults))


class InvalidCommand(UserError):
    """A command line that names no command, or a flag that does not exist."""

    exit_status = 2


class UndecidedError(UserError):
    """A change of which it is not known whether it took effect."""

    exit_status = 3


class WaitTimeout(UserError):
    """A change that took effect, but was not seen everywhere in time."""

    exit_status = 4
