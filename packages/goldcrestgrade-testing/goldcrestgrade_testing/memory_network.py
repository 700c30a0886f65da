"""Network in memory that carries messages between nodes, with faults."""

from __future__ import annotations

import asyncio
import collections
import random
import typing

from goldcrestgrade import instants
from goldcrestgrade_node.once import messages
from goldcrestgrade_testing import schedules

ONE_WAY_DELAY_S = 0.002
"""Delay of a message that no fault delays; replies are not delayed."""

AFFECTED_SHARE = 0.6
"""Share of messages and replies that an active fault affects; a cut between regions affects all."""

LATE_DELAY_RANGE_S = (0.2, 3.0)
"""Shortest and longest delay of a late message and of the extra copy of a duplicated one."""

ActiveFaults = collections.Counter[schedules.FaultKind]
"""Number of active faults of each kind."""


class Receiver(typing.Protocol):
    """A process that receives messages."""

    region: int
    skew_s: float
    up: bool
    crashed: asyncio.Event

    async def receive(self, message: messages.Message) -> messages.Reply:
        """Return the reply to `message`; wait while the process is paused."""
        ...


class Network:
    """The connections between all nodes of a run; owned by its event loop."""

    def __init__(self, active_faults: ActiveFaults, rng: random.Random) -> None:
        self.active_faults = active_faults
        self.rng = rng
        self.receivers: dict[str, Receiver] = {}
        self.previous_reply: messages.Reply | None = None
        self.deliveries: set[asyncio.Task[messages.Reply]] = set()

    def is_affected(self, kind: schedules.FaultKind) -> bool:
        """Return whether an active fault of `kind` affects a message or reply, drawn at random."""
        return self.active_faults[kind] > 0 and self.rng.random() < AFFECTED_SHARE

    def is_cut(self, sender_region: int, receiver_region: int) -> bool:
        """Return whether the connection between two regions is cut."""
        return (
            self.active_faults[schedules.FaultKind.REGIONS_CUT] > 0
            and sender_region != receiver_region
        )

    def draw_late_delay_s(self) -> float:
        """Return a random delay for a late message or an extra copy."""
        return self.rng.uniform(*LATE_DELAY_RANGE_S)

    def deliver(
        self, receiver: Receiver, message: messages.Message, delay_s: float
    ) -> asyncio.Task[messages.Reply]:
        """Deliver `message` after `delay_s`, even if its sender stops waiting for the reply."""
        task = asyncio.create_task(_deliver_after(receiver, message, delay_s))
        self.deliveries.add(task)
        task.add_done_callback(self._finish_delivery)
        return task

    def _finish_delivery(self, task: asyncio.Task[messages.Reply]) -> None:
        self.deliveries.discard(task)
        if not task.cancelled():
            # Marks an exception as retrieved, so that asyncio does not log it.
            task.exception()


async def _deliver_after(
    receiver: Receiver, message: messages.Message, delay_s: float
) -> messages.Reply:
    await asyncio.sleep(delay_s)
    if not receiver.up:
        raise messages.ReplyLost("receiver is not running")
    return await receiver.receive(message)


class MemoryGuardClient:
    """Sends the messages of one process over the network in memory."""

    def __init__(self, network: Network, region: int, skew_s: float) -> None:
        self.network = network
        self.region = region
        self.skew_s = skew_s

    async def exchange(
        self, control_url: str, message: messages.Message, deadline: instants.Instant
    ) -> messages.Reply:
        """Return the reply by `deadline`; raises `Unreachable` or `ReplyLost`.

        If `REPLIES_CROSSED` affects the reply, returns the reply of the preceding exchange instead.
        """
        try:
            async with asyncio.timeout_at(deadline):
                reply = await self._exchange(control_url, message)
        except TimeoutError as error:
            raise messages.ReplyLost("no reply by the deadline") from error
        previous_reply = self.network.previous_reply
        self.network.previous_reply = reply
        if previous_reply is not None and self.network.is_affected(
            schedules.FaultKind.REPLIES_CROSSED
        ):
            return previous_reply
        return reply

    async def _exchange(self, control_url: str, message: messages.Message) -> messages.Reply:
        network = self.network
        receiver = network.receivers[control_url]
        message = shift_deadlines(message, self.skew_s - receiver.skew_s)
        if not receiver.up:
            await asyncio.sleep(2 * ONE_WAY_DELAY_S)
            raise messages.Unreachable("receiver is not running")
        if network.is_cut(self.region, receiver.region) or network.is_affected(
            schedules.FaultKind.MESSAGES_LOST
        ):
            await asyncio.Event().wait()
        if network.is_affected(schedules.FaultKind.MESSAGES_DOUBLED):
            network.deliver(receiver, message, network.draw_late_delay_s())
        is_late = network.is_affected(schedules.FaultKind.MESSAGES_LATE)
        delivery = network.deliver(
            receiver, message, network.draw_late_delay_s() if is_late else ONE_WAY_DELAY_S
        )
        reply = await self._await_reply(receiver, delivery)
        if network.is_cut(self.region, receiver.region) or network.is_affected(
            schedules.FaultKind.REPLIES_LOST
        ):
            await asyncio.Event().wait()
        return reply

    async def _await_reply(
        self, receiver: Receiver, delivery: asyncio.Task[messages.Reply]
    ) -> messages.Reply:
        crash = asyncio.create_task(receiver.crashed.wait())
        try:
            await asyncio.wait({delivery, crash}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            crash.cancel()
        if not delivery.done():
            raise messages.ReplyLost("receiver crashed before its reply")
        return delivery.result()


def shift_deadlines(message: messages.Message, shift_s: float) -> messages.Message:
    """Return `message` as read by a receiver whose wall clock is `shift_s` behind the sender's.

    Deadlines are sent as wall instants, so a slow clock reaches them later by the difference.
    """
    match message:
        case messages.Run(request=request):
            return message._replace(request=request._replace(deadline=request.deadline + shift_s))
        case messages.ResolveAttempt():
            return message._replace(
                deadline=message.deadline + shift_s, reply_by=message.reply_by + shift_s
            )
        case messages.Release():
            return message._replace(reply_by=message.reply_by + shift_s)
