"""Runs the Letters Desk on loopback and reports whether the promises held.

The platform, the endpoints and the callers run in this process; each node is a process.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import typing
import uuid

import aiohttp
import orjson
from hdrh import histogram

from goldcrestgrade import headers, http_client, settings
from goldcrestgrade_operator.sheets import acceptance
from goldcrestgrade_testing import endpoint_server, letters_desk, memory_platform, platform_server

FIRST_PORT = 20100
PLATFORM_PORT = 20099
CALL_RATE = 120.0
"""Calls a second through the nodes."""
LOAD_S = 12.0
"""Time for which calls are made."""
DRAINED = "archive-khomas-a"
"""Node that is stopped under load."""
START_TIMEOUT_S = 20.0
"""Longest wait for the nodes to be ready."""


class Report(typing.NamedTuple):
    """What the callers saw."""

    answered: int
    refusals: dict[str, int]
    wrong: int
    """Answers that were not whole or not to their own request."""
    keys: frozenset[str]
    through: histogram.HdrHistogram
    direct: histogram.HdrHistogram


class Callers:
    """Callers of the Letters Desk; owned by one task."""

    def __init__(self, session: aiohttp.ClientSession, places: list[letters_desk.Place]) -> None:
        self.session = session
        self.places = places
        self.rng = random.Random(1)
        self.answered = 0
        self.wrong = 0
        self.refusals: dict[str, int] = {}
        self.keys: set[str] = set()
        self.through = histogram.HdrHistogram(1, 60_000_000, 3)
        self.direct = histogram.HdrHistogram(1, 60_000_000, 3)

    async def run(self, until: float, leaving: set[str]) -> Report:
        """Make calls until the instant `until`, each at its own time."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                if loop.time() >= until:
                    break
                group.create_task(self._call(number, leaving))
                await asyncio.sleep(self.rng.expovariate(CALL_RATE))
        return Report(
            self.answered,
            self.refusals,
            self.wrong,
            frozenset(self.keys),
            self.through,
            self.direct,
        )

    async def _call(self, number: int, leaving: set[str]) -> None:
        entries = [place for place in self.places if place.node_id not in leaving]
        entry = self.rng.choice(entries)
        target = self.rng.choice([p for p in entries if p.region == entry.region])
        path = f"/letters/{number}"
        if number % 10 == 0:
            await self._post(entry, target.service, path)
        elif number % 2:
            await self._get(
                f"http://127.0.0.1:{entry.calls_port}{path}", target, path, self.through
            )
        else:
            url = f"http://127.0.0.1:{target.endpoint_port}{path}"
            await self._get(url, target, path, self.direct)

    async def _get(
        self,
        url: str,
        target: letters_desk.Place,
        path: str,
        latencies: histogram.HdrHistogram,
    ) -> None:
        started = time.perf_counter()
        fields = {headers.SERVICE: target.service}
        async with self.session.get(url, headers=fields) as response:
            body = await response.read()
        latencies.record_value(int((time.perf_counter() - started) * 1e6))
        self._judge(response, body, path, None)

    async def _post(self, entry: letters_desk.Place, service: str, path: str) -> None:
        key = uuid.UUID(int=self.rng.getrandbits(128)).hex
        self.keys.add(key)
        fields = {headers.SERVICE: service, headers.IDEMPOTENCY_KEY: key}
        url = f"http://127.0.0.1:{entry.calls_port}{path}"
        for _ in range(2):
            async with self.session.post(url, headers=fields, data=b"letter") as response:
                body = await response.read()
            self._judge(response, body, path, key)

    def _judge(
        self, response: aiohttp.ClientResponse, body: bytes, path: str, key: str | None
    ) -> None:
        if response.status != 200:
            reason = response.headers.get(headers.REASON, str(response.status))
            self.refusals[reason] = self.refusals.get(reason, 0) + 1
            return
        document = orjson.loads(body)
        self.answered += 1
        self.wrong += document["path"] != path or document["key"] != key


def main() -> None:
    """Run the demo; exit status 1 if a promise was broken."""
    sys.exit(asyncio.run(_demo()))


async def _demo() -> int:
    places = letters_desk.places(FIRST_PORT)
    tables = memory_platform.MemoryTables()
    objects = memory_platform.MemoryObjects()
    platform: settings.Address = {"host": letters_desk.HOST, "port": PLATFORM_PORT}
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(http_client.open_session(2000, 30.0))
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        background = [asyncio.create_task(platform_server.serve(platform, tables, objects))]
        endpoints = {place.node_id: _endpoint(place) for place in places}
        for place in places:
            background += _start_endpoint(endpoints[place.node_id], place, session)
        processes = {place.node_id: _start_node(place, folder) for place in places}
        stack.callback(_stop_all, list(processes.values()))
        applied_at = time.monotonic()
        document = letters_desk.sheet_document("2026-01-01")
        head = await acceptance.read_head(tables)
        await acceptance.accept(tables, objects, document, head, "demo")
        await _wait_ready(places, session)
        spread_s = time.monotonic() - applied_at
        report, drain_s = await _load(places, session, processes[DRAINED])
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
    return _print(report, list(endpoints.values()), spread_s, drain_s, processes[DRAINED])


