"""Pipelined requests of one connection, run side by side and answered in request order.

Load pattern: clients send further idempotent requests before the first answer. Run one after the
other, a slow request delays all behind it by its own time, although endpoints are free.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import typing

from goldcrestgrade import counters, reasons
from goldcrestgrade_node import asgi, servers

MAX_SIDE_BY_SIDE = 8
"""Largest number of requests of one connection that run at once."""

MAX_UNANSWERED = 32
"""Largest number of requests of one connection that were started and whose answers wait."""

MAX_HELD_BYTES = 64 * 1024
"""Bytes of an answer that waits for an earlier one from which its request has to wait, too."""

MAX_FINISHED_BYTES = 4 << 20
"""Bytes of finished answers, over all connections, from which no more requests run side by side.

Answers of requests that run already come on top.
"""


class Terms(typing.NamedTuple):
    """What bounds the pipelined requests of all connections of one process."""

    may_run_beside: typing.Callable[[asgi.Scope], bool]
    """Returns whether a request without a body may run beside others of its connection."""
    counts: counters.Counts
    finished: FinishedAnswers


class FinishedAnswers:
    """Size of the answers that wait for an earlier one; owned by the event loop of the process."""

    def __init__(self, limit_bytes: int = MAX_FINISHED_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0


class Pending:
    """A request whose answer was not written completely, or a refusal that follows the others.

    It is the transport of its answer, which it holds back until all earlier ones were written.
    """

    __slots__ = (
        "beside",
        "closes",
        "complete",
        "cycle",
        "held",
        "held_bytes",
        "protocol",
        "started",
        "turn",
    )

    def __init__(self, protocol: PipeliningProtocol, cycle: typing.Any, beside: bool) -> None:
        self.protocol = protocol
        self.cycle = cycle
        """State of the request in uvicorn; none for a refusal."""
        self.beside = beside
        """Whether it may run beside others."""
        self.started = False
        self.complete = False
        self.closes = False
        """Whether the connection is closed after the answer."""
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.turn = asyncio.Event()
        """Set once its answer is the next one, or is not wanted any more."""

    @property
    def is_next(self) -> bool:
        """Whether its answer is the next one of the connection."""
        pending = self.protocol.pending
        return bool(pending) and pending[0] is self

    @property
    def keeps_alive(self) -> bool:
        """Whether requests behind it may be answered."""
        return not self.closes and (self.cycle is None or bool(self.cycle.keep_alive))

    def write(self, data: bytes) -> None:
        """Write a part of the answer, or hold it back."""
        if self.is_next:
            self.protocol.transport.write(data)
        elif self in self.protocol.pending:
            self.held.append(data)
            self.held_bytes += len(data)
            self.protocol.terms.finished.held_bytes += len(data)

    def close(self) -> None:
        """Close the connection once the answer was written."""
        self.closes = True
        if self.is_next:
            self.protocol.transport.close()
        else:
            self.complete = True

    def is_closing(self) -> bool:
        """Return whether the connection is closing."""
        return self.protocol.transport.is_closing()

    def write_held(self) -> None:
        """Write what was held back, as the next answer of the connection."""
        if not self.held:
            return
        held = b"".join(self.held)
        self.drop_held()
        if held:
            self.protocol.transport.write(held)

    def drop_held(self) -> None:
        """Forget what was held back."""
        self.protocol.terms.finished.held_bytes -= self.held_bytes
        self.held, self.held_bytes = [], 0

    def end(self) -> None:
        """Forget the request, which is not one of the connection any more.

        The request refers to this object, too. The collection of such cycles holds the event loop.
        """
        self.cycle = None


class Flow:
    """Flow control of one request."""

    __slots__ = ("pending", "protocol")

    def __init__(self, protocol: PipeliningProtocol, pending: Pending) -> None:
        self.protocol = protocol
        self.pending = pending

    @property
    def write_paused(self) -> bool:
        """Whether the answer has to wait for the client to read."""
        if self.pending.is_next:
            return self.protocol.flow.write_paused
        return self.pending.held_bytes > MAX_HELD_BYTES

    async def drain(self) -> None:
        """Wait until the client has read enough, and all earlier answers."""
        if not self.pending.is_next:
            await self.pending.turn.wait()
        if self.pending.is_next:
            await self.protocol.flow.drain()

    def resume_reading(self) -> None:
        """Go on reading, as the application may have read a part of the body."""
        if self.protocol.backlog:
            self.protocol.regulate()


class PipeliningProtocol(servers.NodeProtocol):
    """HTTP connection that runs pipelined requests side by side, up to a bound."""

    def __init__(self, *args: typing.Any, terms: Terms, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.terms = terms
        self.pending: collections.deque[Pending] = collections.deque()
        """Requests in the order in which they were received."""
        self.is_read_to_end = False
        """Whether what follows on the connection is discarded."""

    # Reading

    def is_ended(self) -> bool:
        """Return whether an earlier request or error ends the connection."""
        return self.is_read_to_end or super().is_ended()

    def may_parse(self) -> bool:
        """Return whether the next bytes may be parsed: the body of a request, or the next one.

        Requests start in their order, so that all have started if the last one has.
        """
        if not self.pending:
            return True
        last = self.pending[-1]
        if last.cycle is not None and last.cycle.more_body:
            return len(last.cycle.body) <= servers.MAX_UNREAD_BODY_BYTES
        return last.started

    def on_headers_complete(self) -> None:
        """Add the request to those of the connection, and start it if it may run now."""
        if self.is_read_to_end:
            return
        before = self.cycle
        super().on_headers_complete()
        cycle: typing.Any = self.cycle
        if cycle is before:
            return
        self.pipeline.clear()
        pending = Pending(self, cycle, self._may_run_beside())
        cycle.flow = Flow(self, pending)
        scope = typing.cast(asgi.Scope, self.scope)
        scope[asgi.END_CONNECTION] = functools.partial(self._end_connection, pending)
        cycle.on_response = functools.partial(self._on_answer_complete, pending)
        is_head = self.scope["method"] == "HEAD"
        transport: typing.Any = pending
        cycle.transport = transport if is_head else servers.AnswerWriter(transport)
        self.pending.append(pending)
        self._start_allowed()

    def on_message_complete(self) -> None:
        """End the request that was read; read none behind one that ends the connection."""
        if self.is_read_to_end:
            return
        super().on_message_complete()
        self.is_read_to_end = bool(self.pending) and not self.pending[-1].keeps_alive

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a body."""
        if not self.is_read_to_end:
            super().on_body(body)

    def _may_run_beside(self) -> bool:
        for name, value in self.scope["headers"]:
            if name == b"transfer-encoding" or (name == b"content-length" and value != b"0"):
                return False
        return self.terms.may_run_beside(self.scope)  # type: ignore[arg-type]

    def refuse(self, status: int, text: str, retry_after: str | None = None) -> None:
        """Refuse what does not run, after the answers to all requests before it."""
        if self.is_read_to_end:
            return
        self.is_read_to_end = True
        if self.pending and self.pending[-1].cycle.more_body:
            # The error is in the body of this request.
            if self.pending[-1].is_next:
                super().refuse(status, text, retry_after)
                return
            self._drop(self.pending.pop())
        if not self.pending:
            super().refuse(status, text, retry_after)
            return
        refusal = Pending(self, None, beside=False)
        self.pending.append(refusal)
        transport = self.transport
        self.transport = typing.cast(asyncio.Transport, refusal)
        try:
            super().refuse(status, text, retry_after)
        finally:
            self.transport = transport

    def is_committed(self) -> bool:
        """Return whether a request is under way that was read completely."""
        return any(
            pending.cycle is not None and not pending.cycle.more_body for pending in self.pending
        )

    def _requests_bytes(self) -> int:
        """Return the memory of the requests under way, and of answers that wait for others."""
        return sum(
            pending.held_bytes + servers.request_bytes(pending.cycle)
            for pending in self.pending
            if pending.cycle is not None
        )

    # Running

    def _start_asgi_task(self, cycle: typing.Any, app: typing.Any) -> None:
        """Start nothing yet; `_start_allowed` starts requests in their order."""

    def _start_allowed(self) -> None:
        """Start the requests that may run now: the first, and others beside it up to the bounds."""
        running = 0
        finished = self.terms.finished
        for number, pending in enumerate(self.pending):
            if pending.cycle is None:
                break
            if not pending.started:
                is_first = pending.is_next
                if not is_first and (
                    not pending.beside
                    or running >= MAX_SIDE_BY_SIDE
                    or number >= MAX_UNANSWERED
                    or finished.held_bytes >= finished.limit_bytes
                ):
                    break
                if not is_first:
                    self.terms.counts.events[reasons.Event.PIPELINED] += 1
                pending.started = True
                super()._start_asgi_task(pending.cycle, self.app)
            running += not pending.complete
            if not pending.beside or not pending.keeps_alive:
                break

    def _on_answer_complete(self, pending: Pending) -> None:
        pending.complete = True
        self.since = self.loop.time()
        self.server_state.total_requests += 1
        if pending in self.pending:
            self._write_complete()

    def _write_complete(self) -> None:
        """Write the answers that are complete up to the first that is not."""
        while self.pending and self.pending[0].complete and not self.transport.is_closing():
            first = self.pending[0]
            first.write_held()
            if first.closes or not first.keeps_alive:
                self.transport.close()
                break
            self.pending.popleft().end()
            if self.pending:
                self.pending[0].write_held()
                self.pending[0].turn.set()
        if self.transport.is_closing():
            self._drop_all()
        elif self.pending:
            self._start_allowed()
            self.regulate()
        else:
            self.regulate()
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    # Ending

    def _drop(self, pending: Pending) -> None:
        """Cancel a request; its application sees a disconnect."""
        pending.drop_held()
        pending.turn.set()
        if pending.cycle is not None:
            pending.cycle.disconnected = True
            pending.cycle.message_event.set()
            pending.end()

    def _drop_all(self) -> None:
        self.is_read_to_end = True
        while self.pending:
            self._drop(self.pending.popleft())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel all requests of the client that left."""
        super().connection_lost(exc)
        self._drop_all()

    def _end_connection(self, pending: Pending) -> bool:
        """End the connection after the started requests; return whether `pending` is the last."""
        self.shutdown()
        return not self.pending or self.pending[-1] is pending

    def shutdown(self) -> None:
        """Close the connection after the answers to the requests that were started."""
        while self.pending and not self.pending[-1].started and self.pending[-1].cycle is not None:
            self._drop(self.pending.pop())
        if not self.pending:
            self.staged.close_idle()
            return
        last = self.pending[-1]
        # The body of the last request is still read.
        self.is_read_to_end = last.cycle is None or not last.cycle.more_body
        if last.cycle is not None and not last.cycle.response_started:
            last.cycle.keep_alive = False
        else:
            last.closes = True
