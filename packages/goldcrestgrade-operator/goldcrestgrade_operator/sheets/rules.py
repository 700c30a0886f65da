"""Rules on the rows of a sheet, checked after every row is parsed."""

from __future__ import annotations

import collections
import itertools
import typing

from goldcrestgrade import findings, sheet


class KindRow(typing.NamedTuple):
    """One row of a sheet whose cells are valid: a service and one of its kinds of requests."""

    line: int
    day: str
    service: str
    regions: tuple[str, ...]
    kind: sheet.KindDocument


Rule = typing.Callable[[typing.Sequence[KindRow], str], typing.Iterable[findings.Finding]]
"""Returns the findings on the given rows of the file of the given name."""


def group_by_service(rows: typing.Iterable[KindRow]) -> dict[str, list[KindRow]]:
    """Return the rows of each service in file order."""
    grouped: dict[str, list[KindRow]] = collections.defaultdict(list)
    for row in rows:
        grouped[row.service].append(row)
    return grouped


def check(rows: typing.Sequence[KindRow], name: str) -> list[findings.Finding]:
    """Return the findings of all rules on the rows of the file `name`."""
    services = group_by_service(rows)
    all_findings = [*check_single_day(rows, name), *check_service_count(services, name)]
    for rule, group in itertools.product(SERVICE_RULES, services.values()):
        all_findings += rule(group, name)
    return all_findings


def check_single_day(
    rows: typing.Sequence[KindRow], name: str
) -> typing.Iterator[findings.Finding]:
    """Find the rows whose day differs from that of the first row."""
    for row in rows:
        if row.day != rows[0].day:
            yield findings.Finding(
                f"{name}:{row.line}:day", f"is {row.day}, but line {rows[0].line} has {rows[0].day}"
            )


def check_service_count(
    services: typing.Mapping[str, typing.Sequence[KindRow]], name: str
) -> typing.Iterator[findings.Finding]:
    """Find a sheet with more than the allowed number of services."""
    if len(services) > sheet.MAX_SERVICES:
        yield findings.Finding(
            f"{name}:service", f"{len(services)} services; at most {sheet.MAX_SERVICES} are allowed"
        )


def check_kind_count(
    rows: typing.Sequence[KindRow], name: str
) -> typing.Iterator[findings.Finding]:
    """Find a service with more than the allowed number of kinds."""
    if len(rows) > sheet.MAX_KINDS:
        yield findings.Finding(
            f"{name}:{rows[sheet.MAX_KINDS].line}:service",
            f"{rows[0].service} has {len(rows)} kinds; at most {sheet.MAX_KINDS} are allowed",
        )


def check_same_regions(
    rows: typing.Sequence[KindRow], name: str
) -> typing.Iterator[findings.Finding]:
    """Find the rows of one service whose regions differ from those of its first row."""
    first = rows[0]
    for row in rows:
        if row.regions != first.regions:
            yield findings.Finding(
                f"{name}:{row.line}:regions",
                f"differ from those of {row.service} in line {first.line}",
            )


def check_reachable_kinds(
    rows: typing.Sequence[KindRow], name: str
) -> typing.Iterator[findings.Finding]:
    """Find the kinds of one service that never apply, since an earlier row covers them."""
    for index, row in enumerate(rows[: sheet.MAX_KINDS]):
        earlier = next((e for e in rows[:index] if sheet.covers(e.kind, row.kind)), None)
        if earlier is not None:
            same = _pattern(earlier) == _pattern(row)
            verb = "repeats" if same else "never applies, since it comes after"
            yield findings.Finding(
                f"{name}:{row.line}:path",
                f"{_pattern(row)} {verb} {_pattern(earlier)} in line {earlier.line}",
            )


def check_unsafe_idempotent_kinds(
    rows: typing.Sequence[KindRow], name: str
) -> typing.Iterator[findings.Finding]:
    """Find the kinds with an unsafe method that are not marked run-once; they are warnings."""
    for row in rows:
        if row.kind["method"] not in sheet.SAFE_METHODS and not row.kind["run_once"]:
            yield findings.Finding(
                f"{name}:{row.line}:run_once",
                f"{_pattern(row)} may be sent more than once; correct only if it is idempotent",
                findings.Severity.WARNING,
            )


def _pattern(row: KindRow) -> str:
    return f"{row.kind['method']} {row.kind['path']}"


SERVICE_RULES: tuple[Rule, ...] = (
    check_kind_count,
    check_same_regions,
    check_reachable_kinds,
    check_unsafe_idempotent_kinds,
)
"""Rules on the rows of one service."""
