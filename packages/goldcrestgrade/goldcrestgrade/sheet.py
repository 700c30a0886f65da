"""The sheet: services, the regions that they run in, and their kinds of requests.

A sheet is a JSON document. `Sheet` is its compiled form, in which the kind of a request is looked
up.
"""

from __future__ import annotations

import fnmatch
import functools
import re
import typing

import orjson
import pydantic
import typing_extensions
import xxhash

from goldcrestgrade import exceptions, findings

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Methods whose requests count as idempotent if no kind in the sheet matches."""

METHODS = frozenset({"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"})
"""Methods that a sheet may contain."""

ANY_METHOD = "*"
"""Matches any method."""

MAX_SHEET_BYTES = 1 << 20
"""Largest size of a sheet, both of the operator's file and of the JSON document."""

MAX_SERVICES = 1000
"""Largest number of services in a sheet."""

MAX_KINDS = 64
"""Largest number of kinds of one service."""

MAX_REGIONS = 16
"""Largest number of regions of one service."""

MAX_PATH_LENGTH = 512
"""Largest length of a path pattern, in characters."""

MAX_CACHED_PATTERNS = 16_384
"""Number of compiled path patterns that are cached across versions of the sheet."""

MAX_TIMEOUT_S = 3600.0
"""Largest timeout of a kind."""

DEFAULT_TIMEOUT_S = 10.0
"""Timeout of a request without a deadline, if no kind in the sheet matches."""

HEAD_TABLE = "sheets"
"""Table that holds the head row and the history of accepted sheets."""

HEAD_KEY = "head"
"""Key of the row that refers to the sheet in force."""

HISTORY_PREFIX = "version-"
"""Prefix of the keys of the history rows, one for each accepted sheet."""

Name = typing.Annotated[str, pydantic.Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Region = typing.Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Day = typing.Annotated[str, pydantic.Field(pattern=r"^\d{4}-\d{2}-\d{2}$")]
Method = typing.Annotated[str, pydantic.Field(pattern=r"^(\*|[A-Z]{3,16})$")]
Path = typing.Annotated[str, pydantic.Field(pattern=r"^[/*][^\s?#]*$", max_length=MAX_PATH_LENGTH)]
Timeout = typing.Annotated[float, pydantic.Field(gt=0, le=MAX_TIMEOUT_S)]


class KindDocument(typing_extensions.TypedDict):
    """One kind of requests to a service."""

    method: Method
    """HTTP method, or `*` for any."""
    path: Path
    """Path pattern; `*` matches any sequence of characters, also an empty one."""
    run_once: bool
    """Whether a request of this kind may run at most once."""
    timeout_s: Timeout
    """Timeout in seconds of a request without a deadline."""


class ServiceDocument(typing_extensions.TypedDict):
    """A service, its regions and its kinds of requests."""

    name: Name
    regions: typing.Annotated[list[Region], pydantic.Field(min_length=1, max_length=MAX_REGIONS)]
    kinds: typing.Annotated[list[KindDocument], pydantic.Field(max_length=MAX_KINDS)]


class SheetDocument(typing_extensions.TypedDict):
    """A sheet, as stored in the object store."""

    day: Day
    services: typing.Annotated[list[ServiceDocument], pydantic.Field(max_length=MAX_SERVICES)]


class HeadDocument(typing_extensions.TypedDict):
    """Value of the head row and of the history rows."""

    version: int
    day: str
    object_name: str
    accepted_at: float
    """Wall instant of the acceptance."""
    operator: str
    apply_id: str
    """Unique id of this acceptance; it differs even if an operator applies the same sheet again."""


class Kind(typing.NamedTuple):
    """How requests of one kind are handled."""

    name: str
    run_once: bool
    timeout_s: float


class _Rule(typing.NamedTuple):
    method: str
    path: str
    kind: Kind


class Service(typing.NamedTuple):
    """A service and its rules, in the order of the sheet."""

    name: str
    regions: frozenset[str]
    rules: tuple[_Rule, ...]

    def listed_kind(self, method: str, path: str) -> Kind | None:
        """Return the first kind in the sheet that matches, or `None`."""
        for rule in self.rules:
            if rule.method in (ANY_METHOD, method) and path_pattern(rule.path).match(path):
                return rule.kind
        return None

    def kind(self, method: str, path: str) -> Kind:
        """Return the first kind that matches, or a default kind.

        In the default kind, requests run at most once unless their method is safe.
        """
        return self.listed_kind(method, path) or Kind(
            name=f"{method} (unlisted)",
            run_once=method not in SAFE_METHODS,
            timeout_s=DEFAULT_TIMEOUT_S,
        )


class Sheet(typing.NamedTuple):
    """An accepted sheet, compiled for the lookup of the kinds of requests."""

    version: int
    day: str
    services: typing.Mapping[str, Service]
    body: bytes
    """The document as stored in the object store."""


_DOCUMENT: pydantic.TypeAdapter[SheetDocument] = pydantic.TypeAdapter(SheetDocument)
_HEAD: pydantic.TypeAdapter[HeadDocument] = pydantic.TypeAdapter(HeadDocument)


def validate(body: bytes, name: str) -> SheetDocument:
    """Return the document in `body`; raises `InvalidDocument` with all faults."""
    if len(body) > MAX_SHEET_BYTES:
        text = f"the document of {len(body)} bytes is larger than {MAX_SHEET_BYTES} bytes"
        raise exceptions.InvalidDocument([findings.Finding(name, text)])
    try:
        return _DOCUMENT.validate_json(body, strict=True)
    except pydantic.ValidationError as error:
        raise exceptions.InvalidDocument(findings.from_validation(name, error)) from error


def validate_head(value: typing.Mapping[str, typing.Any], name: str) -> HeadDocument:
    """Return the head or history row `value`; raises `InvalidDocument`."""
    try:
        return _HEAD.validate_python(value)
    except pydantic.ValidationError as error:
        raise exceptions.InvalidDocument(findings.from_validation(name, error)) from error


def history_key(version: int) -> str:
    """Return the key of the history row of `version`."""
    return f"{HISTORY_PREFIX}{version:012d}"


def encode(document: SheetDocument) -> bytes:
    """Return `document` as JSON; equal documents give equal bytes."""
    return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)