async def _load(
    places: list[letters_desk.Place],
    session: aiohttp.ClientSession,
    drained: subprocess.Popen[bytes],
) -> tuple[Report, float]:
    leaving: set[str] = set()
    until = asyncio.get_running_loop().time() + LOAD_S
    running = asyncio.create_task(Callers(session, places).run(until, leaving))
    await asyncio.sleep(LOAD_S / 2)
    leaving.add(DRAINED)
    started = time.monotonic()
    drained.send_signal(signal.SIGTERM)
    await asyncio.to_thread(drained.wait)
    drain_s = time.monotonic() - started
    return await running, drain_s


def _endpoint(place: letters_desk.Place) -> endpoint_server.Endpoint:
    return endpoint_server.Endpoint(
        place.service,
        place.node_id,
        place.region,
        endpoint_server.Behaviour(),
        random.Random(place.endpoint_port),
    )


def _start_endpoint(
    endpoint: endpoint_server.Endpoint,
    place: letters_desk.Place,
    session: aiohttp.ClientSession,
) -> list[asyncio.Task[None]]:
    address: settings.Address = {"host": letters_desk.HOST, "port": place.endpoint_port}
    control_url = f"http://{letters_desk.HOST}:{place.control_port}"
    return [
        asyncio.create_task(endpoint_server.serve(endpoint, address)),
        asyncio.create_task(
            endpoint_server.announce_forever(
                endpoint, address, control_url, letters_desk.SHARED_KEY, session
            )
        ),
    ]


def _start_node(place: letters_desk.Place, folder: pathlib.Path) -> subprocess.Popen[bytes]:
    path = folder / f"{place.node_id}.json"
    path.write_bytes(orjson.dumps(letters_desk.node_settings(place, PLATFORM_PORT)))
    return subprocess.Popen(
        [sys.executable, "-m", "goldcrestgrade_node", f"--settings={path}", "--log_level=warning"]
    )


async def _wait_ready(places: list[letters_desk.Place], session: aiohttp.ClientSession) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        for place in places:
            while not await _knows_all(place, len(places), session):
                await asyncio.sleep(0.1)


async def _knows_all(place: letters_desk.Place, count: int, session: aiohttp.ClientSession) -> bool:
    url = f"http://{letters_desk.HOST}:{place.control_port}/v1/status"
    try:
        async with session.get(
            url, headers={headers.CONTROL_KEY: letters_desk.SHARED_KEY}
        ) as response:
            status = orjson.loads(await response.read())
    except aiohttp.ClientError:
        return False
    ready = sum(member["state"] == "ready" for member in status["members"])
    return bool(status["sheet_version"] > 0 and ready == count)


def _stop_all(processes: list[subprocess.Popen[bytes]]) -> None:
    for process in processes:
        process.send_signal(signal.SIGTERM)
    for process in processes:
        process.send_signal(signal.SIGTERM)
        process.wait()


def _print(
    report: Report,
    endpoints: list[endpoint_server.Endpoint],
    spread_s: float,
    drain_s: float,
    drained: subprocess.Popen[bytes],
) -> int:
    starts = [e.idempotency_key for endpoint in endpoints for e in endpoint.executions]
    run_once = [key for key in starts if key]
    broken = [
        text
        for holds, text in (
            (len(run_once) == len(set(run_once)), "a key ran twice"),
            (set(run_once) == report.keys, "a key that was answered did not run"),
            (report.wrong == 0, "a wrong answer"),
            (not report.refusals, "a call was refused or cut"),
            (drained.returncode == 0, "the drained node did not exit with status 0"),
        )
        if not holds
    ]
    lines = [
        ("answered calls", report.answered),
        ("refused or unknown", report.refusals or 0),
        ("run-once keys", len(report.keys)),
        ("run-once executions", len(run_once)),
        *(
            (f"{name} p50 / p99", f"{_ms(latencies, 50)} / {_ms(latencies, 99)} ms")
            for name, latencies in (("direct", report.direct), ("one node", report.through))
        ),
        ("start to sheet in force on all", f"{spread_s:.1f} s"),
        ("drain under load", f"{drain_s:.1f} s, exit status {drained.returncode}"),
    ]
    print("\n".join(f"{name:32} {value}" for name, value in lines))
    print("\n".join(f"BROKEN: {text}" for text in broken) or "every promise held")
    return 1 if broken else 0


def _ms(latencies: histogram.HdrHistogram, percentile: float) -> str:
    return f"{latencies.get_value_at_percentile(percentile) / 1000:.1f}"


if __name__ == "__main__":
    main()
