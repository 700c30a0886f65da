"""Attempts over HTTP: one request, sent at most once, on one connection."""

from __future__ import annotations

import typing

import aiohttp
import yarl

from goldcrestgrade import headers, instants, outcomes, reasons
from goldcrestgrade_node import requests
from goldcrestgrade_node.attempts import results

CONNECT_TIMEOUT_S = 0.25
"""Longest wait for a new connection to an endpoint."""

_DROPPED = headers.HOP_BY_HOP | headers.INTERNAL | {"host", "content-length", headers.DEADLINE}


class Attempt(typing.NamedTuple):
    """One request on its way to one endpoint."""

    attempt_id: str
    request: requests.Request
    host: str
    port: int
    caller_region: str


class HttpTransport:
    """Sends attempts to endpoints; owns the connections of its session."""

    def __init__(self, session: aiohttp.ClientSession, clocks: instants.Clocks) -> None:
        self.session = session
        self.clocks = clocks

    async def send(self, attempt: Attempt) -> results.AttemptResult:
        """Send `attempt` and return how it ended, at the latest at the request's deadline."""
        remaining_s = attempt.request.deadline - self.clocks.monotonic()
        if remaining_s <= 0:
            return results.Unreached("deadline passed")
        try:
            return await self._exchange(attempt, remaining_s)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return results.Unreached(str(error))
        except TimeoutError:
            return results.Broken(reasons.Uncertainty.TIMED_OUT)
        except aiohttp.ClientPayloadError:
            return results.Broken(reasons.Uncertainty.ANSWER_CUT)
        except (aiohttp.ClientError, OSError):
            return results.Broken(reasons.Uncertainty.ANSWER_LOST)

    async def _exchange(self, attempt: Attempt, remaining_s: float) -> results.AttemptResult:
        request = attempt.request
        url = yarl.URL(f"http://{attempt.host}:{attempt.port}{request.target}", encoded=True)
        async with self.session.request(
            request.method,
            url,
            data=request.body or None,
            headers=self._headers(attempt),
            timeout=aiohttp.ClientTimeout(total=remaining_s, sock_connect=CONNECT_TIMEOUT_S),
            allow_redirects=False,
        ) as response:
            body = await response.read()
            if response.headers.get(headers.ATTEMPT_ID, attempt.attempt_id) != attempt.attempt_id:
                response.close()
                return results.Broken(reasons.Uncertainty.ANSWER_LOST)
            return _result(response, body)

    def _headers(self, attempt: Attempt) -> list[tuple[str, str]]:
        request = attempt.request
        carried = [(name, value) for name, value in request.headers if name not in _DROPPED]
        return [
            *carried,
            (headers.REQUEST_ID, request.request_id),
            (headers.ATTEMPT_ID, attempt.attempt_id),
            (headers.DEADLINE, f"{self.clocks.to_wall(request.deadline):.6f}"),
            (headers.CALLER_REGION, attempt.caller_region),
            (headers.NO_RETRY, "1"),
        ]


def _result(response: aiohttp.ClientResponse, body: bytes) -> results.AttemptResult:
    load = parse_load(response.headers.get(headers.LOAD))
    if response.status == 503 and headers.NOT_RUN in response.headers:
        return results.Shed(load)
    kept = tuple(
        (name.lower(), value)
        for name, value in response.headers.items()
        if name.lower() not in _DROPPED
    )
    return results.Answered(outcomes.Answer(response.status, kept, body), load)


def parse_load(text: str | None) -> int | None:
    """Return the load in a header, or none where it is absent or not a number."""
    return int(text) if text is not None and text.isdecimal() and len(text) < 7 else None
