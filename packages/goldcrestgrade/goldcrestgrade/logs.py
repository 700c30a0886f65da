"""Configuration of the logs, which are written as JSON lines."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger import orjson as json_formatter

FIELDS = "{asctime}{levelname}{name}{message}"


def configure(
    level: int, node_id: str | None = None, handler: logging.Handler | None = None
) -> None:
    """Send the records of all loggers to `handler`, or to standard error, as one JSON object each.

    Each object contains `node_id` if it is given. Access logs of uvicorn are turned off, and its
    other records are limited to warnings and errors.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_formatter.OrjsonFormatter(
            FIELDS,
            style="{",
            static_fields={} if node_id is None else {"node_id": node_id},
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("uvicorn.access").disabled = True
    logging.getLogger("uvicorn.error").setLevel(max(level, logging.WARNING))
