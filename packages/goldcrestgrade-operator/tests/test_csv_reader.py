from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from goldcrestgrade import exceptions, findings, sheet
from goldcrestgrade_operator.sheets import csv_reader

HEADER = "day,service,regions,method,path,run_once,timeout_s\n"
GET = "2026-01-01,archive,khomas oshana,GET,/letters/*,no,2.5\n"
POST = "2026-01-01,archive,khomas oshana,POST,/letters,yes,10\n"


def faults_of(text: str | bytes) -> list[tuple[str, str]]:
    body = text if isinstance(text, bytes) else text.encode()
    with pytest.raises(exceptions.InvalidDocument) as caught:
        csv_reader.read(body, "s.csv")
    return [(fault.place, fault.text) for fault in caught.value.faults]


def places_of_faults(text: str | bytes) -> list[str]:
    return [place for place, _ in faults_of(text)]


def test_spreadsheet_export_with_semicolons_equals_the_plain_form():
    exported = (
        "\ufeffDay;Service;Regions;Method;Path;Run once;Timeout-s;;\r\n"
        '01.01.2026;archive;"khomas, oshana";get;/letters/*;nein;2,5;;\r\n'
        ";;;;;;;;\r\n"
        ' 01.01.2026 ;archive;"oshana\nkhomas";POST;/letters;JA;10\r\n'
        ";;;;;;;;\r\n"
    )
    plain = csv_reader.read((HEADER + GET + POST).encode(), "s.csv")
    assert csv_reader.read(exported.encode(), "s.csv") == plain


@pytest.mark.parametrize("word", ["ja", "yes", "TRUE", "1", "Wahr"])
def test_documented_words_for_yes_are_read_as_true(word):
    checked = csv_reader.read((HEADER + POST.replace("yes", word)).encode(), "s.csv")
    assert checked.document["services"][0]["kinds"][0]["run_once"] is True


def test_all_faults_are_reported_together_with_row_and_column():
    text = (
        HEADER.replace("timeout_s", "timeout_s,owner,method")
        + "2026-02-30,Archive,khomas,GET,letters,maybe,0\n"
        + "2026-01-01,archive,khomas,FETCH,/x,yes,,,,stray\n"
    )
    assert places_of_faults(text) == [
        "s.csv:1:owner",
        "s.csv:1:method",
        "s.csv:2:day",
        "s.csv:2:service",
        "s.csv:2:path",
        "s.csv:2:run_once",
        "s.csv:2:timeout_s",
        "s.csv:3",
        "s.csv:3:method",
        "s.csv:3:timeout_s",
    ]


def test_missing_columns_are_named():
    assert places_of_faults("day;service\n2026-01-01;archive\n") == [
        f"s.csv:1:{column}" for column in csv_reader.COLUMNS[2:]
    ]


def test_contradicting_rows_are_reported():
    text = (
        HEADER
        + GET
        + GET.replace("khomas oshana", "khomas").replace("/letters/*", "/drafts")
        + GET.replace("/letters/*", "/letters/*/pages")
        + GET.replace("2026-01-01", "2026-01-02").replace("/letters/*", "/x")
        + GET
    )
    assert places_of_faults(text) == [
        "s.csv:5:day",
        "s.csv:3:regions",
        "s.csv:4:path",
        "s.csv:6:path",
    ]


def test_kind_before_a_wider_one_is_not_shadowed():
    rows = GET.replace("/letters/*", "/letters/new") + GET + GET.replace("GET", "*")
    checked = csv_reader.read((HEADER + rows).encode(), "s.csv")
    assert len(checked.document["services"][0]["kinds"]) == 3


def test_unsafe_method_marked_idempotent_is_a_warning():
    checked = csv_reader.read((HEADER + POST.replace("yes", "no")).encode(), "s.csv")
    assert [warning.place for warning in checked.warnings] == ["s.csv:2:run_once"]
    assert checked.warnings[0].severity == findings.Severity.WARNING


@pytest.mark.parametrize("number", ["1,000", "12.500", "1e3", "-1", "4000", "nan", "٣"])
def test_ambiguous_and_invalid_numbers_are_refused(number):
    assert places_of_faults(HEADER + GET.replace("2.5", f'"{number}"')) == ["s.csv:2:timeout_s"]


@pytest.mark.parametrize(
    ("body", "place"),
    [
        ((HEADER + GET).encode("utf-16"), "s.csv"),
        ((HEADER + GET).encode("utf-16-le"), "s.csv:1"),
        ((HEADER + GET.replace("archive", "archiv\u00e4")).encode("latin-1"), "s.csv:2"),
        (HEADER.encode() + b'2026-01-01,"archive\n', "s.csv:2"),
        (b"", "s.csv"),
        (HEADER.encode(), "s.csv:1"),
        (b"x" * (sheet.MAX_SHEET_BYTES + 1), "s.csv"),
    ],
)
def test_unreadable_file_is_reported_as_a_finding(body, place):
    assert place in places_of_faults(body)


def test_too_many_kinds_or_services_are_refused():
    many_kinds = "".join(GET.replace("/letters/*", f"/{n}") for n in range(sheet.MAX_KINDS + 1))
    assert places_of_faults(HEADER + many_kinds) == [f"s.csv:{sheet.MAX_KINDS + 2}:service"]
    many_services = "".join(GET.replace("archive", f"s{n}") for n in range(sheet.MAX_SERVICES + 1))
    assert places_of_faults(HEADER + many_services) == ["s.csv:service"]


def test_sheet_of_270_services_is_within_the_limits():
    rows = "".join(
        GET.replace("archive", f"service-{n}").replace("/letters/*", f"/kind-{k}/*")
        for n in range(270)
        for k in range(20)
    )
    document = csv_reader.read((HEADER + rows).encode(), "s.csv").document
    assert len(document["services"]) == 270
    assert len(sheet.encode(document)) <= sheet.MAX_SHEET_BYTES


CELLS = strategies.sampled_from(
    ["2026-01-01", "archive", "khomas", "GET", "/x*", "yes", "2,5", "", '"', ";", "\0", "ä", "*"]
)
TEXTS = strategies.lists(strategies.lists(CELLS, max_size=9).map(",".join), max_size=6)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(strategies.one_of(strategies.binary(max_size=200), TEXTS))
def test_any_input_gives_a_valid_sheet_or_findings(given):
    body = given if isinstance(given, bytes) else (HEADER + "\n".join(given)).encode()
    try:
        checked = csv_reader.read(body, "s.csv")
    except exceptions.InvalidDocument as error:
        assert findings.errors(error.faults)
    else:
        assert sheet.compile_sheet(1, sheet.encode(checked.document)).services
