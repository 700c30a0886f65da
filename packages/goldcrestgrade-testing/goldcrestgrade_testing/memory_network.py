"""Messages between nodes in memory, with faults."""

from __future__ import annotations

import asyncio
import collections
import random
import typing

from goldcrestgrade import instants
from goldcrestgrade_node.once import messages
from goldcrestgrade_testing import schedules

LATENCY_S = 0.002
"""One-way delay of a message."""

HIT_SHARE = 0.6
"""Share of messages that a fault of the network hits."""

LATE_S = (0.2, 3.0)
"""Range of the delay of a late or doubled message."""

Active = collections.Counter[schedules.FaultKind]
"""Number of faults of each kind that hold now."""


class Receiver(typing.Protocol):
    """A process that takes messages."""

    region: int
    skew_s: float
    up: bool
    crashed: asyncio.Event

    async def receive(self, message: messages.Message) -> messages.Reply:
        """Return the reply to `message`, when the process is not paused."""
        ...


class Network:
    """The connections between all nodes; owned by the event loop of the run."""

    def __init__(self, active: Active, rng: random.Random) -> None:
        self.active = active
        self.rng = rng
        self.receivers: dict[str, Receiver] = {}
        self.last_reply: messages.Reply | None = None
        self.deliveries: set[asyncio.Task[messages.Reply]] = set()

    def hit(self, kind: schedules.FaultKind) -> bool:
        """Tell whether a fault of `kind` hits this message."""
        return self.active[kind] > 0 and self.rng.random() < HIT_SHARE

    def cut(self, sender_region: int, receiver_region: int) -> bool:
        """Tell whether two regions do not reach each other."""
        return self.active[schedules.FaultKind.REGIONS_CUT] > 0 and sender_region != receiver_region

    def late_s(self) -> float:
        """Return a delay for a late message."""
        return self.rng.uniform(*LATE_S)

    def deliver(
        self, receiver: Receiver, message: messages.Message, delay_s: float
    ) -> asyncio.Task[messages.Reply]:
        """Deliver `message` after a delay, whether its sender waits or not."""
        task = asyncio.create_task(_delivered(receiver, message, delay_s))
        self.deliveries.add(task)
        task.add_done_callback(self._delivered)
        return task

    def _delivered(self, task: asyncio.Task[messages.Reply]) -> None:
        self.deliveries.discard(task)
        if not task.cancelled():
            task.exception()


async def _delivered(
    receiver: Receiver, message: messages.Message, delay_s: float
) -> messages.Reply:
    await asyncio.sleep(delay_s)
    if not receiver.up:
        raise messages.ReplyLost("no process")
    return await receiver.receive(message)


class MemoryPort:
    """The way from one process to all others."""

    def __init__(self, network: Network, region: int, skew_s: float) -> None:
        self.network = network
        self.region = region
        self.skew_s = skew_s

    async def exchange(
        self, control_url: str, message: messages.Message, deadline: instants.Instant
    ) -> messages.Reply:
        """Return the reply by `deadline`; raises `Unreachable` or `ReplyLost`."""
        try:
            async with asyncio.timeout_at(deadline):
                reply = await self._exchange(control_url, message)
        except TimeoutError as error:
            raise messages.ReplyLost("timeout") from error
        crossed = self.network.last_reply
        self.network.last_reply = reply
        if crossed is not None and self.network.hit(schedules.FaultKind.REPLIES_CROSSED):
            return crossed
        return reply

    async def _exchange(self, control_url: str, message: messages.Message) -> messages.Reply:
        network = self.network
        receiver = network.receivers[control_url]
        message = shifted(message, self.skew_s - receiver.skew_s)
        if not receiver.up:
            await asyncio.sleep(2 * LATENCY_S)
            raise messages.Unreachable("no process")
        if network.cut(self.region, receiver.region) or network.hit(
            schedules.FaultKind.MESSAGES_LOST
        ):
            await asyncio.Event().wait()
        if network.hit(schedules.FaultKind.MESSAGES_DOUBLED):
            network.deliver(receiver, message, network.late_s())
        late = network.hit(schedules.FaultKind.MESSAGES_LATE)
        delivery = network.deliver(receiver, message, network.late_s() if late else LATENCY_S)
        reply = await self._reply(receiver, delivery)
        if network.cut(self.region, receiver.region) or network.hit(
            schedules.FaultKind.REPLIES_LOST
        ):
            await asyncio.Event().wait()
        return reply

    async def _reply(
        self, receiver: Receiver, delivery: asyncio.Task[messages.Reply]
    ) -> messages.Reply:
        crash = asyncio.create_task(receiver.crashed.wait())
        try:
            await asyncio.wait({delivery, crash}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            crash.cancel()
        if not delivery.done():
            raise messages.ReplyLost("process crashed")
        return delivery.result()


def shifted(message: messages.Message, shift_s: float) -> messages.Message:
    """Return `message` with its deadlines as a clock reads them that is `shift_s` behind."""
    match message:
        case messages.Run(request=request):
            return message._replace(request=request._replace(deadline=request.deadline + shift_s))
        case messages.ResolveAttempt():
            return message._replace(
                deadline=message.deadline + shift_s, reply_by=message.reply_by + shift_s
            )
        case messages.Release():
            return message._replace(reply_by=message.reply_by + shift_s)
