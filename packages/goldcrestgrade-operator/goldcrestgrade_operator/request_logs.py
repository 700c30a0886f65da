"""Log lines of one request, collected from the log files of several nodes."""

from __future__ import annotations

import collections.abc
import datetime
import pathlib
import typing

import orjson

from goldcrestgrade import exceptions

OMITTED_FIELDS = frozenset({"time", "level", "logger", "message", "node_id", "request_id"})
"""Fields left out of `LogLine.inputs`: they have their own column or are the same in each line."""


class LogLine(typing.NamedTuple):
    """One log line of a request; each records a decision."""

    time: str
    node: str
    message: str
    inputs: str
    """Remaining fields of the line, as a JSON object."""


def join(paths: collections.abc.Iterable[pathlib.Path], request_id: str) -> list[LogLine]:
    """Return the lines of `request_id` in the files `paths`, sorted by time; raises `UserError`.

    Text before the JSON object of a line, such as the name of an instance, is ignored.
    """
    documents = [
        document
        for path in paths
        for document in _read_documents(path, request_id)
        if document.get("request_id") == request_id
    ]
    return [
        _to_log_line(document) for document in sorted(documents, key=lambda d: str(d.get("time")))
    ]


def _read_documents(
    path: pathlib.Path, request_id: str
) -> collections.abc.Iterator[dict[str, typing.Any]]:
    try:
        with path.open("rb") as lines:
            for line in lines:
                _, brace, rest = line.partition(b"{")
                if request_id.encode() not in line or not brace:
                    continue
                try:
                    yield orjson.loads(brace + rest)
                except orjson.JSONDecodeError:
                    # The last line of a process that ended may be truncated.
                    continue
    except OSError as error:
        raise exceptions.UserError(f"{path}: {error.strerror}") from error


def _to_log_line(document: dict[str, typing.Any]) -> LogLine:
    inputs = {name: value for name, value in document.items() if name not in OMITTED_FIELDS}
    return LogLine(
        time=_time_of_day(document.get("time")),
        node=str(document.get("node_id", "")),
        message=str(document.get("message", "")),
        inputs=orjson.dumps(inputs).decode(),
    )


def _time_of_day(value: typing.Any) -> str:
    text = str(value).replace(",", ".")
    try:
        return datetime.datetime.fromisoformat(text).time().isoformat("milliseconds")
    except ValueError:
        return text
