"""Falcon application of the control address."""

from __future__ import annotations

import hmac
import typing

import falcon
import falcon.asgi
import orjson
import pydantic

from goldcrestgrade import findings, headers, outcomes, statecharts
from goldcrestgrade_node import asgi

PUBLIC_PATHS = frozenset({"/v1/ready", "/metrics"})
"""Paths that need no shared key."""

T = typing.TypeVar("T")

FalconApp = falcon.asgi.App[falcon.asgi.Request, falcon.asgi.Response]
"""Type of the falcon application."""

UNAUTHORIZED = outcomes.Answer(401, (("content-type", "application/json"),), b"{}")
"""Answer to a relayed request without a valid shared key."""

Handler = typing.Callable[[falcon.asgi.Request, falcon.asgi.Response], typing.Awaitable[None]]
"""Handles one method of one path."""


class Resource:
    """Falcon resource with the handlers of one path, by method."""

    def __init__(self, **handlers: Handler) -> None:
        for method, handler in handlers.items():
            setattr(self, f"on_{method}", handler)


class SharedKeyCheck:
    """Middleware that refuses requests without a valid shared key."""

    def __init__(self, keys: typing.Sequence[str]) -> None:
        self.keys = keys

    async def process_request(
        self, request: falcon.asgi.Request, _response: falcon.asgi.Response
    ) -> None:
        """Raise `HTTPUnauthorized` unless the path is public or the request carries a valid key."""
        if request.path not in PUBLIC_PATHS and not is_authorized(
            request.get_header(headers.CONTROL_KEY), self.keys
        ):
            raise falcon.HTTPUnauthorized(title="shared key missing or wrong")


def is_authorized(given: str | None, keys: typing.Iterable[str]) -> bool:
    """Return whether `given` is one of `keys`, in a time that does not depend on the match."""
    candidate = (given or "").encode()
    return sum(hmac.compare_digest(candidate, key.encode()) for key in keys) > 0


async def read_body(request: falcon.asgi.Request) -> bytes:
    """Return the body of `request`; raises `HTTPContentTooLarge` above `MAX_BODY_BYTES`."""
    body = bytes(await request.stream.read(asgi.MAX_BODY_BYTES + 1))
    if len(body) > asgi.MAX_BODY_BYTES:
        raise falcon.HTTPContentTooLarge(title="body too large")
    return body


async def read_document(request: falcon.asgi.Request, adapter: pydantic.TypeAdapter[T]) -> T:
    """Return the document in the body of `request`.

    Raises `HTTPContentTooLarge`, or `HTTPBadRequest` with all findings.
    """
    body = await read_body(request)
    try:
        return adapter.validate_json(body)
    except pydantic.ValidationError as error:
        faults = findings.from_validation("body", error)
        raise falcon.HTTPBadRequest(
            title="invalid document", description="\n".join(map(str, faults))
        ) from error


async def answer_conflict(
    _request: falcon.asgi.Request,
    _response: falcon.asgi.Response,
    error: Exception,
    _params: dict[str, typing.Any],
) -> None:
    """Answer 409 to an event that the state chart does not allow."""
    raise falcon.HTTPConflict(title="not allowed in this state", description=str(error))


def create(keys: typing.Sequence[str], routes: typing.Mapping[str, Resource]) -> FalconApp:
    """Return the application that serves `routes`."""
    app = falcon.asgi.App(middleware=[SharedKeyCheck(keys)])
    app.req_options.strip_url_path_trailing_slash = True
    app.add_error_handler(statecharts.UnexpectedEvent, answer_conflict)
    for path, resource in routes.items():
        app.add_route(path, resource)
    return app


def with_relays(
    app: FalconApp, relays: typing.Mapping[str, asgi.App], keys: typing.Sequence[str]
) -> asgi.App:
    """Return an application that passes paths in `relays` to these applications, others to `app`.

    Relayed requests must carry one of `keys` as the shared key.
    """

    async def dispatch(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        relay = relays.get(scope["path"]) if scope["type"] == "http" else None
        if relay is None:
            await app(dict(scope), receive, send)
            return
        received = dict(asgi.headers_of(scope))
        if is_authorized(received.get(headers.CONTROL_KEY), keys):
            await relay(scope, receive, send)
        else:
            await asgi.send_answer(send, UNAUTHORIZED, "")

    return dispatch


def json_body(value: typing.Any) -> bytes:
    """Return `value` as JSON."""
    return orjson.dumps(value)
