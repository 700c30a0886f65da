"""Command that checks a sheet without applying it."""

from __future__ import annotations

import pathlib
import typing

from goldcrestgrade import exceptions
from goldcrestgrade_operator import options, output
from goldcrestgrade_operator.sheets import csv_reader


def load(path: pathlib.Path) -> csv_reader.CheckedSheet:
    """Return the sheet in the file at `path`; raises `UserError`."""
    try:
        body = path.read_bytes()
    except OSError as error:
        raise exceptions.UserError(f"{path}: {error.strerror}") from error
    return csv_reader.read(body, path.name)


def run(arguments: typing.Sequence[str], opts: options.Options) -> int:
    """Print a summary of a valid sheet; raises `InvalidDocument` with every finding."""
    document, warnings = load(pathlib.Path(arguments[0]))
    output.show_warnings(warnings)
    rows = [
        (
            service["name"],
            " ".join(service["regions"]),
            len(service["kinds"]),
            sum(kind["run_once"] for kind in service["kinds"]),
        )
        for service in document["services"]
    ]
    columns = ("service", "regions", "kinds", "run once")
    output.show(
        document, output.Table(f"valid sheet for {document['day']}", columns, rows), opts.as_json
    )
    return 0
