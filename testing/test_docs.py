"""The pages name only what is there."""

from __future__ import annotations

from pathlib import Path
import re

import pytest

ROOT = Path(__file__).resolve().parent.parent
PROOFS = ROOT / "docs" / "PROOFS.md"
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")])
NAMED_TEST = re.compile(r"`(test_\w+)::(test_\w+)`")
NAMED_FILE = re.compile(r"`(test_\w+)`")
LINK = re.compile(r"\]\((?!http)([^)#]+)")


def test_each_proof_that_is_named_exists() -> None:
    page = PROOFS.read_text()
    named = NAMED_TEST.findall(page)
    assert named
    for file, test in named:
        assert f"def {test}(" in (ROOT / "testing" / f"{file}.py").read_text(), test
    for file in NAMED_FILE.findall(page):
        assert (ROOT / "testing" / f"{file}.py").exists(), file


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_link_leads_somewhere(page: Path) -> None:
    for target in LINK.findall(page.read_text()):
        assert (page.parent / target).exists(), target
