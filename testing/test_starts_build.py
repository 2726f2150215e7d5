"""Builds of the product that are ended midway, run at once or find the product of another place."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
import importlib
import importlib.util
import os
from pathlib import Path
import shutil
import subprocess
import sys
import threading

from build_image import write_image
from build_product import build
import pytest
from start_image import ImageError
from start_image import StartImage

ROOT = Path(__file__).parent.parent
START_FILES = ("start.py", "start_image.py")
MODULE = "extension_user"
BUILDS = 4
TIMEOUT_S = 60


class _Tree:
    """A source tree, and what its builds have done.

    :param root: Root of the tree.
    """

    def __init__(self, root: Path) -> None:
        self.root = root
        self.installed = 0
        self.images = 0
        self.active = 0
        for name in ("pyproject.toml", "constraints.txt"):
            (root / name).write_text("")
        package = root / "src" / "tanagerscale"
        package.mkdir(parents=True)
        (package / "__init__.py").write_text("VERSION = 1\n")

    @property
    def deps(self) -> Path:
        """Directory of the packages."""
        return self.root / "target" / "deps"

    def install(self, directory: Path) -> None:
        """Install one package."""
        self.active += 1
        assert self.active == 1
        self.installed += 1
        directory.mkdir()
        (directory / "library.py").write_text(f"INSTALLED = {self.installed}\n")
        threading.Event().wait(0.05)
        self.active -= 1

    def write_image(self) -> None:
        """Check that the packages are there, as the import for the image does."""
        if not (self.deps / "library.py").exists():
            raise subprocess.CalledProcessError(1, "build_image")
        self.images += 1

    def build(self, install: Callable[[Path], None] | None = None) -> None:
        """Build the tree."""
        build(root=self.root, install=install or self.install, write_image=self.write_image)


@pytest.fixture
def tree(tmp_path: Path) -> _Tree:
    """Return a source tree that has not been built."""
    return _Tree(tmp_path)


def test_packages_are_not_replaced_when_nothing_has_changed(tree: _Tree) -> None:
    tree.build()
    before = (tree.deps / "library.py").stat()
    product = (tree.deps / "tanagerscale" / "__init__.py").stat()
    tree.build()
    assert tree.installed == 1
    assert (tree.deps / "library.py").stat().st_ino == before.st_ino
    assert (tree.deps / "tanagerscale" / "__init__.py").stat().st_ino == product.st_ino


# Guards against packages of another kind of machine, which times of files don't tell.
def test_packages_are_installed_again_when_they_are_of_another_machine(
    tree: _Tree, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as context:
        context.setattr("build_product.interpreter_tag", lambda: b"another kind of machine")
        tree.build()
    tree.build()
    assert tree.installed == 2


@pytest.mark.parametrize("name", ["pyproject.toml", "constraints.txt"])
def test_packages_are_installed_again_when_the_requirements_change(tree: _Tree, name: str) -> None:
    tree.build()
    path = tree.root / name
    status = path.stat()
    path.write_text("changed")
    os.utime(path, ns=(status.st_atime_ns, status.st_mtime_ns))
    tree.build()
    assert tree.installed == 2


# Guards against a stamp that is right beside packages that are not.
def test_packages_are_installed_again_when_they_cannot_be_imported(tree: _Tree) -> None:
    tree.build()
    (tree.deps / "library.py").unlink()
    tree.build()
    assert tree.installed == 2
    assert tree.images == 2


# Guards against a build that takes what an ended one has left for complete.
def test_build_completes_when_an_earlier_one_was_ended_midway(tree: _Tree) -> None:
    def install_half(directory: Path) -> None:
        directory.mkdir()
        (directory / "half.py").write_text("")
        raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        tree.build(install_half)
    assert not tree.deps.exists()
    tree.build()
    assert not (tree.deps / "half.py").exists()
    assert tree.installed == 1
    assert sorted(path.name for path in tree.deps.parent.iterdir()) == [".lock", "deps"]


# Guards against packages that two installers have written together.
def test_packages_are_whole_when_the_installer_of_a_killed_build_goes_on(
    tree: _Tree, monkeypatch: pytest.MonkeyPatch
) -> None:
    killed: list[Path] = []

    def install_half(directory: Path) -> None:
        killed.append(directory)
        raise KeyboardInterrupt

    def install(directory: Path) -> None:
        killed[0].mkdir()
        (killed[0] / "late.py").write_text("")
        tree.install(directory)

    with pytest.raises(KeyboardInterrupt):
        tree.build(install_half)
    monkeypatch.setattr("os.getpid", lambda: -1)
    tree.build(install)
    assert not (tree.deps / "late.py").exists()
    assert (tree.deps / "library.py").exists()


def test_running_packages_stay_when_a_build_is_ended_midway(tree: _Tree) -> None:
    def end(_directory: Path) -> None:
        raise KeyboardInterrupt

    tree.build()
    (tree.root / "constraints.txt").write_text("changed")
    with pytest.raises(KeyboardInterrupt):
        tree.build(end)
    assert (tree.deps / "library.py").exists()
    assert (tree.deps / "tanagerscale" / "__init__.py").exists()


def test_packages_are_installed_once_when_builds_run_at_the_same_time(tree: _Tree) -> None:
    with ThreadPoolExecutor(BUILDS) as executor:
        for done in [executor.submit(tree.build) for _ in range(BUILDS)]:
            done.result(timeout=TIMEOUT_S)
    assert tree.installed == 1
    assert tree.images == BUILDS


def test_product_is_replaced_when_a_source_file_changes(tree: _Tree) -> None:
    tree.build()
    (tree.root / "src" / "tanagerscale" / "__init__.py").write_text("VERSION = 2\n")
    tree.build()
    assert (tree.deps / "tanagerscale" / "__init__.py").read_text() == "VERSION = 2\n"
    assert tree.installed == 1


# Guards against absolute paths of the directory of the build, at which packages look for their
# extension modules after the tree has been moved.
def test_modules_of_the_image_are_found_when_the_tree_is_moved(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    built = tmp_path / "built"
    package = built / "target" / "deps" / MODULE
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("")
    with monkeypatch.context() as context:
        context.syspath_prepend(str(package.parent))
        for name in (MODULE, "json"):
            importlib.import_module(name)
        assert write_image(path=built / "target" / "host.image", names=[MODULE, "json"]) == 2
    sys.modules.pop(MODULE)
    moved = tmp_path / "moved"
    shutil.move(built, moved)
    image = StartImage(path=str(moved / "target" / "host.image"))
    spec = image.find_spec(MODULE)
    assert spec is not None
    assert spec.submodule_search_locations == [str(moved / "target" / "deps" / MODULE)]
    assert spec.origin == str(moved / "target" / "deps" / MODULE / "__init__.py")
    library = image.find_spec("json")
    assert library is not None
    assert library.origin == importlib.import_module("json").__file__


def test_image_is_rejected_when_its_packages_are_missing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    package = tmp_path / "deps" / MODULE
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("")
    monkeypatch.syspath_prepend(str(package.parent))
    importlib.import_module(MODULE)
    write_image(path=tmp_path / "host.image", names=[MODULE])
    sys.modules.pop(MODULE)
    shutil.rmtree(tmp_path / "deps")
    with pytest.raises(ImageError, match="needs the directory"):
        StartImage(path=str(tmp_path / "host.image"))


# Guards against an end that doesn't tell that the product belongs to another machine.
@pytest.mark.parametrize("stamp", [None, "00ff\n"])
def test_start_names_the_product_when_its_packages_cannot_be_imported(
    tmp_path: Path, stamp: str | None
) -> None:
    (tmp_path / "deploy").mkdir()
    for name in START_FILES:
        shutil.copy(ROOT / "deploy" / name, tmp_path / "deploy" / name)
    deps = tmp_path / "target" / "deps"
    (deps / "tanagerscale").mkdir(parents=True)
    (deps / "tanagerscale" / "__init__.py").write_text("raise ImportError('no extension')\n")
    if stamp is not None:
        (deps / ".built").write_text(stamp)
    completed = subprocess.run(
        [sys.executable, "-S", str(tmp_path / "deploy" / "start.py")],
        env={"PYTHONPATH": str(deps)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 1
    assert "no extension" in completed.stderr
    assert "run sh deploy/build.sh" in completed.stderr
    assert "Exit code 1." in completed.stderr
