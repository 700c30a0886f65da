"""Reference tables of the documentation, generated from the code that they describe.

`make reference` writes them between the markers in the pages; a test checks that they are current.
"""

from __future__ import annotations

import pathlib
import re
import typing

from goldcrestgrade import command_flags, settings, sheet
from goldcrestgrade_operator import command_table, explanations, options
from goldcrestgrade_operator.sheets import cells

DOCS = pathlib.Path(__file__).parents[3] / "docs"
"""Folder of the documentation in a checkout of the repository."""

_BOUND_TEMPLATES = {
    "minLength": "at least {} characters",
    "maxLength": "at most {} characters",
    "minimum": "at least {:g}",
    "maximum": "at most {:g}",
    "minItems": "at least {} entries",
    "maxItems": "at most {} entries",
    "pattern": "matches `{}`",
}


class Section(typing.NamedTuple):
    """A generated section of a page."""

    page: str
    name: str
    render: typing.Callable[[], str]


def settings_table() -> str:
    """Return the table of all settings of a node, nested ones included."""
    schema = settings.SCHEMA.json_schema()
    return _markdown_table(
        ("setting", "type", "bounds", "meaning"), _settings_rows(schema, schema, "")
    )


def reason_tables() -> str:
    """Return a table for each enumeration of reasons."""
    return "\n\n".join(
        f"### {group.title}\n\nCounted in `{group.metric}` by the label `{group.label}`.\n\n"
        + _markdown_table(
            (group.label, "meaning", "what to do"),
            [(f"`{name}`", text.meaning, text.action) for name, text in group.explanations.items()],
        )
        for group in explanations.GROUPS
    )


def sheet_tables() -> str:
    """Return two tables for a sheet: the words for yes and no, and the limits."""
    words = [
        ("yes", ", ".join(f"`{word}`" for word in sorted(cells.TRUE_WORDS))),
        ("no", ", ".join(f"`{word}`" for word in sorted(cells.FALSE_WORDS))),
    ]
    bounds = [
        ("size of the file, in bytes", sheet.MAX_SHEET_BYTES),
        ("services", sheet.MAX_SERVICES),
        ("kinds of one service", sheet.MAX_KINDS),
        ("regions of one service", sheet.MAX_REGIONS),
        ("characters of a path pattern", sheet.MAX_PATH_LENGTH),
        ("timeout, in seconds", f"{sheet.MAX_TIMEOUT_S:g}"),
    ]
    return (
        _markdown_table(("meaning", "cell"), words)
        + "\n\n"
        + _markdown_table(("limit", "largest value"), bounds)
    )


def command_tables() -> str:
    """Return the tables of commands, exit statuses and flags."""
    commands = [
        (f"`{name} {command.arguments}`".replace(" `", "`").replace("|", "or"), command.summary)
        for name, command in command_table.COMMANDS.items()
    ]
    statuses = list(command_table.EXIT_STATUSES.items())
    flag_help = command_flags.describe(options.define())
    return "\n\n".join(
        [
            _markdown_table(("command", "what it does"), commands),
            _markdown_table(("exit status", "meaning"), statuses),
            f"```\n{flag_help}\n```",
        ]
    )


SECTIONS = (
    Section("user/settings.md", "settings", settings_table),
    Section("user/operating.md", "reasons", reason_tables),
    Section("user/sheet.md", "words", sheet_tables),
    Section("user/command-line.md", "commands", command_tables),
)
"""All generated sections."""


def replace_section(text: str, section: Section) -> str:
    """Return the page `text` with a new `section`; raises `ValueError` if it lacks the markers."""
    begin, end = (f"<!-- {word}: {section.name} -->" for word in ("begin", "end"))
    pattern = re.compile(f"{re.escape(begin)}.*{re.escape(end)}", re.DOTALL)
    if not pattern.search(text):
        raise ValueError(f"{section.page}: markers {begin} and {end} not found")
    rendered = f"{begin}\n{section.render()}\n{end}"
    return pattern.sub(lambda _: rendered, text)


def main() -> None:
    """Write every generated section into its page."""
    for section in SECTIONS:
        path = DOCS / section.page
        path.write_text(replace_section(path.read_text("utf-8"), section), "utf-8")


def _settings_rows(
    schema: dict[str, typing.Any], root: dict[str, typing.Any], prefix: str
) -> list[tuple[str, ...]]:
    rows: list[tuple[str, ...]] = []
    for name, unresolved in schema["properties"].items():
        field = _resolve_reference(unresolved, root)
        item = _resolve_reference(field.get("items", {}), root)
        kind = f"array of {item['type']}" if item else field["type"]
        bounds = ", ".join([_bounds(field), *(f"each {b}" for b in [_bounds(item)] if b)])
        rows.append((f"`{prefix}{name}`", kind, bounds.removeprefix(", "), field["description"]))
        if "properties" in field:
            rows += _settings_rows(field, root, f"{prefix}{name}.")
    return rows


def _resolve_reference(
    field: dict[str, typing.Any], root: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    reference = field.get("$ref")
    return {**root["$defs"][reference.rpartition("/")[2]], **field} if reference else field


def _bounds(field: dict[str, typing.Any]) -> str:
    return ", ".join(
        text.format(field[name]) for name, text in _BOUND_TEMPLATES.items() if name in field
    )


def _markdown_table(
    columns: typing.Sequence[str], rows: typing.Iterable[typing.Sequence[object]]
) -> str:
    lines = [columns, ["---"] * len(columns), *rows]
    return "\n".join("| " + " | ".join(str(cell) for cell in line) + " |" for line in lines)


if __name__ == "__main__":
    main()
