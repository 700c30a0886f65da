"""Command that explains a reason, how a request is treated, or what happened to a request."""

from __future__ import annotations

import asyncio
import typing

from goldcrestgrade import exceptions, sheet
from goldcrestgrade_operator import explanations, options, output, platforms, request_logs
from goldcrestgrade_operator.sheets import acceptance


class KindExplanation(typing.NamedTuple):
    """How a request is treated and why."""

    service: str
    version: int
    kind: str
    run_once: bool
    timeout_s: float
    why: str


class ReasonExplanation(typing.NamedTuple):
    """What a reason means and what to do about it."""

    reason: str
    metric: str
    meaning: str
    action: str


def run(arguments: typing.Sequence[str], opts: options.Options) -> int:
    """Print the explanation of a reason, of a kind or of a request; raises `UserError`."""
    if opts.logs:
        return _explain_request(arguments[0], opts)
    if len(arguments) == 1:
        results: list[ReasonExplanation] | list[KindExplanation] = explain_reason(arguments[0])
    else:
        service, method, path = arguments
        in_force = asyncio.run(_fetch_sheet_in_force(opts))
        results = [explain_kind(in_force, service, method.upper(), path)]
    rows = [pair for explanation in results for pair in explanation._asdict().items()]
    document = [explanation._asdict() for explanation in results]
    output.show(document, output.Table("", ("", ""), rows), opts.as_json)
    return 0


def _explain_request(request_id: str, opts: options.Options) -> int:
    lines = request_logs.join(opts.logs, request_id)
    if not lines:
        raise exceptions.UserError(
            f"no line of request {request_id!r} in the files given by --logs"
        )
    rows = [(line.time, line.node, line.message, line.inputs) for line in lines]
    table = output.Table(request_id, ("time", "node", "decision", "inputs and outcome"), rows)
    output.show([line._asdict() for line in lines], table, opts.as_json)
    return 0


def explain_reason(reason: str) -> list[ReasonExplanation]:
    """Return each meaning of `reason`; raises `UserError` for an unknown reason."""
    results = [
        ReasonExplanation(reason, f'{group.metric}{{{group.label}="{reason}"}}', *explanation)
        for group in explanations.GROUPS
        for name, explanation in group.explanations.items()
        if name == reason
    ]
    if not results:
        known = sorted({name for group in explanations.GROUPS for name in group.explanations})
        raise exceptions.UserError(f"no reason {reason!r}; known reasons: {', '.join(known)}")
    return results


def explain_kind(
    in_force: sheet.Sheet, service_name: str, method: str, path: str
) -> KindExplanation:
    """Return how `in_force` treats a request; raises `UserError` for an unknown service."""
    service = in_force.services.get(service_name)
    if service is None:
        known = ", ".join(sorted(in_force.services))
        raise exceptions.UserError(f"no service {service_name!r}; known services: {known}")
    kind = service.kind(method, path)
    return KindExplanation(
        service_name,
        in_force.version,
        kind.name,
        kind.run_once,
        kind.timeout_s,
        _why(service.listed_kind(method, path), method),
    )


def _why(listed: sheet.Kind | None, method: str) -> str:
    if listed is not None:
        return f"{listed.name} is the first kind of the service that matches"
    if method in sheet.SAFE_METHODS:
        return f"no kind matches, and {method} is a safe method, so it may be retried"
    return f"no kind matches, and {method} is not a safe method, so it runs at most once"


async def _fetch_sheet_in_force(opts: options.Options) -> sheet.Sheet:
    async with platforms.connect(opts.platform_url) as platform:
        head = (await acceptance.read_head(platform.store)).document
        if head is None:
            raise exceptions.UserError("no sheet is in force")
        return await platforms.fetch_sheet(platform, head)
