"""Tests that the committed generated code matches the schemas."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory

from tools.generate import OUTPUT_DIR
from tools.generate import ROOT
from tools.generate import generate


def test_generated_code_matches_the_schemas() -> None:
    # The generator takes its formatting settings from the parent directories of its output, so the
    # output directory must be inside the source tree.
    build_dir = ROOT / "build"
    build_dir.mkdir(exist_ok=True)
    with TemporaryDirectory(dir=build_dir) as directory:
        for module in generate(output_dir=Path(directory)):
            committed = OUTPUT_DIR / module.name
            assert module.read_text() == committed.read_text(), f"Run make generate: {module.name}."
