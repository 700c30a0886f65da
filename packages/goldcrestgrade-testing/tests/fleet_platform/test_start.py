"""Start of a node on the platform."""

import asyncio
import contextlib
import re
import subprocess
import sys

import pytest

from goldcrestgrade_testing.fleet_platform import fleet

COUNT_CERTIFICATES = """
import contextlib, runpy, sys
with contextlib.suppress(SystemExit):
    runpy.run_path(sys.argv[1], run_name="__main__")
from aiohttp import connector
print(connector._SSL_CONTEXT_VERIFIED.cert_store_stats()["x509"])
"""
"""Runs the start program, which ends since it finds no settings, and prints what it has read."""


def test_start_reads_no_certificates(tmp_path):
    """Guards against processor time for TLS while all instances restart and serve nothing."""
    finished = subprocess.run(
        [sys.executable, "-c", COUNT_CERTIFICATES, fleet.START_PROGRAM],
        env={"GOLDCRESTGRADE_SETTINGS": str(tmp_path / "missing.toml")},
        capture_output=True,
        text=True,
        check=True,
    )
    assert "missing.toml" in finished.stderr
    assert finished.stdout == "0\n"


SIGNAL_DELAYS_S = (0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5)
"""Times from the start of a process to SIGHUP; none before the interpreter runs the program."""


@pytest.mark.parametrize("delay_s", SIGNAL_DELAYS_S)
async def test_signal_during_the_start_neither_ends_a_node_nor_is_lost(delay_s):
    """Guards against nodes that end, or keep old settings, as the file changes early."""
    placements = {"east-1": fleet.Placement("east", "r1", "archive")}
    async with fleet.running(placements) as running:
        (east_1,) = running.instances
        east_1.process.kill()
        east_1.process.wait()
        running.start_node(east_1)
        await asyncio.sleep(delay_s)
        running.reload_settings(east_1)
        await running.wait_ready()
        await asyncio.sleep(1.5)
        assert east_1.process.poll() is None
        slacks = re.findall(r'"resend_slack":([0-9.]+)', running.node_log(east_1))
        assert float(slacks[-1]) == running.settings(east_1)["resend_slack"] + 1


CONNECT_INTERVAL_S = 0.005
"""Time between two connection attempts while a node starts."""


async def test_heartbeat_sent_during_the_start_waits_for_the_node():
    """Guards against endpoints that stay unused after a restart, as heartbeats are refused.

    Whoever sends them retries with a growing delay.
    """
    placements = {"east-1": fleet.Placement("east", "r1", "archive")}
    async with fleet.running(placements) as running:
        (east_1,) = running.instances
        east_1.process.kill()
        east_1.process.wait()
        running.start_node(east_1)
        async with asyncio.timeout(fleet.READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(
                        fleet.HOST, east_1.ports["heartbeats"]
                    )
                    break
                await asyncio.sleep(CONNECT_INTERVAL_S)
            with pytest.raises(OSError):
                await asyncio.open_connection(fleet.HOST, east_1.ports["calls"])
            writer.write(b"PUT /-/instances/i-x HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
            assert (await reader.readline()).startswith(b"HTTP/1.1 400 ")
        writer.close()
        await running.wait_ready()


WRITE_DELAY_S = 0.7
"""Time from the start of a process until its settings file is complete."""


async def test_node_that_starts_while_its_settings_are_written_reads_them_again():
    """Guards against a node that ends as its settings file is replaced during the start."""
    placements = {"east-1": fleet.Placement("east", "r1", "archive")}
    async with fleet.running(placements) as running:
        (east_1,) = running.instances
        east_1.process.kill()
        east_1.process.wait()
        running.start_node(east_1)
        path = running.folder / f"{east_1.name}.json"
        complete = path.read_bytes()
        path.write_bytes(b"")
        await asyncio.sleep(WRITE_DELAY_S)
        path.write_bytes(complete)
        await running.wait_ready()