def object_name(body: bytes) -> str:
    """Return the name of the object that holds `body`, derived from its digest."""
    return f"sheet-{xxhash.xxh3_128_hexdigest(body)}"


def compile_sheet(version: int, body: bytes) -> Sheet:
    """Return the sheet in `body`; raises `InvalidDocument`."""
    document = validate(body, f"version-{version}")
    return Sheet(
        version=version,
        day=document["day"],
        services={service["name"]: _service(service) for service in document["services"]},
        body=body,
    )


@functools.lru_cache(maxsize=MAX_CACHED_PATTERNS)
def path_pattern(path: str) -> re.Pattern[str]:
    """Return the compiled form of a path pattern, in which only `*` is special.

    A pattern is compiled when a request first needs it, and cached for later versions of the sheet,
    so that the adoption of a large sheet does not delay requests.
    """
    return re.compile(fnmatch.translate(re.sub(r"([?[])", r"[\1]", path)))


def covers(earlier: KindDocument, later: KindDocument) -> bool:
    """Return whether every request that matches the kind `later` also matches `earlier`."""
    # Each `*` in `later` is replaced by a character that no path contains, so that only a `*` in
    # `earlier` matches it.
    sample_path = later["path"].replace("*", "\0")
    return (
        earlier["method"] in (ANY_METHOD, later["method"])
        and path_pattern(earlier["path"]).match(sample_path) is not None
    )


def _service(document: ServiceDocument) -> Service:
    return Service(
        name=document["name"],
        regions=frozenset(document["regions"]),
        rules=tuple(_rule(kind) for kind in document["kinds"]),
    )


def _rule(document: KindDocument) -> _Rule:
    return _Rule(
        method=document["method"],
        path=document["path"],
        kind=Kind(
            name=f"{document['method']} {document['path']}",
            run_once=document["run_once"],
            timeout_s=document["timeout_s"],
        ),
    )
