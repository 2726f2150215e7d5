"""The committed generated code is what the schemas say."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory

from tools.generate import OUTPUT_DIR
from tools.generate import ROOT
from tools.generate import generate


def test_generated_code_is_unchanged_when_generated_again() -> None:
    # The generator formats by the settings it finds above its output, so that is inside the tree.
    build = ROOT / "build"
    build.mkdir(exist_ok=True)
    with TemporaryDirectory(dir=build) as directory:
        for module in generate(output_dir=Path(directory)):
            committed = OUTPUT_DIR / module.name
            assert module.read_text() == committed.read_text(), f"Run make generate: {module.name}."
