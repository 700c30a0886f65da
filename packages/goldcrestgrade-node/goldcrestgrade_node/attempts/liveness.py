"""Check whether an endpoint that dropped a connection has exited."""

from __future__ import annotations

import asyncio

from goldcrestgrade_node.attempts import pools

CHECK_DELAYS_S = (0.0, 0.01, 0.02, 0.04, 0.08)
"""Delay before each check."""


async def has_exited(host: str, port: int) -> bool:
    """Return whether an endpoint that dropped a connection refuses new ones.

    An exiting process may close its connections before its listening socket, so several checks
    are made.
    """
    for delay_s in CHECK_DELAYS_S:
        await asyncio.sleep(delay_s)
        if await _refuses(host, port):
            return True
    return False


async def _refuses(host: str, port: int) -> bool:
    try:
        async with asyncio.timeout(pools.CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
