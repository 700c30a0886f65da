"""Transfer of large bodies between nodes: when to ask first, how long to wait, how much to hold.

Load pattern: a burst of uploads of 60 KB on average and up to 360 KB over links of 5 to 100 Mbit/s.
Endpoints are full, so many nodes reject the request. A body that is sent before the rejection costs
up to 0.6 s each time, and the link is not free for others meanwhile. The sender therefore sends the
head first, and the body once the endpoint's node has admitted the request.
"""

from __future__ import annotations

import asyncio
import typing

import aiohttp.abc
import aiohttp.payload

from goldcrestgrade import headers, instants, reasons
from goldcrestgrade_node import asgi

EXPECTATION = "100-continue"
"""Value of `Expect` with which a node asks for admission before it sends the body."""

ASK_MIN_BYTES = 16 * 1024
"""Smallest body that is sent after admission only.

It takes 26 ms over the slowest link, about a round trip between regions, which asking costs.
"""

THIN_LINK_MBPS = 30.0
"""Bandwidth below which a node publishes its link in megabits a second.

Over faster links the largest body takes less than 0.1 s.
"""

SLOWEST_LINK_MBPS = 5.0
"""Bandwidth in megabits a second that a receiver assumes of a sender, whose link it can't know."""

MIN_BODY_WAIT_S = 0.3
"""Part of the wait for a body that does not depend on its length.

Covers several round trips between regions and the resending of a lost segment.
"""

SHARED_LINK_FACTOR = 3.0
"""Factor on the transfer time of a body, since other transfers use the link at the same time."""

ASK_SHARE = 0.5
"""Share of the time to the deadline for which a sender waits for admission beyond the target."""

MAX_HELD_BYTES = 16 << 20
"""Bytes of bodies that one process holds at once.

Up to three copies exist while a body is read or written: 48 MB of an instance with 200 MB.
"""

MEMORY_RETRY_S = 0.3
"""Delay after which a request that found no memory for its body may be retried.

An upload takes about as long.
"""

PART_BYTES = 16 * 1024
"""Size of the parts in which a body is written, and of the write buffers meanwhile."""

FetchBody = typing.Callable[[], typing.Awaitable["bytes | reasons.Refusal"]]
"""Returns the body of an admitted request, or why it was not received."""


def transfer_s(body_bytes: int, *links_mbps: float) -> float:
    """Return the seconds that a body takes over the slowest of the links; 0 means not known."""
    known = [link for link in links_mbps if link > 0]
    return body_bytes * 8 / (min(known) * 1e6) if known else 0.0


def is_link_full(
    incoming_bytes: int,
    body_bytes: int,
    link_mbps: float,
    target_at: instants.Instant,
    now: instants.Instant,
) -> bool:
    """Return whether a body would reach the target only after `incoming_bytes` on the own link.

    Load pattern: many entry nodes send uploads to one node with a thin link. Each further body
    slows all others down, and their slots are held meanwhile.
    """
    expected_s = transfer_s(incoming_bytes + body_bytes, link_mbps)
    return expected_s > 0 and now + expected_s > target_at


def body_deadline(
    body_bytes: int, link_mbps: float, deadline: instants.Instant, now: instants.Instant
) -> instants.Instant:
    """Return until when an admitted request holds its slot for a body over the own link."""
    expected_s = transfer_s(body_bytes, link_mbps, SLOWEST_LINK_MBPS)
    return min(deadline, now + MIN_BODY_WAIT_S + SHARED_LINK_FACTOR * expected_s)


def admission_deadline(
    target_at: instants.Instant, deadline: instants.Instant, now: instants.Instant
) -> instants.Instant:
    """Return until when a sender waits for admission.

    A node that says nothing for so long is frozen or unreachable. The request has not run there,
    and half of the time is left for another node.
    """
    return min(deadline, max(target_at, now + ASK_SHARE * (deadline - now)))


def length_of(fields: typing.Mapping[bytes, str]) -> int | None:
    """Return the `content-length` of a request, or none if it states none."""
    return headers.parse_count(fields.get(b"content-length"))


class BodyMemory:
    """Bytes of request bodies that one process holds; owned by its event loop."""

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.on_full: typing.Callable[[], None] = lambda: None
        """Called when there is not enough memory for a body."""

    def try_reserve(self, body_bytes: int) -> bool:
        """Reserve memory for a body; return whether there is enough."""
        if self.held_bytes + body_bytes > self.limit_bytes:
            self.on_full()
            return False
        self.held_bytes += body_bytes
        return True

    def release(self, body_bytes: int) -> None:
        """Release reserved memory."""
        self.held_bytes -= body_bytes


class Reservation:
    """Memory reserved for one body, which grows if the length was not stated."""

    def __init__(self, memory: BodyMemory) -> None:
        self.memory = memory
        self.reserved_bytes = 0

    def grow_to(self, body_bytes: int) -> bool:
        """Reserve memory for `body_bytes` in all; return whether there is enough."""
        missing = body_bytes - self.reserved_bytes
        if missing <= 0:
            return True
        if not self.memory.try_reserve(missing):
            return False
        self.reserved_bytes = body_bytes
        return True

    def release(self) -> None:
        """Release the memory; may be called again."""
        self.memory.release(self.reserved_bytes)
        self.reserved_bytes = 0


class PartedBody(aiohttp.payload.BytesPayload):
    """A body that is written in parts, so that its sender knows when it can't be complete yet."""

    def __init__(self, body: bytes, on_admitted: typing.Callable[[], None]) -> None:
        super().__init__(body)
        self.body = body
        self.on_admitted = on_admitted
        self.last_part_begun = False
        """Whether the last byte may have left; before that, no node has the whole body."""

    async def write_with_length(
        self, writer: aiohttp.abc.AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body; each part waits until the kernel has taken those before it."""
        self.on_admitted()
        for start in range(0, len(self.body), PART_BYTES):
            await writer.drain()
            self.last_part_begun = start + PART_BYTES >= len(self.body)
            await writer.write(self.body[start : start + PART_BYTES])
        # Lets the other tasks of the process run between two bodies.
        await asyncio.sleep(0)


async def read(
    receive: asgi.Receive, limit_bytes: int, reservation: Reservation, length: int | None
) -> bytes | reasons.Refusal:
    """Return the body of a request, or why it is refused; raises `Disconnected`.

    If the sender stated the length, a body without memory for it is refused before it is read.
    """
    if length is not None and length <= limit_bytes and not reservation.grow_to(length):
        return reasons.Refusal.SATURATED
    # Parts may be of one byte, each of which would take some forty as an object.
    received = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise asgi.Disconnected
        part: bytes = message.get("body", b"")
        size = len(received) + len(part)
        if size > limit_bytes:
            return reasons.Refusal.BODY_TOO_LARGE
        if not reservation.grow_to(size):
            return reasons.Refusal.SATURATED
        more = message.get("more_body", False)
        if not more and not received:
            return part
        received += part
        if not more:
            return bytes(received)
