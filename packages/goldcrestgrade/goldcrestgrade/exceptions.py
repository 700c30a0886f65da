"""Errors that a person can act on; commands print them without a traceback."""

from __future__ import annotations

import collections.abc

from goldcrestgrade import findings


class UserError(Exception):
    """An error whose message is written for the person at the command line."""

    exit_status = 1
    """Exit status of the command that raises it."""


class InvalidDocument(UserError):
    """A settings file or sheet is invalid; the message lists all faults."""

    exit_status = 2

    def __init__(self, faults: collections.abc.Sequence[findings.Finding]) -> None:
        self.faults = tuple(faults)
        """Every finding, including warnings."""
        super().__init__("\n".join(str(fault) for fault in self.faults))


class InvalidCommand(UserError):
    """A command line names no command, or an unknown flag."""

    exit_status = 2


class UndecidedError(UserError):
    """It is unknown whether a change took effect."""

    exit_status = 3


class WaitTimeout(UserError):
    """A change took effect, but was not confirmed everywhere before the timeout."""

    exit_status = 4
