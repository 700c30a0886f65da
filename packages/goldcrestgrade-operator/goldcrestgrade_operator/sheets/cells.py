"""Parsers of cells in the formats that spreadsheets export; each raises `ValueError`."""

from __future__ import annotations

import datetime
import re
import typing

from goldcrestgrade import sheet

TRUE_WORDS = frozenset({"true", "yes", "y", "1", "ja", "j", "wahr", "ano"})
"""Words that mean yes; case is ignored."""

FALSE_WORDS = frozenset({"false", "no", "n", "0", "nein", "falsch", "ne"})
"""Words that mean no; case is ignored."""

_ISO_DAY = re.compile(r"(?P<year>\d{4})-(?P<month>\d{2})-(?P<day>\d{2})", re.ASCII)
_DOTTED_DAY = re.compile(r"(?P<day>\d{1,2})\.(?P<month>\d{1,2})\.(?P<year>\d{4})", re.ASCII)
_NUMBER = re.compile(r"\d{1,4}([.,]\d{1,6})?", re.ASCII)
_THOUSANDS_SEPARATED = re.compile(r"[1-9]\d{0,2}[.,]\d{3}", re.ASCII)
_SERVICE_NAME = re.compile(r"[a-z][a-z0-9-]{0,62}", re.ASCII)
_REGION_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}", re.ASCII)
_REGION_SEPARATOR = re.compile(r"[\s,;|]+")
_PATH_PATTERN = re.compile(r"[/*][^\s?#]*")


def day(text: str) -> str:
    """Return a day as `YYYY-MM-DD`."""
    match = _ISO_DAY.fullmatch(text) or _DOTTED_DAY.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a day such as 2026-03-31 or 31.03.2026")
    try:
        date = datetime.date(int(match["year"]), int(match["month"]), int(match["day"]))
    except ValueError as error:
        raise ValueError(f"{text!r} is not a valid date") from error
    return date.isoformat()


def service(text: str) -> str:
    """Return the name of a service."""
    if _SERVICE_NAME.fullmatch(text) is None:
        raise ValueError(f"{text!r} is not a name of lower-case letters, digits and hyphens")
    return text


def regions(text: str) -> tuple[str, ...]:
    """Return the names of regions, sorted."""
    names = [name for name in _REGION_SEPARATOR.split(text) if name]
    invalid = [name for name in names if _REGION_NAME.fullmatch(name) is None]
    if invalid:
        raise ValueError(f"{invalid[0]!r} is not a name of lower-case letters, digits and hyphens")
    if len(set(names)) < len(names):
        raise ValueError(f"{text!r} names a region twice")
    if not 1 <= len(names) <= sheet.MAX_REGIONS:
        raise ValueError(f"names {len(names)} regions; 1 to {sheet.MAX_REGIONS} are allowed")
    return tuple(sorted(names))


def method(text: str) -> str:
    """Return an HTTP method in upper case, or `*`."""
    name = text.upper()
    if name != sheet.ANY_METHOD and name not in sheet.METHODS:
        raise ValueError(f"{text!r} is not one of {', '.join(sorted(sheet.METHODS))} or *")
    return name


def path(text: str) -> str:
    """Return a path pattern."""
    if _PATH_PATTERN.fullmatch(text) is None or not text.isprintable():
        raise ValueError(f"{text!r} is not a path: it starts with / or * and has no space, ? or #")
    if len(text) > sheet.MAX_PATH_LENGTH:
        raise ValueError(f"is longer than {sheet.MAX_PATH_LENGTH} characters")
    return text


def run_once(text: str) -> bool:
    """Return whether a cell means yes."""
    word = text.casefold()
    if word not in TRUE_WORDS | FALSE_WORDS:
        raise ValueError(f"{text!r} is neither yes nor no")
    return word in TRUE_WORDS


def timeout_s(text: str) -> float:
    """Return a timeout in seconds; the decimal separator is a point or a comma."""
    if _THOUSANDS_SEPARATED.fullmatch(text):
        raise ValueError(
            f"{text!r} is ambiguous, it may mean thousands; write it without a separator"
        )
    if _NUMBER.fullmatch(text) is None:
        raise ValueError(f"{text!r} is not a number of seconds")
    seconds = float(text.replace(",", "."))
    if not 0 < seconds <= sheet.MAX_TIMEOUT_S:
        raise ValueError(
            f"{text!r} is out of range: above 0 and at most {sheet.MAX_TIMEOUT_S:g} seconds"
        )
    return seconds


PARSERS: dict[str, typing.Callable[[str], typing.Any]] = {
    "day": day,
    "service": service,
    "regions": regions,
    "method": method,
    "path": path,
    "run_once": run_once,
    "timeout_s": timeout_s,
}
"""Parser of each column of a sheet."""
