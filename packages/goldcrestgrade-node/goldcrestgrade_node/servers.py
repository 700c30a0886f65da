"""HTTP servers of a node, on asyncio's event loop and without signal handlers of their own."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import contextlib
import socket
import typing

import httptools
import uvicorn
from uvicorn.protocols.http import flow_control, httptools_impl

from goldcrestgrade import counters, headers, instants, outcomes, parse_queue, reasons
from goldcrestgrade_node import asgi, closing, intake

if typing.TYPE_CHECKING:
    from goldcrestgrade import settings

KEEPALIVE_S = 30
"""Time after which an idle connection is closed."""

BACKLOG = 512
"""Largest number of connections that wait to be accepted."""


ACCEPTED_AT_ONCE = 16
"""Connections that are accepted in one turn of the loop, before others can be closed for them."""

MAX_HEAD_BYTES = 64 * 1024
"""Largest size of the request line and headers if the configuration sets none."""

HEAD_TIMEOUT_S = 10.0
"""Time in which a client has to send a head if the configuration sets none."""

FIELD_BYTES = 160
"""Memory of a header beside its bytes."""

MIN_LIMITED_BYTES = 1024
"""Size of a head from which it is compared with the limit, which is larger."""

MIN_COUNTED_BYTES = 4096
"""Change of what a connection holds from which the intake counts it.

Requests with small heads change less; the number of those under way is limited.
"""

RETRY_AFTER = "1"
"""Value of `Retry-After` in refusals of a server whose application states none."""


MAX_DISCARDED_BYTES = 1 << 20
"""Largest rest of a body that is read after the answer, so that its connection can be kept."""


MAX_AHEAD_BYTES = 64 * 1024
"""Bytes that were received and may not be parsed yet from which reading pauses.

Reading goes on until then, since a client that leaves is noticed only while its connection is read.
"""

MAX_UNREAD_BODY_BYTES = 64 * 1024
"""Bytes of a body that its application has not read from which no more of it is parsed."""

CHUNKED_SLICE_BYTES = 1024
"""Most bytes of a chunked body that are parsed at once.

Its end is found by the parser only, and requests that follow it in the slice are parsed with it.
"""

RECEIVE_BUFFER_BYTES = 32 * 1024
"""Bytes that the kernel holds of one connection before they are read; it doubles the figure."""

SEND_BUFFER_BYTES = 64 * 1024
"""Bytes that the kernel holds of one connection before they are sent; it doubles the figure."""

UNCHECKED_BYTES = 8 * 1024
"""Bytes that are written without a check of whether the client reads them."""

INTERIM_ANSWER_PREFIX = b"HTTP/1.1 100 "
"""Start of an interim answer, which is written without delay."""


class Bounds(typing.NamedTuple):
    """What bounds the clients of one server."""

    intake: intake.Intake
    """Shared by all servers of the process."""
    max_head_bytes: typing.Callable[[], int] = lambda: MAX_HEAD_BYTES
    head_timeout_s: typing.Callable[[], float] = lambda: HEAD_TIMEOUT_S
    retry_after: str = RETRY_AFTER
    """Value of `Retry-After` in refusals of requests that may be sent again."""
    app_refuses: bool = False
    """Whether the application refuses a request whose scope has `asgi.SATURATED`."""


class AnswerWriter:
    """Writes the head of an answer and the first part of its body together, in one segment."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.head = b""
        self.head_written = False

    def write(self, data: bytes) -> None:
        """Hold back the head until the first part of the body; write all else at once."""
        if self.head_written or data.startswith(INTERIM_ANSWER_PREFIX):
            self.transport.write(data)
        elif self.head:
            self.head_written = True
            self.transport.write(self.head + data)
        else:
            self.head = data

    def close(self) -> None:
        """Write a head that is still held back, then close the connection."""
        if self.head and not self.head_written:
            self.transport.write(self.head)
        self.transport.close()

    def is_closing(self) -> bool:
        """Return whether the connection is closing."""
        return self.transport.is_closing()


class ReadFlow(flow_control.FlowControl):
    """Flow control that leaves to its connection whether it is read."""

    def __init__(self, transport: asyncio.Transport, protocol: NodeProtocol) -> None:
        super().__init__(transport)
        self.protocol = protocol

    def pause_reading(self) -> None:
        """Do nothing, as the connection pauses by what it holds."""

    def resume_reading(self) -> None:
        """Go on, as the application may have read a part of a body."""
        if self.protocol.backlog:
            self.protocol.regulate()


class NodeProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP connection with limited request heads, joined writes of answers and a staged close.

    A request is parsed once those before it allow it; until then, its bytes are kept as received.
    What is received is parsed in slices, so that no client holds the event loop.
    """

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.queue = parse_queue.of(self.loop)
        self.queued = False
        self.backlog = bytearray()
        """Bytes that were received and not parsed yet."""
        self.bounds: Bounds = self.config.bounds  # type: ignore[attr-defined]
        self.head_bytes = 0
        """Bytes parsed since the last complete head or part of a body."""
        self.head_by: instants.Instant | None = None
        """When the rest of a head is due; none if no head is incomplete."""
        self.in_body = False
        """Whether the body of a request is incomplete."""
        self.body_left: int | None = 0
        """Bytes of the body that are still to be parsed; none if it is chunked."""
        self.body_bytes = 0
        """Bytes of bodies parsed so far."""
        self.body_progress = closing.Progress()
        self.discarded_bytes = 0
        """Bytes of a body that came after the answer to its request."""
        self.checked_bytes = 0
        """Bytes written when the client was last known to have them all."""
        self.unread_bytes = 0
        """Bytes that the client had not acknowledged at the last check."""
        self.read_progress = closing.Progress()
        self.paused_at: instants.Instant | None = None
        """Since when the client has to read before more is written."""
        self.body_began_at: instants.Instant = 0.0
        """When the head of the last request with a body was complete."""
        self.lost = False
        """Whether the connection was lost."""
        self.counted_bytes = 0
        """Bytes that the intake counts for this connection."""
        self.since: instants.Instant = self.loop.time()
        """When the connection was opened, began to receive a request, or answered its last one."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin a connection."""
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        staged = closing.StagedTransport(typing.cast(asyncio.Transport, transport), self.loop)
        self.staged = staged
        super().connection_made(typing.cast(asyncio.Transport, staged))
        self.flow = ReadFlow(typing.cast(asyncio.Transport, staged), self)
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )
        self.bounds.intake.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End a connection."""
        self.staged.stop()
        self.backlog.clear()
        super().connection_lost(exc)
        # uvicorn leaves the timer of a connection that was reset, which keeps its memory.
        self._unset_keepalive_if_required()
        self.lost = True
        self.bounds.intake.remove(self, self.counted_bytes)
        # These refer to the connection. The collection of such cycles holds the event loop.
        self.cycle = self.scope = self.flow = typing.cast(typing.Any, None)

    def pause_writing(self) -> None:
        """Wait for the client to read."""
        super().pause_writing()
        self.paused_at = self.loop.time()
        self.account()

    def resume_writing(self) -> None:
        """Write on."""
        self.paused_at = None
        super().resume_writing()

    # Bounds

    def holding(self) -> intake.Holding:
        """Return what the connection holds."""
        return intake.Holding(id(self.server_state), self.held_bytes(), self._state(), self.since)

    def held_bytes(self) -> int:
        """Return the memory of what was received, is under way, or was not read."""
        if self.staged.is_closing():
            return self._unread_bytes()
        held = len(self.backlog) + self._unread_bytes() + self._requests_bytes()
        if self.head_bytes and self.body_left == 0:
            held += self.head_bytes + len(self.headers or ()) * FIELD_BYTES
        if not self.staged.reading:
            held += 2 * RECEIVE_BUFFER_BYTES
        return held

    def _unread_bytes(self) -> int:
        buffered = self.staged.transport.get_write_buffer_size()
        return max(self.unread_bytes, buffered + 2 * SEND_BUFFER_BYTES if buffered else 0)

    def _requests_bytes(self) -> int:
        """Return the memory of the requests under way."""
        if self.cycle is None or self.cycle.response_complete:
            return 0
        return request_bytes(self.cycle)

    def is_committed(self) -> bool:
        """Return whether a request is under way that was read completely."""
        cycle = self.cycle
        return cycle is not None and not cycle.response_complete and not cycle.more_body

    def _state(self) -> intake.State:
        if self.staged.is_closing():
            return intake.State.ENDED
        if self.flow.write_paused:
            return intake.State.UNREAD
        if self.is_committed():
            return intake.State.BUSY
        if self.body_left == 0 and self.head_bytes:
            return intake.State.INCOMPLETE
        if self.in_body and not self.cycle.response_started:
            return intake.State.INCOMPLETE
        return intake.State.UNREAD if self.unread_bytes else intake.State.IDLE

    def account(self) -> None:
        """Have the intake count what the connection holds now, and check its progress if needed."""
        if self.lost:
            return
        unchecked = self.staged.written_bytes - self.checked_bytes
        if (
            self.head_by is not None
            or self.body_progress.due_at is not None
            or unchecked > UNCHECKED_BYTES
        ):
            self.bounds.intake.watch(self)
        held = self.held_bytes()
        change = held - self.counted_bytes
        if abs(change) >= MIN_COUNTED_BYTES or (change and self.staged.is_closing()):
            self.counted_bytes = held
            self.bounds.intake.record_change(change)

    def give_up(self, reason: reasons.Event, at_once: bool) -> None:
        """Close the connection, and refuse a request that is not complete.

        With `at_once`, its descriptor is closed without a wait for the client to read the refusal.
        """
        self.bounds.intake.counts.events[reason] += 1
        is_incomplete = self._state() == intake.State.INCOMPLETE
        if is_incomplete:
            self.refuse(503, "Too much was received at once.", self.bounds.retry_after)
        if at_once or not is_incomplete:
            self.unread_bytes = 0
            self.staged.abort()
        self.regulate()

    def check_progress(self, now: instants.Instant) -> bool:
        """Close the connection if its client is too slow; return whether to check it again."""
        if self.staged.is_closing():
            return False
        receives = self._check_receiving(now)
        reads = self._check_reading(now)
        self.account()
        return receives or reads

    def _check_receiving(self, now: instants.Instant) -> bool:
        """Return whether the client has to send more; refuse its request if it is late."""
        if self.head_by is None and self.body_progress.due_at is None:
            return False
        head_late = self.head_by is not None and now >= self.head_by
        body_late = self.body_progress.due_at is not None and self.body_progress.is_late(
            self.body_bytes, now
        )
        if self.in_body and now < self.bounds.intake.bodies_wanted_until:
            body_late = body_late or now >= self.body_began_at + intake.SLOW_BODY_S
        if head_late or body_late:
            self.bounds.intake.counts.events[reasons.Event.REQUEST_TOO_SLOW] += 1
            self.refuse(408, "Request not received in time.", self.bounds.retry_after)
            return False
        return True

    def _check_reading(self, now: instants.Instant) -> bool:
        """Return whether the client has to read more; abort the connection if it is too slow."""
        written = self.staged.written_bytes
        self.unread_bytes = closing.unacknowledged_bytes(self.staged.transport)
        if not self.unread_bytes:
            self.checked_bytes = written
            self.read_progress.reset()
            return False
        late = self.read_progress.is_late(written - self.unread_bytes, now)
        if self.paused_at is not None and self.bounds.intake.answers_wait():
            late = late or now >= self.paused_at + intake.SLOW_READER_S
        if late:
            # Its answer holds memory that others need.
            self.bounds.intake.counts.events[reasons.Event.ANSWER_NOT_READ] += 1
            self.staged.abort()
            return False
        return True

    # Reading

    def data_received(self, data: bytes) -> None:
        """Parse the first slice of `data`, and keep the rest for later turns."""
        if self.is_ended():
            return
        self._unset_keepalive_if_required()
        if self.backlog:
            self.backlog += data
        else:
            parsed = self._parse(data)
            self.backlog += data[parsed:] if parsed else data
        self.regulate()

    def parse_slice(self) -> bool:
        """Parse the next slice of what was kept, and return whether another one may follow."""
        if self.is_ended():
            self.backlog.clear()
        elif self.backlog:
            parsed = self._parse(bytes(self.backlog[: parse_queue.SLICE_BYTES]))
            del self.backlog[:parsed]
            self.regulate()
        return bool(self.backlog) and self.may_parse()

    def regulate(self) -> None:
        """Have what was kept be parsed if it may be now; read more unless too much is kept."""
        if self.is_ended():
            self.backlog.clear()
        elif self.backlog and self.may_parse():
            self.queue.add(self)
        self._set_due_times()
        self.staged.set_reading(len(self.backlog) <= MAX_AHEAD_BYTES)
        self.account()

    def _set_due_times(self) -> None:
        """Set when the rest of a head or of a body is due, unless this side holds it up."""
        waits = not self.backlog and not self.is_ended()
        in_head = waits and self.body_left == 0 and self.head_bytes > 0
        if not in_head:
            self.head_by = None
        elif self.head_by is None:
            self.since = self.loop.time()
            self.head_by = self.since + self.bounds.head_timeout_s()
        in_body = waits and self.in_body and self.may_parse()
        if not in_body:
            self.bounds.intake.end_body(self, id(self.server_state))
        elif not self.cycle.response_started:
            self.bounds.intake.begin_body(self, id(self.server_state), self.body_began_at)
        if not in_body or self.cycle.waiting_for_100_continue:
            self.body_progress.reset()
        elif self.body_progress.due_at is None:
            self.body_progress.is_late(self.body_bytes, self.loop.time())

    def is_ended(self) -> bool:
        """Return whether what the client still sends is discarded."""
        return self.staged.is_closing()

    def may_parse(self) -> bool:
        """Return whether the next bytes may be parsed.

        The application has to read the body, and a request has to be answered before the next one.
        """
        if self.cycle is None or self.cycle.response_complete:
            return True
        return self.cycle.more_body and len(self.cycle.body) <= MAX_UNREAD_BODY_BYTES

    def _parse(self, data: bytes) -> int:
        """Parse the first slice of `data`, and return how much of it was parsed.

        The slice is parsed up to the end of a head or body at a time, as the next request may have
        to wait.
        """
        limit = min(len(data), parse_queue.SLICE_BYTES)
        start = 0
        try:
            while start < limit and not self.is_ended() and self.may_parse():
                end = self._part_end(data, start, limit)
                part = data[start:end]
                start = end
                self.head_bytes += len(part)
                while part:
                    part = self._feed(part)
                self._check_head()
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")
        return start

    def _check_head(self) -> None:
        """Refuse a head, or trailers, above the limit."""
        if self.head_bytes <= MIN_LIMITED_BYTES:
            return
        if self.head_bytes > self.bounds.max_head_bytes() and not self.is_ended():
            self.bounds.intake.counts.events[reasons.Event.HEAD_TOO_LARGE] += 1
            self.refuse(431, "Request head too large.")

    def _part_end(self, data: bytes, start: int, limit: int) -> int:
        """Return where the part of a slice ends that begins at `start`."""
        if self.body_left is None:
            return min(limit, start + CHUNKED_SLICE_BYTES)
        if self.body_left:
            return min(limit, start + self.body_left)
        blank_lines = (data.find(line, start, limit) for line in (b"\n\r\n", b"\n\n"))
        return min((data.index(b"\n", at + 1) + 1 for at in blank_lines if at >= 0), default=limit)

    def _feed(self, data: bytes) -> bytes:
        """Parse bytes up to the end of a head with `Upgrade`, and return those that follow it."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._decline_upgrade()
            return data[upgrade.args[0] :]
        return b""

    def _decline_upgrade(self) -> None:
        """Parse the head without its offer of another protocol (RFC 9110, section 7.8).

        The parser takes what follows such a head for the other protocol, also the body.
        """
        method, version = self.parser.get_method(), self.parser.get_http_version()
        if method == b"CONNECT":
            raise httptools.HttpParserError("CONNECT is not supported")
        lines = [b"%s %s HTTP/%s" % (method, self.url, version.encode())]
        for name, value in self.headers:
            if name == b"connection":
                value = b",".join(
                    option
                    for option in value.split(b",")
                    if option.strip().lower() not in (b"upgrade", b"http2-settings")
                )
            if name not in (b"upgrade", b"http2-settings"):
                lines.append(name + b": " + value)
        self.parser = httptools.HttpRequestParser(self)
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self.parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")

    def on_headers_complete(self) -> None:
        """Begin the request of a complete head; join the writes of the answer, except to HEAD."""
        self._check_head()
        if self.is_ended():
            return
        head_bytes = self.head_bytes + len(self.headers) * FIELD_BYTES
        self.head_bytes = self.discarded_bytes = 0
        if self.parser.should_upgrade():
            return
        self.body_left = _body_bytes(self.headers)
        self.in_body = True
        self.since = self.body_began_at = self.loop.time()
        before = self.cycle
        super().on_headers_complete()
        if self.body_left is None:
            # Trailers are discarded, as they may not be merged into the headers.
            self.headers = typing.cast(typing.Any, collections.deque(maxlen=0))
        if self.cycle is not None and self.cycle is not before:
            # The application has the headers as text, too.
            self.cycle.held_bytes = 2 * head_bytes  # type: ignore[attr-defined]
        if self.cycle is not None and self.scope["method"] != "HEAD":
            self.cycle.transport = typing.cast(asyncio.Transport, AnswerWriter(self.transport))

    def on_message_complete(self) -> None:
        """End the request that was read, unless its head is to be parsed again."""
        if self.cycle is not None and not self.is_ended() and not self.parser.should_upgrade():
            self.body_left = self.head_bytes = 0
            self.in_body = False
            super().on_message_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a body; it does not count towards the next head.

        After the answer, the rest of a body is discarded up to a limit, as it may have no end.
        """
        if self.cycle is None or self.staged.is_closing():
            return
        self.head_bytes = 0
        self.body_bytes += len(body)
        if self.body_left:
            self.body_left -= len(body)
        if self.cycle.response_complete:
            self.discarded_bytes += len(body)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.staged.close()
                return
        super().on_body(body)

    def on_response_complete(self) -> None:
        """Go on with the next request."""
        self.since = self.loop.time()
        super().on_response_complete()
        self.regulate()

    def _start_asgi_task(self, cycle: typing.Any, app: typing.Any) -> None:
        """Start a request, or refuse it if too many are under way."""
        bounds = self.bounds
        is_full = len(self.tasks) >= bounds.intake.limits.requests
        if is_full and bounds.intake.free_request(id(self.server_state), self.loop.time()):
            is_full = False
        if is_full or bounds.intake.is_full:
            bounds.intake.counts.events[reasons.Event.REQUESTS_FULL] += 1
            if bounds.app_refuses:
                cycle.scope[asgi.SATURATED] = True
            else:
                app = _refuse_saturated(bounds.retry_after)
        super()._start_asgi_task(cycle, app)

    def send_400_response(self, msg: str) -> None:
        """Refuse what can't be parsed."""
        self.refuse(400, msg)

    def refuse(self, status: int, text: str, retry_after: str | None = None) -> None:
        """Refuse what was received of a request that does not run, and close the connection.

        Without a refusal if an answer to the request has begun before its body was complete.
        """
        body = text.encode()
        fields = [
            b"content-type: text/plain; charset=utf-8",
            b"content-length: %d" % len(body),
            b"connection: close",
        ]
        if retry_after is not None:
            fields.append(b"retry-after: " + retry_after.encode())
        line = httptools_impl.STATUS_LINE[status]
        if not (self.in_body and self.cycle.response_started):
            self.transport.write(line + b"\r\n".join([*fields, b"", body]))
        self.transport.close()
        if self.cycle is not None and self.cycle.more_body:
            self.cycle.disconnected = True
            self.cycle.message_event.set()

    def shutdown(self) -> None:
        """Close the connection after the answer to a request under way."""
        if self.cycle is None or self.cycle.response_complete:
            self.staged.close_idle()
        else:
            self.cycle.keep_alive = False

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection that has been idle for too long."""
        self.staged.close_idle()


def request_bytes(cycle: typing.Any) -> int:
    """Return the memory of a request under way."""
    return int(cycle.held_bytes) + len(cycle.body)


def _refuse_saturated(retry_after: str) -> asgi.App:
    """Return an application that refuses each request, as too many are under way."""
    answer = outcomes.Answer(503, (("retry-after", retry_after),), b"")

    async def refuse(_scope: asgi.Scope, _receive: asgi.Receive, send: asgi.Send) -> None:
        await asgi.send_plain(send, answer, close=True)

    return refuse


def _body_bytes(fields: list[tuple[bytes, bytes]]) -> int | None:
    """Return the length of the body of a request, or none if it is chunked."""
    if any(name == b"transfer-encoding" for name, _ in fields):
        return None
    texts = (value.decode("latin-1") for name, value in fields if name == b"content-length")
    return headers.parse_count(next(texts, "0"))


class Server(uvicorn.Server):
    """A server that leaves signals to the handlers of its process."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        """Keep the signal handlers of the process, which uvicorn would replace."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen; asyncio accepts as many connections at once as may wait to be accepted."""
        await super().startup(sockets)
        for server in self.servers:
            for listening in server.sockets:
                with listening.dup() as copy:
                    copy.listen(BACKLOG)

    def abort_connections(self) -> None:
        """Close all connections at once."""
        for connection in list(self.server_state.connections):
            if isinstance(connection, NodeProtocol):
                connection.staged.abort()


class Config(uvicorn.Config):
    """Configuration of a server with the bounds of its clients."""

    def __init__(self, *args: typing.Any, bounds: Bounds, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.bounds = bounds


def create(
    app: typing.Any,
    address: settings.Address,
    protocol: type[asyncio.Protocol] = NodeProtocol,
    keepalive_s: int = KEEPALIVE_S,
    bounds: Bounds | None = None,
) -> Server:
    """Return a server of `app` at `address` that closes connections idle for `keepalive_s`."""
    return Server(
        Config(
            app,
            host=address["host"],
            port=address["port"],
            loop="asyncio",
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=keepalive_s,
            backlog=ACCEPTED_AT_ONCE,
            bounds=bounds or Bounds(intake.Intake(intake.limits(), counters.Counts())),
        )
    )
