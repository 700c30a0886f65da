"""Relay of run-once requests from their entry node to the guard of an endpoint."""

from __future__ import annotations

import aiohttp
import orjson
import typing_extensions

from goldcrestgrade import headers, instants, outcomes, reasons, sheet
from goldcrestgrade_node import asgi, requests
from goldcrestgrade_node.attempts import retries
from goldcrestgrade_node.once import guard
from goldcrestgrade_node.routing import evidence

PATH = "/v1/relay"
"""Path of the control address that takes relayed requests."""

CONNECT_TIMEOUT_S = 0.25
"""Longest wait for a connection to a guard."""

META = "goldcrestgrade-relay"
"""Header that carries a `RelayDocument` as JSON."""


class RelayDocument(typing_extensions.TypedDict):
    """What the guard must know of a relayed request beside its body."""

    request_id: str
    service: str
    kind: str
    method: str
    target: str
    headers: list[list[str]]
    idempotency_key: str
    deadline: instants.WallInstant


class RelayClient:
    """Sends run-once requests to guards; owns the connections of its session."""

    def __init__(
        self, session: aiohttp.ClientSession, shared_key: str, clocks: instants.Clocks
    ) -> None:
        self.session = session
        self.shared_key = shared_key
        self.clocks = clocks

    async def run(self, request: requests.Request, endpoint: evidence.Evidence) -> outcomes.Outcome:
        """Return how the guard of `endpoint` ended `request`."""
        now = self.clocks.monotonic()
        try:
            async with self.session.post(
                endpoint.control_url + PATH,
                data=request.body,
                headers={
                    headers.CONTROL_KEY: self.shared_key,
                    META: orjson.dumps(_document(request, self.clocks)).decode(),
                },
                timeout=aiohttp.ClientTimeout(
                    total=request.deadline - now, sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
            ) as response:
                return _outcome(response, await response.read(), self.clocks)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return outcomes.NotRun(reasons.Refusal.GUARD_UNREACHED, now + retries.RETRY_AFTER_S)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return outcomes.Unknown(reasons.Uncertainty.GUARD_LOST)


class RelayApp:
    """ASGI application of a guard that takes relayed requests."""

    def __init__(self, own: guard.Guard, clocks: instants.Clocks) -> None:
        self.own = own
        self.clocks = clocks

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one relayed request."""
        body = await asgi.read_body(receive)
        document: RelayDocument = orjson.loads(dict(asgi.headers_of(scope))[META])
        request = _request(document, body or b"", self.clocks)
        outcome = await self.own.run(request, request.request_id)
        await asgi.send_answer(
            send, _wire(outcome, request.request_id, self.clocks), request.request_id
        )


def _document(request: requests.Request, clocks: instants.Clocks) -> RelayDocument:
    return RelayDocument(
        request_id=request.request_id,
        service=request.service,
        kind=request.kind.name,
        method=request.method,
        target=request.target,
        headers=[list(pair) for pair in request.headers],
        idempotency_key=request.idempotency_key or "",
        deadline=clocks.to_wall(request.deadline),
    )


def _request(document: RelayDocument, body: bytes, clocks: instants.Clocks) -> requests.Request:
    return requests.Request(
        request_id=document["request_id"],
        service=document["service"],
        kind=sheet.Kind(document["kind"], run_once=True, timeout_s=sheet.DEFAULT_TIMEOUT_S),
        method=document["method"],
        target=document["target"],
        headers=tuple((name, value) for name, value in document["headers"]),
        body=body,
        idempotency_key=document["idempotency_key"],
        deadline=clocks.from_wall(document["deadline"]),
        retries_allowed=False,
    )


def _wire(outcome: outcomes.Outcome, request_id: str, clocks: instants.Clocks) -> outcomes.Answer:
    answer = outcomes.to_answer(outcome, request_id, clocks.monotonic())
    if isinstance(outcome, outcomes.Ran):
        return answer._replace(headers=(*answer.headers, (headers.OUTCOME, outcome.tag)))
    return answer


def _outcome(
    response: aiohttp.ClientResponse, body: bytes, clocks: instants.Clocks
) -> outcomes.Outcome:
    tag = response.headers.get(headers.OUTCOME)
    reason = response.headers.get(headers.REASON, "")
    match tag:
        case "ran":
            kept = tuple(
                (name.lower(), value)
                for name, value in response.headers.items()
                if name.lower() not in headers.INTERNAL
                and name.lower() not in (headers.REQUEST_ID, "date", "server")
            )
            return outcomes.Ran(outcomes.Answer(response.status, kept, body))
        case "not_run":
            retry_after_s = response.headers.get("retry-after")
            retry_at = None if retry_after_s is None else clocks.monotonic() + int(retry_after_s)
            return outcomes.NotRun(reasons.Refusal(reason), retry_at)
        case "unknown":
            return outcomes.Unknown(reasons.Uncertainty(reason))
        case _:
            return outcomes.Unknown(reasons.Uncertainty.GUARD_LOST)
