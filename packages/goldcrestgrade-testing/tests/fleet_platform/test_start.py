"""Start of a node on the platform."""

import subprocess
import sys

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
