"""Routes of the control address."""

from __future__ import annotations

import typing

import falcon
import falcon.asgi
import pydantic
import typing_extensions

from goldcrestgrade import control_messages, headers
from goldcrestgrade_node.configuration import adoption
from goldcrestgrade_node.control import app
from goldcrestgrade_node.endpoint import lifecycle
from goldcrestgrade_node.membership import exchange, members, messages

ANNOUNCEMENT: pydantic.TypeAdapter[lifecycle.AnnounceDocument] = pydantic.TypeAdapter(
    lifecycle.AnnounceDocument
)


MAX_VERSION_DIGITS = 15
"""Largest number of digits of a sheet version in a request."""


class ReadyDocument(typing_extensions.TypedDict):
    """Readiness of a node; `reason` is empty if it is ready."""

    ready: bool
    reason: str


def endpoint_resource(endpoint: lifecycle.Lifecycle) -> app.Resource:
    """Return the resource by which this node's endpoint announces itself and leaves."""

    async def announce(request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        endpoint.announce(await app.read_document(request, ANNOUNCEMENT))
        response.set_header(headers.ENDPOINT_STATE, endpoint.state)
        response.status = falcon.HTTP_204

    async def leave(_request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        endpoint.leave()
        response.status = falcon.HTTP_202

    return app.Resource(post=announce, delete=leave)


def drain_resource(endpoint: lifecycle.Lifecycle) -> app.Resource:
    """Return the resource by which operators drain the endpoint and read the state of the drain."""

    async def drain(_request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        endpoint.leave()
        response.status = falcon.HTTP_202

    async def get(_request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.data = app.json_body(
            control_messages.DrainDocument(state=endpoint.state, in_flight=endpoint.in_flight)
        )

    return app.Resource(post=drain, get=get)


def exchange_resource(node_exchange: exchange.Exchange) -> app.Resource:
    """Return the resource by which peers exchange new state."""

    async def receive(request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        received = await app.read_document(request, messages.EXCHANGE)
        response.data = app.json_body(node_exchange.receive(received))

    return app.Resource(post=receive)


def reconcile_resource(node_exchange: exchange.Exchange) -> app.Resource:
    """Return the resource by which peers reconcile entries that differ."""

    async def reconcile(request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        received = await app.read_document(request, messages.RECONCILE)
        response.data = app.json_body(node_exchange.reconcile(received))

    return app.Resource(post=reconcile)


def probe_resource(node_exchange: exchange.Exchange) -> app.Resource:
    """Return the resource by which peers ask whether this node reaches another one."""

    async def probe(request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        received = await app.read_document(request, messages.PROBE)
        response.data = app.json_body(await node_exchange.probe(received))

    return app.Resource(post=probe)


def sheet_resource(sheets: adoption.Adoption) -> app.Resource:
    """Return the resource by which peers fetch the sheet in force and operators put a newer one."""

    async def get(request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        if sheets.in_force is None:
            raise falcon.HTTPNotFound(title="no sheet in force")
        response.set_header(headers.SHEET_VERSION, str(sheets.version))
        if request.get_header("accept-encoding") == "deflate":
            response.set_header("content-encoding", "deflate")
            response.data = sheets.compressed()
        else:
            response.data = sheets.in_force.body

    async def put(request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        version = request.get_header(headers.SHEET_VERSION) or ""
        if not version.isdecimal() or len(version) > MAX_VERSION_DIGITS:
            raise falcon.HTTPBadRequest(title="version missing or not a number")
        if not sheets.adopt_if_newer(int(version), await app.read_body(request)):
            raise falcon.HTTPConflict(title="not newer than the sheet in force, or invalid")
        response.status = falcon.HTTP_204

    return app.Resource(get=get, put=put)


def adoption_resource(sheets: adoption.Adoption) -> app.Resource:
    """Return the resource that reports the sheet version in force to operators."""

    async def get(_request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.data = app.json_body(
            control_messages.AdoptionDocument(sheet_version=sheets.version)
        )

    return app.Resource(get=get)


def ready_resource(
    sheets: adoption.Adoption, is_draining: typing.Callable[[], bool]
) -> app.Resource:
    """Return the resource that reports whether clients may use this node."""

    async def get(_request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        reason = "draining" if is_draining() else "no sheet" if sheets.in_force is None else ""
        response.status = falcon.HTTP_503 if reason else falcon.HTTP_200
        response.data = app.json_body(ReadyDocument(ready=not reason, reason=reason))

    return app.Resource(get=get)


def status_resource(
    own: members.OwnRecord,
    fleet_members: members.Members,
    sheets: adoption.Adoption,
    in_flight: typing.Callable[[], int],
) -> app.Resource:
    """Return the resource that reports the state of this node to operators."""

    async def get(_request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.data = app.json_body(
            control_messages.StatusDocument(
                node_id=own.record["node_id"],
                state=own.record["state"],
                sheet_version=sheets.version,
                sheet_day="" if sheets.in_force is None else sheets.in_force.day,
                in_flight=in_flight(),
                members=fleet_members.alive(),
            )
        )

    return app.Resource(get=get)


def metrics_resource(scrape: typing.Callable[[], bytes]) -> app.Resource:
    """Return the resource that exports the metrics in the Prometheus text format."""

    async def get(_request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.content_type = "text/plain; version=0.0.4; charset=utf-8"
        response.data = scrape()

    return app.Resource(get=get)
