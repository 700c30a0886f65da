from __future__ import annotations

import importlib.resources
import re

import prometheus_client.parser
import pytest

from goldcrestgrade import counters, reasons, telemetry
from goldcrestgrade_operator import explanations
from goldcrestgrade_testing import reference

OPERATING = reference.DOCS / "user/operating.md"


@pytest.mark.parametrize("section", reference.SECTIONS, ids=lambda section: section.name)
def test_generated_section_of_the_page_is_up_to_date(section):
    text = (reference.DOCS / section.page).read_text("utf-8")
    assert reference.replace_section(text, section) == text, "run `make reference`"


@pytest.mark.parametrize(
    ("members", "explained"),
    [
        (reasons.Refusal, explanations.REFUSALS),
        (reasons.Uncertainty, explanations.UNCERTAINTIES),
        (reasons.Retry, explanations.RETRIES),
        (reasons.Event, explanations.EVENTS),
    ],
)
def test_every_reason_has_an_explanation(members, explained):
    assert set(explained) == set(members)


def counted_events(source: str) -> set[str]:
    """Return the names under which a module counts events.

    `{reason}` in a name is replaced by each `Uncertainty` that the module uses.
    """
    reasons_used = re.findall(r"Uncertainty\.([A-Z_]+)", source)
    return {
        name.replace("{reason}", reason.lower())
        for name in re.findall(r'\bevents\[f?"([a-z_{}]+)"\]', source)
        for reason in (reasons_used if "{" in name else [""])
    }


def test_every_event_that_the_node_counts_is_listed():
    counted = {
        name
        for module in importlib.resources.files("goldcrestgrade_node").rglob("*.py")
        for name in counted_events(module.read_text("utf-8"))
    }
    assert sorted(counted - set(reasons.Event)) == []


def test_operators_page_lists_exactly_the_exported_metrics():
    registry = telemetry.register(counters.Counts())
    families = prometheus_client.parser.text_string_to_metric_families(registry.scrape().decode())
    exported = {f.name for f in families if f.name.startswith("goldcrestgrade_")}
    listed = set(re.findall(r"^\| `(goldcrestgrade_[a-z_]+)` ", OPERATING.read_text("utf-8"), re.M))
    assert {name.removesuffix("_total") for name in listed} == exported


def test_links_between_pages_point_to_existing_files():
    pages = [*reference.DOCS.rglob("*.md"), reference.DOCS.parent / "README.md"]
    broken_links = [
        f"{page.name}: {target}"
        for page in pages
        for target in re.findall(r"\]\(([^)#:]+)[^):]*\)", page.read_text("utf-8"))
        if not (page.parent / target).exists()
    ]
    assert broken_links == []
