from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from goldcrestgrade import exceptions, sheet


def kind_document(method: str, path: str, run_once: bool = False) -> sheet.KindDocument:
    return sheet.KindDocument(method=method, path=path, run_once=run_once, timeout_s=5.0)


def compiled(*kinds: sheet.KindDocument) -> sheet.Sheet:
    service = sheet.ServiceDocument(name="archive", regions=["khomas"], kinds=list(kinds))
    document = sheet.SheetDocument(day="2026-01-01", services=[service])
    return sheet.compile_sheet(1, sheet.encode(document))


def test_first_matching_kind_is_used():
    service = compiled(
        kind_document("GET", "/letters/new", run_once=True), kind_document("*", "/letters/*")
    ).services["archive"]
    assert service.kind("GET", "/letters/new").run_once
    assert service.kind("POST", "/letters/new").name == "* /letters/*"
    assert service.listed_kind("GET", "/drafts") is None


@pytest.mark.parametrize(("method", "run_once"), [("GET", False), ("PUT", True), ("BREW", True)])
def test_request_of_no_listed_kind_runs_once_unless_its_method_is_safe(method, run_once):
    assert compiled().services["archive"].kind(method, "/x").run_once is run_once


@pytest.mark.parametrize(
    ("pattern", "path", "matches"),
    [
        ("/a/*", "/a/b/c", True),
        ("/a/*", "/a", False),
        ("/a*z", "/a\nz", True),
        ("/a?", "/ab", False),
        ("/[ab]", "/a", False),
        ("/[ab]", "/[ab]", True),
        ("/[!a]", "/[!a]", True),
    ],
)
def test_only_the_asterisk_is_special(pattern, path, matches):
    assert bool(sheet.path_pattern(pattern).match(path)) is matches


PATTERNS = strategies.text("/a*", min_size=1, max_size=6)


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(PATTERNS, PATTERNS, strategies.lists(strategies.text("/ab", max_size=3)))
def test_pattern_that_covers_another_matches_all_its_paths(earlier, later, fillings):
    covered = sheet.covers(kind_document("GET", earlier), kind_document("GET", later))
    parts = later.split("*")
    paths = ["".join(part + filling for part in parts) for filling in ("", *fillings)]
    matching = [path for path in paths if sheet.path_pattern(later).match(path)]
    if covered:
        assert all(sheet.path_pattern(earlier).match(path) for path in matching)
    else:
        assert not sheet.path_pattern(earlier).match(later.replace("*", "b"))


def test_adoption_of_a_sheet_compiles_no_pattern():
    before = sheet.path_pattern.cache_info().misses
    service = compiled(*(kind_document("GET", f"/adopted/{n}") for n in range(60)))
    assert sheet.path_pattern.cache_info().misses == before
    assert service.services["archive"].kind("GET", "/adopted/59").name == "GET /adopted/59"


@pytest.mark.parametrize(
    "change",
    [
        {"method": "get"},
        {"path": "letters"},
        {"path": "/a b"},
        {"path": "/" + "a" * sheet.MAX_PATH_LENGTH},
        {"timeout_s": 0.0},
        {"timeout_s": 3601.0},
    ],
)
def test_document_out_of_bounds_is_refused(change):
    with pytest.raises(exceptions.InvalidDocument):
        compiled({**kind_document("GET", "/x"), **change})


def test_document_that_is_too_large_is_refused():
    with pytest.raises(exceptions.InvalidDocument, match="larger than"):
        sheet.validate(b" " * (sheet.MAX_SHEET_BYTES + 1), "s")
