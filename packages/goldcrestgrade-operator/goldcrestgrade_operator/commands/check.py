"""Checks a sheet without applying it."""

from __future__ import annotations

import pathlib

from goldcrestgrade import exceptions
from goldcrestgrade_operator.sheets import csv_reader


def load(path: pathlib.Path) -> csv_reader.CheckedSheet:
    """Return the sheet in the file at `path`; raises `UserError`."""
    try:
        body = path.read_bytes()
    except OSError as error:
        raise exceptions.UserError(f"{path}: {error.strerror}") from error
    return csv_reader.read(body, path.name)


def run(path: pathlib.Path) -> int:
    """Print what the sheet holds; raises `InvalidDocument` with every fault."""
    document, warnings = load(path)
    kinds = sum(len(service["kinds"]) for service in document["services"])
    for warning in warnings:
        print(warning)
    print(
        f"{path.name}: day {document['day']}, {len(document['services'])} services, {kinds} kinds"
    )
    return 0
