"""Another writer, which leaves odd rows in the store and sends odd heartbeats to nodes.

Each entry is a proper one in which some fields have other values: the extremes of each type, or no
value at all. Some rows are no JSON at all, or nested deeper than can be written again.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import itertools
import random
import typing

import aiohttp
import orjson

from goldcrestgrade_testing import processes
from goldcrestgrade_testing.fleet_platform import fleet

MESH, OPERATOR = "goldcrestgrade", "op"
"""Tables of the platform's store that nodes watch."""

INTERVAL_S = (0.02, 0.3)
"""Shortest and longest time between two odd entries."""

MISSING = object()
"""Stands for a field that is left out."""

NUMBERS = (0, -1, 1, 65_535, 65_536, 70_000, 2**31 - 1, 2**53, 2**63, 2**64 - 1, -(2**63))
FRACTIONS = (0.5, -0.5, 1e308, -1e308, 5e-324)
TEXTS = ("", "x", "x" * 5000, "\0\n\u00e9\U0010ffff", "::1", "localhost", "odd.invalid", "9" * 400)
DURATIONS = ("0ms", "1ms", "99999999999s", "9" * 400 + "s", "-1s", "1h")
VALUES: tuple[typing.Any, ...] = (
    *(MISSING, None, True, False, [], {}, [[1]], {"a": {"b": 1}}),
    *NUMBERS,
    *FRACTIONS,
    *TEXTS,
    *DURATIONS,
)
"""Values that a field of an odd entry may have."""

NESTING_DEPTHS = (64, 200, 253, 254, 300, 1000, 1023, 1025, 8000)

UNREADABLE = (b"", b"\xff\xfe", b"[]", b"7", b"null", b'{"a":1e400}', b'{"a":"\\ud800"}')

ROW_KEYS = ("instance/", "instance/ ", "instance/odd", "instance/a/b", "instance/\0", "instance")
"""Keys of rows that belong to no instance of the fleet."""

MAX_KEY_BYTES = 200
"""Longest key that the store takes."""

UNUSABLE_ADDRESSES = (
    (fleet.HOST, 0),
    (fleet.HOST, 65_536),
    (fleet.HOST, 70_000),
    ("odd.invalid", 1),
)
"""Hosts and ports to which no connection can be opened."""

UNUSABLE_ROWS = 20
"""Number of rows with such addresses."""


def spoil(rng: random.Random, entry: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return a copy of an entry in which one to three fields, at any depth, are odd."""
    spoilt: dict[str, typing.Any] = orjson.loads(orjson.dumps(entry))
    for _ in range(rng.randint(1, 3)):
        owner: typing.Any = spoilt
        while True:
            name = rng.choice(sorted(owner) if isinstance(owner, dict) else range(len(owner)))
            inner = owner[name]
            if not isinstance(inner, dict | list) or not inner or rng.random() < 0.2:
                break
            owner = inner
        value = rng.choice(VALUES)
        if value is MISSING:
            del owner[name]
        else:
            owner[name] = copy.deepcopy(value)
        if not spoilt:
            break
    return spoilt


def _nested(depth: int) -> bytes:
    return b'{"odd":' + b"[" * depth + b"]" * depth + b"}"


class Writer:
    """Writes odd entries until cancelled; owned by the event loop of the soak."""

    def __init__(self, running_fleet: fleet.Fleet, rng: random.Random) -> None:
        self.fleet = running_fleet
        self.rng = rng

    async def write_rows(self) -> None:
        """Write odd rows to the store."""
        while True:
            self._write_row()
            await asyncio.sleep(self.rng.uniform(*INTERVAL_S))

    async def write_unusable_addresses(self) -> None:
        """Write rows of instances that say they serve at addresses that no connection can reach."""
        for count in itertools.count():
            row = self._instance_row(self.rng.choice(self.fleet.instances))
            row["host"], row["port"] = self.rng.choice(UNUSABLE_ADDRESSES)
            key = f"instance/odd-{count % UNUSABLE_ROWS}"
            self.fleet.store.write_bytes(MESH, key, orjson.dumps(row))
            await asyncio.sleep(INTERVAL_S[0])

    async def send_heartbeats(self, instance: fleet.Instance) -> None:
        """Send odd heartbeats and odd departures to the node of an instance."""
        while True:
            await self._send_heartbeat(instance)
            await asyncio.sleep(self.rng.uniform(*INTERVAL_S))

    def _write_row(self) -> None:
        instance = self.rng.choice(self.fleet.instances)
        if self.rng.random() < 0.2:
            self.fleet.store.write_bytes(OPERATOR, self._operator_key(), self._bytes({"a": 1}))
            return
        kind = self.rng.choice(["instance", "instance", "suspect", "departure"])
        match kind:
            case "instance":
                row = self._instance_row(instance)
                keys = (*ROW_KEYS, "instance/" + "x" * (MAX_KEY_BYTES - 9))
                key = self.rng.choice((*keys, f"instance/{instance.name}"))
            case "suspect":
                row = {"until": 1.0}
                key = self.rng.choice(("suspect/", "suspect/d", "suspect/d/e", "suspect/d/e/f"))
            case _:
                row = {"endpoint_id": instance.endpoint.endpoint_id, "born_ms": 1, "recorded_ms": 1}
                key = self.rng.choice(("departure/", f"departure/{instance.name}", "departure/a/b"))
        self.fleet.store.write_bytes(MESH, key, self._bytes(row))

    def _instance_row(self, instance: fleet.Instance) -> dict[str, typing.Any]:
        """Return a row at the address of an instance, or at one where nothing listens."""
        port = self.rng.choice((instance.ports["relay"], processes.free_ports(1)[0]))
        return {
            "host": fleet.HOST,
            "port": port,
            "place": {
                "failure_domain": instance.placement.failure_domain,
                "region": instance.placement.region,
            },
            "service": instance.placement.service,
            "serving": True,
            "started_ms": self.rng.randrange(2**40),
        }

    def _operator_key(self) -> str:
        return self.rng.choice(("odd", "evacuate", "evacuate/", "evacuate/odd", "configs"))

    def _bytes(self, row: dict[str, typing.Any]) -> bytes:
        draw = self.rng.random()
        if draw < 0.15:
            return self.rng.choice(UNREADABLE)
        if draw < 0.3:
            return _nested(self.rng.choice(NESTING_DEPTHS))
        if draw < 0.5:
            # Odd by its key alone, or plausible.
            return orjson.dumps(row)
        return orjson.dumps(spoil(self.rng, row))

    async def _send_heartbeat(self, instance: fleet.Instance) -> None:
        endpoint = instance.endpoint
        heartbeat = endpoint.heartbeat(
            instance.address("endpoint"), instance.placement.failure_domain
        )
        method = "PUT" if self.rng.random() < 0.9 else "DELETE"
        endpoint_id = endpoint.endpoint_id if method == "PUT" else "odd"
        if self.rng.random() < 0.1:
            endpoint_id = self.rng.choice(("odd", "%00", "x" * 5000))
        body = self._bytes(heartbeat)
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self.fleet.session.request(
                method,
                f"http://{instance.address('heartbeats')}/-/instances/{endpoint_id}",
                data=body,
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                await response.read()
