"""Bounds on what all connections of a process's servers hold together.

Load pattern: hundreds of clients send heads without end, ask for answers that they do not read, or
open connections that they do not use. Each of them stays below the limits of one connection, but
together they exceed the memory or the descriptors of the process.
"""

from __future__ import annotations

import asyncio
import collections
import enum
import itertools
import typing

from goldcrestgrade import counters, instants, reasons

MEMORY_SHARE = 0.15
"""Share of the memory of a process that its connections may hold together."""

DEFAULT_MEMORY_MB = 200.0
"""Memory of a process whose settings state none."""

CONNECTION_SHARE = 0.5
"""Share of the descriptors that may be connections of clients; others go to endpoints and nodes."""

REQUEST_SHARE = 0.25
"""Requests of one server that may be under way, as a share of the descriptors.

Each of them may need a connection to a node or an endpoint.
"""

DEFAULT_MAX_FDS = 4096
"""Descriptors of a process whose settings state none."""

FREED_SHARE = 0.25
"""Share of the memory that is freed at once when it is exceeded, so that closes are rare."""

CLOSED_SHARE = 0.05
"""Share of the connections of a server that is closed at once when there are too many."""

MIN_CLOSED_BYTES = 4096
"""Bytes that a connection holds at least for its close to be of use."""

SLOW_READER_S = 2.0
"""Time for which a client may take too little of an answer while others wait for its memory.

It has to take some 50 KB in it, the part of the buffer that is refilled at once.
"""

SLOW_BODY_S = 3.0
"""Time for which a body may be incomplete while others are refused for lack of its memory."""

PARTIAL_BODY_S = 0.5
"""Time for which a body may be incomplete while its address has too many requests under way."""

WANTED_S = 1.0
"""Time for which memory for bodies counts as wanted after one was refused."""

SWEEP_INTERVAL_S = 0.5
"""Time between checks of connections whose clients have to send or read something."""


class Limits(typing.NamedTuple):
    """What the connections of a process may hold."""

    memory_bytes: int
    connections: int
    requests: int
    """Requests of one server that may be under way."""


def limits(memory_mb: float = DEFAULT_MEMORY_MB, max_fds: int = DEFAULT_MAX_FDS) -> Limits:
    """Return the limits of a process with a memory of `memory_mb` megabytes."""
    return Limits(
        int(memory_mb * MEMORY_SHARE * (1 << 20)),
        max(1, int(max_fds * CONNECTION_SHARE)),
        max(1, int(max_fds * REQUEST_SHARE)),
    )


class State(enum.IntEnum):
    """What a connection is used for; those with lower values are closed first."""

    ENDED = 0
    """It is being closed."""
    INCOMPLETE = 1
    """Its client has sent a part of a request."""
    IDLE = 2
    UNREAD = 3
    """Its client has not read an answer, or does not read the present one."""
    BUSY = 4
    """A request that was read completely is under way; never closed for others."""


class Holding(typing.NamedTuple):
    """What one connection holds."""

    server: int
    """Number that all connections of its server share."""
    held_bytes: int
    state: State
    since: instants.Instant
    """When the connection was opened, began to receive a request, or answered its last one."""


def to_free_memory(holdings: typing.Sequence[Holding], excess_bytes: float) -> list[int]:
    """Return the indexes of the connections to close so that `excess_bytes` are freed.

    The largest ones come first, as a client inside the limits holds little, and not for long.
    """
    candidates = [
        index
        for index, holding in enumerate(holdings)
        if holding.state != State.BUSY and holding.held_bytes >= MIN_CLOSED_BYTES
    ]
    candidates.sort(key=lambda index: holdings[index].held_bytes, reverse=True)
    sums = itertools.accumulate(holdings[index].held_bytes for index in candidates)
    before = itertools.chain([0], sums)
    return [index for index, freed in zip(candidates, before, strict=False) if freed < excess_bytes]


def to_free_connections(holdings: typing.Sequence[Holding]) -> list[int]:
    """Return the indexes of the connections to close so that others can be opened.

    They are of the server with the most connections, so that clients of one address do not take the
    connections of the others.
    """
    if not holdings:
        return []
    numbers = collections.Counter(holding.server for holding in holdings)
    server, number = numbers.most_common(1)[0]
    candidates = [
        index
        for index, holding in enumerate(holdings)
        if holding.server == server and holding.state != State.BUSY
    ]
    candidates.sort(key=lambda index: (holdings[index].state, holdings[index].since))
    return candidates[: max(1, int(number * CLOSED_SHARE))]


