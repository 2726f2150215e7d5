"""Install the product and its dependencies into ``target/deps``, and build the start image.

Files that are up to date are not replaced: hosts that run from ``target/deps`` may restart at any
time. What is not is made in a directory of its own and then renamed, so that a build that is ended
midway leaves nothing that looks complete. Builds that run at the same time wait for each other.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import compileall
import contextlib
import fcntl
import hashlib
import os
from pathlib import Path
import shutil
import subprocess
import sys
from typing import Final

from start_image import interpreter_tag

PACKAGE: Final = "tanagerscale"
STAMP: Final = ".built"
STAGING_PREFIX: Final = "deps.next."
REQUIREMENT_FILES: Final = ("pyproject.toml", "constraints.txt")

Install = Callable[[Path], None]
"""Installs the product and its dependencies into a directory."""


def build(*, root: Path, install: Install, write_image: Callable[[], None]) -> None:
    """Bring ``target/deps`` and the start image up to date.

    :param root: Root of the source tree.
    :param install: Installs the product and its dependencies into a directory.
    :param write_image: Writes the start image; raises ``CalledProcessError`` if the packages can't
        be imported.
    """
    target = root / "target"
    target.mkdir(exist_ok=True)
    with _lock(target / ".lock"):
        is_installed = _update_packages(root, install, force=False)
        _update_product(root)
        try:
            write_image()
        except subprocess.CalledProcessError:
            if is_installed:
                raise
            # The stamp is right and the packages are not, as after a copy that was incomplete.
            _update_packages(root, install, force=True)
            write_image()


def make_stamp(root: Path) -> bytes:
    """Return what the packages depend on: the interpreter, the machine and the requirements.

    :param root: Root of the source tree.
    """
    digest = hashlib.sha256()
    for name in REQUIREMENT_FILES:
        digest.update((root / name).read_bytes())
    return f"{interpreter_tag().hex()}\n{digest.hexdigest()}\n".encode()


def _update_packages(root: Path, install: Install, *, force: bool) -> bool:
    """Install all packages if they are not up to date; return whether they were installed."""
    deps = root / "target" / "deps"
    stamp = make_stamp(root)
    with contextlib.suppress(OSError):
        if not force and (deps / STAMP).read_bytes() == stamp:
            return False
    for left in (root / "target").glob(f"{STAGING_PREFIX}*"):
        _clear(left)
    # The installer of a build that was killed may still write to the directory of that build.
    staging = root / "target" / f"{STAGING_PREFIX}{os.getpid()}"
    install(staging)
    _copy_product(root, staging)
    (staging / STAMP).write_bytes(stamp)
    _replace(staging, deps)
    return True


def _update_product(root: Path) -> None:
    """Copy the product's modules if they differ."""
    deps = root / "target" / "deps"
    if _list_files(root / "src" / PACKAGE) == _list_files(deps / PACKAGE):
        return
    staging = _clear(root / "target" / "next")
    staging.mkdir()
    _copy_product(root, staging)
    _replace(staging / PACKAGE, deps / PACKAGE)
    staging.rmdir()


def _copy_product(root: Path, directory: Path) -> None:
    copy = _clear(directory / PACKAGE)
    shutil.copytree(
        root / "src" / PACKAGE, copy, ignore=shutil.ignore_patterns("__pycache__"), symlinks=True
    )
    compileall.compile_dir(copy, quiet=1)


def _list_files(directory: Path) -> dict[Path, bytes]:
    """Return the contents of all files, except compiled ones."""
    return {
        path.relative_to(directory): path.read_bytes()
        for path in directory.rglob("*")
        if path.is_file() and "__pycache__" not in path.parts
    }


def _clear(path: Path) -> Path:
    """Remove a directory that an earlier build has left."""
    shutil.rmtree(path, ignore_errors=True)
    return path


def _replace(new: Path, current: Path) -> None:
    """Put a directory in the place of another one.

    Between the two renames the place is empty; the next build repairs that, if it lasts.
    """
    old = _clear(current.with_name(f"{current.name}.old"))
    with contextlib.suppress(FileNotFoundError):
        current.rename(old)
    new.rename(current)
    _clear(old)


@contextlib.contextmanager
def _lock(path: Path) -> Iterator[None]:
    """Wait until no other build runs; the system frees the lock if a build is ended."""
    with path.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def _install_with_pip(directory: Path) -> None:
    command = [sys.executable, "-m", "pip", "install", "-q", "--target", str(directory)]
    subprocess.run([*command, "-c", "constraints.txt", "."], check=True)


def _write_image() -> None:
    environment = {**os.environ, "PYTHONPATH": str(Path("target", "deps").absolute())}
    command = [sys.executable, "-S", "deploy/build_image.py", "target/host.image"]
    subprocess.run(command, env=environment, check=True)


def main() -> None:
    """Build the product of the tree that holds this file."""
    root = Path(__file__).resolve().parent.parent
    os.chdir(root)
    build(root=root, install=_install_with_pip, write_image=_write_image)


if __name__ == "__main__":
    try:
        main()
    except (OSError, subprocess.CalledProcessError) as build_error:
        sys.exit(f"The build has failed: {build_error}")
