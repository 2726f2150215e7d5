"""Tests that tests, files and links mentioned in the documentation exist."""

from __future__ import annotations

from pathlib import Path
import re

import pytest

ROOT = Path(__file__).resolve().parent.parent
PROOFS = ROOT / "docs" / "PROOFS.md"
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")])
TEST_REFERENCE = re.compile(r"`(test_\w+)::(test_\w+)`")
FILE_REFERENCE = re.compile(r"`(test_\w+)`")
LINK = re.compile(r"\]\((?!http)([^)#]+)")


def test_referenced_tests_exist() -> None:
    page = PROOFS.read_text()
    references = TEST_REFERENCE.findall(page)
    assert references
    for file, test in references:
        assert f"def {test}(" in (ROOT / "testing" / f"{file}.py").read_text(), test
    for file in FILE_REFERENCE.findall(page):
        assert (ROOT / "testing" / f"{file}.py").exists(), file


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_link_targets_exist(page: Path) -> None:
    for target in LINK.findall(page.read_text()):
        assert (page.parent / target).exists(), target
