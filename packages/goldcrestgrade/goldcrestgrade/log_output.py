"""Non-blocking log output to a file descriptor, limited in rate and in buffered bytes."""

from __future__ import annotations

import collections
import logging
import os
import time
import typing

LINES_PER_S = 60.0
"""Lines per second that a process writes in the long run.

Writing them uses less than a fiftieth of a small core.
"""

BURST_LINES = 600.0
"""Largest number of lines that may be written at once after a quiet period."""

WARNING_RESERVE_LINES = 200.0
"""Part of the burst that is reserved for warnings and errors."""

MAX_PENDING_BYTES = 256 * 1024
"""Buffered bytes from which lines are dropped because the reader does not keep up."""

DROP_REPORT_INTERVAL_S = 1.0
"""Shortest time between two lines that report dropped lines."""

RECENT_RECORDS = 1000
"""Number of latest records kept for a dump, including those that were not written."""

TRACEBACK_FORMATTER = logging.Formatter()
"""Formats the traceback of a record."""


class BoundedHandler(logging.Handler):
    """Writes lines without blocking; drops and counts those beyond the rate or buffer limit."""

    def __init__(self, descriptor: int, clock: typing.Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.clock = clock
        self.tokens = BURST_LINES
        self.refilled_at = clock()
        self.pending = bytearray()
        self.dropped = 0
        """Lines dropped since the last line that reported dropped lines."""
        self.next_report_at = clock()
        self.recent: collections.deque[logging.LogRecord] = collections.deque(maxlen=RECENT_RECORDS)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if record.exc_info:
            # A traceback keeps the variables of its frames, such as the body of an answer.
            record.exc_text = record.exc_text or TRACEBACK_FORMATTER.formatException(
                record.exc_info
            )
            record.exc_info = None
        self.recent.append(record)
        self._refill()
        reserve = 0.0 if record.levelno >= logging.WARNING else WARNING_RESERVE_LINES
        full = len(self.pending) >= MAX_PENDING_BYTES
        if self.tokens < 1 + reserve or full:
            self.dropped += 1
            self.write_pending()
            return
        self.tokens -= 1
        if self.dropped and self.clock() >= self.next_report_at:
            self.next_report_at = self.clock() + DROP_REPORT_INTERVAL_S
            self.tokens -= 1
            dropped, self.dropped = self.dropped, 0
            self._append(
                logging.makeLogRecord(
                    {
                        "name": __name__,
                        "levelno": logging.WARNING,
                        "levelname": "WARNING",
                        "msg": "log lines dropped",
                        "dropped": dropped,
                    }
                )
            )
        self._append(record)
        self.write_pending()

    def write_pending(self) -> None:
        """Write as much of the buffer as the descriptor accepts, and keep the rest.

        If the reader has closed the descriptor, the buffer is discarded.
        """
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the descriptor, and there is no other output to report it.
                self.pending.clear()
                return
            del self.pending[:written]

    def dump(self) -> str:
        """Return the latest records, one line each."""
        return "".join(f"{self.format(record)}\n" for record in self.recent)

    def _append(self, record: logging.LogRecord) -> None:
        try:
            self.pending += f"{self.format(record)}\n".encode()
        except (TypeError, ValueError):
            self.handleError(record)

    def _refill(self) -> None:
        now = self.clock()
        self.tokens = min(BURST_LINES, self.tokens + LINES_PER_S * (now - self.refilled_at))
        self.refilled_at = now
