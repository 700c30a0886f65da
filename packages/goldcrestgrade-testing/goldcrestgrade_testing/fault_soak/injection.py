"""Brings troubles about, from outside the programs, and ends them again."""

from __future__ import annotations

import asyncio
import signal
import typing

from goldcrestgrade_testing.fault_soak import plan, proxy
from goldcrestgrade_testing.fleet_platform import endpoint, fleet, store

SLOW_S = 0.3
"""Delay of a slow store or link, below the silence bounds of the nodes."""

PACE = 7.0
"""Pace of a slowed endpoint."""

ANSWER_FAULTS = ("cut", "reset", "spoiled", "doubled", "late", "unframed", "lost")

STOP_S = 6.0
"""Time between SIGTERM and SIGKILL; the platform's."""

End = typing.Callable[[], typing.Awaitable[None]]
"""Ends a trouble."""


async def begin(running_fleet: fleet.Fleet, trouble: plan.Trouble) -> End:
    """Begin a trouble and return what ends it."""
    instance = running_fleet.instances[trouble.instance]
    family, _, form = trouble.kind.partition("_")
    match trouble.kind:
        case "kill" | "stop":
            return await _end_process(running_fleet, instance, trouble.kind == "kill")
        case "pause":
            return _pause(instance)
        case "store_forget":
            running_fleet.store.drop_history()
        case "store_link_reset":
            instance.proxies["store"].reset_all()
        case "store_link_silent":
            return _hold(instance.proxies["store"], proxy.Mode.HOLD_ALL)
        case "answers":
            fault = ANSWER_FAULTS[trouble.variant % len(ANSWER_FAULTS)]
            instance.endpoint.fail_next_answers(
                endpoint.AnswerFault(fault, 1 + trouble.variant % 4)
            )
        case "slow_endpoint":
            instance.endpoint.behaviour.pace = PACE
            return _restore(instance.endpoint.behaviour, "pace", 1.0)
        case "drain":
            instance.endpoint.behaviour.draining = True
            return lambda: _replace(running_fleet, instance)
        case "crash":
            await _replace(running_fleet, instance)
        case "configure":
            running_fleet.add_route()
        case "reload":
            running_fleet.reload_settings(instance)
        case _ if family == "link":
            return _disturb(instance.proxies["endpoint"], form)
        case _ if family == "store":
            return _disturb_store(instance.store_access, form)
        case _:
            raise ValueError(trouble.kind)
    return _nothing


async def _nothing() -> None:
    """End a trouble that ended by itself."""


def _restore(owner: typing.Any, name: str, value: typing.Any) -> End:
    async def end() -> None:
        setattr(owner, name, value)

    return end


def _hold(link: proxy.Proxy, mode: proxy.Mode, delay_s: float = 0.0) -> End:
    link.set_mode(mode, delay_s)

    async def end() -> None:
        link.set_mode(proxy.Mode.PASS)

    return end


def _disturb(link: proxy.Proxy, form: str) -> End:
    if form == "reset":
        link.reset_all()
        return _nothing
    modes = {
        "delay": proxy.Mode.DELAY,
        "requests": proxy.Mode.HOLD_REQUESTS,
        "answers": proxy.Mode.HOLD_ANSWERS,
        "silent": proxy.Mode.HOLD_ALL,
    }
    return _hold(link, modes[form], SLOW_S)


def _disturb_store(access: store.AccessPoint, form: str) -> End:
    if form == "slow":
        access.delay_s = SLOW_S
        return _restore(access, "delay_s", 0.0)
    access.outage = store.Outage(form)
    return _restore(access, "outage", store.Outage.NONE)


async def _end_process(running_fleet: fleet.Fleet, instance: fleet.Instance, kill: bool) -> End:
    process = instance.process
    assert process is not None
    if kill:
        process.kill()
    else:
        process.terminate()

    async def start_again() -> None:
        if instance.process is not process:
            # A trouble that overlapped has started it.
            return
        try:
            await asyncio.to_thread(process.wait, STOP_S)
        except TimeoutError:
            process.kill()
            await asyncio.to_thread(process.wait)
        if instance.process is process:
            running_fleet.start_node(instance)

    return start_again


def _pause(instance: fleet.Instance) -> End:
    process = instance.process
    assert process is not None
    if process.poll() is None:
        process.send_signal(signal.SIGSTOP)

    async def resume() -> None:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    return resume


async def _replace(running_fleet: fleet.Fleet, instance: fleet.Instance) -> None:
    running_fleet.replacement_count += 1
    await running_fleet.replace_endpoint(
        instance, f"i-{instance.name}-r{running_fleet.replacement_count}"
    )