class Connection(typing.Protocol):
    """A connection of a server, as the intake uses it."""

    def holding(self) -> Holding:
        """Return what the connection holds."""

    def give_up(self, reason: reasons.Event, at_once: bool) -> None:
        """Close the connection, and refuse a request that is not complete.

        With `at_once`, its descriptor is closed without a wait for the client to read the refusal.
        """

    def check_progress(self, now: instants.Instant) -> bool:
        """Close the connection if its client is too slow; return whether to check it again."""


class Intake:
    """What the connections of a process hold; owned by its event loop."""

    def __init__(self, in_force: Limits, counts: counters.Counts) -> None:
        self.limits = in_force
        self.counts = counts
        self.held_bytes = 0
        self.connections: set[Connection] = set()
        self.watched: set[Connection] = set()
        """Connections whose clients have to send or read something."""
        self.partial_bodies: dict[int, dict[Connection, instants.Instant]] = {}
        """When each incomplete body of a request under way began, the oldest first, by server."""
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.freeing = False
        self.answers_wait: typing.Callable[[], bool] = lambda: False
        """Returns whether answers wait for the memory of others."""
        self.bodies_wanted_until: instants.Instant = 0.0

    def record_refused_body(self) -> None:
        """Record that a body found no memory, so that slow ones give theirs back."""
        self.bodies_wanted_until = asyncio.get_running_loop().time() + WANTED_S

    @property
    def is_full(self) -> bool:
        """Whether no more requests can be held."""
        return self.held_bytes > self.limits.memory_bytes

    def add(self, connection: Connection) -> None:
        """Add a connection; above the limit, close others, or this one if none may be closed."""
        self.connections.add(connection)
        if len(self.connections) <= self.limits.connections:
            return
        held = list(self.connections - {connection})
        chosen = to_free_connections([one.holding() for one in held])
        for one in [held[index] for index in chosen] or [connection]:
            self.connections.discard(one)
            one.give_up(reasons.Event.CONNECTIONS_FULL, at_once=True)

    def remove(self, connection: Connection, counted_bytes: int) -> None:
        """Forget a connection that was closed."""
        self.held_bytes -= counted_bytes
        self.connections.discard(connection)
        self.watched.discard(connection)
        for connections in self.partial_bodies.values():
            connections.pop(connection, None)

    def begin_body(self, connection: Connection, server: int, now: instants.Instant) -> None:
        """Record that a request under way lacks a part of its body."""
        self.partial_bodies.setdefault(server, {}).setdefault(connection, now)

    def end_body(self, connection: Connection, server: int) -> None:
        """Record that a request is complete, or has ended."""
        self.partial_bodies.get(server, {}).pop(connection, None)

    def free_request(self, server: int, now: instants.Instant) -> bool:
        """Refuse the request whose body has been incomplete for longest; return whether any was.

        Load pattern: more clients than there may be requests under way send bodies byte by byte,
        and return at once when they are refused.
        """
        partial = self.partial_bodies.get(server, {})
        while partial:
            connection, began_at = next(iter(partial.items()))
            if now < began_at + PARTIAL_BODY_S:
                return False
            del partial[connection]
            if connection.holding().state == State.INCOMPLETE:
                connection.give_up(reasons.Event.REQUEST_TOO_SLOW, at_once=False)
                return True
        return False

    def record_change(self, change_bytes: int) -> None:
        """Record that a connection holds more or less; close others if all hold too much."""
        self.held_bytes += change_bytes
        if change_bytes <= 0 or not self.is_full or self.freeing:
            return
        self.freeing = True
        try:
            excess = self.held_bytes - self.limits.memory_bytes * (1 - FREED_SHARE)
            held = list(self.connections)
            for index in to_free_memory([one.holding() for one in held], excess):
                held[index].give_up(reasons.Event.CONNECTION_MEMORY_FULL, at_once=False)
        finally:
            self.freeing = False

    def watch(self, connection: Connection) -> None:
        """Check the progress of a connection from time to time."""
        self.watched.add(connection)
        if self.sweep_timer is None:
            loop = asyncio.get_running_loop()
            self.sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in list(self.watched):
            if not connection.check_progress(now):
                self.watched.discard(connection)
        self.sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep) if self.watched else None
