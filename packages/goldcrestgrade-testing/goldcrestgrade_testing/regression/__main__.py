"""Compares the latest scores in the journal with those of the last landing."""

from __future__ import annotations

import argparse
import datetime
import pathlib
import subprocess
import sys

from goldcrestgrade_testing.regression import scores


def main() -> int:
    """Print the latest score of each site, and return 1 if one is worse than at the landing."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--journal", type=pathlib.Path, default=pathlib.Path("journal"))
    parser.add_argument("--landing", required=True, help="commit of the last landing")
    parser.add_argument("--sites", nargs="*", help="names of the sites to compare; all by default")
    arguments = parser.parse_args()
    compared = [
        comparison
        for comparison in scores.compare(
            scores.read(arguments.journal), _committed_at(arguments.landing)
        )
        if not arguments.sites or comparison.now.site in arguments.sites
    ]
    for comparison in compared:
        print("\n".join(scores.table(comparison)))
    findings = [finding for comparison in compared for finding in comparison.findings()]
    print("\n".join(findings) or "nothing is worse than at the landing")
    return 1 if findings else 0


def _committed_at(commit: str) -> str:
    """Return when a commit was made, in ISO 8601 with time zone UTC."""
    shown = subprocess.run(
        ["git", "show", "-s", "--format=%ct", commit], check=True, capture_output=True, text=True
    )
    committed_at = datetime.datetime.fromtimestamp(int(shown.stdout), datetime.UTC)
    return committed_at.strftime("%Y-%m-%dT%H:%M:%SZ")


if __name__ == "__main__":
    sys.exit(main())
