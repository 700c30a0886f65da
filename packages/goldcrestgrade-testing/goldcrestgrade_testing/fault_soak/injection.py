"""Injects faults from outside the node processes, and ends them again."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import subprocess
import sys
import typing

from goldcrestgrade_testing.fault_soak import odd_entries, plan, proxy
from goldcrestgrade_testing.fleet_platform import abusive_clients, endpoint, fleet, store

SLOW_DELAY_S = 0.3
"""Delay of a slow store or link, below the timeouts after which nodes consider it silent."""

DEGRADED_PACE = 7.0
"""Pace of a degraded endpoint; 1.0 is normal."""

MAX_COPY_AGE_S = 10
"""Largest age of the copy from which the store comes back, in whole seconds."""

ANSWER_FAULTS = (
    "cut",
    "reset",
    "spoiled",
    "doubled",
    "late",
    "unframed",
    "lost",
    "mute",
    "endless",
    "endless_junk",
    "endless_hints",
)

ABUSED_ADDRESSES = ("calls", "relay", "heartbeats", "readiness", "metrics")
"""Addresses of a node at which clients exceed limits."""

ABUSIVE_CLIENTS = 40
"""Clients that exceed limits at once at one address."""

EARLY_ENDS_S = (0.05, 0.4, 1.0, 2.5)
"""Times after which an evacuation is taken back early, before or after nodes know of it."""

EVACUATION_PAUSE_S = 0.5
"""Time after which a failure domain is evacuated again."""

MAX_SILENT_S = 1.5
"""Longest time for which the new endpoint at a reused address sends no heartbeat."""

DRAIN_S = 0.6
"""Time between a reported drain and the end of an endpoint whose address is reused."""

MAX_CRASHING = 3
"""Endpoints that crash while they run requests for one path."""

BUSY_SERVICE_TIME_S = 0.3
"""Service time of these endpoints, so that requests are in work at all of them at once."""

BUSY_CHECK_INTERVAL_S = 0.005
"""Time between two checks whether they are busy."""

DOWN_S = 0.4
"""Time between the crash of an endpoint and the start of the one that replaces it."""

MAX_FAULT_S = plan.MAX_FAULT_S
"""Longest wait for busy endpoints."""

INTERPRETER_START_S = 0.3
"""Time in which a signal ends a new process, since its interpreter has not run the program yet."""

FREEZE_S = 0.5
"""Time for which a node is frozen while the address of its endpoint is reused."""

STOP_TIMEOUT_S = 6.0
"""Time that the platform allows a node between SIGTERM and SIGKILL."""

EndFault = typing.Callable[[], typing.Awaitable[None]]
"""Ends an injected fault."""


async def inject(running_fleet: fleet.Fleet, fault: plan.Fault) -> EndFault:
    """Begin `fault` and return the function that ends it.

    Raises `ValueError` for an unknown kind, `KeyError` for an unknown fault of a link.
    """
    instance = running_fleet.instances[fault.instance]
    family, _, mode = fault.kind.partition("_")
    match fault.kind:
        case "kill" | "stop":
            return await _end_process(running_fleet, instance, fault.kind == "kill")
        case "pause":
            return _pause(instance)
        case "store_forget":
            running_fleet.store.drop_history()
        case "store_restore":
            return _restore_store(running_fleet, fault.variant)
        case "store_link_reset":
            instance.proxies["store"].reset_all()
        case "store_link_silent":
            return _set_mode(instance.proxies["store"], proxy.Mode.HOLD_ALL)
        case "answers":
            answer_fault = ANSWER_FAULTS[fault.variant % len(ANSWER_FAULTS)]
            instance.endpoint.fail_next_answers(
                endpoint.AnswerFault(answer_fault, 1 + fault.variant % 4)
            )
        case "slow_endpoint":
            instance.endpoint.behaviour.pace = DEGRADED_PACE
            return _restore(instance.endpoint.behaviour, "pace", 1.0)
        case "drain":
            instance.endpoint.behaviour.draining = True
            return lambda: _replace_endpoint(running_fleet, instance)
        case "limit":
            return _limit_rate(instance.endpoint, fault)
        case "leave":
            return _leave(running_fleet, instance, fault.variant)
        case "crash":
            await _replace_endpoint(running_fleet, instance)
        case "cold":
            return await _make_cold(running_fleet, instance, fault.variant)
        case "configure":
            running_fleet.add_route()
        case "withdraw":
            running_fleet.withdraw_key()
        case "reload":
            running_fleet.reload_settings(instance)
        case "evacuate":
            return _evacuate(running_fleet, instance.placement.failure_domain, fault)
        case "hot":
            return _heat(running_fleet)
        case plan.POPULAR_KIND:
            return _crash_under_popular_path(running_fleet, fault.variant)
        case plan.REUSED_KIND:
            return _reuse_address(running_fleet, instance, fault.variant)
        case plan.ABUSIVE_KIND:
            return await _start_abusive_clients(instance, fault.variant)
        case _ if fault.kind in plan.ODD_KINDS:
            return _write_odd_entries(running_fleet, instance, fault)
        case _ if family == "link":
            return _inject_link_fault(instance.proxies["endpoint"], mode)
        case _ if family == "store":
            return _inject_store_fault(instance.store_access, mode)
        case _:
            raise ValueError(fault.kind)
    return _no_op


async def _no_op() -> None:
    """Do nothing, for faults that end by themselves."""


def _restore(owner: typing.Any, name: str, value: typing.Any) -> EndFault:
    async def end() -> None:
        setattr(owner, name, value)

    return end


def _restore_store(running_fleet: fleet.Fleet, variant: int) -> EndFault:
    age_s = 1.0 + variant % MAX_COPY_AGE_S
    away_s = 0.1 * (1 + variant % 7)
    restoring = asyncio.create_task(running_fleet.restore_store(age_s, away_s))

    async def end() -> None:
        await restoring

    return end


def _limit_rate(limited: endpoint.Endpoint, fault: plan.Fault) -> EndFault:
    """Name three rate limits in turn, each for a third of the fault."""
    rates = (2.0 + fault.variant % 8, 1.0 + fault.variant % 5, 1.5 + fault.variant % 11)

    async def change() -> None:
        for rate in rates:
            limited.set_rate_limit(rate)
            await asyncio.sleep((fault.end_s - fault.begin_s) / len(rates))

    changing = asyncio.create_task(change())

    async def end() -> None:
        changing.cancel()
        limited.set_rate_limit(None)

    return end


def _evacuate(running_fleet: fleet.Fleet, domain: str, fault: plan.Fault) -> EndFault:
    """Evacuate a failure domain; two of three evacuations are taken back early and repeated."""
    running_fleet.evacuate(domain)

    async def take_back() -> None:
        await asyncio.sleep(EARLY_ENDS_S[fault.variant % len(EARLY_ENDS_S)])
        running_fleet.end_evacuation(domain)
        await asyncio.sleep(EVACUATION_PAUSE_S)
        running_fleet.evacuate(domain)

    taking_back = asyncio.create_task(take_back()) if fault.variant % 3 else None

    async def end() -> None:
        if taking_back is not None:
            taking_back.cancel()
        running_fleet.end_evacuation(domain)

    return end


def _heat(running_fleet: fleet.Fleet) -> EndFault:
    """Have clients of the workspace send far more than its quota; such faults may overlap."""
    running_fleet.hot_count += 1

    async def end() -> None:
        running_fleet.hot_count -= 1

    return end


def _write_odd_entries(
    running_fleet: fleet.Fleet, instance: fleet.Instance, fault: plan.Fault
) -> EndFault:
    writer = odd_entries.Writer(running_fleet, random.Random(fault.variant))
    match fault.kind:
        case "odd_rows":
            entries = writer.write_rows()
        case "odd_addresses":
            entries = writer.write_unusable_addresses()
        case _:
            entries = writer.send_heartbeats(instance)
    writing = asyncio.create_task(entries)

    async def end() -> None:
        writing.cancel()
        # An error of the writer fails the soak.
        with contextlib.suppress(asyncio.CancelledError):
            await writing

    return end


async def _start_abusive_clients(instance: fleet.Instance, variant: int) -> EndFault:
    """Have clients exceed limits at one address of a node; none of their requests is to be run."""
    rng = random.Random(variant)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        abusive_clients.__file__,
        str(instance.ports[rng.choice(ABUSED_ADDRESSES)]),
        rng.choice(list(abusive_clients.KINDS)),
        str(ABUSIVE_CLIENTS),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.DEVNULL,
    )

    async def end() -> None:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()

    return end


def _leave(running_fleet: fleet.Fleet, instance: fleet.Instance, variant: int) -> EndFault:
    """Have an endpoint say in its answers that it leaves, and in its heartbeats or in none."""
    instance.endpoint.behaviour.leaving = True
    if variant % 2:
        instance.endpoint.behaviour.draining = True
    elif instance.heartbeat_task is not None:
        instance.heartbeat_task.cancel()
    return lambda: _replace_endpoint(running_fleet, instance)


async def _make_cold(
    running_fleet: fleet.Fleet, instance: fleet.Instance, variant: int
) -> EndFault:
    """Have an endpoint become cold while it runs, or return cold, and restart its node or not."""
    if variant % 3 == 0:
        instance.endpoint.become_cold()
        return _no_op
    await _replace_endpoint(running_fleet, instance)
    if variant % 3 == 1:
        return _no_op
    return await _end_process(running_fleet, instance, kill=True)


def _set_mode(link: proxy.Proxy, mode: proxy.Mode, delay_s: float = 0.0) -> EndFault:
    link.set_mode(mode, delay_s)

    async def end() -> None:
        link.set_mode(proxy.Mode.PASS)

    return end


def _inject_link_fault(link: proxy.Proxy, mode: str) -> EndFault:
    if mode == "reset":
        link.reset_all()
        return _no_op
    modes = {
        "delay": proxy.Mode.DELAY,
        "requests": proxy.Mode.HOLD_REQUESTS,
        "answers": proxy.Mode.HOLD_ANSWERS,
        "silent": proxy.Mode.HOLD_ALL,
    }
    return _set_mode(link, modes[mode], SLOW_DELAY_S)


def _inject_store_fault(access: store.AccessPoint, mode: str) -> EndFault:
    if mode == "slow":
        access.delay_s = SLOW_DELAY_S
        return _restore(access, "delay_s", 0.0)
    access.outage = store.Outage(mode)
    return _restore(access, "outage", store.Outage.NONE)


async def _end_process(
    running_fleet: fleet.Fleet, instance: fleet.Instance, kill: bool
) -> EndFault:
    process = instance.process
    assert process is not None
    if kill:
        process.kill()
    else:
        process.terminate()

    async def restart() -> None:
        if instance.process is not process:
            # An overlapping fault has restarted the node already.
            return
        try:
            await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            await asyncio.to_thread(process.wait)
        if instance.process is process:
            running_fleet.start_node(instance)

    return restart


def _pause(instance: fleet.Instance) -> EndFault:
    process = instance.process
    assert process is not None
    if process.poll() is None:
        process.send_signal(signal.SIGSTOP)

    async def resume() -> None:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    return resume


class Reuse(typing.NamedTuple):
    """How the address of an endpoint goes to an endpoint of another service."""

    settings: str
    """When the settings name the new service: `before`, `after` or `never`."""
    node: str
    """What happens to the node meanwhile: it `stays`, or is `killed` or `frozen`."""
    is_drained: bool
    """Whether the former endpoint reports a drain before it ends."""
    is_report_late: bool
    """Whether a heartbeat of the former endpoint arrives after the new one has started."""
    silent_s: float
    """Time for which the new endpoint sends no heartbeat."""


def reuse(variant: int) -> Reuse:
    """Return the details of a reused address that a random number selects."""
    rng = random.Random(variant)
    return Reuse(
        rng.choice(("before", "after", "never")),
        rng.choice(("stays", "stays", "killed", "frozen")),
        rng.random() < 0.3,
        rng.random() < 0.5,
        rng.uniform(0.0, MAX_SILENT_S),
    )


async def reuse_address(
    running_fleet: fleet.Fleet, instance: fleet.Instance, how: Reuse, service: str
) -> None:
    """Have the address of an endpoint go to a new endpoint of another service."""
    former, process = instance.endpoint, instance.process
    if how.is_drained:
        former.behaviour.draining = True
        await asyncio.sleep(DRAIN_S)
    if how.settings == "before":
        running_fleet.assign_service(instance, service)
    if process is not None and process.poll() is None and how.node != "stays":
        process.send_signal(signal.SIGSTOP if how.node == "frozen" else signal.SIGKILL)
    running_fleet.replacement_count += 1
    await running_fleet.replace_endpoint(
        instance,
        f"i-{instance.name}-s{running_fleet.replacement_count}",
        service,
        how.silent_s,
    )
    if process is not None and how.node == "frozen":
        await asyncio.sleep(FREEZE_S)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
    elif process is not None and how.node == "killed" and instance.process is process:
        await asyncio.to_thread(process.wait)
        running_fleet.start_node(instance)
    if how.is_report_late:
        await running_fleet.report(former, instance)
    if how.settings == "after":
        await asyncio.sleep(max(how.silent_s, INTERPRETER_START_S))
        running_fleet.assign_service(instance, service)


def _reuse_address(running_fleet: fleet.Fleet, instance: fleet.Instance, variant: int) -> EndFault:
    """Have an address go to another service, and back at the end."""
    before = instance.placement.service
    services = {one.placement.service for one in running_fleet.instances}
    after = next(iter(sorted(services - {before})), before)
    playing = asyncio.create_task(reuse_address(running_fleet, instance, reuse(variant), after))

    async def end() -> None:
        await playing
        running_fleet.assign_service(instance, before)
        await reuse_address(running_fleet, instance, reuse(variant + 1), before)

    return end


async def crash_busy_endpoints(
    running_fleet: fleet.Fleet, count: int, at_once: bool, path: str = fleet.POPULAR_PATH
) -> None:
    """Crash endpoints that run requests for `path`, at one moment or in turn; others follow."""
    service = path.split("/")[1]
    crashing = [i for i in running_fleet.instances if i.endpoint.service == service][:count]
    for instance in crashing:
        instance.endpoint.behaviour.service_time_s = BUSY_SERVICE_TIME_S
    async with asyncio.timeout(MAX_FAULT_S):
        for together in [crashing] if at_once else [[instance] for instance in crashing]:
            while not all(instance.endpoint.running_targets[path] for instance in together):
                await asyncio.sleep(BUSY_CHECK_INTERVAL_S)
            for instance in together:
                if instance.heartbeat_task is not None:
                    instance.heartbeat_task.cancel()
                await instance.endpoint.stop()
                if "endpoint" in instance.proxies:
                    await instance.proxies["endpoint"].stop()
            # The nodes beside them notice that nothing listens at the addresses.
            await asyncio.sleep(DOWN_S)
            for instance in together:
                await _replace_endpoint(running_fleet, instance)
                if "endpoint" in instance.proxies:
                    await instance.proxies["endpoint"].start()


def _crash_under_popular_path(running_fleet: fleet.Fleet, variant: int) -> EndFault:
    """Have clients request one path while the endpoints that run it crash."""
    running_fleet.popular_count += 1
    crashing = asyncio.create_task(
        crash_busy_endpoints(running_fleet, MAX_CRASHING, at_once=variant % 2 == 0)
    )

    async def end() -> None:
        # Another fault may keep the endpoints from being busy.
        with contextlib.suppress(TimeoutError):
            await crashing
        running_fleet.popular_count -= 1

    return end


async def _replace_endpoint(running_fleet: fleet.Fleet, instance: fleet.Instance) -> None:
    running_fleet.replacement_count += 1
    await running_fleet.replace_endpoint(
        instance, f"i-{instance.name}-r{running_fleet.replacement_count}"
    )
