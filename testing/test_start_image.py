"""Tests of the start image: its modules behave like those imported from files."""

from __future__ import annotations

import importlib
import importlib.util
from pathlib import Path
import subprocess
import sys

from build_image import write_image
import pytest
from start_image import ImageError
from start_image import StartImage

PACKAGE = "tanagerscale.policy"
MODULE = "tanagerscale.policy._retries"
DEPLOY = Path(__file__).parent.parent / "deploy"


@pytest.fixture
def image(tmp_path: Path) -> Path:
    for name in (PACKAGE, MODULE):
        importlib.import_module(name)
    path = tmp_path / "host.image"
    assert write_image(path=path, names=[PACKAGE, MODULE, "no.such.module"]) == 2
    return path


def test_module_loaded_from_the_image_matches_its_file(image: Path) -> None:
    spec = StartImage(path=str(image)).find_spec(MODULE)
    assert spec is not None
    module = importlib.util.module_from_spec(spec)
    assert spec.loader is not None
    spec.loader.exec_module(module)
    assert module.__file__ == importlib.import_module(MODULE).__file__
    budget = module.RetryBudget(reserve=1.0)
    assert [budget.try_spend(), budget.try_spend()] == [True, False]


def test_package_from_the_image_finds_modules_that_are_not_in_it(image: Path) -> None:
    spec = StartImage(path=str(image)).find_spec(PACKAGE)
    assert spec is not None
    directory = Path(importlib.import_module(PACKAGE).__file__ or "").parent
    assert spec.submodule_search_locations == [str(directory)]


def test_module_is_not_found_when_it_is_not_in_the_image(image: Path) -> None:
    assert StartImage(path=str(image)).find_spec("tanagerscale.replay") is None


@pytest.mark.parametrize("fraction", [0.0, 0.01, 0.1, 0.5, 0.99])
def test_image_is_rejected_when_truncated(image: Path, fraction: float) -> None:
    content = image.read_bytes()
    image.write_bytes(content[: int(len(content) * fraction)])
    with pytest.raises(ImageError, match="build it again"):
        StartImage(path=str(image))


def test_image_is_rejected_when_built_by_another_interpreter(
    image: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("start_image.interpreter_tag", lambda: b"another one")
    with pytest.raises(ImageError, match="built by another interpreter version"):
        StartImage(path=str(image))


@pytest.mark.parametrize("content", [None, b"", b"no image at all, but some bytes"])
def test_host_imports_from_files_when_the_image_is_missing_or_invalid(
    tmp_path: Path, content: bytes | None
) -> None:
    copy = tmp_path / "deploy"
    copy.mkdir()
    for name in ("start.py", "start_image.py"):
        (copy / name).write_text((DEPLOY / name).read_text())
    (tmp_path / "target").mkdir()
    if content is not None:
        (tmp_path / "target" / "host.image").write_bytes(content)
    completed = subprocess.run(
        [sys.executable, str(copy / "start.py")],
        env={"TANAGERSCALE_CONFIG": str(tmp_path / "none.ini")},
        capture_output=True,
        text=True,
        check=False,
    )
    assert "Modules are imported from their files" in completed.stderr
    assert "none.ini" in completed.stderr
    assert completed.returncode == 2
