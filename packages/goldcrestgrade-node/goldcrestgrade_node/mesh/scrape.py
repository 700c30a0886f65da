"""Application of the metrics address: counters, histograms and the latest log records."""

from __future__ import annotations

import asyncio
import importlib
import typing

from goldcrestgrade import counters, outcomes
from goldcrestgrade_node import asgi

METRICS_PATH = "/metrics"
"""Path of the metrics in the Prometheus text format."""

RECENT_PATH = "/recent"
"""Path of the latest log records, one JSON object per line."""


def app(counts: counters.Counts, recent: typing.Callable[[], str]) -> asgi.App:
    """Return the application of the metrics address.

    The first scrape loads the metrics SDK, in a thread, so that it does not delay the start.
    """
    registries: list[typing.Any] = []
    loading = asyncio.Lock()

    async def scrape() -> bytes:
        async with loading:
            if not registries:
                telemetry = await asyncio.to_thread(
                    importlib.import_module, "goldcrestgrade.telemetry"
                )
                registries.append(telemetry.register(counts))
        body: bytes = registries[0].scrape()
        return body

    async def serve(scope: asgi.Scope, _receive: asgi.Receive, send: asgi.Send) -> None:
        answer = outcomes.Answer(404, (), b"")
        if scope["path"] == METRICS_PATH:
            text = (("content-type", "text/plain; version=0.0.4"),)
            answer = outcomes.Answer(200, text, await scrape())
        elif scope["path"] == RECENT_PATH:
            answer = outcomes.Answer(200, (("content-type", "text/plain"),), recent().encode())
        await asgi.send_plain(send, answer, close=False)

    return serve
