"""Closing of server connections in stages, so that the last answer reaches the client.

The kernel answers bytes for a closed socket with a reset, and then drops what it has not sent yet.
A server therefore ends its own side first, and reads on until the client closes (RFC 9112, section
9.6).
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import struct
import termios
import typing

from goldcrestgrade import instants

CHECK_INTERVAL_S = 0.05
"""Time between checks of what a client has acknowledged."""

LINGER_S = 1.0
"""Longest wait for a client to close after it has acknowledged all that was sent."""

STALL_S = 10.0
"""Time in which a client has to take or send `MIN_PROGRESS_BYTES`; it is given up otherwise."""

MIN_PROGRESS_BYTES = 16 * 1024
"""Least bytes that a client takes or sends in `STALL_S`, unless these are all."""


class Progress:
    """Whether a client goes on taking or sending bytes."""

    def __init__(self) -> None:
        self.due_at: instants.Instant | None = None
        """When more is due; none while nothing is expected."""
        self.done_bytes = 0
        """Bytes at the last time that there was enough progress."""

    def reset(self) -> None:
        """Expect nothing more for now."""
        self.due_at = None

    def is_late(self, done_bytes: int, now: instants.Instant) -> bool:
        """Return whether too little came since the last progress, given all that came so far."""
        if self.due_at is None or done_bytes - self.done_bytes >= MIN_PROGRESS_BYTES:
            self.due_at = now + STALL_S
            self.done_bytes = done_bytes
        return now >= self.due_at


def unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how many written bytes the other side's kernel has not acknowledged."""
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return buffered
    with contextlib.suppress(OSError):
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * struct.calcsize("i"))
        return buffered + int(struct.unpack("i", queued)[0])
    return buffered


class StagedTransport:
    """Transport of a server connection whose `close` does not cut off what was written."""

    def __init__(self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop) -> None:
        self.transport = transport
        self.loop = loop
        self.closing = False
        self.reading = True
        """Whether more is read from the client."""
        self.written_bytes = 0
        """Bytes written so far."""
        self.taken = Progress()
        """How the client takes what was written, while the connection is closing."""
        self.close_at: instants.Instant | None = None
        """When the connection is closed; none before the client has acknowledged everything."""
        self.linger_s = LINGER_S
        self.timer: asyncio.TimerHandle | None = None

    def write(self, data: bytes) -> None:
        """Write `data`, unless the connection is closing."""
        if not self.closing:
            self.written_bytes += len(data)
            self.transport.write(data)

    def close(self) -> None:
        """Close after all that was written; what the client still sends is to be discarded."""
        if self._begin_close():
            self.transport.resume_reading()
            self._check()

    def close_idle(self) -> None:
        """Close a connection without a request; what the client still sends is not read.

        The reset shows a client whose next request crosses the close that it was not taken.
        """
        if self._begin_close():
            self.linger_s = 0.0
            self.transport.pause_reading()
            self._check()

    def _begin_close(self) -> bool:
        """End the own side; return whether the close is still to be completed."""
        if self.is_closing():
            return False
        self.closing = True
        try:
            self.transport.write_eof()
        except OSError:
            # The client has reset the connection.
            self.transport.abort()
            return False
        return True

    def _check(self) -> None:
        now = self.loop.time()
        unacknowledged = unacknowledged_bytes(self.transport)
        if unacknowledged:
            late = self.taken.is_late(self.written_bytes - unacknowledged, now)
        else:
            self.close_at = now + self.linger_s if self.close_at is None else self.close_at
            late = now >= self.close_at
        if late:
            self.abort()
            return
        self.timer = self.loop.call_later(CHECK_INTERVAL_S, self._check)

    def abort(self) -> None:
        """Close at once."""
        self.stop()
        self.closing = True
        self.transport.abort()

    def stop(self) -> None:
        """Stop the checks, since the connection was lost."""
        if self.timer is not None:
            self.timer.cancel()

    def is_closing(self) -> bool:
        """Return whether the connection is closing or closed."""
        return self.closing or self.transport.is_closing()

    def set_reading(self, wanted: bool) -> None:
        """Read on or pause, unless the connection is closing."""
        if not self.closing and wanted != self.reading:
            self.reading = wanted
            if wanted:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def get_extra_info(self, name: str, default: typing.Any = None) -> typing.Any:
        """Return what the transport knows of the connection."""
        return self.transport.get_extra_info(name, default)
