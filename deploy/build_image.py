"""Build the start image of a host: ``build_image.py PATH``."""

from __future__ import annotations

from collections.abc import Sequence
from importlib.machinery import ModuleSpec
from importlib.machinery import SourceFileLoader
import marshal
from pathlib import Path
import sys
from types import ModuleType
from typing import final

from start_image import LENGTH_FIELD_BYTES
from start_image import get_directories
from start_image import interpreter_tag


@final
class ImportRecorder:
    """Meta path finder that records the names of modules in import order."""

    def __init__(self) -> None:
        self.names: dict[str, None] = {}

    def find_spec(
        self, name: str, _path: Sequence[str] | None = None, _target: ModuleType | None = None
    ) -> None:
        """Record a name and return ``None``, so that the other finders import the module."""
        self.names[name] = None


def write_image(*, path: Path, names: Sequence[str]) -> int:
    """Write an image with the code of those modules that were imported from source files.

    :param path: Path of the image; an existing image is replaced atomically.
    :param names: Names of the modules, in the order in which a host imports them.
    :returns: Number of modules in the image.
    """
    index: dict[str, tuple[bool, int, str, int, int]] = {}
    directories = get_directories(path)
    code_blobs: list[bytes] = []
    offset = 0
    for name in names:
        spec: ModuleSpec | None = getattr(sys.modules.get(name), "__spec__", None)
        if spec is None or not isinstance(spec.loader, SourceFileLoader):
            continue
        code_bytes = marshal.dumps(spec.loader.get_code(name))
        is_package = spec.submodule_search_locations is not None
        directory, origin = _split_origin(spec.origin or "", directories)
        index[name] = (is_package, directory, origin, offset, len(code_bytes))
        code_blobs.append(code_bytes)
        offset += len(code_bytes)
    packed_index = marshal.dumps(index)
    lengths = [
        length.to_bytes(LENGTH_FIELD_BYTES, "little") for length in (len(packed_index), offset)
    ]
    temporary_path = path.with_suffix(".next")
    temporary_path.write_bytes(b"".join([interpreter_tag(), *lengths, packed_index, *code_blobs]))
    temporary_path.replace(path)
    return len(index)


def _split_origin(origin: str, directories: Sequence[str]) -> tuple[int, str]:
    """Return the number of the directory that holds a module, and the path of the module in it.

    The module is found there again when the tree has been moved, or by another interpreter of the
    same version at another place.
    """
    resolved = Path(origin).resolve()
    for number, directory in enumerate(directories):
        if directory and resolved.is_relative_to(Path(directory).resolve()):
            return number, str(resolved.relative_to(Path(directory).resolve()))
    return directories.index(""), origin


def main() -> None:
    """Import the main module of a host and write an image of all imported modules."""
    recorder = ImportRecorder()
    preloaded = list(sys.modules)
    sys.meta_path.insert(0, recorder)
    import tanagerscale.platform.__main__  # noqa: F401 - Its imports are recorded.

    # The module that reads the image is imported before it.
    names = [name for name in (*recorder.names, *preloaded) if name != "start_image"]
    write_image(path=Path(sys.argv[1]), names=names)


if __name__ == "__main__":
    main()
